package jobworker

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Each zone of the fleets in these tests has the same number of workers and runners.
const (
	fleetWorkersPerZone = 4
	fleetRunnersPerZone = 80
)

// fleetWorker returns a worker of the first zone of a fleet, and the registered workers.
func fleetWorker(t *testing.T, zones int) (*Worker, map[ident.Node]jobrecord.Worker) {
	t.Helper()
	var listed []work.Runner
	workers := map[ident.Node]jobrecord.Worker{}
	for zone := range zones {
		name := ident.Zone(fmt.Sprint("z-", zone))
		for index := range fleetRunnersPerZone {
			listed = append(listed, work.Runner{ID: ident.Incarnation(fmt.Sprint("r-", zone, "-", index)), Service: "s", Version: "v1", Zone: name, Slots: 8})
		}
		for index := range fleetWorkersPerZone {
			node := ident.Node(fmt.Sprint("w-", zone, "-", index))
			workers[node] = jobrecord.Worker{Node: node, Zone: name, Address: string(node)}
		}
	}
	runners := runnertable.New("z-0")
	runners.Replace(listed, time.Now(), true)
	w := &Worker{
		Node: "w-0-0", Zone: "z-0", Runners: runners, Routes: &routetable.Table{}, Now: time.Now, tomb: new(tomb.Tomb),
		Options: DefaultOptions, gauges: map[ident.Incarnation]*runnerGauge{}, jobs: map[ident.Job]*jobRun{},
	}
	w.tomb.Go(func() error { <-w.tomb.Dying(); return nil })
	t.Cleanup(func() {
		w.tomb.Kill(nil)
		_ = w.tomb.Wait()
	})
	w.setWorkers(workers)
	return w, workers
}

// allocatedBytes returns the bytes that a function allocates in the mean of some runs, after a first one.
func allocatedBytes(do func()) uint64 {
	const runs = 20
	do()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		do()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / runs
}

// assertFleetIndependent checks that what a function allocates is the same in a fleet of thirty zones as in one of three.
func assertFleetIndependent(t *testing.T, prepare func(w *Worker, workers map[ident.Node]jobrecord.Worker) func()) {
	t.Helper()
	measure := func(zones int) uint64 {
		w, workers := fleetWorker(t, zones)
		return allocatedBytes(prepare(w, workers))
	}
	small, large := measure(3), measure(30)
	assert.Assert(t, large <= small+small/2+1024, "%d bytes with 3 zones, %d with 30", small, large)
}

// TestReportCostsTheOwnedRunnersOnly has a node without work report to a worker of fleets of two sizes.
func TestReportCostsTheOwnedRunnersOnly(t *testing.T) {
	assertFleetIndependent(t, func(w *Worker, _ map[ident.Node]jobrecord.Worker) func() {
		report := &demand.Report{Node: "front", Incarnation: 1}
		return func() {
			// The list of the owned runners may be cached for a while; its end is part of what reports cost.
			time.Sleep(6 * time.Millisecond)
			report.Sequence++
			w.Demand(report)
		}
	})
}

// TestDispatchCostsTheRunnersInUseOnly runs what each dispatch and borrowing round does, without jobs.
func TestDispatchCostsTheRunnersInUseOnly(t *testing.T) {
	assertFleetIndependent(t, func(w *Worker, _ map[ident.Node]jobrecord.Worker) func() {
		w.lastWanted = map[string]time.Time{"s": time.Now().Add(time.Hour)}
		return func() {
			now := w.Now()
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.updateOrphans(now)
			w.dueBorrowCalls(now)
			w.usableSlots("s", now)
			w.freeSlots("s", now)
			w.pickBorrowedRunner("s", runnerSearch{}, now)
		}
	})
}

// TestMirroringCostsTheJobsOnly looks for output to mirror, with ten jobs that have none.
func TestMirroringCostsTheJobsOnly(t *testing.T) {
	assertFleetIndependent(t, func(w *Worker, _ map[ident.Node]jobrecord.Worker) func() {
		for index := range 10 {
			id := ident.Job(fmt.Sprint("job-", index))
			w.jobs[id] = &jobRun{header: &jobrecord.Header{ID: id}}
		}
		return func() { w.pendingMirrors() }
	})
}

// TestMirrorPeerFollowsTheWorkers has the worker that mirrors a job's output leave.
func TestMirrorPeerFollowsTheWorkers(t *testing.T) {
	w, workers := fleetWorker(t, 2)
	job := &jobRun{header: &jobrecord.Header{ID: "job"}}
	first, found := w.mirrorPeerOf(job)
	assert.Assert(t, found && first.Zone == w.Zone && first.Node != w.Node, "%v", first)
	job.items = []*itemRun{{job: job, mirrored: 3}}
	delete(workers, first.Node)
	w.setWorkers(workers)
	second, found := w.mirrorPeerOf(job)
	assert.Assert(t, found && second.Node != first.Node, "%v", second)
	assert.Equal(t, job.items[0].mirrored, 0)
}

// TestWorkerOfAnotherZoneCostsNoNewOwners has a worker of another zone join and leave, and a node report after each change.
func TestWorkerOfAnotherZoneCostsNoNewOwners(t *testing.T) {
	measure := func(runnersPerZone int) uint64 {
		w, workers := fleetWorker(t, 10)
		var listed []work.Runner
		for zone := range 10 {
			for index := range runnersPerZone {
				listed = append(listed, work.Runner{ID: ident.Incarnation(fmt.Sprint("s-", zone, "-", index)), Service: "s", Version: "v1", Zone: ident.Zone(fmt.Sprint("z-", zone))})
			}
		}
		w.Runners.Replace(listed, time.Now(), true)
		w.Demand(&demand.Report{Node: "front", Incarnation: 1, Sequence: 1})
		return allocatedBytes(func() {
			for _, joined := range []bool{true, false} {
				delete(workers, "new")
				if joined {
					workers["new"] = jobrecord.Worker{Node: "new", Zone: "z-9"}
				}
				w.setWorkers(workers)
				runner, _ := w.Runners.Runner("s-1-1")
				w.ownerOf(runner)
				w.owned("s")
			}
		})
	}
	// What grows is the copy of the runners of the own zone, a tenth of all.
	small, large := measure(20), measure(200)
	assert.Assert(t, large <= small+2*200*512, "%d bytes with 20 runners a zone, %d with 200", small, large)
}
