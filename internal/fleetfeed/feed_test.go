package fleetfeed_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/work"
)

// TestFeedTellsWhatIsNewAndHowOldItIs asks with and without what the feed has.
func TestFeedTellsWhatIsNewAndHowOldItIs(t *testing.T) {
	now := time.Unix(100, 0)
	feed := fleetfeed.New(func() time.Time { return now })
	ctx := context.Background()
	feed.Orders(work.Orders{Catalog: &work.Catalog{Version: 4}}, now)
	feed.Read([]work.Runner{{ID: "i-1"}}, 7, now)
	now = now.Add(300 * time.Millisecond)
	first, err := feed.Snapshot(ctx, &fleetfeed.Known{WaitMs: 5000})
	assert.NilError(t, err)
	assert.Equal(t, len(first.Runners), 1)
	assert.Equal(t, first.Revision, int64(7))
	assert.Equal(t, first.RunnersAgeMs, int64(300))
	assert.Equal(t, first.Catalog.Version, int64(4))

	known := &fleetfeed.Known{Incarnation: first.Incarnation, Reading: first.Reading, CatalogVersion: 4, WaitMs: 1}
	same, err := feed.Snapshot(ctx, known)
	assert.NilError(t, err)
	assert.Equal(t, same.Reading, first.Reading)
	assert.Assert(t, same.Catalog == nil, "a configuration was sent again")

	known.WaitMs = 60_000
	answered := make(chan *fleetfeed.Snapshot, 1)
	go func() {
		snapshot, _ := feed.Snapshot(ctx, known)
		answered <- snapshot
	}()
	feed.Orders(work.Orders{Catalog: &work.Catalog{Version: 3}}, now)
	feed.Orders(work.Orders{Catalog: &work.Catalog{Version: 6}}, now)
	assert.Equal(t, (<-answered).Catalog.Version, int64(6))
}

// TestFreezeBeforeTheAnswerIsNotHeldTime freezes the process after it looked at its clock for the ages. What a node takes off
// its call's time as held must not contain the freeze, or an old list looks young.
func TestFreezeBeforeTheAnswerIsNotHeldTime(t *testing.T) {
	const looksBeforeTheFreeze = 2
	now, looks := time.Unix(100, 0), 0
	feed := fleetfeed.New(func() time.Time { return now })
	feed.Read([]work.Runner{{ID: "i-1"}}, 1, now)
	feed.Now = func() time.Time {
		if looks++; looks > looksBeforeTheFreeze {
			return now.Add(6 * time.Second)
		}
		return now
	}
	snapshot, err := feed.Snapshot(context.Background(), &fleetfeed.Known{})
	assert.NilError(t, err)
	assert.Equal(t, snapshot.RunnersAgeMs, snapshot.HeldMs, "the freeze is in one of them only")
}

// TestFeedWithoutAReadingAnswersNothing holds a call that comes before the first reading.
func TestFeedWithoutAReadingAnswersNothing(t *testing.T) {
	feed := fleetfeed.New(time.Now)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := feed.Snapshot(ctx, &fleetfeed.Known{WaitMs: 60_000})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// TestFeedThatHasReadNothingSaysSo asks one that has just started: the ages it tells are older than anything that is used, and can be
// added to.
func TestFeedThatHasReadNothingSaysSo(t *testing.T) {
	feed := fleetfeed.New(time.Now)
	snapshot, err := feed.Snapshot(context.Background(), &fleetfeed.Known{WaitMs: 1})
	assert.NilError(t, err)
	for _, age := range []int64{snapshot.RunnersAgeMs, snapshot.OrdersAgeMs} {
		assert.Assert(t, age >= time.Hour.Milliseconds() && age <= 365*24*time.Hour.Milliseconds(), "%d ms", age)
	}
}
