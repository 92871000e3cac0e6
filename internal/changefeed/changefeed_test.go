package changefeed_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/changefeed"
	"mallowlatch.example/mallowlatch/internal/kv"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func put(key string, revision int64) kv.WatchEvent {
	return kv.WatchEvent{Pair: kv.Pair{Key: key, Value: fmt.Append(nil, revision), ModRevision: revision}}
}

func del(key string, revision int64) kv.WatchEvent {
	return kv.WatchEvent{Pair: kv.Pair{Key: key, ModRevision: revision}, Deleted: true}
}

// TestFollowerGetsMissingChanges requests an update at each revision, older than, within and beyond the feed's.
func TestFollowerGetsMissingChanges(t *testing.T) {
	feed := &changefeed.Feed{}
	assert.Assert(t, feed.Take(changefeed.Update{Whole: true, Changes: []kv.WatchEvent{put("a", 3), put("b", 5)}, Revision: 5, AsOf: start}))
	assert.Assert(t, feed.Take(changefeed.Update{Changes: []kv.WatchEvent{del("a", 7), put("c", 9)}, Revision: 9, AsOf: start.Add(time.Second)}))
	for after, wanted := range map[int64]int{0: 2, 4: 2, 5: 2, 6: 2, 7: 1, 8: 1} {
		update, err := feed.Next(context.Background(), after, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(update.Changes), wanted, after)
		assert.Equal(t, update.Whole, after < 5)
		assert.Equal(t, update.Revision, int64(9))
		assert.Equal(t, update.AsOf, start.Add(time.Second))
	}
	update, err := feed.Next(context.Background(), 9, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(update.Changes), 0)
	_, err = feed.Next(context.Background(), 10, 0)
	assert.ErrorIs(t, err, changefeed.ErrBehind)
	_, err = (&changefeed.Feed{}).Next(context.Background(), 0, 0)
	assert.ErrorIs(t, err, changefeed.ErrBehind)
}

// TestFeedIgnoresOlderState checks that older updates, whole or not, are ignored.
func TestFeedIgnoresOlderState(t *testing.T) {
	feed := &changefeed.Feed{}
	assert.Assert(t, !feed.Take(changefeed.Update{Changes: []kv.WatchEvent{put("a", 3)}, Revision: 3}), "changes without the state before them")
	assert.Assert(t, feed.Take(changefeed.Update{Whole: true, Changes: []kv.WatchEvent{put("a", 9)}, Revision: 9}))
	assert.Assert(t, !feed.Take(changefeed.Update{Whole: true, Revision: 8}))
	assert.Assert(t, !feed.Take(changefeed.Update{Changes: []kv.WatchEvent{del("a", 8)}, Revision: 8}))
	state, revision := feed.State()
	assert.Equal(t, len(state), 1)
	assert.Equal(t, revision, int64(9))
}

func TestWaitingFollowerGetsNextChange(t *testing.T) {
	feed := &changefeed.Feed{}
	feed.Take(changefeed.Update{Whole: true, Revision: 5})
	time.AfterFunc(20*time.Millisecond, func() {
		feed.Take(changefeed.Update{Changes: []kv.WatchEvent{put("a", 6)}, Revision: 6})
	})
	update, err := feed.Next(context.Background(), 5, time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, len(update.Changes), 1)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = feed.Next(ended, 6, time.Minute)
	assert.ErrorIs(t, err, context.Canceled)
}

// TestFollowersMatchSourceState generates changes to a service, a reader that reads either the changes or the whole state, and
// followers that poll each other at random times. Each feed must have the state that the service had at the feed's revision.
func TestFollowersMatchSourceState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []kv.WatchEvent
		states := map[int64]map[string]int64{0: {}}
		revision := int64(0)
		feeds := make([]*changefeed.Feed, rapid.IntRange(1, 3).Draw(t, "feeds"))
		for index := range feeds {
			feeds[index] = &changefeed.Feed{}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 5).Draw(t, "step"); step {
			case 0, 1, 2:
				revision += int64(rapid.IntRange(1, 3).Draw(t, "apart"))
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				change := put(key, revision)
				if rapid.Bool().Draw(t, "removed") {
					change = del(key, revision)
				}
				history = append(history, change)
				states[revision] = stateAfter(history)
			case 3:
				read(feeds[0], history, revision, rapid.IntRange(0, 3).Draw(t, "anew") == 0)
			default:
				follower := rapid.IntRange(0, len(feeds)-1).Draw(t, "follower")
				if follower == 0 {
					continue
				}
				_, has := feeds[follower].State()
				source := feeds[rapid.IntRange(0, len(feeds)-1).Draw(t, "source")]
				if update, err := source.Next(context.Background(), has, 0); err == nil {
					feeds[follower].Take(update)
				}
			}
			for _, feed := range feeds {
				state, has := feed.State()
				wanted := states[has]
				assert.Equal(t, len(state), len(wanted))
				for key, pair := range state {
					assert.Equal(t, pair.ModRevision, wanted[key])
				}
			}
		}
	})
}

func stateAfter(history []kv.WatchEvent) map[string]int64 {
	state := map[string]int64{}
	for _, change := range history {
		state[change.Pair.Key] = change.Pair.ModRevision
		if change.Deleted {
			delete(state, change.Pair.Key)
		}
	}
	return state
}

// read updates a feed from the service, with the changes since the feed's revision or with the whole state.
func read(feed *changefeed.Feed, history []kv.WatchEvent, revision int64, whole bool) {
	_, has := feed.State()
	update := changefeed.Update{Whole: whole || has == 0, Revision: revision}
	if revision == 0 {
		return
	}
	if update.Whole {
		for key, changedAt := range stateAfter(history) {
			update.Changes = append(update.Changes, put(key, changedAt))
		}
	} else {
		for _, change := range history {
			if change.Pair.ModRevision > has {
				update.Changes = append(update.Changes, change)
			}
		}
	}
	feed.Take(update)
}
