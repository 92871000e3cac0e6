package jobworker

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// probeTimeout bounds a probe of a suspected runner: its report needs no slot, and a connection to it is established
	// within the same time.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the pause between two probes of an unresponsive runner. Nodes are notified of its recovery within
	// that time.
	probeInterval = 500 * time.Millisecond
	// probeClearPeriod is how long an answer clears a runner of further suspicion, so that nodes that receive the result
	// late, or have a worse connection to the runner than this one, do not each cause a probe.
	probeClearPeriod = time.Second
)

// suspicion is the state of a runner that some node could not reach or got no answer from.
type suspicion struct {
	// probing is set while the runner is being probed.
	probing bool
	// unresponsive is set if the last probe got no answer.
	unresponsive bool
	// clearedAt is when the runner last answered a probe.
	clearedAt time.Time
}

// suspect probes a runner that a node suspects. The runner counts as unresponsive for all nodes once this node, its owner,
// gets no answer either; the report of a single node may be due to that node's own connection. The caller must hold the
// mutex.
func (w *Worker) suspect(id ident.Incarnation, now time.Time) {
	runner, known := w.Runners.Runner(id)
	if !known || !w.owns(runner) || !w.tomb.Alive() {
		return
	}
	if w.suspicions == nil {
		w.suspicions = map[ident.Incarnation]*suspicion{}
	}
	suspected := w.suspicions[id]
	if suspected == nil {
		suspected = &suspicion{}
		w.suspicions[id] = suspected
	}
	if suspected.probing || now.Sub(suspected.clearedAt) < probeClearPeriod {
		return
	}
	suspected.probing = true
	w.tomb.Go(func() error { w.probeUntilAnswered(runner, suspected); return nil })
}

// probeUntilAnswered probes until the runner answers or is no longer listed.
func (w *Worker) probeUntilAnswered(runner work.Runner, suspected *suspicion) {
	for {
		answered := w.probe(runner)
		if w.recordProbe(runner, suspected, answered) || !w.pause(probeInterval) {
			return
		}
	}
}

func (w *Worker) probe(runner work.Runner) bool {
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	_, err := w.Caller.Report(ctx, runner)
	return err == nil
}

// recordProbe records whether a runner answered, and removes batch work from one that becomes unresponsive. It returns
// true when no further probe is needed.
func (w *Worker) recordProbe(runner work.Runner, suspected *suspicion, answered bool) bool {
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, listed := w.Runners.Runner(runner.ID)
	switch {
	case !listed:
		delete(w.suspicions, runner.ID)
		return true
	case answered:
		suspected.probing, suspected.unresponsive, suspected.clearedAt = false, false, now
		return true
	case !suspected.unresponsive:
		suspected.unresponsive = true
		event.RunnerUnresponsive.Log(w.Logger).Str("runner", string(runner.ID)).Str("address", runner.Address).Send()
		w.reclaimSlots(runner.ID, w.batchRunsAt(runner.ID, now))
	}
	return false
}

// unresponsive reports whether a runner answers neither some node nor this one, its owner. The caller must hold the mutex.
func (w *Worker) unresponsive(id ident.Incarnation) bool {
	suspected := w.suspicions[id]
	return suspected != nil && suspected.unresponsive
}
