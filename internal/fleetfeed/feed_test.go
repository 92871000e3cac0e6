package fleetfeed_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/work"
)

// TestSnapshotHasWhatIsNewAndItsAge requests snapshots as a node that has none of the feed's readings, and as one
// that has them.
func TestSnapshotHasWhatIsNewAndItsAge(t *testing.T) {
	now := time.Unix(100, 0)
	feed := fleetfeed.New(func() time.Time { return now })
	ctx := context.Background()
	feed.RecordOrders(work.Orders{Catalog: &work.Catalog{Version: 4}}, now)
	feed.RecordRunners([]work.Runner{{ID: "i-1"}}, 7, now)
	now = now.Add(300 * time.Millisecond)
	first, err := feed.Snapshot(ctx, &fleetfeed.SnapshotRequest{WaitMs: 5000})
	assert.NilError(t, err)
	assert.Equal(t, len(first.Runners), 1)
	assert.Equal(t, first.Revision, int64(7))
	assert.Equal(t, first.RunnersAgeMs, int64(300))
	assert.Equal(t, first.Catalog.Version, int64(4))

	known := &fleetfeed.SnapshotRequest{Incarnation: first.Incarnation, Reading: first.Reading, CatalogVersion: 4, WaitMs: 1}
	same, err := feed.Snapshot(ctx, known)
	assert.NilError(t, err)
	assert.Equal(t, same.Reading, first.Reading)
	assert.Assert(t, same.Catalog == nil, "a configuration that the node has was sent again")

	known.WaitMs = 60_000
	answered := make(chan *fleetfeed.Snapshot, 1)
	go func() {
		snapshot, _ := feed.Snapshot(ctx, known)
		answered <- snapshot
	}()
	feed.RecordOrders(work.Orders{Catalog: &work.Catalog{Version: 3}}, now)
	feed.RecordOrders(work.Orders{Catalog: &work.Catalog{Version: 6}}, now)
	assert.Equal(t, (<-answered).Catalog.Version, int64(6))
}

// TestFreezeBeforeTheAnswerIsNotCountedAsHeld freezes the process after it read its clock for the ages. A node
// subtracts HeldMs from the duration of its call; if HeldMs contained the freeze, an old list would appear recent.
func TestFreezeBeforeTheAnswerIsNotCountedAsHeld(t *testing.T) {
	const clockReadsBeforeTheFreeze = 2
	now, clockReads := time.Unix(100, 0), 0
	feed := fleetfeed.New(func() time.Time { return now })
	feed.RecordRunners([]work.Runner{{ID: "i-1"}}, 1, now)
	feed.Now = func() time.Time {
		if clockReads++; clockReads > clockReadsBeforeTheFreeze {
			return now.Add(6 * time.Second)
		}
		return now
	}
	snapshot, err := feed.Snapshot(context.Background(), &fleetfeed.SnapshotRequest{})
	assert.NilError(t, err)
	assert.Equal(t, snapshot.RunnersAgeMs, snapshot.HeldMs, "the freeze is counted in one of the two durations only")
}

// TestFeedWithoutAReadingDelaysItsAnswer checks that a request before the first reading waits.
func TestFeedWithoutAReadingDelaysItsAnswer(t *testing.T) {
	feed := fleetfeed.New(time.Now)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := feed.Snapshot(ctx, &fleetfeed.SnapshotRequest{WaitMs: 60_000})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// TestFeedWithoutAReadingReportsTheLongestAge requests a snapshot from a feed that has just started. Its ages must be
// older than any reading that is used, and small enough to be added to.
func TestFeedWithoutAReadingReportsTheLongestAge(t *testing.T) {
	feed := fleetfeed.New(time.Now)
	snapshot, err := feed.Snapshot(context.Background(), &fleetfeed.SnapshotRequest{WaitMs: 1})
	assert.NilError(t, err)
	for _, age := range []int64{snapshot.RunnersAgeMs, snapshot.OrdersAgeMs} {
		assert.Assert(t, age >= time.Hour.Milliseconds() && age <= 365*24*time.Hour.Milliseconds(), "%d ms", age)
	}
}
