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

// demandWorker returns a worker of zone a with a runner of four slots that is full of items, and which of their runs were
// cancelled.
func demandWorker(t *testing.T) (*Worker, []bool) {
	t.Helper()
	now := time.Now()
	runners := runnertable.New("a")
	runners.Replace([]work.Runner{{ID: "r", Service: "s", Version: "v1", Zone: "a", Slots: 4}, {ID: "other", Service: "s", Version: "v1", Zone: "b", Slots: 4}}, now, true)
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
		duration: initialRunTime, gauges: map[ident.Incarnation]*runnerGauge{}, jobs: map[ident.Job]*jobRun{},
	}
	// Without a permanent goroutine the tomb would accept no further one after the first ended.
	w.tomb.Go(func() error { <-w.tomb.Dying(); return nil })
	t.Cleanup(func() {
		w.tomb.Kill(nil)
		_ = w.tomb.Wait()
	})
	job := &jobRun{header: &jobrecord.Header{ID: "job", SubmittedMs: now.UnixMilli()}, submitted: now}
	w.jobs["job"] = job
	ended := make([]bool, 4)
	for index := range ended {
		_, err := runners.StartAt("r", runnertable.PickRequest{Service: "s", Class: runnertable.Batch}, now)
		assert.NilError(t, err)
		job.items = append(job.items, &itemRun{job: job, index: index, running: true, runner: "r", cancel: func() { ended[index] = true }})
	}
	return w, ended
}

func demandReport(node ident.Node, sequence int64, online int) *demand.Report {
	return &demand.Report{Node: node, Sequence: sequence, Counts: []demand.Count{{Runner: "r", Online: online}}}
}

// waitShortageEnd waits until the worker has acted on a shortage.
func waitShortageEnd(t *testing.T, w *Worker) {
	t.Helper()
	for range 2000 {
		w.mutex.Lock()
		pending := w.gaugeOf("r").short.pending
		w.mutex.Unlock()
		if !pending {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the shortage did not end")
}

// testPreemptDelay is slightly longer than requests wait for a slot at the runner of demandWorker.
const testPreemptDelay = time.Duration(preemptDelayFraction*float64(2*time.Second)) + time.Millisecond

// preemptedRuns returns which runs were preempted by the end of a preemption delay.
func preemptedRuns(w *Worker, ended []bool) []bool {
	time.Sleep(testPreemptDelay)
	synctest.Wait()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(ended)
}

// TestItemsArePreemptedForRequestsThatDoNotFit has two fronts report online work at a full runner: as many runs are
// preempted as did not fit throughout the delay, last in order first, without a report of the runner. No further report
// arrives: the request that came during the first delay has waited throughout the second.
func TestItemsArePreemptedForRequestsThatDoNotFit(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		w, ended := demandWorker(t)
		answer := w.Demand(demandReport("front", 1, 2))
		assert.DeepEqual(t, answer.Shares, []demand.Share{{Runner: "r", Others: 0, Batch: 4}})
		answer = w.Demand(demandReport("second", 1, 1))
		assert.DeepEqual(t, answer.Shares, []demand.Share{{Runner: "r", Others: 2, Batch: 4}})
		assert.DeepEqual(t, preemptedRuns(w, ended), []bool{false, false, true, true})
		assert.DeepEqual(t, preemptedRuns(w, ended), []bool{false, true, true, true})
		w.mutex.Lock()
		defer w.mutex.Unlock()
		assert.Assert(t, !w.gaugeOf("r").short.pending, "no recheck once the ending runs make space for all")
		assert.Equal(t, w.free(work.Runner{ID: "r", Slots: 4}, time.Now()), 0, "no slot is free beside the reported work")
	})
}

// TestNoRunIsPreemptedWhenASlotComesFree has the request that did not fit find a slot before its delay is over, twice: the
// second time in the delay that started at the end of the first.
func TestNoRunIsPreemptedWhenASlotComesFree(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		w, ended := demandWorker(t)
		none := []bool{false, false, false, false}
		w.Demand(demandReport("front", 1, 1))
		w.Demand(demandReport("front", 2, 0))
		w.Demand(demandReport("front", 3, 1))
		assert.DeepEqual(t, preemptedRuns(w, ended), none)
		w.Demand(demandReport("front", 4, 0))
		assert.DeepEqual(t, preemptedRuns(w, ended), none)
		assert.DeepEqual(t, preemptedRuns(w, ended), none)
	})
}

// TestWaitingRequestGetsASlotAfterItsOwnDelay has one request end and another one arrive within a delay, with no further
// report: the remaining one gets its slot after a full delay. Without the recheck, a request that never found a slot was
// left at a runner full of items until something changed there.
func TestWaitingRequestGetsASlotAfterItsOwnDelay(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		w, ended := demandWorker(t)
		w.Demand(demandReport("front", 1, 1))
		w.Demand(demandReport("front", 2, 0))
		w.Demand(demandReport("front", 3, 1))
		assert.DeepEqual(t, preemptedRuns(w, ended), []bool{false, false, false, false})
		assert.DeepEqual(t, preemptedRuns(w, ended), []bool{false, false, false, true})
		// One slot is enough for one request.
		assert.DeepEqual(t, preemptedRuns(w, ended), []bool{false, false, false, true})
	})
}

// TestShortestObjectiveIgnoresBatchAndOtherServices checks the objective from which the preemption delay is derived.
func TestShortestObjectiveIgnoresBatchAndOtherServices(t *testing.T) {
	w, _ := demandWorker(t)
	assert.Equal(t, w.shortestObjective("s"), 2*time.Second)
	assert.Equal(t, w.shortestObjective("unknown"), time.Duration(0))
}
