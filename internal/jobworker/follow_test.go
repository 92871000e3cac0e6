package jobworker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/storemeter"
	"mallowlatch.example/mallowlatch/internal/work"
)

// meteredGroup is a group of workers that read the live state through each other, each with a count of its store calls.
type meteredGroup struct {
	*group
	peers  *localMirrors
	meters map[ident.Node]*storemeter.Store
}

func newMeteredGroup(t *testing.T, workers int) *meteredGroup {
	m := &meteredGroup{group: newGroup(t), peers: &localMirrors{workers: map[string]*jobworker.Worker{}}, meters: map[ident.Node]*storemeter.Store{}}
	var runners []work.Runner
	for index := range 4 * workers {
		runners = append(runners, work.Runner{ID: ident.Incarnation(fmt.Sprint("i-", index)), Service: "s", Version: "v1", Address: "a", Zone: "z", Slots: 4})
	}
	for index := range workers {
		node := ident.Node(fmt.Sprintf("w-%02d", index))
		m.stores[node], m.callers[node] = kvtest.NewPaged(m.data), &fakeCaller{}
		m.meters[node] = storemeter.New(m.stores[node])
		m.startOn(node, m.meters[node], m.callers[node], m.peers, runners...)
	}
	return m
}

// liveCalls returns the calls for open jobs that workers made since the last count.
func (m *meteredGroup) liveCalls() map[ident.Node]int {
	calls := map[ident.Node]int{}
	for node, meter := range m.meters {
		counts := meter.Take()
		if made := counts["watch job/live"] + counts["list job/live"]; made > 0 {
			calls[node] = made
		}
	}
	return calls
}

// waitSettled waits until all workers know each other.
func (m *meteredGroup) waitSettled(workers int) {
	m.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		seen := 0
		m.peers.mutex.Lock()
		for _, worker := range m.peers.workers {
			if len(worker.Registered()) == workers {
				seen++
			}
		}
		m.peers.mutex.Unlock()
		if seen == len(m.peers.workers) {
			return
		}
	}
	m.t.Fatal("the workers did not see each other")
}

func (m *meteredGroup) leave(node ident.Node) {
	m.peers.mutex.Lock()
	delete(m.peers.workers, string(node))
	m.peers.mutex.Unlock()
}

// TestOpenJobsAreReadByOneWorkerForAll counts the store calls of twelve workers while jobs are submitted and finished.
func TestOpenJobsAreReadByOneWorkerForAll(t *testing.T) {
	const workers = 12
	m := newMeteredGroup(t, workers)
	m.waitSettled(workers)
	time.Sleep(2 * time.Second)
	m.liveCalls()
	for index := range 6 {
		id := fmt.Sprint("job-", index)
		m.submit(id, 8)
		m.waitWhole(id, 8)
	}
	calls := m.liveCalls()
	assert.Equal(t, len(calls), 1, "one worker reads: %v", calls)
	assert.Assert(t, calls["w-00"] > 0, "the first by name reads: %v", calls)
}

// TestJobsAreRunWhileTheirReaderIsGoneOrCutOff has the worker that reads for the others die, and its successor then lose
// the store while it still answers: the jobs submitted in the meantime are finished.
func TestJobsAreRunWhileTheirReaderIsGoneOrCutOff(t *testing.T) {
	const workers = 4
	m := newMeteredGroup(t, workers)
	m.waitSettled(workers)
	m.leave("w-00")
	m.end("w-00")
	m.submit("gone", 8)
	m.waitWhole("gone", 8)
	m.stores["w-01"].SetFaults(kvtest.PagedFaults{Down: true})
	began := time.Now()
	m.submit("cut", 8)
	m.waitWhole("cut", 8)
	assert.Assert(t, time.Since(began) < 20*time.Second, "after %v", time.Since(began))
	m.stores["w-01"].SetFaults(kvtest.PagedFaults{})
	m.submit("back", 8)
	m.waitWhole("back", 8)
}

// TestWorkersKnowEachOtherBeforeAnOutageRightAfterTheirStart guards against jobs that are refused for a whole outage because
// no worker knows enough others to keep them. The workers start 50 ms after each other, and the store goes away between 0.2
// and 2 s after the last start. Their leases last longer than the test.
func TestWorkersKnowEachOtherBeforeAnOutageRightAfterTheirStart(t *testing.T) {
	const workers = 3
	for after := 200 * time.Millisecond; after <= 2*time.Second; after += 50 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) {
				g, peers := newGroup(t), &localMirrors{workers: map[string]*jobworker.Worker{}}
				for index := range workers {
					node := ident.Node(fmt.Sprint("n", index))
					g.stores[node] = kvtest.NewPaged(g.data)
					g.start(node, g.stores[node], &fakeCaller{}, peers)
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(after - 50*time.Millisecond)
				for _, store := range g.stores {
					store.SetFaults(kvtest.PagedFaults{Down: true})
				}
				time.Sleep(100 * time.Millisecond)
				for address, worker := range peers.workers {
					assert.Check(t, len(worker.Registered()) == workers, "%s knows %d workers", address, len(worker.Registered()))
				}
			})
		})
	}
}
