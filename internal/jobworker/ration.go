package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/orphans"
	"mallowlatch.example/mallowlatch/internal/work"
)

// recordWaiting records the requests that wait for slots at a node. Slots are rationed only while orphans are looked for.
func (s *orphanState) recordWaiting(report *demand.Report, now time.Time) {
	if !s.watch.Open(now) {
		s.ration = orphans.Ration{}
		return
	}
	waits := make(map[string]orphans.Wait, len(report.Waiting))
	for _, waiting := range report.Waiting {
		until := now.Add(time.Duration(waiting.LeftMs) * time.Millisecond)
		waits[waiting.Service] = orphans.Wait{OnTime: waiting.OnTime, Late: waiting.Late, Until: until}
	}
	s.ration.RecordReport(report.Node, waits, now)
}

// rationSlots grants a node that has just reported its waiting requests its part of the slots not taken by orphans. The
// caller must hold the mutex.
func (w *Worker) rationSlots(shares []demand.Share, node ident.Node, now time.Time) {
	if !w.orphanRuns.watch.Open(now) {
		return
	}
	slots := make([]orphans.RunnerSlots, 0, len(shares))
	for _, share := range shares {
		if runner, known := w.Runners.Runner(share.Runner); known && !share.Unresponsive {
			free := runner.Slots - w.demand.Online(runner.ID, "", now) - share.Orphans
			slots = append(slots, orphans.RunnerSlots{Runner: runner.ID, Service: runner.Service, Free: free, Items: share.Batch, Orphans: share.Orphans})
		}
	}
	granted := w.orphanRuns.ration.Grant(node, slots, w.demand.Nodes(now), now)
	for position := range shares {
		share := &shares[position]
		given, rationed := granted[share.Runner]
		share.Rationed, share.Granted, share.GrantedLate = rationed, given.Slots, given.Late
	}
}

// watchOrphans reads the runners with orphans more often while nodes wait for their slots, until no orphans are looked
// for.
func (w *Worker) watchOrphans() error {
	for w.pause(orphans.PressedReadInterval) {
		now := w.Now()
		w.mutex.Lock()
		open, pressed := w.orphanRuns.watch.Open(now), w.orphanRuns.ration.Pressed(now)
		var runners []work.Runner
		if pressed {
			w.updateOrphans(now)
			runners = w.nextOrphanPolls(now)
		}
		w.mutex.Unlock()
		if !open {
			return nil
		}
		for _, runner := range runners {
			w.tomb.Go(func() error { w.pollOrphans(runner); return nil })
		}
	}
	return nil
}

// nextOrphanPolls returns the runners with orphans that have no poll in flight, and marks them as being polled. The caller
// must hold the mutex.
func (w *Worker) nextOrphanPolls(now time.Time) []work.Runner {
	if w.orphanRuns.polling == nil {
		w.orphanRuns.polling = map[ident.Incarnation]bool{}
	}
	var runners []work.Runner
	for _, runner := range w.orphanedRunners(now) {
		if !w.orphanRuns.polling[runner.ID] {
			w.orphanRuns.polling[runner.ID] = true
			runners = append(runners, runner)
		}
	}
	return runners
}

// pollOrphans reads a runner's report for its orphans only, and not for its gauge, because preemption depends on how often
// the gauges are read. A failed poll is repeated by the next one.
func (w *Worker) pollOrphans(runner work.Runner) {
	ctx, cancel := w.callContext()
	defer cancel()
	load, err := w.Caller.Report(ctx, runner)
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.orphanRuns.polling, runner.ID)
	if err == nil {
		w.recordOrphanReading(runner.ID, load, now)
	}
}
