package jobworker

import (
	"context"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/batchroom"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// reportDelay is how old a runner's report is when it is made: work started since is not in it.
	reportDelay = 100 * time.Millisecond
	// routeMissing is how long an item's route must be gone before the item is given up.
	routeMissing = 5 * time.Second
)

// dispatchLoop gives out items round by round.
func (w *Worker) dispatchLoop() error {
	for w.pause(w.Options.DispatchEvery) {
		now := w.Now()
		w.mutex.Lock()
		waiting := w.waiting(now)
		w.found = batchLoad{waiting: len(waiting), places: w.batchPlaces(now)}
		w.endStalled(now)
		w.countMemory(now)
		w.claimDue(now)
		w.followOrphans(now)
		w.logTurns(now)
		most := w.mayBegin()
		w.mutex.Unlock()
		w.askReports(now)
		w.give(waiting, most, now)
		w.releaseResting(now)
		w.logLoad(now)
	}
	return nil
}

// waiting returns the items to be given out, in their order. The caller holds the mutex.
func (w *Worker) waiting(now time.Time) []*itemRun {
	var waiting []*itemRun
	if w.draining {
		return nil
	}
	for _, job := range w.jobs {
		for _, item := range job.items {
			if !item.finished && !item.running && !now.Before(item.notBefore) {
				waiting = append(waiting, item)
			}
		}
	}
	ordered := w.inTurn(w.prospects(waiting, now), now)
	for position, prospect := range ordered {
		waiting[position] = prospect.item
	}
	return waiting
}

// endStalled ends runs that show no event any more; another runner goes on with them. The caller holds the mutex.
func (w *Worker) endStalled(now time.Time) {
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.running && now.Sub(item.progressed) > w.Options.StallAfter {
				item.cancel()
			}
		}
	}
}

// give starts the items that a runner has room for, at most a number of them.
func (w *Worker) give(waiting []*itemRun, most int, now time.Time) {
	full := map[string]bool{}
	for _, item := range waiting {
		if most <= 0 {
			return
		}
		route := w.routeOf(item, now)
		if route == nil || w.holdsBack(item, now) {
			continue
		}
		service := route.Split[item.index%len(route.Split)].Service
		if full[service] {
			continue
		}
		id, found := w.roomiest(service, item, now)
		if !found {
			full[service] = len(item.avoid) == 0
			continue
		}
		if w.start(item, service, route, id, now) {
			most--
		}
	}
}

// routeOf returns the route of an item in the configuration in force, or nil while it has none. An item whose route is
// gone for good is given up.
func (w *Worker) routeOf(item *itemRun, now time.Time) *work.Route {
	route, known := w.Routes.Match(item.job.header.Host, item.item.Path)
	if !known {
		return nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if route != nil && route.Kind == work.Batch {
		item.routeGone = time.Time{}
		if route.Retention > 0 && now.After(item.job.submitted.Add(route.Retention)) {
			w.giveUp(item, "its retention is over")
			return nil
		}
		return route
	}
	if item.routeGone.IsZero() {
		item.routeGone = now
	}
	if now.Sub(item.routeGone) > routeMissing {
		w.giveUp(item, "its route is gone")
	}
	return nil
}

// failingRate is the share of failures from which on a runner gets no batch items while it fails: it would answer fast
// and so take one item after another.
const failingRate = 0.4

// roomiest returns the runner of a service with the most room for batch items, among those this node owns that neither
// fail nor failed the item before. Where all it owns did, the item goes to any that does not fail now.
func (w *Worker) roomiest(service string, item *itemRun, now time.Time) (ident.Incarnation, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	owned := w.owned(service)
	best, found := w.roomiestOf(owned, item.avoid, now)
	if !found {
		best, found = w.roomiestBorrowed(service, item.avoid, now)
	}
	if !found && len(item.avoid) > 0 && len(item.avoid) >= len(owned) {
		return w.roomiestOf(owned, nil, now)
	}
	return best, found
}

// roomiestBorrowed returns the runner with the most borrowed places that are free, one of this zone where there is any.
// The caller holds the mutex.
func (w *Worker) roomiestBorrowed(service string, avoid map[ident.Incarnation]bool, now time.Time) (ident.Incarnation, bool) {
	var best work.Runner
	bestRoom := 0.0
	for _, runner := range w.Runners.Of(service) {
		if w.owns(runner) || avoid[runner.ID] || w.Runners.FailureRate(runner.ID, now) > failingRate {
			continue
		}
		room := w.paced(w.borrowedRoom(runner.ID, now), runner.ID, now)
		isNear, bestIsNear := runner.Zone == w.Zone, best.Zone == w.Zone
		if room > 0 && (bestRoom == 0 || (isNear && !bestIsNear) || (isNear == bestIsNear && room > bestRoom)) {
			best, bestRoom = runner, room
		}
	}
	return best.ID, bestRoom > 0
}

// roomiestOf returns the runner with the most room for batch items among some. The caller holds the mutex.
func (w *Worker) roomiestOf(runners []work.Runner, avoid map[ident.Incarnation]bool, now time.Time) (ident.Incarnation, bool) {
	var best ident.Incarnation
	bestRoom := 0.0
	if w.spare(runners, now) == 0 {
		return best, false
	}
	for _, runner := range runners {
		if avoid[runner.ID] || w.silent(runner.ID) || w.Runners.FailureRate(runner.ID, now) > failingRate {
			continue
		}
		if room := w.paced(w.room(runner, now), runner.ID, now); room > bestRoom {
			best, bestRoom = runner.ID, room
		}
	}
	return best, bestRoom > 0
}

// paced is the room at a runner, less by its pace: items are begun at runners of the usual pace first.
func (w *Worker) paced(room int, id ident.Incarnation, now time.Time) float64 {
	return float64(room) / float64(w.Runners.Pace(id, now))
}

// owned returns the runners of a service that this node gives batch items to. The caller holds the mutex.
func (w *Worker) owned(service string) []work.Runner {
	var owned []work.Runner
	for _, runner := range w.Runners.Of(service) {
		if w.owns(runner) {
			owned = append(owned, runner)
		}
	}
	return owned
}

// places returns how many items the owned runners could run now, beside their online work. The caller holds the mutex.
func (w *Worker) places(now time.Time) int {
	places := 0
	for _, service := range w.servicesInUse() {
		places += w.placesOf(service, now)
	}
	return places
}

// placesOf returns how many items the owned runners of a service could run now. The caller holds the mutex.
func (w *Worker) placesOf(service string, now time.Time) int {
	owned := w.owned(service)
	places := w.spare(owned, now)
	for _, runner := range owned {
		places += w.Runners.Own(runner.ID, runnertable.Batch)
	}
	return places
}

// spare returns how many items more the owned runners of a service may take together, beside the places that are kept free
// for online work. The caller holds the mutex.
func (w *Worker) spare(owned []work.Runner, now time.Time) int {
	slots, room := 0, 0
	for _, runner := range owned {
		if w.silent(runner.ID) {
			continue
		}
		room += w.room(runner, now)
		if !w.gaugeOf(runner.ID).gauge.Blind(now) {
			// One of which nothing is known keeps all places but one free anyway.
			slots += runner.Slots
		}
	}
	if w.demand.Any(now) {
		room -= batchroom.Kept(slots)
	}
	return max(room, 0)
}

// room returns how many items more a runner by itself could take. The caller holds the mutex.
func (w *Worker) room(runner work.Runner, now time.Time) int {
	told := batchroom.Told{
		Online: w.demand.Online(runner.ID, "", now), Any: w.demand.Any(now), Orphans: w.loss.at(runner.ID, now),
	}
	return w.loss.roomFor(runner.ID, w.gaugeOf(runner.ID).gauge.Room(runner.Slots, w.batchAt(runner.ID, now), told, now), now)
}

// gaugeOf returns the gauge of a runner. The caller holds the mutex.
func (w *Worker) gaugeOf(id ident.Incarnation) *gauged {
	known := w.gauges[id]
	if known == nil {
		known = &gauged{}
		w.gauges[id] = known
	}
	return known
}

// askReports reads the reports of the runners that this node owns or still has items at, so that online work is seen
// and batch steps aside.
func (w *Worker) askReports(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, service := range w.watched(now) {
		for _, runner := range w.Runners.Of(service) {
			if w.watches(runner, now) {
				w.askDue(runner, w.Options.ReportEvery, now)
			}
		}
	}
	for _, runner := range w.orphaned(now) {
		w.askDue(runner, w.loss.watch.ReadEvery(w.Options.ReportEvery, now), now)
	}
}

// askDue reads the report of a runner unless it was asked for less than a time ago. The caller holds the mutex.
func (w *Worker) askDue(runner work.Runner, every time.Duration, now time.Time) {
	gauge := w.gaugeOf(runner.ID)
	if now.Sub(gauge.asked) < every {
		return
	}
	gauge.asked = now
	w.tomb.Go(func() error { w.askReport(runner); return nil })
}

// watches says whether this node reads the reports of a runner: it owns it, or has items there that no owner has lent a
// place to. The caller holds the mutex.
func (w *Worker) watches(runner work.Runner, now time.Time) bool {
	return w.owns(runner) || (w.Runners.Own(runner.ID, runnertable.Batch) > 0 && w.borrowedAt(runner.ID, now) == 0)
}

// servicesInUse returns the services of the items this node has. The caller holds the mutex.
func (w *Worker) servicesInUse() []string {
	var services []string
	for _, job := range w.jobs {
		route, _ := w.Routes.Match(job.header.Host, job.items[0].item.Path)
		if route == nil {
			continue
		}
		for _, part := range route.Split {
			services = appendNew(services, part.Service)
		}
	}
	return services
}

// appendNew appends a service that is not there yet.
func appendNew(services []string, service string) []string {
	if slices.Contains(services, service) {
		return services
	}
	return append(services, service)
}

func (w *Worker) askReport(runner work.Runner) {
	ctx, cancel := w.call()
	defer cancel()
	load, err := w.Caller.Report(ctx, runner)
	if err != nil {
		return
	}
	w.Runners.NoteMemory(runner.ID, load.Memory)
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.loss.read(runner.ID, load, now)
	gauge := &w.gaugeOf(runner.ID).gauge
	_, lent := w.lent.At(runner.ID, now)
	gauge.Observe(load, w.ownReported(runner.ID, now)+lent, w.demand.Online(runner.ID, "", now), now)
	w.yield(runner.ID, gauge.Yield(w.batchAt(runner.ID, now)))
}

// ownReported counts the own items at a runner that its report can know of. The caller holds the mutex.
func (w *Worker) ownReported(id ident.Incarnation, now time.Time) int {
	count := 0
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.running && item.runner == id && now.Sub(item.started) > reportDelay {
				count++
			}
		}
	}
	return count
}

// cut ends runs of this node at a runner, the last in order first; they go on later after their last event. The caller
// holds the mutex.
func (w *Worker) cut(id ident.Incarnation, count int) {
	if count <= 0 {
		return
	}
	var running []*itemRun
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.running && item.runner == id {
				running = append(running, item)
			}
		}
	}
	ordered := w.prospects(running, w.Now())
	slices.Reverse(ordered)
	for _, prospect := range ordered[:min(count, len(ordered))] {
		prospect.item.cut = true
		prospect.item.cancel()
	}
}

// start runs an item at a runner, and says whether it does.
func (w *Worker) start(item *itemRun, service string, route *work.Route, id ident.Incarnation, now time.Time) bool {
	wish := runnertable.Wish{Service: service, Class: runnertable.Batch, Tokens: item.item.Tokens, Bytes: len(item.body)}
	flight, err := w.Runners.StartAt(id, wish, now)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.mutex.Lock()
	if item.job.dropped || item.finished || item.running {
		w.mutex.Unlock()
		cancel()
		flight.End()
		return false
	}
	item.running, item.cut, item.cancel, item.runner = true, false, cancel, id
	item.started, item.progressed = now, now
	item.job.running++
	w.mutex.Unlock()
	w.tomb.Go(func() error {
		defer cancel()
		w.run(ctx, item, route, flight)
		return nil
	})
	return true
}
