package follower

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// agedSource returns readings of given ages after a delay.
type agedSource struct{ runnersAgeMs, ordersAgeMs int64 }

func (s agedSource) Next(context.Context, *fleetfeed.SnapshotRequest) (*fleetfeed.Snapshot, error) {
	time.Sleep(5 * time.Millisecond)
	return &fleetfeed.Snapshot{
		Incarnation: 1, Reading: 1, Runners: []work.Runner{{ID: "i-1", Service: "s", Slots: 1}}, Revision: 5,
		RunnersAgeMs: s.runnersAgeMs, OrdersAgeMs: s.ordersAgeMs,
	}, nil
}

// TestReadingsThatWereNeverMadeAreOld receives data from a node that has not read the orders, or the runners, since it started. The age of
// what it never read is the longest possible one; adding the transit time must not overflow and make it recent.
func TestReadingsThatWereNeverMadeAreOld(t *testing.T) {
	never := time.Duration(math.MaxInt64).Milliseconds()
	for _, source := range []agedSource{{10, never}, {never, 10}, {never, never}, {10, -never}, {-never, 10}} {
		simulated.Test(t, func(t *testing.T) {
			f := &Follower{
				Source: source, Feed: fleetfeed.New(time.Now), Runners: runnertable.New("z"), Routes: &routetable.Table{},
				Options: OptionsFor(3*time.Second, heartbeat), Logger: zerolog.Nop(), Now: time.Now,
			}
			f.absence = f.Options.absence()
			assert.Equal(t, f.relay(t.Context(), &fleetfeed.SnapshotRequest{}), sourceStale, "%+v", source)
			until := f.relayedUntil()
			assert.Assert(t, !until.orders.After(time.Now()) && !until.runners.After(time.Now()), "%+v", source)
			passedOn, err := f.Feed.Snapshot(t.Context(), &fleetfeed.SnapshotRequest{WaitMs: 1})
			assert.NilError(t, err)
			assert.Assert(t, passedOn.OrdersAgeMs >= 0 && passedOn.RunnersAgeMs >= 0, "relayed with a negative age: %+v", passedOn)
		})
	}
}
