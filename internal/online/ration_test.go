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

// rationedSite is a forwarder whose runner's owner rations its places and has granted none. The owner is asked as requests wait.
func rationedSite(caller *busyCaller, asked func(*online.Forwarder)) *online.Forwarder {
	forwarder := busySite(caller)
	forwarder.Asks = func() { asked(forwarder) }
	grant(forwarder, 0)
	return forwarder
}

// grant has the owner answer a question that was asked now.
func grant(forwarder *online.Forwarder, places int) {
	forwarder.Runners.TakeShares([]demand.Share{{Runner: "1", Orphans: 1, Rationed: true, Granted: places}}, time.Now())
	forwarder.Granted()
}

// TestRequestWaitsForAGrantAndUsesItAtOnce has a request come while no place is granted. It is told of as one that waits and can be on time; as the
// owner grants a place 3 ms later it is sent, before the next look. A second one waits on, and is sent at the next grant.
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
		waiting := forwarder.Waiting()
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
			assert.Equal(t, caller.sent, sent, "a place was used that was not granted")
		}
		done.Wait()
		assert.Equal(t, len(forwarder.Waiting()), 0)
	})
}

// TestNobodyIsAskedForPlacesThatAreNotRationed has more requests than places where owners grant nothing.
func TestNobodyIsAskedForPlacesThatAreNotRationed(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		forwarder := busySite(&busyCaller{takes: 20 * time.Millisecond})
		forwarder.Asks = func() { t.Error("asked") }
		serveAll(t.Context(), forwarder, 3*slots)
	})
}

// TestCallerThatLeavesWaitsForNoGrant has the only caller leave: the owner is told that nothing waits.
func TestCallerThatLeavesWaitsForNoGrant(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Millisecond}
		forwarder := rationedSite(caller, func(*online.Forwarder) {})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(30*time.Millisecond, cancel)
		serveAll(ctx, forwarder, 1)
		assert.Equal(t, len(forwarder.Waiting()), 0)
		grant(forwarder, 1)
		synctest.Wait()
		assert.Equal(t, caller.sent, 0)
	})
}

// TestFewPlacesOfANodeTurnNobodyAwayWherePlacesAreGranted has a node with one request at a runner, of 200 ms, and an objective of 300 ms. By its own
// places one of five would get one in time; where owners grant them all five wait, and are sent with the grants.
func TestFewPlacesOfANodeTurnNobodyAwayWherePlacesAreGranted(t *testing.T) {
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
		assert.Equal(t, forwarder.Waiting()[0].OnTime, 5)
		time.Sleep(time.Millisecond)
		grant(forwarder, 5)
		done.Wait()
		assert.Equal(t, caller.sent, 7)
	})
}
