package interferencesim

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/credit"
	"mallowlatch.example/mallowlatch/internal/engine"
)

// worker does what a node's batch worker does, in the order of its turns: it asks the controllers for credits, preempts
// the youngest runs above them, and starts items while the credits and the prefill limits allow.
type worker struct {
	fleet *fleet
	// states holds the owned runners by index.
	states map[int]*runnerState
	owned  []*runnerState
	// queue holds preempted items, the latest first.
	queue []*item
}

// runnerState is an owned runner as its worker knows it.
type runnerState struct {
	worker     *worker
	runner     *runner
	controller *credit.Controller
	// counts are the online requests by node.
	counts []int
	report *engine.LoadReport
	// running is in order of start.
	running []*execution
	prefill int
	credits credit.Credits
	// stepEnd is when the last step that the worker is told of ended.
	stepEnd time.Duration
	lookAt  time.Time
}

// execution is one run of an item.
type execution struct {
	item *item
	// preempted, prefilling and told are what the worker knows; finished is what the engine knows.
	preempted, prefilling, told, finished bool
}

// leastPrefetch is the least number of items kept ready, as in package batch.
const leastPrefetch = 16

// keptTimePerToken is how long an item waits for the runner that keeps its tokens, as in package batch.
const keptTimePerToken = 40 * time.Millisecond

func startWorkers(fleet *fleet) {
	for range fleet.options.Nodes {
		fleet.workers = append(fleet.workers, &worker{fleet: fleet, states: map[int]*runnerState{}})
	}
	for _, runner := range fleet.runners {
		owner := fleet.workers[runner.index%fleet.options.Nodes]
		state := &runnerState{
			worker:     owner,
			runner:     runner,
			controller: credit.NewController(),
			counts:     make([]int, fleet.options.Nodes),
		}
		owner.states[runner.index] = state
		owner.owned = append(owner.owned, state)
		phase := fleet.options.ReportEvery * time.Duration(runner.index) / time.Duration(len(fleet.runners))
		fleet.clock.After(phase, func() { owner.poll(state) })
	}
	for index, worker := range fleet.workers {
		fleet.clock.After(tick*time.Duration(index)/time.Duration(len(fleet.workers)), worker.tick)
	}
}

func (w *worker) tick() {
	w.turn()
	w.fleet.clock.After(tick, w.tick)
}

// poll takes a load report, which is here after the lag.
func (w *worker) poll(state *runnerState) {
	load := state.runner.engine.Load()
	report := &engine.LoadReport{
		Measured:      w.fleet.clock.Now(),
		RunningOnline: load.RunningOnline,
		RunningBatch:  load.RunningBatch,
		WaitingOnline: load.WaitingOnline,
		WaitingBatch:  load.WaitingBatch,
		MaxSequences:  load.MaxSequences,
		MemoryUsed:    load.MemoryUsed,
		StepTime:      load.StepTime,
	}
	w.fleet.clock.After(w.fleet.options.ReportLag, func() { state.report = report })
	w.fleet.clock.After(w.fleet.options.ReportEvery, func() { w.poll(state) })
}

// setOnline takes a node's count of online requests; the worker looks at once when it rises.
func (w *worker) setOnline(state *runnerState, node, count int) {
	rises := count > state.counts[node]
	state.counts[node] = count
	if rises {
		w.turn()
	}
}

func (w *worker) turn() {
	now := w.fleet.clock.Now()
	for _, state := range w.owned {
		state.decide(now)
	}
	for _, state := range w.owned {
		w.preempt(state)
	}
	for _, state := range w.owned {
		w.fill(state, now)
		w.lookAgain(state, now)
	}
}

func (s *runnerState) decide(now time.Time) {
	known := 0
	for _, count := range s.counts {
		known += count
	}
	s.credits = s.controller.Decide(credit.Input{
		KnownOnline:       known,
		Report:            s.report,
		RunningBatch:      len(s.running),
		ShareBesideOnline: s.worker.fleet.options.ShareBesideOnline,
	}, now)
}

// preempt ends the youngest runs above the credits.
func (w *worker) preempt(state *runnerState) {
	surplus := len(state.running) - state.credits.MaxRunning
	for _, running := range state.running {
		if running.preempted {
			surplus--
		}
	}
	for _, running := range slices.Backward(state.running) {
		if surplus <= 0 {
			return
		}
		if running.preempted {
			continue
		}
		running.preempted = true
		surplus--
		w.fleet.measured.preempted()
		state.runner.to.send(func() { w.abort(state, running) })
	}
}

// abort ends a run on the engine, which keeps its tokens unless none was told of.
func (w *worker) abort(state *runnerState, aborted *execution) {
	if aborted.finished {
		return
	}
	sequence := aborted.item.sequence
	state.runner.engine.Abort(sequence)
	if !aborted.told {
		sequence.Restart()
	}
	state.runner.from.send(func() {
		aborted.item.runner, aborted.item.keptAt = state.runner, w.fleet.clock.Elapsed()
		w.queue = slices.Insert(w.queue, 0, aborted.item)
		w.ended(state, aborted)
	})
}

func (w *worker) ended(state *runnerState, done *execution) {
	state.running = slices.DeleteFunc(state.running, func(running *execution) bool { return running == done })
	state.begun(done)
	w.turn()
}

// begun takes the prompt of a run out of the outstanding prefill.
func (s *runnerState) begun(started *execution) {
	if started.prefilling {
		started.prefilling = false
		s.prefill -= started.item.prompt
	}
}

// fill starts items until the credits are used.
func (w *worker) fill(state *runnerState, now time.Time) {
	for len(state.running) < state.credits.MaxWhenStarting && state.controller.MayPrefill(now) {
		chosen := w.next(state)
		if chosen == nil {
			return
		}
		state.controller.RecordPrefill(chosen.prompt, now)
		w.launch(state, chosen)
	}
}

// lease keeps the queue filled ahead of the credits.
func (w *worker) lease() {
	for len(w.queue) < leastPrefetch {
		taken := w.fleet.backlog.take()
		if taken == nil {
			return
		}
		w.queue = append(w.queue, taken)
	}
}

// next takes the first item that may start on the runner, or returns nil.
func (w *worker) next(state *runnerState) *item {
	w.lease()
	now := w.fleet.clock.Now()
	fits := func(candidate *item) bool {
		return state.controller.Fits(candidate.prompt, now) &&
			(state.prefill == 0 || state.prefill+candidate.prompt <= state.credits.PrefillTokens)
	}
	for index, queued := range w.queue {
		if fits(queued) && w.startable(queued, state.runner) {
			w.queue = slices.Delete(w.queue, index, index+1)
			if queued.runner != state.runner {
				queued.sequence.Restart()
			}
			return queued
		}
	}
	return nil
}

// lookAgain sets a turn for when the controller may allow prefill.
func (w *worker) lookAgain(state *runnerState, now time.Time) {
	at := state.controller.NextChange(now)
	if at.IsZero() || at.Equal(state.lookAt) {
		return
	}
	state.lookAt = at
	w.fleet.clock.After(at.Sub(now), w.turn)
}

// watchSteps tells the controller of the end of a step by the first token that shows it.
func (w *worker) watchSteps(state *runnerState) {
	if state.stepEnd == w.fleet.clock.Elapsed() {
		return
	}
	state.stepEnd = w.fleet.clock.Elapsed()
	state.runner.from.send(func() {
		state.controller.RecordStep(w.fleet.clock.Now())
		w.turn()
	})
}

func (w *worker) startable(queued *item, on *runner) bool {
	if queued.runner == nil || queued.runner == on {
		return true
	}
	patience := time.Duration(queued.sequence.Generated()) * keptTimePerToken
	return w.fleet.clock.Elapsed()-queued.keptAt > patience
}

func (w *worker) launch(state *runnerState, started *item) {
	run := &execution{item: started, prefilling: true}
	state.running = append(state.running, run)
	state.prefill += started.prompt
	started.sequence.Token = func(last bool) {
		run.finished = last
		w.watchSteps(state)
		if run.told && !last {
			return
		}
		state.runner.from.send(func() { w.token(state, run, last) })
	}
	state.runner.to.send(func() { state.runner.submit(started.sequence) })
}

// token takes the first or the last token of a run.
func (w *worker) token(state *runnerState, run *execution, last bool) {
	if last {
		w.fleet.completed(run.item)
		w.ended(state, run)
		return
	}
	if !run.told {
		run.told = true
		state.begun(run)
		w.turn()
	}
}
