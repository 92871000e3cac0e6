package jobworker

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// demandWorker is a worker of zone a with a runner of four places that is full of items, and what became of their runs.
func demandWorker(t *testing.T) (*Worker, []bool) {
	t.Helper()
	now := time.Now()
	runners := runnertable.New("a")
	runners.Replace([]work.Runner{{ID: "r", Service: "s", Zone: "a", Slots: 4}, {ID: "other", Service: "s", Zone: "b", Slots: 4}}, now, true)
	routes := &routetable.Table{}
	routes.Adopt(&work.Catalog{Version: 1, Routes: []work.Route{
		{Name: "batch", Host: "h", PathPrefix: "/b/", Kind: work.Batch, Objective: time.Millisecond, Split: []work.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "slow", Host: "h", PathPrefix: "/l/", Kind: work.Streaming, Objective: time.Hour, Split: []work.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "fast", Host: "h", PathPrefix: "/f/", Kind: work.Streaming, Objective: 2 * time.Second, Split: []work.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "elsewhere", Host: "h", PathPrefix: "/e/", Kind: work.Streaming, Objective: time.Millisecond, Split: []work.WeightedService{{Service: "x", Weight: 1}}},
	}})
	w := &Worker{
		Node: "w-1", Zone: "a", Runners: runners, Routes: routes, Now: time.Now, tomb: new(tomb.Tomb),
		workers:  map[ident.Node]jobrecord.Worker{"w-1": {Node: "w-1", Zone: "a"}, "w-2": {Node: "w-2", Zone: "b"}},
		duration: expectedDuration, gauges: map[ident.Incarnation]*gauged{}, jobs: map[ident.Job]*jobRun{},
	}
	// Without a goroutine of its own the tomb would take no further one after the first ended.
	w.tomb.Go(func() error { <-w.tomb.Dying(); return nil })
	t.Cleanup(func() {
		w.tomb.Kill(nil)
		_ = w.tomb.Wait()
	})
	job := &jobRun{header: &jobrecord.Header{ID: "job", SubmittedMs: now.UnixMilli()}, submitted: now}
	w.jobs["job"] = job
	ended := make([]bool, 4)
	for index := range ended {
		_, err := runners.StartAt("r", runnertable.Wish{Service: "s", Class: runnertable.Batch}, now)
		assert.NilError(t, err)
		job.items = append(job.items, &itemRun{job: job, index: index, running: true, runner: "r", cancel: func() { ended[index] = true }})
	}
	return w, ended
}

func tell(node ident.Node, sequence int64, online int) *demand.Report {
	return &demand.Report{Node: node, Sequence: sequence, Counts: []demand.Count{{Runner: "r", Online: online}}}
}

// shortageEnds waits until the worker has acted on a shortage.
func shortageEnds(t *testing.T, w *Worker) {
	t.Helper()
	for range 2000 {
		w.mutex.Lock()
		awaited := w.gaugeOf("r").short.awaited
		w.mutex.Unlock()
		if !awaited {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the shortage never ended")
}

// patienceOfRig is how long requests wait for a place at the runner of demandWorker, and a moment more.
const patienceOfRig = time.Duration(patienceShare*float64(2*time.Second)) + time.Millisecond

// cutRuns returns which runs were cut by the end of a patience.
func cutRuns(w *Worker, ended []bool) []bool {
	time.Sleep(patienceOfRig)
	synctest.Wait()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(ended)
}

// TestItemsStepAsideForRequestsThatDoNotFit has two fronts tell of online work at a full runner: as many runs end as did
// not fit all the while, the last in order first, and no report of the runner is needed for it. Nothing more is told: what came during
// the first patience has waited all through the second.
func TestItemsStepAsideForRequestsThatDoNotFit(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		w, ended := demandWorker(t)
		answer := w.Demand(tell("front", 1, 2))
		assert.DeepEqual(t, answer.Shares, []demand.Share{{Runner: "r", Others: 0, Batch: 4}})
		answer = w.Demand(tell("second", 1, 1))
		assert.DeepEqual(t, answer.Shares, []demand.Share{{Runner: "r", Others: 2, Batch: 4}})
		assert.DeepEqual(t, cutRuns(w, ended), []bool{false, false, true, true})
		assert.DeepEqual(t, cutRuns(w, ended), []bool{false, true, true, true})
		w.mutex.Lock()
		defer w.mutex.Unlock()
		assert.Assert(t, !w.gaugeOf("r").short.awaited, "nobody looks on once runs make room for all")
		assert.Equal(t, w.room(work.Runner{ID: "r", Slots: 4}, time.Now()), 0, "no place is given out beside what is told")
	})
}

// TestNoRunIsCutForAPlaceThatComesFree has the request that did not fit find a place before its patience is over, twice: the second time
// in the patience that began when the first was over.
func TestNoRunIsCutForAPlaceThatComesFree(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		w, ended := demandWorker(t)
		none := []bool{false, false, false, false}
		w.Demand(tell("front", 1, 1))
		w.Demand(tell("front", 2, 0))
		w.Demand(tell("front", 3, 1))
		assert.DeepEqual(t, cutRuns(w, ended), none)
		w.Demand(tell("front", 4, 0))
		assert.DeepEqual(t, cutRuns(w, ended), none)
		assert.DeepEqual(t, cutRuns(w, ended), none)
	})
}

// TestRequestThatDidNotFindAPlaceInTimeIsNotForgotten has one request end and another one come within a patience, and nothing more be told:
// the one that stays has its place when it has waited for a patience of its own. One that never found a place was left at a runner full
// of items until something changed there.
func TestRequestThatDidNotFindAPlaceInTimeIsNotForgotten(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		w, ended := demandWorker(t)
		w.Demand(tell("front", 1, 1))
		w.Demand(tell("front", 2, 0))
		w.Demand(tell("front", 3, 1))
		assert.DeepEqual(t, cutRuns(w, ended), []bool{false, false, false, false})
		assert.DeepEqual(t, cutRuns(w, ended), []bool{false, false, false, true})
		// One place is enough for one request.
		assert.DeepEqual(t, cutRuns(w, ended), []bool{false, false, false, true})
	})
}

// TestPatienceIsThatOfTheMostUrgentOnlineRoute leaves out batch routes and other services.
func TestPatienceIsThatOfTheMostUrgentOnlineRoute(t *testing.T) {
	w, _ := demandWorker(t)
	assert.Equal(t, w.shortestObjective("s"), 2*time.Second)
	assert.Equal(t, w.shortestObjective("unknown"), time.Duration(0))
}
