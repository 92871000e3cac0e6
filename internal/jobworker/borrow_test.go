package jobworker_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

func (m *localMirrors) Borrow(_ context.Context, address string, request *lending.Request) (*lending.Reply, error) {
	worker, err := m.at(address)
	if err != nil {
		return nil, err
	}
	return worker.Lend(request), nil
}

func (m *localMirrors) Recall(_ context.Context, address string, recall lending.Recall) error {
	worker, err := m.at(address)
	if err != nil {
		return err
	}
	worker.ApplyRecall(recall)
	return nil
}

// lendingGroup is a group of workers that lend slots to each other, at runners that all of them know.
type lendingGroup struct {
	*group
	peers   *localMirrors
	runners []work.Runner
}

func newLendingGroup(t *testing.T, runners ...work.Runner) *lendingGroup {
	return &lendingGroup{group: newGroup(t), peers: &localMirrors{workers: map[string]*jobworker.Worker{}}, runners: runners}
}

// add starts a worker whose items block at their runners until its caller is unblocked.
func (g *lendingGroup) add(node ident.Node) {
	store := kvtest.NewPaged(g.data)
	table := runnertable.New("z")
	table.Replace(g.runners, time.Now(), true)
	caller := &fakeCaller{held: true}
	options := jobworker.DefaultOptions
	options.LeaseTTL = time.Second
	options.StallAfter = time.Minute
	worker := &jobworker.Worker{
		Node: node, Zone: "z", Address: string(node), Records: g.recordsOf(store), Store: store, Runners: table, Routes: g.routes,
		Caller: caller, Options: options, Logger: zerolog.Nop(), Now: time.Now, Mirrors: g.peers, Lenders: g.peers, Readers: g.peers,
	}
	g.peers.mutex.Lock()
	g.peers.workers[string(node)] = worker
	g.peers.mutex.Unlock()
	g.callers[node], g.tables[node], g.tombs[node] = caller, table, new(tomb.Tomb)
	worker.Start(g.tombs[node])
	g.t.Cleanup(func() {
		g.tombs[node].Kill(nil)
		_ = g.tombs[node].Wait()
	})
}

// end stops a worker without a drain.
func (g *lendingGroup) end(node ident.Node) {
	g.peers.mutex.Lock()
	delete(g.peers.workers, string(node))
	g.peers.mutex.Unlock()
	g.tombs[node].Kill(nil)
	_ = g.tombs[node].Wait()
}

// waitRunningEverywhere waits until a worker has items at every runner, and reports whether it did.
func (g *lendingGroup) waitRunningEverywhere(node ident.Node) bool {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		used := 0
		for _, runner := range g.runners {
			if g.tables[node].Own(runner.ID, runnertable.Batch) > 0 {
				used++
			}
		}
		if used == len(g.runners) {
			return true
		}
	}
	return false
}

// waitSettled waits until the workers have seen each other.
func (g *lendingGroup) waitSettled(workers int) {
	g.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		seen := 0
		g.peers.mutex.Lock()
		for _, worker := range g.peers.workers {
			if len(worker.Registered()) == workers {
				seen++
			}
		}
		g.peers.mutex.Unlock()
		if seen == workers {
			return
		}
	}
	g.t.Fatal("the workers did not see each other")
}

func (g *lendingGroup) holder(id string) ident.Node {
	g.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		live, err := g.records.ReadLive(context.Background())
		assert.NilError(g.t, err)
		if holder, claimed := live.Claimed[ident.Job(id)]; claimed {
			return holder
		}
	}
	g.t.Fatalf("job %s was not claimed", id)
	return ""
}

func (g *lendingGroup) unblock() {
	for _, caller := range g.callers {
		caller.hold(false)
	}
}

var lendingRunners = []work.Runner{oneRunner("i-1"), oneRunner("i-2"), oneRunner("i-3"), oneRunner("i-4"), oneRunner("i-5"), oneRunner("i-6")}

// TestJobCompletesWhenLendersStop stops the owners of the runners at which items of a job run: the runs continue and the
// job completes.
func TestJobCompletesWhenLendersStop(t *testing.T) {
	g := newLendingGroup(t, lendingRunners...)
	for _, node := range []ident.Node{"n0", "n1", "n2"} {
		g.add(node)
	}
	g.waitSettled(3)
	g.submit("j", 60)
	holder := g.holder("j")
	assert.Assert(t, g.waitRunningEverywhere(holder), "the job did not run at every runner")
	for _, node := range []ident.Node{"n0", "n1", "n2"} {
		if node != holder {
			g.end(node)
		}
	}
	g.unblock()
	g.waitWhole("j", 60)
}

// TestJobCompletesWhenBorrowerStops stops the worker that runs a job at every runner: another one takes the job over and
// is lent the slots of the stopped worker.
func TestJobCompletesWhenBorrowerStops(t *testing.T) {
	g := newLendingGroup(t, lendingRunners...)
	for _, node := range []ident.Node{"n0", "n1", "n2"} {
		g.add(node)
	}
	g.waitSettled(3)
	g.submit("j", 60)
	holder := g.holder("j")
	assert.Assert(t, g.waitRunningEverywhere(holder), "the job did not run at every runner")
	g.end(holder)
	var next ident.Node
	for end := time.Now().Add(30 * time.Second); (next == "" || next == holder) && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		next = g.holder("j")
	}
	assert.Assert(t, next != holder)
	assert.Assert(t, g.waitRunningEverywhere(next), "the slots of the stopped borrower were lost")
	g.unblock()
	g.waitWhole("j", 60)
}
