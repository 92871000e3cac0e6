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
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// busyCaller answers the reports of runners that are busy with runs of dead nodes, and counts them.
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

func (c *busyCaller) read(runner ident.Incarnation) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reads[runner]
}

// startedWorker is a worker that has just started, again or for the first time, and owns runners a and b of eight places. Runner a
// is full of runs of nodes that are gone.
func startedWorker(t *testing.T, again bool) (*Worker, *busyCaller) {
	t.Helper()
	runners := runnertable.New("z")
	runners.Replace([]work.Runner{
		{ID: "a", Service: "s", Zone: "z", Slots: 8}, {ID: "b", Service: "s", Zone: "z", Slots: 8},
	}, time.Now(), true)
	routes := &routetable.Table{}
	routes.Adopt(&work.Catalog{Version: 1})
	caller := &busyCaller{busy: map[ident.Incarnation]int{"a": 8}, reads: map[ident.Incarnation]int{}}
	store := kvtest.NewPaged(kvtest.NewData(time.Now))
	w := &Worker{
		Node: "w", Zone: "z", Address: "w", Records: &jobrecord.Records{Store: store, ValueBytes: 1 << 20, Retention: time.Minute, Now: time.Now}, Store: store,
		Runners: runners, Routes: routes, Caller: caller, Options: DefaultOptions, StartsAgain: again, Logger: zerolog.Nop(), Now: time.Now,
	}
	supervisor := new(tomb.Tomb)
	w.Start(supervisor)
	t.Cleanup(func() {
		supervisor.Kill(nil)
		_ = supervisor.Wait()
	})
	return w, caller
}

// told is the answer of a worker to a node that has lived for an age and has some requests at runner a.
func told(w *Worker, node ident.Node, sequence int64, age time.Duration, online int) map[ident.Incarnation]demand.Share {
	shares := map[ident.Incarnation]demand.Share{}
	report := &demand.Report{Node: node, Sequence: sequence, AgeMs: age.Milliseconds(), Counts: []demand.Count{{Runner: "a", Online: online}}}
	for _, share := range w.Demand(report).Shares {
		shares[share.Runner] = share
	}
	return shares
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second, "never: %s", what)
	}
}

// TestWorkerThatStartedWithAllTellsWhatNobodyElseKnows has all nodes start at once, one runner full of runs of their predecessors. The
// worker has no job and nobody asks it for places. It tells of the runs as soon as it has read the runner, and of nothing before;
// once they are over it tells so and reads no more.
func TestWorkerThatStartedWithAllTellsWhatNobodyElseKnows(t *testing.T) {
	w, caller := startedWorker(t, true)
	sequence := int64(0)
	next := func() map[ident.Incarnation]demand.Share {
		sequence++
		shares := told(w, "f", sequence, 50*time.Millisecond, 0)
		if share, found := shares["a"]; found && caller.read("a") == 0 {
			t.Fatalf("told %+v of a runner that was not read", share)
		}
		return shares
	}
	eventually(t, "the runs of dead nodes are told of", func() bool { return next()["a"].Orphans == 8 })
	assert.Equal(t, next()["b"].Orphans, 0)
	w.mutex.Lock()
	room := w.room(work.Runner{ID: "b", Service: "s", Zone: "z", Slots: 8}, w.Now())
	w.mutex.Unlock()
	assert.Assert(t, room <= 4, "items would take the places of requests that nodes did not tell of yet")
	caller.set("a", 0)
	eventually(t, "the runs are over", func() bool { return next()["a"].Orphans == 0 })
	reads := caller.read("a")
	time.Sleep(3 * DefaultOptions.ReportEvery)
	assert.Assert(t, caller.read("a") <= reads+1, "a runner without such runs is read on")
}

// TestWorkerThatStartedAloneTellsNothing has a worker start while the nodes that send requests live, and one that starts for the first
// time: whatever the runners have is somebody's.
func TestWorkerThatStartedAloneTellsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		again bool
		age   time.Duration
	}{
		"alone":                       {again: true, age: 20 * time.Second},
		"beside nodes that tell none": {again: true},
		"for the first time":          {age: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w, caller := startedWorker(t, c.again)
			eventually(t, "the runners are known", func() bool { return len(told(w, "f", 1, c.age, 0)) == 2 })
			time.Sleep(3 * DefaultOptions.ReportEvery)
			shares := told(w, "f", 2, c.age, 0)
			assert.Equal(t, len(shares), 2)
			assert.Equal(t, shares["a"].Orphans, 0)
			reads := caller.read("a")
			time.Sleep(2 * DefaultOptions.ReportEvery)
			assert.Equal(t, caller.read("a"), reads, "a runner is read though nothing was lost")
		})
	}
}

// TestRequestsOfTheLivingAreNoRunsOfTheDead has a worker read a runner that is full before any node told it of work, and then a node, which
// started with it, tell of requests that it sent long before: these are taken out of the runs of dead nodes at once, and the rest stays.
func TestRequestsOfTheLivingAreNoRunsOfTheDead(t *testing.T) {
	w, _ := startedWorker(t, true)
	eventually(t, "the runner is read", func() bool { return told(w, "early", 1, 50*time.Millisecond, 0)["a"].Orphans == 8 })
	report := &demand.Report{Node: "late", Sequence: 1, AgeMs: 400, Counts: []demand.Count{{Runner: "a", Online: 6, Old: 5}}}
	for _, share := range w.Demand(report).Shares {
		assert.Assert(t, share.Runner != "a" || share.Orphans == 3, "%+v", share)
	}
	early := told(w, "early", 2, 50*time.Millisecond, 0)["a"]
	assert.Equal(t, early.Others, 6)
	assert.Equal(t, early.Orphans, 3)
	// It is told once: what grows old since then was known as the runner was read.
	report.Sequence, report.Counts[0].Old = 2, 6
	w.Demand(report)
	assert.Equal(t, told(w, "early", 3, 50*time.Millisecond, 0)["a"].Orphans, 3)
}
