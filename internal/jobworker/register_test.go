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

// The tests below guard against a fleet in which no worker owns a runner and accepted jobs are run by nobody. A worker's
// registration was not answered and took effect seconds later, when the worker had already registered again under another
// lease. The entry was then bound to the first lease, which nobody renewed, and expired with it. The worker renewed the
// second lease and considered itself registered. Registration had no condition on the existing entry, and nothing checked
// that the entry was still there. The logs showed batch_load without runners at each of three workers that renewed their
// leases.

// addOn starts a worker on a store, and waits until it is registered.
func (g *group) addOn(node ident.Node, store *kvtest.Paged) {
	g.start(node, store, &fakeCaller{}, nil, oneRunner("i-1"))
	waitUntil(g.t, "the registration", func() bool { return g.isRegistered(node) })
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
		assert.Assert(t, g.isRegistered("n0"), "the worker is no longer registered")
	}
	g.submit("j", 2)
	g.waitWhole("j", 2)
}

// TestWorkerWhoseRegistrationIsGoneRegistersAgain removes the entry of a worker whose lease is alive.
func TestWorkerWhoseRegistrationIsGoneRegistersAgain(t *testing.T) {
	g := newGroup(t)
	g.addOn("n0", kvtest.NewPaged(g.data))
	_, err := kvtest.NewPaged(g.data).Commit(context.Background(), nil, []kv.Write{{Key: "job/live/worker/n0", Delete: true}})
	assert.NilError(t, err)
	waitUntil(t, "the second registration", func() bool { return g.isRegistered("n0") })
	g.submit("j", 2)
	g.waitWhole("j", 2)
}
