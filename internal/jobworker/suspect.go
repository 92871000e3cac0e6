package jobworker

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// probeTimeout bounds the question to a runner under suspicion: its report needs no place, and a connection to it comes
	// up in the same time.
	probeTimeout = 400 * time.Millisecond
	// probePause parts two questions to a runner that does not answer: nodes hear within it that the runner is back.
	probePause = 500 * time.Millisecond
	// probeMemory is how long an answer clears a runner of further suspicion: nodes that are slow to hear of it, or reach it
	// worse than this one, ask for no question each.
	probeMemory = time.Second
)

// suspicion is what this node knows of a runner that some node could not reach or got no answer from.
type suspicion struct {
	// asking says that questions to the runner are under way.
	asking bool
	// silent says that the last one got no answer.
	silent bool
	// cleared is when the runner last answered one.
	cleared time.Time
}

// suspect asks a runner that a node suspects whether it lives. A runner counts as silent for all nodes once this one, its
// owner, gets no answer either: one node's word alone may be the fault of its own path. The caller holds the mutex.
func (w *Worker) suspect(id ident.Incarnation, now time.Time) {
	runner, known := w.Runners.Runner(id)
	if !known || !w.owns(runner) || !w.tomb.Alive() {
		return
	}
	if w.suspicions == nil {
		w.suspicions = map[ident.Incarnation]*suspicion{}
	}
	held := w.suspicions[id]
	if held == nil {
		held = &suspicion{}
		w.suspicions[id] = held
	}
	if held.asking || now.Sub(held.cleared) < probeMemory {
		return
	}
	held.asking = true
	w.tomb.Go(func() error { w.askWhetherAlive(runner, held); return nil })
}

// askWhetherAlive asks until the runner answers or is listed no more.
func (w *Worker) askWhetherAlive(runner work.Runner, held *suspicion) {
	for {
		answered := w.answers(runner)
		if w.noteAnswer(runner, held, answered) || !w.pause(probePause) {
			return
		}
	}
}

func (w *Worker) answers(runner work.Runner) bool {
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	_, err := w.Caller.Report(ctx, runner)
	return err == nil
}

// noteAnswer notes whether a runner answered, and has batch work leave one that falls silent. It returns true where nothing
// more is to be asked.
func (w *Worker) noteAnswer(runner work.Runner, held *suspicion, answered bool) bool {
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, listed := w.Runners.Runner(runner.ID)
	switch {
	case !listed:
		delete(w.suspicions, runner.ID)
		return true
	case answered:
		held.asking, held.silent, held.cleared = false, false, now
		return true
	case !held.silent:
		held.silent = true
		event.RunnerSilent.Log(w.Logger).Str("runner", string(runner.ID)).Str("address", runner.Address).Send()
		w.yield(runner.ID, w.batchAt(runner.ID, now))
	}
	return false
}

// silent says whether a runner answers neither some node nor this one, its owner. The caller holds the mutex.
func (w *Worker) silent(id ident.Incarnation) bool {
	held := w.suspicions[id]
	return held != nil && held.silent
}
