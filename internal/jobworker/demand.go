package jobworker

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/batchcapacity"
	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Demand stores a node's report of its online work and preempts batch items that no longer fit beside it. It returns what
// this node knows of the work at the runners it owns.
func (w *Worker) Demand(report *demand.Report) *demand.Answer {
	now := w.Now()
	answered := w.demand.LastReport(report.Node)
	changed := w.demand.Record(report, now)
	w.Runners.UpdatePaces(report.Counts, now)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.orphanRuns.observeAge(report, now)
	if answered.IsZero() {
		w.orphanRuns.subtractKnown(report, now)
	}
	for _, id := range changed {
		w.recordAccounted(id, now)
		w.checkExcess(id, now)
	}
	for _, count := range report.Counts {
		if count.Suspect {
			w.suspect(count.Runner, now)
		}
	}
	w.orphanRuns.recordWaiting(report, now)
	answer := w.demandShares(report.Node, answered, now)
	w.rationSlots(answer.Shares, report.Node, now)
	w.omitIdle(answer, report.Owned)
	answer.Nodes = w.demand.Nodes(now)
	answer.Shares = append(answer.Shares, w.unownedShares(report, now)...)
	answer.Batch = w.batchReport(now)
	answer.Bounds = w.tenantBounds(report, now)
	if w.PoisonWatch != nil {
		answer.Ends = w.PoisonWatch.Book.Since(report.EndsRead, now, true)
	}
	return answer
}

// preemptDelayFraction is the fraction of the online objective for which requests may wait for a slot to come free before
// items are preempted. Most slots come free sooner, and the prompt of each preempted run is read again, which delays all
// other work at the runner. The rest of the objective is for reading the prompt and for network latency.
const preemptDelayFraction = 0.15

// shortage is a lack of slots at a runner that may resolve without preemption. The worker's mutex guards it.
type shortage struct {
	// minExcess is the smallest excess of work since the shortage began.
	minExcess int
	// pending is set while the shortage waits for its preemption delay.
	pending bool
}

// checkExcess checks the work at a runner. If it does not fit, items are preempted after a delay unless it fits by then.
// The caller must hold the mutex.
func (w *Worker) checkExcess(id ident.Incarnation, now time.Time) {
	runner, known := w.Runners.Runner(id)
	if !known {
		return
	}
	short := &w.gaugeOf(id).short
	excess := w.excessAt(runner, now)
	if short.pending {
		short.minExcess = min(short.minExcess, excess)
		return
	}
	if excess > 0 {
		w.startShortage(id, excess, w.preemptDelay(runner))
	}
}

// excessAt returns how many items at a runner do not fit beside its online work. The caller must hold the mutex.
func (w *Worker) excessAt(runner work.Runner, now time.Time) int {
	return batchcapacity.ExcessItems(runner.Slots, w.batchRunsAt(runner.ID, now), w.onlineAt(runner.ID, now))
}

// preemptDelay returns how long online work at a runner may wait for a slot, or zero if no route defines it.
func (w *Worker) preemptDelay(runner work.Runner) time.Duration {
	return time.Duration(preemptDelayFraction * float64(w.shortestObjective(runner.Service)))
}

// startShortage starts a shortage, which ends after a delay. The caller must hold the mutex.
func (w *Worker) startShortage(id ident.Incarnation, excess int, delay time.Duration) {
	if !w.tomb.Alive() {
		return
	}
	w.gaugeOf(id).short = shortage{minExcess: excess, pending: true}
	w.tomb.Go(func() error {
		if w.pause(delay) {
			w.endShortage(id)
		}
		return nil
	})
}

// endShortage preempts as many runs at a runner as did not fit throughout the shortage, and checks for a new one.
func (w *Worker) endShortage(id ident.Incarnation) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Now()
	w.checkExcess(id, now)
	short := &w.gaugeOf(id).short
	w.reclaimSlots(id, short.minExcess)
	*short = shortage{}
	w.recheckShortage(id, now)
}

// recheckShortage starts a new shortage if more work does not fit than the ending runs make space for. Nodes send no
// report of work that does not change. The caller must hold the mutex.
func (w *Worker) recheckShortage(id ident.Incarnation, now time.Time) {
	runner, known := w.Runners.Runner(id)
	if !known {
		return
	}
	excess, delay := w.excessAt(runner, now), w.preemptDelay(runner)
	if excess > w.preemptingRuns(id) && delay > 0 {
		w.startShortage(id, excess, delay)
	}
}

// preemptingRuns counts the runs at a runner that were preempted and have not ended yet. The caller must hold the mutex.
func (w *Worker) preemptingRuns(id ident.Incarnation) int {
	count := 0
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.running && item.preempt && item.runner == id {
				count++
			}
		}
	}
	return count
}

// shortestObjective returns the shortest objective of the online routes that go to a service, or zero if there is none.
func (w *Worker) shortestObjective(service string) time.Duration {
	catalog := w.Routes.Catalog()
	if catalog == nil {
		return 0
	}
	shortest := time.Duration(0)
	for index := range catalog.Routes {
		route := &catalog.Routes[index]
		if route.Kind == work.Batch || route.Objective <= 0 || !route.Serves(service) {
			continue
		}
		if shortest == 0 || route.Objective < shortest {
			shortest = route.Objective
		}
	}
	return shortest
}

// demandShares lists the work at the runners that this node owns, without the work of the asking node, and the changes of
// their pace since that node was last answered. The caller must hold the mutex.
func (w *Worker) demandShares(node ident.Node, answered, now time.Time) *demand.Answer {
	answer := &demand.Answer{}
	for _, runner := range w.allOwned() {
		if w.orphanRuns.unknown(runner.ID, now) {
			continue
		}
		share := demand.Share{
			Runner:       runner.ID,
			Others:       w.demand.Online(runner.ID, node, now),
			Batch:        w.batchRunsAt(runner.ID, now),
			Unresponsive: w.unresponsive(runner.ID),
			Orphans:      w.orphanRuns.runsAt(runner.ID, now),
		}
		w.Runners.AddPaceUpdate(&share, answered, now)
		w.addTokens(&share, node, now)
		answer.Shares = append(answer.Shares, share)
	}
	return answer
}

// omitIdle leaves the runners without work out of an answer if the node that asked takes this node to own exactly the runners
// that it answers for. owned is the sum of the fingerprints of those. The caller must hold the mutex.
func (w *Worker) omitIdle(answer *demand.Answer, owned uint32) {
	now := w.ownedNow()
	if owned == 0 || owned != now.fingerprint || len(answer.Shares) != len(now.all) {
		return
	}
	answer.Shares = slices.DeleteFunc(answer.Shares, demand.Share.IsIdle)
	if len(answer.Shares) == 0 {
		answer.Shares = nil
	}
	answer.IdleOmitted = true
}
