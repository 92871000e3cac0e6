package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/orphans"
	"mallowlatch.example/mallowlatch/internal/work"
)

// note takes in what waits for places at a node. Places are rationed only while orphans are looked for.
func (l *commonLoss) note(report *demand.Report, now time.Time) {
	if !l.watch.Open(now) {
		l.ration = orphans.Ration{}
		return
	}
	waits := make(map[string]orphans.Wait, len(report.Waiting))
	for _, told := range report.Waiting {
		until := now.Add(time.Duration(told.LeftMs) * time.Millisecond)
		waits[told.Service] = orphans.Wait{OnTime: told.OnTime, Late: told.Late, Until: until}
	}
	l.ration.Take(report.Node, waits, now)
}

// rationPlaces grants a node that has just told what waits there its part of the places that orphans leave. The caller holds the mutex.
func (w *Worker) rationPlaces(shares []demand.Share, asking ident.Node, now time.Time) {
	if !w.loss.watch.Open(now) {
		return
	}
	places := make([]orphans.Place, 0, len(shares))
	for _, share := range shares {
		if runner, known := w.Runners.Runner(share.Runner); known && !share.Silent {
			free := runner.Slots - w.demand.Online(runner.ID, "", now) - share.Orphans
			places = append(places, orphans.Place{Runner: runner.ID, Service: runner.Service, Free: free, Items: share.Batch, Orphans: share.Orphans})
		}
	}
	granted := w.loss.ration.Grant(asking, places, w.demand.Nodes(now), now)
	for position := range shares {
		share := &shares[position]
		given, rationed := granted[share.Runner]
		share.Rationed, share.Granted, share.GrantedLate = rationed, given.Places, given.Late
	}
}

// watchOrphans reads the runners that have orphans more often while nodes wait for their places, until none are looked for.
func (w *Worker) watchOrphans() error {
	for w.pause(orphans.PressedReadEvery) {
		now := w.Now()
		w.mutex.Lock()
		open, pressed := w.loss.watch.Open(now), w.loss.ration.Pressed(now)
		var runners []work.Runner
		if pressed {
			w.followOrphans(now)
			runners = w.unreadOrphaned(now)
		}
		w.mutex.Unlock()
		if !open {
			return nil
		}
		for _, runner := range runners {
			w.tomb.Go(func() error { w.readOrphans(runner); return nil })
		}
	}
	return nil
}

// unreadOrphaned returns the runners with orphans of which no reading is on its way, and notes that one is. The caller holds the mutex.
func (w *Worker) unreadOrphaned(now time.Time) []work.Runner {
	if w.loss.reading == nil {
		w.loss.reading = map[ident.Incarnation]bool{}
	}
	var runners []work.Runner
	for _, runner := range w.orphaned(now) {
		if !w.loss.reading[runner.ID] {
			w.loss.reading[runner.ID] = true
			runners = append(runners, runner)
		}
	}
	return runners
}

// readOrphans reads a runner for its orphans alone: how items step aside depends on how often the gauges are read. A reading that fails is
// followed by the next one.
func (w *Worker) readOrphans(runner work.Runner) {
	ctx, cancel := w.call()
	defer cancel()
	load, err := w.Caller.Report(ctx, runner)
	now := w.Now()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.loss.reading, runner.ID)
	if err == nil {
		w.loss.read(runner.ID, load, now)
	}
}
