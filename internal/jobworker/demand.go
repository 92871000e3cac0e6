package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/batchroom"
	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Demand takes over what a node tells of its online work. Items step aside where they and it do not fit. It
// answers what this node knows of the work at the runners it owns.
func (w *Worker) Demand(report *demand.Report) *demand.Answer {
	now := w.Now()
	answered := w.demand.Heard(report.Node)
	changed := w.demand.Take(report, now)
	w.Runners.HearCounts(report.Counts, now)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.loss.heard(report, now)
	if answered.IsZero() {
		w.loss.heardFirst(report, now)
	}
	for _, id := range changed {
		w.noteExcess(id, now)
	}
	for _, count := range report.Counts {
		if count.Suspect {
			w.suspect(count.Runner, now)
		}
	}
	w.loss.note(report, now)
	answer := w.shares(report.Node, answered, now)
	w.rationPlaces(answer.Shares, report.Node, now)
	answer.Shares = append(answer.Shares, w.foreign(report, now)...)
	answer.Batch = w.batch(now)
	answer.Bounds = w.boundsFor(report, now)
	if w.Ends != nil {
		answer.Ends = w.Ends.Book.Since(report.EndsRead, now, true)
	}
	return answer
}

// patienceShare of the objective of the online work is how long its requests may wait for a place that comes free by itself
// before items step aside. Most places come free sooner, and each run that is cut has its prompt read again, which holds up
// all others at its runner; the rest of the objective is for reading the prompt and for the way.
const patienceShare = 0.15

// shortage is a lack of places at a runner that its online work may overcome by itself. The worker's mutex guards it.
type shortage struct {
	// least is the smallest excess of work since the shortage began.
	least int
	// awaited says that the shortage is looked at again when its patience is over.
	awaited bool
}

// noteExcess takes note of the work at a runner: where it does not fit, items step aside unless it fits in a moment. The
// caller holds the mutex.
func (w *Worker) noteExcess(id ident.Incarnation, now time.Time) {
	runner, known := w.Runners.Runner(id)
	if !known {
		return
	}
	short := &w.gaugeOf(id).short
	excess := w.excessAt(runner, now)
	if short.awaited {
		short.least = min(short.least, excess)
		return
	}
	if excess > 0 {
		w.awaitShortage(id, excess, w.patienceAt(runner))
	}
}

// excessAt is how many items at a runner do not fit beside its online work. The caller holds the mutex.
func (w *Worker) excessAt(runner work.Runner, now time.Time) int {
	return batchroom.Excess(runner.Slots, w.batchAt(runner.ID, now), w.demand.Online(runner.ID, "", now))
}

// patienceAt is how long online work at a runner may wait for a place, or zero where no route says.
func (w *Worker) patienceAt(runner work.Runner) time.Duration {
	return time.Duration(patienceShare * float64(w.shortestObjective(runner.Service)))
}

// awaitShortage begins a shortage, which ends when its patience is over. The caller holds the mutex.
func (w *Worker) awaitShortage(id ident.Incarnation, excess int, patience time.Duration) {
	if !w.tomb.Alive() {
		return
	}
	w.gaugeOf(id).short = shortage{least: excess, awaited: true}
	w.tomb.Go(func() error {
		if w.pause(patience) {
			w.endShortage(id)
		}
		return nil
	})
}

// endShortage ends as many runs at a runner as did not fit since the shortage began, and looks for a new one.
func (w *Worker) endShortage(id ident.Incarnation) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.Now()
	w.noteExcess(id, now)
	short := &w.gaugeOf(id).short
	w.yield(id, short.least)
	*short = shortage{}
	w.lookAgain(id, now)
}

// lookAgain begins a new shortage where more work does not fit than the runs that are about to end make room for: nobody tells of
// work that stays as it is. The caller holds the mutex.
func (w *Worker) lookAgain(id ident.Incarnation, now time.Time) {
	runner, known := w.Runners.Runner(id)
	if !known {
		return
	}
	excess, patience := w.excessAt(runner, now), w.patienceAt(runner)
	if excess > w.ending(id) && patience > 0 {
		w.awaitShortage(id, excess, patience)
	}
}

// ending counts the runs at a runner that were cut and have not ended yet. The caller holds the mutex.
func (w *Worker) ending(id ident.Incarnation) int {
	count := 0
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.running && item.cut && item.runner == id {
				count++
			}
		}
	}
	return count
}

// shortestObjective is the shortest objective of the online routes that go to a service, or zero where there is none.
func (w *Worker) shortestObjective(service string) time.Duration {
	catalog := w.Routes.Catalog()
	if catalog == nil {
		return 0
	}
	shortest := time.Duration(0)
	for index := range catalog.Routes {
		route := &catalog.Routes[index]
		if route.Kind == work.Batch || route.Objective <= 0 || !route.GoesTo(service) {
			continue
		}
		if shortest == 0 || route.Objective < shortest {
			shortest = route.Objective
		}
	}
	return shortest
}

// ownedMemory is how long the list of the owned runners is used: reports of online work come some hundred times a second,
// and runners come and go every few seconds.
const ownedMemory = 100 * time.Millisecond

// allOwned returns the runners of all services that this node owns. The caller holds the mutex.
func (w *Worker) allOwned(now time.Time) []work.Runner {
	if age := now.Sub(w.ownedAt); age >= 0 && age < ownedMemory {
		return w.ownedRunners
	}
	w.ownedAt, w.ownedRunners = now, nil
	for _, runner := range w.Runners.All() {
		if w.owns(runner) {
			w.ownedRunners = append(w.ownedRunners, runner)
		}
	}
	return w.ownedRunners
}

// shares lists the work at the runners that this node owns, without that of the node which asks, and the words of their pace since
// that was answered before. The caller holds the mutex.
func (w *Worker) shares(asking ident.Node, answered, now time.Time) *demand.Answer {
	answer := &demand.Answer{}
	for _, runner := range w.allOwned(now) {
		if w.loss.unread(runner.ID, now) {
			continue
		}
		share := demand.Share{
			Runner:  runner.ID,
			Others:  w.demand.Online(runner.ID, asking, now),
			Batch:   w.batchAt(runner.ID, now),
			Silent:  w.silent(runner.ID),
			Orphans: w.loss.at(runner.ID, now),
		}
		w.Runners.PaceNews(&share, answered, now)
		w.fillTokens(&share, asking, now)
		answer.Shares = append(answer.Shares, share)
	}
	return answer
}
