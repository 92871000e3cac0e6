package jobworker

import (
	"context"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/batchcapacity"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// reportDelay is the age of a runner's report when it is made; work started since is not in it.
	reportDelay = 100 * time.Millisecond
	// routeMissingGrace is how long an item's route must be missing before the item is given up.
	routeMissingGrace = 5 * time.Second
)

// dispatchLoop runs the dispatch rounds.
func (w *Worker) dispatchLoop() error {
	for w.pause(w.Options.DispatchEvery) {
		now := w.Now()
		w.mutex.Lock()
		waiting := w.waiting(now)
		w.found = batchLoad{waiting: len(waiting), slots: w.batchSlots(now), waitingFor: w.countByService(waiting)}
		w.cancelStalled(now)
		w.accountMemory(now)
		w.claimDueJobs(now)
		w.updateOrphans(now)
		w.logTurns(now)
		limit := w.maxStarts()
		w.mutex.Unlock()
		w.pollReports(now)
		w.dispatch(waiting, limit, now)
		w.releaseIdleJobs(now)
		w.logLoad(now)
	}
	return nil
}

// waiting returns the items to dispatch, in order. The caller must hold the mutex.
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
	ordered := w.inFairOrder(w.byUrgency(waiting, now), now)
	for position, next := range ordered {
		waiting[position] = next.item
	}
	return waiting
}

// countByService counts items by the service that they are dealt to.
func (w *Worker) countByService(items []*itemRun) map[string]int {
	counts := map[string]int{}
	for _, item := range items {
		if service, found := w.serviceOf(item); found {
			counts[service]++
		}
	}
	return counts
}

// cancelStalled cancels runs that produce no more events; another runner resumes them. The caller must hold the mutex.
func (w *Worker) cancelStalled(now time.Time) {
	for _, job := range w.jobs {
		for _, item := range job.items {
			if item.running && now.Sub(item.progressed) > w.Options.StallAfter {
				item.stalled = true
				item.cancel()
			}
		}
	}
}

// dispatch starts the items that a runner has a free slot for, at most limit of them.
func (w *Worker) dispatch(waiting []*itemRun, limit int, now time.Time) {
	if w.Runners.Overdue(w.Now()) {
		return
	}
	full := map[string]bool{}
	for _, item := range waiting {
		if limit <= 0 {
			return
		}
		route := w.routeOf(item, now)
		if route == nil {
			continue
		}
		service := dealt(route, item)
		if full[service] || w.holdsBack(item, service, now) {
			continue
		}
		id, found := w.pickRunner(service, item, now)
		if !found {
			full[service] = len(item.avoid) == 0 && !item.onTrial
			continue
		}
		if id != "" && w.start(item, service, route, id, now) {
			limit--
		}
	}
}

// routeOf returns the route of an item in the configuration in force, or nil if it has none. An item whose route is
// permanently gone is given up.
func (w *Worker) routeOf(item *itemRun, now time.Time) *work.Route {
	route, known := w.routeInForce(item)
	if !known {
		return nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if route != nil {
		item.routeGone = time.Time{}
		if route.Retention > 0 && now.After(item.job.submitted.Add(route.Retention)) {
			w.giveUp(item, "retention has expired")
			return nil
		}
		return route
	}
	if item.routeGone.IsZero() {
		item.routeGone = now
	}
	if now.Sub(item.routeGone) > routeMissingGrace {
		w.giveUp(item, "route no longer exists")
	}
	return nil
}

// ownedSlots returns how many items the owned runners could run now beside their online work. The caller must hold the
// mutex.
func (w *Worker) ownedSlots(now time.Time) int {
	ownedSlots := 0
	for _, service := range w.servicesInUse() {
		ownedSlots += w.serviceSlots(service, now)
	}
	return ownedSlots
}

// serviceSlots returns how many items the owned runners of a service could run now. The caller must hold the mutex.
func (w *Worker) serviceSlots(service string, now time.Time) int {
	owned := w.owned(service)
	slots := w.spareSlots(owned, now)
	for _, runner := range owned {
		slots += w.Runners.Own(runner.ID, runnertable.Batch)
	}
	return slots
}

// spareSlots returns how many more items the owned runners of a service may take together, beside the slots kept free for
// online work. The caller must hold the mutex.
func (w *Worker) spareSlots(owned []work.Runner, now time.Time) int {
	slots, free, expected := 0, 0, false
	for _, runner := range owned {
		if w.unresponsive(runner.ID) {
			continue
		}
		free += w.free(runner, now)
		gauge := &w.gaugeOf(runner.ID).gauge
		if !gauge.Stale(now) {
			// A runner without a known load already keeps all slots but one free.
			slots += runner.Slots
		}
		expected = expected || gauge.ExpectsOnline(now)
	}
	if expected && w.demand.Any(now) {
		free -= batchcapacity.OwnerReserve(slots)
	}
	return max(free, 0)
}

// free returns how many more items a single runner could take. The caller must hold the mutex.
func (w *Worker) free(runner work.Runner, now time.Time) int {
	reported := batchcapacity.ReportedWork{
		Online: w.onlineAt(runner.ID, now), Reported: w.demand.Any(now), Orphans: w.orphanRuns.runsAt(runner.ID, now),
	}
	return w.orphanRuns.limitFree(runner.ID, w.gaugeOf(runner.ID).gauge.FreeSlots(runner.Slots, w.batchRunsAt(runner.ID, now), reported, now), now)
}

// onlineAt returns the online work that nodes report at a runner, and records in its gauge whether there is any. The caller must hold the
// mutex.
func (w *Worker) onlineAt(id ident.Incarnation, now time.Time) int {
	online := w.demand.Online(id, "", now)
	if online > 0 {
		w.gaugeOf(id).gauge.ObserveOnline(now)
	}
	return online
}

// gaugeOf returns the gauge of a runner, creating it if necessary. The caller must hold the mutex.
func (w *Worker) gaugeOf(id ident.Incarnation) *runnerGauge {
	gauge := w.gauges[id]
	if gauge == nil {
		gauge = &runnerGauge{}
		w.gauges[id] = gauge
	}
	return gauge
}

// pollReports reads the reports of the runners that this node owns or still has items at, so that online work is seen and
// batch work is preempted for it.
func (w *Worker) pollReports(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	services := w.polledServices(now)
	for _, service := range services {
		for _, runner := range w.owned(service) {
			w.pollIfDue(runner, w.Options.ReportEvery, now)
		}
	}
	for _, runner := range w.unlentRunners(services, now) {
		w.pollIfDue(runner, w.Options.ReportEvery, now)
	}
	for _, runner := range w.orphanedRunners(now) {
		w.pollIfDue(runner, w.orphanRuns.watch.ReadInterval(w.Options.ReportEvery, now), now)
	}
}

// pollIfDue reads the report of a runner unless it was read within the interval. The caller must hold the mutex.
func (w *Worker) pollIfDue(runner work.Runner, every time.Duration, now time.Time) {
	gauge := w.gaugeOf(runner.ID)
	if now.Sub(gauge.polled) < every {
		return
	}
	gauge.polled = now
	w.tomb.Go(func() error { w.pollReport(runner); return nil })
}

// unlentRunners returns the ready runners of other owners where this node has items without a slot lent by the owner. The
// caller must hold the mutex.
func (w *Worker) unlentRunners(services []string, now time.Time) []work.Runner {
	var runners []work.Runner
	for _, runner := range w.Runners.InFlight(runnertable.Batch, now) {
		if runner.State == work.Ready && slices.Contains(services, runner.Service) && !w.owns(runner) && w.borrowedSlots(runner.ID, now) == 0 {
			runners = append(runners, runner)
		}
	}
	return runners
}

// servicesInUse returns the services of this node's items. The caller must hold the mutex.
func (w *Worker) servicesInUse() []string {
	var services []string
	for _, job := range w.jobs {
		route, _ := w.routeInForce(job.items[0])
		if route == nil {
			continue
		}
		for _, part := range route.Split {
			services = appendNew(services, part.Service)
		}
	}
	return services
}

// appendNew appends a service unless it is already present.
func appendNew(services []string, service string) []string {
	if slices.Contains(services, service) {
		return services
	}
	return append(services, service)
}

func (w *Worker) pollReport(runner work.Runner) {
	ctx, cancel := w.callContext()
	defer cancel()
	load, err := w.Caller.Report(ctx, runner)
	if err != nil {
		return
	}
	w.Runners.SetMemory(runner.ID, load.Memory)
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.recordOrphanReading(runner.ID, load, now)
	gauge := &w.gaugeOf(runner.ID).gauge
	_, lent := w.lent.LentAt(runner.ID, now)
	gauge.Observe(load, w.reportedOwnRuns(runner.ID, now)+lent, w.demand.Online(runner.ID, "", now), now)
	w.reclaimSlots(runner.ID, gauge.Preemptions(w.batchRunsAt(runner.ID, now)))
}

// reportedOwnRuns counts this node's items at a runner that the runner's report can include. The caller must hold the
// mutex.
func (w *Worker) reportedOwnRuns(id ident.Incarnation, now time.Time) int {
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

// preempt cancels runs of this node at a runner, last in order first. They resume later after their last event. The caller
// must hold the mutex.
func (w *Worker) preempt(id ident.Incarnation, count int) {
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
	ordered := w.byUrgency(running, w.Now())
	slices.Reverse(ordered)
	for _, next := range ordered[:min(count, len(ordered))] {
		next.item.preempt = true
		next.item.cancel()
	}
}

// start runs an item at a runner and reports whether it was started.
func (w *Worker) start(item *itemRun, service string, route *work.Route, id ident.Incarnation, now time.Time) bool {
	request := runnertable.PickRequest{Service: service, Class: runnertable.Batch, Tokens: item.item.Tokens, Bytes: len(item.body)}
	flight, err := w.Runners.StartAt(id, request, now)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.mutex.Lock()
	changedVersion := item.lastEvent > 0 && !item.origin.Permits(flight.Runner)
	if item.job.dropped || item.finished || item.running || changedVersion {
		w.mutex.Unlock()
		cancel()
		flight.End()
		return false
	}
	item.running, item.preempt, item.stalled, item.cancel, item.runner = true, false, false, cancel, id
	item.started, item.progressed = now, now
	item.job.running++
	w.recordAccounted(id, now)
	w.mutex.Unlock()
	w.tomb.Go(func() error {
		defer cancel()
		w.run(ctx, item, route, flight)
		return nil
	})
	return true
}
