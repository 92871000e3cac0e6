package jobworker_test

import (
	"context"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/queuecapacity"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// The tests below guard against a worker that is reported as emptied while jobs are on its disk: the operator removes the
// machine with its disk at once. A worker was taken for empty 1.5 s after it was missing from the registered ones, which
// it also is when its lease expired in an outage of the store, when it drains, and while it restarts.

// retirements records which workers were reported as emptied. A worker without a path to the store reports nothing.
type retirements struct {
	work.Registry
	mutex    sync.Mutex
	reported []ident.Node
}

func (r *retirements) emptied() []ident.Node {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]ident.Node{}, r.reported...)
}

// reporter is the registry of one worker, which reports through that worker's path to the store.
type reporter struct {
	work.Registry
	store *kvtest.Paged
	all   *retirements
}

func (r reporter) ReportRetired(ctx context.Context, node ident.Node, _ bool) error {
	if _, err := r.store.Commit(ctx, nil, []kv.Write{{Key: "retired/" + string(node)}}); err != nil {
		return err
	}
	r.all.mutex.Lock()
	defer r.all.mutex.Unlock()
	r.all.reported = append(r.all.reported, node)
	return nil
}

// errUnanswered is the outcome of a call to a worker that is not alive.
const errUnanswered = failure.Kind("test: the worker does not answer")

// liveWorkers has calls answered by the workers that are alive.
type liveWorkers struct {
	mutex sync.Mutex
	alive map[string]bool
}

func (l *liveWorkers) ReportQueueUse(_ context.Context, address string, _ *queuecapacity.Report) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.alive[address] {
		return errUnanswered
	}
	return nil
}

func (l *liveWorkers) end(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.alive, address)
}

// retiringPair is two registered workers, of which n0 is to be retired and has a job on its disk.
type retiringPair struct {
	*group
	log   *handoff.Log
	all   *retirements
	calls *liveWorkers
}

func newRetiringPair(t *testing.T) *retiringPair {
	log, err := handoff.Open(filepath.Join(t.TempDir(), "handoff"), 1<<20)
	assert.NilError(t, err)
	assert.NilError(t, log.Put(&handoff.Entry{Job: "kept", Route: "r"}))
	p := &retiringPair{group: newGroup(t), log: log, all: &retirements{}, calls: &liveWorkers{alive: map[string]bool{"n0": true, "n1": true}}}
	for _, node := range []ident.Node{"n0", "n1"} {
		store := kvtest.NewPaged(p.data)
		p.stores[node] = store
		worker := p.newWorker(node, store, &fakeCaller{})
		worker.Registry, worker.Accounts = reporter{store: store, all: p.all}, p.calls
		if node == "n0" {
			worker.Handoff = log
		}
		worker.Start(p.tombs[node])
		time.Sleep(2 * time.Second)
		worker.Retire(work.Retirement{Node: "n0", Within: 8 * time.Second})
	}
	return p
}

// TestWorkerWithJobsOnItsDiskIsNotReportedAsEmptied cuts the worker off from the store while it drains.
func TestWorkerWithJobsOnItsDiskIsNotReportedAsEmptied(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		p := newRetiringPair(t)
		p.stores["n0"].SetFaults(kvtest.PagedFaults{Down: true})
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(p.all.emptied()), 0, "reported as emptied while a job is on its disk")
		p.stores["n0"].SetFaults(kvtest.PagedFaults{})
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(p.all.emptied()), 0, "reported as emptied while a job is on its disk")
		p.log.Remove("kept")
		time.Sleep(time.Second)
		assert.DeepEqual(t, p.all.emptied(), []ident.Node{"n0"})
	})
}

// TestWorkerIsNotTakenForGoneAsAnOutageEnds has the store come back after an outage in which all leases expired. The
// retiring worker, which the other one cannot reach, hands its job over within four seconds.
func TestWorkerIsNotTakenForGoneAsAnOutageEnds(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		p := newRetiringPair(t)
		p.calls.end("n0")
		for _, store := range p.stores {
			store.SetFaults(kvtest.PagedFaults{Down: true})
		}
		time.Sleep(10 * time.Second)
		for _, store := range p.stores {
			store.SetFaults(kvtest.PagedFaults{})
		}
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(p.all.emptied()), 0, "reported as emptied while a job is on its disk")
		p.log.Remove("kept")
		time.Sleep(time.Second)
		assert.DeepEqual(t, p.all.emptied(), []ident.Node{"n0"})
	})
}

// TestWorkerThatIsGoneIsReportedAsEmptied ends the process of the retiring worker for good.
func TestWorkerThatIsGoneIsReportedAsEmptied(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		p := newRetiringPair(t)
		p.calls.end("n0")
		p.tombs["n0"].Kill(nil)
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(p.all.emptied()), 0, "the process may be restarting")
		time.Sleep(6 * time.Second)
		assert.DeepEqual(t, p.all.emptied(), []ident.Node{"n0"})
	})
}
