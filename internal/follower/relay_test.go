package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRelayedOrdersAreTrustedNoLongerThanRelayedRunners is the case of a worker that is cut off while it waits for
// orders: its last word about them is young, and still it would not hear of a new configuration.
func TestRelayedOrdersAreTrustedNoLongerThanRelayedRunners(t *testing.T) {
	const drain = 2 * time.Second
	const applied = 2 * time.Second
	f := &Follower{Options: OptionsFor(drain)}
	now := time.Unix(100, 0)
	for _, runnersAge := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		fresh := f.freshUntil(now, runnersAge, 0)
		assert.Assert(t, !fresh.orders.After(fresh.runners))
		cutAt := now.Add(-runnersAge)
		read := fresh.orders.Add(f.Options.CallTimeout / 2)
		assert.Assert(t, read.Before(cutAt.Add(applied)), "orders are read %v after the cut", read.Sub(cutAt))
	}
	assert.Assert(t, f.freshUntil(now, 0, f.Options.OrdersWait).orders.Before(f.freshUntil(now, 0, f.Options.OrdersWait).runners))
}
