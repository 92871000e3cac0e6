package jobworker_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
)

// What was seen: after all troubles of a site were over, accepted jobs were run by nobody. No worker owned a runner.
//
// How it came about: a worker's registration was not answered and took effect seconds later, when the worker had already
// registered anew under another lease. The entry then hung on the first lease, which nobody renewed, and went with it. The
// worker renewed the second one and took itself for registered; so did all others.
//
// Cause: a registration had no condition, and nobody looked whether it was still there.
//
// Proof: the lines of the workers (batch_load with no runners at each of three workers that renew their leases), and the tests
// below.

// addOn starts a worker on a store, and waits until it is registered.
func (g *group) addOn(node ident.Node, store *kvtest.Paged) {
	g.start(node, store, &fakeCaller{}, nil, oneRunner("i-1"))
	waitFor(g.t, "the registration", func() bool { return g.isRegistered(node) })
}

func (g *group) isRegistered(node ident.Node) bool {
	workers, err := g.records.Workers(context.Background())
	assert.NilError(g.t, err)
	return slices.ContainsFunc(workers, func(worker jobrecord.Worker) bool { return worker.Node == node })
}

// TestRegistrationThatLandsLateChangesNothing has the first registration take effect after the second.
func TestRegistrationThatLandsLateChangesNothing(t *testing.T) {
	g := newGroup(t)
	store := kvtest.NewPaged(g.data)
	store.SetFaults(kvtest.PagedFaults{DelayNext: 1})
	g.addOn("n0", store)
	store.ApplyDelayed()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, g.isRegistered("n0"), "the worker is not registered any more")
	}
	g.submit("j", 2)
	g.waitWhole("j", 2)
}

// TestWorkerWhoseRegistrationIsGoneRegistersAgain removes the entry of a worker whose lease lives.
func TestWorkerWhoseRegistrationIsGoneRegistersAgain(t *testing.T) {
	g := newGroup(t)
	g.addOn("n0", kvtest.NewPaged(g.data))
	_, err := kvtest.NewPaged(g.data).Commit(context.Background(), nil, []kv.Write{{Key: "job/live/worker/n0", Delete: true}})
	assert.NilError(t, err)
	waitFor(t, "the second registration", func() bool { return g.isRegistered("n0") })
	g.submit("j", 2)
	g.waitWhole("j", 2)
}
