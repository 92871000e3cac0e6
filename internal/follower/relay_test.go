package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heartbeat is the heartbeat interval of the sites.
const heartbeat = 1200 * time.Millisecond

// TestRelayedOrdersAreUsedNoLongerThanRelayedRunners covers a worker that is partitioned from the registry while it waits for orders: its
// last answer about them is recent, although it would not receive a new configuration.
func TestRelayedOrdersAreUsedNoLongerThanRelayedRunners(t *testing.T) {
	const drain = 2 * time.Second
	const applied = 2 * time.Second
	f := &Follower{Options: OptionsFor(drain, heartbeat)}
	now := time.Unix(100, 0)
	for _, runnersAge := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		fresh := f.freshUntil(now, runnersAge, 0)
		assert.Assert(t, !fresh.orders.After(fresh.runners))
		cutAt := now.Add(-runnersAge)
		read := fresh.orders.Add(f.Options.CallTimeout / 2)
		assert.Assert(t, read.Before(cutAt.Add(applied)), "orders are read %v after the partition began", read.Sub(cutAt))
	}
	fresh := f.freshUntil(now, 0, f.maxOrdersAge())
	assert.Assert(t, !fresh.orders.After(now), "orders of the maximum age are still used because the runners are fresh")
	assert.Assert(t, f.maxOrdersAge() <= 5*time.Second, "relayed orders are used for longer than 5 s")
}

// TestRelayedOrdersLastUntilTheNextSnapshot has the other node wait for orders all the time, as it does when nothing changes. A snapshot
// taken just before its wait is over must stay fresh until the next one, or each node reads the orders itself.
func TestRelayedOrdersLastUntilTheNextSnapshot(t *testing.T) {
	now := time.Unix(100, 0)
	for _, drain := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		f := &Follower{Options: OptionsFor(drain, heartbeat)}
		const transit = 100 * time.Millisecond
		fresh := f.freshUntil(now, 0, f.Options.OrdersWait+transit)
		assert.Assert(t, fresh.orders.Sub(now) > f.Options.ListInterval+transit, "drain %v: used for %v", drain, fresh.orders.Sub(now))
	}
}

// TestFailedCallsBackOff has a registry that does not return: without backoff the fronts of a large fleet would call it hundreds of times
// a second.
func TestFailedCallsBackOff(t *testing.T) {
	options := OptionsFor(3*time.Second, heartbeat)
	assert.Equal(t, options.backoff(1), options.RetryAfter)
	assert.Equal(t, options.backoff(2), 2*options.RetryAfter)
	calls := 0
	for waited := time.Duration(0); waited < 10*time.Second; waited += options.backoff(calls) {
		calls++
	}
	assert.Assert(t, calls <= 10, "%d calls in ten seconds", calls)
	assert.Assert(t, options.backoff(1000) <= options.ListInterval, "the registry's return is detected too late")
}
