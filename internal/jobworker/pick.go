package jobworker

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/work"
)

// maxFailureRate is the share of failures above which a runner gets no batch items. A failing runner answers fast and
// would otherwise take one item after another.
const maxFailureRate = 0.4

// pickRunner returns the runner of a service for an item, empty if the item has to wait for one that may go on with its output; found is false
// if no runner has a free slot for it. If none that may go on has had one for originPatience while others have, the item begins anew.
func (w *Worker) pickRunner(service string, item *itemRun, now time.Time) (id ident.Incarnation, found bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	id, found = w.pickAny(service, item, nil, now)
	if !found || item.lastEvent == 0 || w.mayGoOn(item, id) {
		return id, found
	}
	if permitted, found := w.pickAny(service, item, &item.origin, now); found {
		item.waitsForOrigin = time.Time{}
		return permitted, true
	}
	if item.waitsForOrigin.IsZero() {
		item.waitsForOrigin = now
	}
	if now.Sub(item.waitsForOrigin) < originPatience && w.servesOrigin(&item.origin) {
		return "", true
	}
	item.beginAnew()
	return id, true
}

// mayGoOn reports whether a runner may go on with an item's output. The caller must hold the mutex.
func (w *Worker) mayGoOn(item *itemRun, id ident.Incarnation) bool {
	runner, listed := w.Runners.Runner(id)
	return listed && item.origin.Permits(runner)
}

// originPatience is how long an item waits for a slot at a runner that may go on with its output. A run takes a few seconds, so that more
// would cost more than it saves.
const originPatience = time.Second

// servesOrigin reports whether any runner may go on with what began at the origin. The caller must hold the mutex.
func (w *Worker) servesOrigin(origin *work.Origin) bool {
	return slices.ContainsFunc(w.owned(origin.Service), origin.Permits) || slices.ContainsFunc(w.borrowedRunners(origin.Service), origin.Permits)
}

// beginAnew drops the output of an item. The caller must hold the worker's mutex.
func (i *itemRun) beginAnew() {
	i.text.Reset()
	i.lastEvent, i.lastEventRun = 0, progress.RunID{}
	i.restartTransfer()
	i.origin, i.waitsForOrigin = work.Origin{}, time.Time{}
}

// pickAny returns the runner of a service with the most free slots for batch items, among those this node owns or borrows that neither
// fail nor failed the item before, and that may go on with what began at the origin; nil permits all. If all of them failed the item, it
// goes to any that does not fail now. The caller must hold the mutex.
func (w *Worker) pickAny(service string, item *itemRun, origin *work.Origin, now time.Time) (ident.Incarnation, bool) {
	owned := w.owned(service)
	search := runnerSearch{avoid: item.avoid, origin: origin, apart: item.onTrial}
	best, found := w.pickFrom(owned, search, now)
	if !found {
		best, found = w.pickBorrowedRunner(service, search, now)
	}
	if !found && len(item.avoid) > 0 && len(item.avoid) >= len(owned) {
		search.avoid = nil
		return w.pickFrom(owned, search, now)
	}
	return best, found
}

// runnerSearch is what limits the choice of a runner for an item beside free slots.
type runnerSearch struct {
	// avoid holds the runners that failed the item.
	avoid map[ident.Incarnation]bool
	// origin is where the output began that the runner goes on with; nil permits all.
	origin *work.Origin
	// apart means that no other item under which runners crashed may run there.
	apart bool
}

// permits reports whether a search may choose a runner. The caller must hold the mutex.
func (w *Worker) permits(search runnerSearch, runner work.Runner, now time.Time) bool {
	switch {
	case search.avoid[runner.ID], search.origin != nil && !search.origin.Permits(runner):
		return false
	case w.Runners.FailureRate(runner.ID, now) > maxFailureRate:
		return false
	}
	return !search.apart || !w.hasTrial(runner.ID)
}

// pickBorrowedRunner returns the runner with the most free borrowed slots, preferring runners in this zone. The caller
// must hold the mutex.
func (w *Worker) pickBorrowedRunner(service string, search runnerSearch, now time.Time) (ident.Incarnation, bool) {
	var best work.Runner
	bestFree := 0.0
	for _, runner := range w.borrowedRunners(service) {
		if !w.permits(search, runner, now) {
			continue
		}
		free := w.pacedSlots(w.freeBorrowedSlots(runner.ID, now), runner.ID, now)
		isSameZone, bestIsSameZone := runner.Zone == w.Zone, best.Zone == w.Zone
		if free > 0 && (bestFree == 0 || (isSameZone && !bestIsSameZone) || (isSameZone == bestIsSameZone && free > bestFree)) {
			best, bestFree = runner, free
		}
	}
	return best.ID, bestFree > 0
}

// pickFrom returns the given runner with the most free slots for batch items. The caller must hold the mutex.
func (w *Worker) pickFrom(runners []work.Runner, search runnerSearch, now time.Time) (ident.Incarnation, bool) {
	var best ident.Incarnation
	bestFree := 0.0
	if w.spareSlots(runners, now) == 0 {
		return best, false
	}
	for _, runner := range runners {
		if w.unresponsive(runner.ID) || !w.permits(search, runner, now) {
			continue
		}
		if free := w.pacedSlots(w.free(runner, now), runner.ID, now); free > bestFree {
			best, bestFree = runner.ID, free
		}
	}
	return best, bestFree > 0
}

// pacedSlots returns free slots divided by the runner's pace, so that items start first at runners of the usual pace.
func (w *Worker) pacedSlots(slots int, id ident.Incarnation, now time.Time) float64 {
	return float64(slots) / float64(w.Runners.Pace(id, now))
}
