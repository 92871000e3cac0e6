package online_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/simulated"
)

// rationedSite returns a forwarder with a runner whose owner rations its slots and has granted none. The function is called
// when the owner is asked for slots.
func rationedSite(caller *busyCaller, asked func(*online.Forwarder)) *online.Forwarder {
	forwarder := busySite(caller)
	forwarder.RequestSlots = func() { asked(forwarder) }
	grant(forwarder, 0)
	return forwarder
}

// grant applies an owner's answer to a query sent now.
func grant(forwarder *online.Forwarder, slots int) {
	forwarder.Runners.UpdateShares([]demand.Share{{Runner: "1", Orphans: 1, Rationed: true, Granted: slots}}, time.Now())
	forwarder.SlotsGranted()
}

// TestRequestWaitsForAGrantAndUsesItAtOnce has two requests arrive while no slot is granted. They must be reported as waiting
// and on time; when the owner grants a slot 3 ms later one must be sent at once, before the next periodic check, and the other
// at the next grant.
func TestRequestWaitsForAGrantAndUsesItAtOnce(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Millisecond}
		asked := 0
		forwarder := rationedSite(caller, func(*online.Forwarder) { asked++ })
		var done sync.WaitGroup
		done.Go(func() {
			for _, got := range serveAll(t.Context(), forwarder, 2) {
				assert.NilError(t, got.err)
			}
		})
		synctest.Wait()
		assert.Assert(t, asked > 0, "the owner is not asked")
		waiting := forwarder.WaitingReport()
		assert.Equal(t, len(waiting), 1)
		assert.Equal(t, waiting[0].Service, "s")
		assert.Equal(t, waiting[0].OnTime, 2)
		assert.Equal(t, waiting[0].Late, 0)
		assert.Assert(t, waiting[0].LeftMs > 0)
		for sent := 1; sent <= 2; sent++ {
			time.Sleep(3 * time.Millisecond)
			grant(forwarder, 1)
			synctest.Wait()
			assert.Equal(t, caller.sent, sent)
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, caller.sent, sent, "a slot was used that was not granted")
		}
		done.Wait()
		assert.Equal(t, len(forwarder.WaitingReport()), 0)
	})
}

// TestOwnersAreNotAskedForUnrationedSlots sends more requests than there are slots where owners ration nothing.
func TestOwnersAreNotAskedForUnrationedSlots(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		forwarder := busySite(&busyCaller{takes: 20 * time.Millisecond})
		forwarder.RequestSlots = func() { t.Error("asked") }
		serveAll(t.Context(), forwarder, 3*slots)
	})
}

// TestCallerThatLeavesWaitsForNoGrant has the only caller leave: the node must report that nothing waits, and send nothing at
// the next grant.
func TestCallerThatLeavesWaitsForNoGrant(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Millisecond}
		forwarder := rationedSite(caller, func(*online.Forwarder) {})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(30*time.Millisecond, cancel)
		serveAll(ctx, forwarder, 1)
		assert.Equal(t, len(forwarder.WaitingReport()), 0)
		grant(forwarder, 1)
		synctest.Wait()
		assert.Equal(t, caller.sent, 0)
	})
}

// TestRationedRequestsAreNotRejectedByLocalSlotCount has a node with one request of 200 ms at a runner, and an objective of
// 300 ms. By the node's own slots one of five further requests would get one in time; where owners grant slots, all five must
// wait and be sent with the grants.
func TestRationedRequestsAreNotRejectedByLocalSlotCount(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 200 * time.Millisecond}
		forwarder := rationedSite(caller, func(*online.Forwarder) {})
		grant(forwarder, 2)
		assert.NilError(t, serveAll(t.Context(), forwarder, 1)[0].err)
		var done sync.WaitGroup
		done.Go(func() { serveAll(t.Context(), forwarder, 1) })
		time.Sleep(time.Millisecond)
		grant(forwarder, 1)
		synctest.Wait()
		assert.Equal(t, caller.sent, 2)
		done.Go(func() {
			for _, got := range serveAll(t.Context(), forwarder, 5) {
				assert.NilError(t, got.err)
			}
		})
		synctest.Wait()
		assert.Equal(t, forwarder.WaitingReport()[0].OnTime, 5)
		time.Sleep(time.Millisecond)
		grant(forwarder, 5)
		done.Wait()
		assert.Equal(t, caller.sent, 7)
	})
}
