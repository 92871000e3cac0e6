package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/credit"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// grant contains the credits of one runner, with its state and its view in the runner table.
type grant struct {
	runner  ident.Runner
	state   *runnerState
	view    dispatch.RunnerView
	credits credit.Credits
}

// readOwnership updates the runners that this node owns. A runner that is no longer owned gets no credits, so its runs are
// preempted with the next grants. A new epoch means that ownership was interrupted: runs under the old epoch are aborted,
// since another node may have assigned the same slots. Non-repeatable items are not aborted and run to their end.
func (w *Worker) readOwnership() {
	owned := map[ident.Runner]uint64{}
	for _, claim := range w.config.Ownership.Owned() {
		owned[claim.Runner] = claim.Epoch
	}
	for runner, state := range w.runners {
		epoch, still := owned[runner]
		state.owned = still
		if still && epoch != state.epoch {
			w.preemptSome(state, len(state.running))
		}
		if !still && len(state.running) == 0 {
			delete(w.runners, runner)
		}
	}
	for runner, epoch := range owned {
		w.state(runner).epoch = epoch
		w.state(runner).owned = true
	}
}

func (w *Worker) state(runner ident.Runner) *runnerState {
	state, known := w.runners[runner]
	if !known {
		state = &runnerState{controller: credit.NewController(), running: map[*execution]struct{}{}}
		w.runners[runner] = state
	}
	return state
}

// grants computes the credits of every runner and returns them sorted by runner.
func (w *Worker) grants(now time.Time) []grant {
	grants := make([]grant, 0, len(w.runners))
	for runner, state := range w.runners {
		view, known := w.config.Table.Runner(runner, now)
		if !known || !state.owned {
			state.granted = credit.Credits{}
			grants = append(grants, grant{runner: runner, state: state})
			continue
		}
		input := credit.Input{
			KnownOnline:  view.OwnInFlight + view.PeersInFlight,
			Report:       view.Report,
			RunningBatch: len(state.running),
			Leaving:      view.Leaving,

			ShareBesideOnline: w.config.ShareBesideOnline,
		}
		credits := state.controller.Decide(input, now)
		state.granted = credits
		state.steps.setGap(state.controller.StepGap())
		grants = append(grants, grant{runner: runner, state: state, view: view, credits: credits})
	}
	slices.SortFunc(grants, func(a, b grant) int { return cmp.Compare(a.runner, b.runner) })
	return grants
}

// preempt aborts runs in excess of the credits. A leaving runner completes its runs and only starts no new ones.
func (w *Worker) preempt(grants []grant) {
	for _, granted := range grants {
		if granted.view.Leaving {
			continue
		}
		surplus := len(granted.state.running) - granted.credits.MaxRunning
		if surplus <= 0 {
			continue
		}
		w.preemptSome(granted.state, surplus)
	}
}

// preemptSome preempts up to surplus runs, including those already being preempted. The most recently started are
// preempted first, since they lose the least work if the engine does not retain their tokens. Non-repeatable items are not
// preempted, since a failed resumption would leave their outcome unknown; nonRepeatableShare bounds their number.
func (w *Worker) preemptSome(state *runnerState, surplus int) {
	running := make([]*execution, 0, len(state.running))
	for candidate := range state.running {
		if candidate.preempted {
			surplus--
			continue
		}
		if candidate.item.request.Repeatable {
			running = append(running, candidate)
		}
	}
	slices.SortFunc(running, func(a, b *execution) int { return cmp.Compare(b.order, a.order) })
	for _, chosen := range running[:max(0, min(surplus, len(running)))] {
		chosen.preempted = true
		chosen.cancel(errPreempted)
		w.metrics.preempted()
	}
}

// startItems starts items on every runner up to its credits.
//
// Invariant: after a run is started, a runner has no more runs than its credits; runs being preempted still count.
func (w *Worker) startItems(grants []grant, now time.Time) {
	for _, granted := range grants {
		if granted.mayStart(now) {
			w.fill(&granted, now)
		}
		granted.state.use = w.slotUse(&granted, now)
		w.schedulePrefillCheck(granted.state.controller.NextChange(now), now)
	}
}

func (w *Worker) fill(granted *grant, now time.Time) {
	for len(granted.state.running) < granted.credits.MaxWhenStarting {
		if !w.startOne(granted, now) {
			return
		}
	}
}

func (g *grant) mayStart(now time.Time) bool {
	state := g.state
	return state.owned && !g.view.Leaving && !g.view.Ejected && state.epoch != state.fencedEpoch && !now.Before(state.pausedUntil)
}

// nonRepeatableShare is the share of a runner's sequences that non-repeatable items, which cannot be preempted, may use.
const nonRepeatableShare = 1.0 / 16

// startOne starts the next item that fits the runner and reports whether there was one.
func (w *Worker) startOne(granted *grant, now time.Time) bool {
	if len(w.registry.queue) == 0 || !granted.state.controller.MayPrefill(now) {
		return false
	}
	target, found := w.config.Engines.Engine(granted.runner)
	if !found {
		return false
	}
	fits := func(candidate *item) bool { return granted.fits(candidate, now) }
	chosen := w.registry.next(granted.runner, fits, now)
	if chosen == nil {
		return false
	}
	granted.state.controller.RecordPrefill(chosen.request.PromptTokens, now)
	w.launch(newExecution(chosen, granted.runner, target, granted.state.epoch), granted.state)
	return true
}

// fits reports whether the runner can run the item within its credits. An item whose prompt exceeds the prefill credit may
// start if no other prefill is outstanding.
func (g *grant) fits(candidate *item, now time.Time) bool {
	if !suits(&g.view, candidate.request) || !g.state.controller.Fits(candidate.request.PromptTokens, now) {
		return false
	}
	if !candidate.request.Repeatable && g.nonRepeatable() >= g.nonRepeatableLimit() {
		return false
	}
	return g.state.prefill == 0 || g.state.prefill+candidate.request.PromptTokens <= g.credits.PrefillTokens
}

func (g *grant) nonRepeatable() int {
	count := 0
	for running := range g.state.running {
		if !running.item.request.Repeatable {
			count++
		}
	}
	return count
}

func (g *grant) nonRepeatableLimit() int {
	return max(1, int(float64(g.view.Report.MaxSequences)*nonRepeatableShare))
}

// launch runs an item in a new goroutine.
func (w *Worker) launch(started *execution, state *runnerState) {
	ctx, cancel := context.WithCancelCause(context.Background())
	w.launched++
	started.order = w.launched
	started.cancel = cancel
	state.running[started] = struct{}{}
	w.tenants.add(started.item.job.Tenant, 1)
	state.prefill += started.item.request.PromptTokens
	started.prefilling = true
	started.started = func() { w.post(func() { endPrefill(state, started) }) }
	started.token = func() { w.detectStep(state) }
	w.tomb.Go(func() error {
		defer cancel(nil)
		started.run(ctx)
		w.post(func() { w.runEnded(started, state) })
		return nil
	})
}

func endPrefill(state *runnerState, started *execution) {
	if started.prefilling {
		started.prefilling = false
		state.prefill -= started.item.request.PromptTokens
	}
}
