package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heartbeat is that of the sites.
const heartbeat = 1200 * time.Millisecond

// TestRelayedOrdersAreTrustedNoLongerThanRelayedRunners is the case of a worker that is cut off while it waits for
// orders: its last word about them is young, and still it would not hear of a new configuration.
func TestRelayedOrdersAreTrustedNoLongerThanRelayedRunners(t *testing.T) {
	const drain = 2 * time.Second
	const applied = 2 * time.Second
	f := &Follower{Options: OptionsFor(drain, heartbeat)}
	now := time.Unix(100, 0)
	for _, runnersAge := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		fresh := f.freshUntil(now, runnersAge, 0)
		assert.Assert(t, !fresh.orders.After(fresh.runners))
		cutAt := now.Add(-runnersAge)
		read := fresh.orders.Add(f.Options.CallTimeout / 2)
		assert.Assert(t, read.Before(cutAt.Add(applied)), "orders are read %v after the cut", read.Sub(cutAt))
	}
	fresh := f.freshUntil(now, 0, f.oldestOrders())
	assert.Assert(t, !fresh.orders.After(now), "orders that nothing was heard of for too long are trusted though the runners are read")
	assert.Assert(t, f.oldestOrders() <= 5*time.Second, "a wait that hears nothing is noticed within the bound it had before")
}

// TestRelayedOrdersLastUntilTheNextSnapshot has the other node wait for orders all the time, as it does on a calm day: a
// snapshot taken just before its wait is over must do until the next one, or each node reads the orders for itself.
func TestRelayedOrdersLastUntilTheNextSnapshot(t *testing.T) {
	now := time.Unix(100, 0)
	for _, drain := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		f := &Follower{Options: OptionsFor(drain, heartbeat)}
		const way = 100 * time.Millisecond
		fresh := f.freshUntil(now, 0, f.Options.OrdersWait+way)
		assert.Assert(t, fresh.orders.Sub(now) > f.Options.RunnersEvery+way, "drain %v: trusted for %v", drain, fresh.orders.Sub(now))
	}
}

// TestFailedCallsAreRepeatedLessAndLess has a registry that stays away: fronts of a large fleet would call it hundreds of
// times a second.
func TestFailedCallsAreRepeatedLessAndLess(t *testing.T) {
	options := OptionsFor(3*time.Second, heartbeat)
	assert.Equal(t, options.pauseAfter(1), options.RetryAfter)
	assert.Equal(t, options.pauseAfter(2), 2*options.RetryAfter)
	calls := 0
	for waited := time.Duration(0); waited < 10*time.Second; waited += options.pauseAfter(calls) {
		calls++
	}
	assert.Assert(t, calls <= 10, "%d calls in ten seconds", calls)
	assert.Assert(t, options.pauseAfter(1000) <= options.RunnersEvery, "the registry's return is noticed too late")
}
