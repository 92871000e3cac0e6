package jobworker

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// busyCaller answers reports of runners with orphaned runs, and counts the calls.
type busyCaller struct {
	work.Caller
	mutex sync.Mutex
	busy  map[ident.Incarnation]int
	reads map[ident.Incarnation]int
}

func (c *busyCaller) Report(_ context.Context, runner work.Runner) (work.Load, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reads[runner.ID]++
	return work.Load{Running: c.busy[runner.ID], Slots: runner.Slots}, nil
}

func (c *busyCaller) set(runner ident.Incarnation, busy int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.busy[runner] = busy
}

func (c *busyCaller) reportCount(runner ident.Incarnation) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reads[runner]
}

// startedWorker returns a worker that has just started, again or for the first time, and owns runners a and b of eight
// slots. Runner a is full of runs of nodes that are gone.
func startedWorker(t *testing.T, again bool) (*Worker, *busyCaller) {
	t.Helper()
	runners := runnertable.New("z")
	runners.Replace([]work.Runner{
		{ID: "a", Service: "s", Version: "v1", Zone: "z", Slots: 8}, {ID: "b", Service: "s", Version: "v1", Zone: "z", Slots: 8},
	}, time.Now(), true)
	routes := &routetable.Table{}
	routes.Adopt(&work.Catalog{Version: 1})
	caller := &busyCaller{busy: map[ident.Incarnation]int{"a": 8}, reads: map[ident.Incarnation]int{}}
	store := kvtest.NewPaged(kvtest.NewData(time.Now))
	w := &Worker{
		Node: "w", Zone: "z", Address: "w", Records: &jobrecord.Records{Store: store, ValueBytes: 1 << 20, Retention: time.Minute, Now: time.Now}, Store: store,
		Runners: runners, Routes: routes, Caller: caller, Options: DefaultOptions, Restarted: again, Logger: zerolog.Nop(), Now: time.Now,
	}
	supervisor := new(tomb.Tomb)
	w.Start(supervisor)
	t.Cleanup(func() {
		supervisor.Kill(nil)
		_ = supervisor.Wait()
	})
	return w, caller
}

// demandAnswer returns the shares that a worker sends to a node of a given age with some requests at runner a.
func demandAnswer(w *Worker, node ident.Node, sequence int64, age time.Duration, online int) map[ident.Incarnation]demand.Share {
	shares := map[ident.Incarnation]demand.Share{}
	report := &demand.Report{Node: node, Sequence: sequence, AgeMs: age.Milliseconds(), Counts: []demand.Count{{Runner: "a", Online: online}}}
	for _, share := range w.Demand(report).Shares {
		shares[share.Runner] = share
	}
	return shares
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second, "timed out: %s", what)
	}
}

// TestWorkerReportsOrphansAfterSimultaneousRestart has all nodes start at once, with one runner full of runs of their
// predecessors. The worker has no job and nobody asks it for slots. It reports the orphaned runs as soon as it has read
// the runner, and nothing before; once they are over it reports that and stops reading.
func TestWorkerReportsOrphansAfterSimultaneousRestart(t *testing.T) {
	w, caller := startedWorker(t, true)
	sequence := int64(0)
	next := func() map[ident.Incarnation]demand.Share {
		sequence++
		shares := demandAnswer(w, "f", sequence, 50*time.Millisecond, 0)
		if share, found := shares["a"]; found && caller.reportCount("a") == 0 {
			t.Fatalf("reported %+v for a runner that was not read", share)
		}
		return shares
	}
	eventually(t, "orphaned runs are reported", func() bool { return next()["a"].Orphans == 8 })
	assert.Equal(t, next()["b"].Orphans, 0)
	w.mutex.Lock()
	free := w.free(work.Runner{ID: "b", Service: "s", Version: "v1", Zone: "z", Slots: 8}, w.Now())
	w.mutex.Unlock()
	assert.Assert(t, free <= 4, "items would take the slots of requests not reported yet")
	caller.set("a", 0)
	eventually(t, "the runs are over", func() bool { return next()["a"].Orphans == 0 })
	reads := caller.reportCount("a")
	time.Sleep(3 * DefaultOptions.ReportEvery)
	assert.Assert(t, caller.reportCount("a") <= reads+1, "a runner without orphans is still read")
}

// TestWorkerRestartedAloneReportsNoOrphans has a worker restart while the nodes that send requests are alive, and one that
// starts for the first time: all runs at the runners are accounted for.
func TestWorkerRestartedAloneReportsNoOrphans(t *testing.T) {
	for name, c := range map[string]struct {
		again bool
		age   time.Duration
	}{
		"alone":                           {again: true, age: 20 * time.Second},
		"beside nodes that report no age": {again: true},
		"for the first time":              {age: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w, caller := startedWorker(t, c.again)
			eventually(t, "the runners are known", func() bool { return len(demandAnswer(w, "f", 1, c.age, 0)) == 2 })
			time.Sleep(3 * DefaultOptions.ReportEvery)
			shares := demandAnswer(w, "f", 2, c.age, 0)
			assert.Equal(t, len(shares), 2)
			assert.Equal(t, shares["a"].Orphans, 0)
			reads := caller.reportCount("a")
			time.Sleep(2 * DefaultOptions.ReportEvery)
			assert.Equal(t, caller.reportCount("a"), reads, "a runner is read although there are no orphans")
		})
	}
}

// TestRequestsOfLivingNodesAreNotOrphans has a worker read a full runner before any node reported work. A node that
// restarted with it then reports requests that it sent long before: these are subtracted from the orphans at once, and the
// rest stays.
func TestRequestsOfLivingNodesAreNotOrphans(t *testing.T) {
	w, _ := startedWorker(t, true)
	eventually(t, "the runner is read", func() bool { return demandAnswer(w, "early", 1, 50*time.Millisecond, 0)["a"].Orphans == 8 })
	report := &demand.Report{Node: "late", Sequence: 1, AgeMs: 400, Counts: []demand.Count{{Runner: "a", Online: 6, Old: 5}}}
	for _, share := range w.Demand(report).Shares {
		assert.Assert(t, share.Runner != "a" || share.Orphans == 3, "%+v", share)
	}
	early := demandAnswer(w, "early", 2, 50*time.Millisecond, 0)["a"]
	assert.Equal(t, early.Others, 6)
	assert.Equal(t, early.Orphans, 3)
	// This is subtracted only once: requests that have become old since then were known when the runner was read.
	report.Sequence, report.Counts[0].Old = 2, 6
	w.Demand(report)
	assert.Equal(t, demandAnswer(w, "early", 3, 50*time.Millisecond, 0)["a"].Orphans, 3)
}

// orphanRig is a worker with a clock of the test that looks for orphaned runs at its one runner.
type orphanRig struct {
	*Worker
	start, now time.Time
}

func newOrphanRig() *orphanRig {
	start := time.Now()
	r := &orphanRig{start: start, now: start}
	runners := runnertable.New("z")
	runners.Replace([]work.Runner{{ID: "a", Service: "s", Version: "v1", Zone: "z", Slots: 8}}, start, true)
	r.Worker = &Worker{
		Node: "w", Zone: "z", Runners: runners, Routes: &routetable.Table{}, Logger: zerolog.Nop(), Now: func() time.Time { return r.now },
		tomb: new(tomb.Tomb), gauges: map[ident.Incarnation]*runnerGauge{},
	}
	r.setWorkers(map[ident.Node]jobrecord.Worker{"w": {Node: "w", Zone: "z"}})
	r.orphanRuns.watch.Begin(start)
	return r
}

// at sets the clock to a time after the start.
func (r *orphanRig) at(ms int) { r.now = r.start.Add(time.Duration(ms) * time.Millisecond) }

// round has the worker record the known work, as it does periodically.
func (r *orphanRig) round(ms int) {
	r.at(ms)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.updateOrphans(r.now)
}

// read has the worker read a report of the runner.
func (r *orphanRig) read(ms, running int) {
	r.at(ms)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.recordOrphanReading("a", work.Load{Running: running, Slots: 8}, r.now)
}

func (r *orphanRig) orphanedRuns() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.orphanRuns.runsAt("a", r.now)
}

// TestSlotThatIsIdleForAMomentIsNoOrphan guards against taking an idle slot for the end of an orphaned run, after which the
// slot of the run still there was granted too. A request ends and another node's begins within a few milliseconds, between
// two rounds of the owner, and two reports show the runner in between.
func TestSlotThatIsIdleForAMomentIsNoOrphan(t *testing.T) {
	r := newOrphanRig()
	r.round(0)
	r.read(1, 7)
	r.at(2)
	demandAnswer(r.Worker, "first", 1, 50*time.Millisecond, 1)
	r.round(300)
	r.read(301, 8)
	r.at(303)
	demandAnswer(r.Worker, "first", 2, 350*time.Millisecond, 0)
	r.at(307)
	demandAnswer(r.Worker, "second", 1, 350*time.Millisecond, 1)
	r.round(315)
	r.round(400)
	r.read(403, 7)
	r.read(406, 7)
	assert.Equal(t, r.orphanedRuns(), 7)
}

// TestIdleLentSlotIsNoOrphan guards against the same for slots that are lent: the borrower has an item in one of two, and the
// runner has that item beside its orphaned runs.
func TestIdleLentSlotIsNoOrphan(t *testing.T) {
	r := newOrphanRig()
	r.round(0)
	r.read(1, 5)
	r.at(2)
	r.lent.Renew(&lending.Request{Node: "borrower", Sequence: 1, Held: []lending.Count{{Runner: "a", Slots: 1}}}, r.now)
	r.lent.Lend("borrower", "a", 1)
	for ms := 60; ms <= 600; ms += 60 {
		r.round(ms)
		r.read(ms+1, 6)
	}
	assert.Equal(t, r.orphanedRuns(), 5)
}

// TestEndThatIsReportedLateIsNoOrphan has a request end at the runner while its node has no processor for 300 ms: the node's
// report of the end arrives after two reports of the runner that lack the request.
func TestEndThatIsReportedLateIsNoOrphan(t *testing.T) {
	r := newOrphanRig()
	r.round(0)
	r.read(1, 7)
	r.at(2)
	demandAnswer(r.Worker, "front", 1, 50*time.Millisecond, 1)
	r.round(250)
	r.read(253, 7)
	r.read(270, 7)
	assert.Equal(t, r.orphanedRuns(), 7)
	r.at(300)
	demandAnswer(r.Worker, "front", 2, 350*time.Millisecond, 0)
	r.at(301)
	demandAnswer(r.Worker, "other", 1, 350*time.Millisecond, 1)
	r.read(310, 7)
	r.read(325, 7)
	assert.Equal(t, r.orphanedRuns(), 7)
}
