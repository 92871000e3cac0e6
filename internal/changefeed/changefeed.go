// Package changefeed distributes a part of the key-value service's state from the node that reads it to the nodes that follow it.
// Reads of the service are expensive, and their number should grow with the number of changes and not with the number of nodes. A
// follower sends the revision that it has and gets the changes since then, or the whole state if these are no longer buffered.
// Times of reads are arguments; the package makes no calls.
package changefeed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// Update contains the changes that bring a follower to a newer state.
type Update struct {
	// Whole means that Changes contains the whole state: keys that are not in Changes are removed.
	Whole bool
	// Changes are sorted by revision. A whole state contains no removals.
	Changes []kv.WatchEvent
	// Revision is the revision of the state after the changes; later changes are in later updates.
	Revision int64
	// AsOf is not later than the time at which the state was current.
	AsOf time.Time
}

// ErrBehind means that the feed has no update for a follower because it is empty or older than the follower's state.
const ErrBehind = failure.Kind("change feed: the follower knows more")

// maxBufferedChanges limits the changes that are buffered for followers. A follower polls every second or two; a large batch of jobs
// causes some hundred changes.
const maxBufferedChanges = 2048

// Feed stores a state and its latest changes. The zero Feed is empty. It is safe for concurrent use.
type Feed struct {
	mutex sync.Mutex
	state map[string]kv.Pair
	// changes are all changes after the revision since, in order.
	changes []kv.WatchEvent
	since   int64
	// revision and asOf never decrease.
	revision int64
	asOf     time.Time
	// changed is closed on the next change; nil if no caller waits.
	changed chan struct{}
}

// Take applies an update that this node read or received from another node. It ignores an update older than the stored state, or
// changes to an empty feed, and returns false.
func (f *Feed) Take(update Update) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if update.Revision < f.revision || (f.state == nil && !update.Whole) {
		return false
	}
	if update.Whole {
		f.state, f.changes, f.since = map[string]kv.Pair{}, nil, update.Revision
	}
	for _, change := range update.Changes {
		f.apply(change)
	}
	if !update.Whole {
		f.bufferChanges(update.Changes)
	}
	advanced := update.Revision > f.revision
	f.revision = update.Revision
	if update.AsOf.After(f.asOf) {
		f.asOf = update.AsOf
	}
	if advanced && f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
	return true
}

func (f *Feed) apply(change kv.WatchEvent) {
	if change.Deleted {
		delete(f.state, change.Pair.Key)
		return
	}
	f.state[change.Pair.Key] = change.Pair
}

// bufferChanges appends changes to the buffer and discards the oldest ones beyond maxBufferedChanges.
func (f *Feed) bufferChanges(changes []kv.WatchEvent) {
	f.changes = append(f.changes, changes...)
	if excess := len(f.changes) - maxBufferedChanges; excess > 0 {
		f.since = f.changes[excess-1].Pair.ModRevision
		f.changes = slices.Clone(f.changes[excess:])
	}
}

// Next returns the update for a follower that has the state at the revision after; zero means that it has none. If there is nothing
// new, Next waits for a change, at most for the duration wait, and then returns an update without changes. Its error wraps
// ErrBehind or the error of the context.
func (f *Feed) Next(ctx context.Context, after int64, wait time.Duration) (Update, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := false; ; {
		update, changed, newer := f.compare(after)
		switch {
		case newer:
			return update, nil
		case timedOut && update.Revision < max(after, 1):
			return Update{}, fmt.Errorf("%w: it has %d, the feed %d", ErrBehind, after, update.Revision)
		case timedOut:
			return update, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return Update{}, fmt.Errorf("waiting for a change: %w", ctx.Err())
		}
	}
}

// compare returns the update for a follower, a channel that is closed on the next change, and whether the update is newer than the
// follower's state.
func (f *Feed) compare(after int64) (Update, <-chan struct{}, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	update := Update{Revision: f.revision, AsOf: f.asOf}
	if f.state == nil || after >= f.revision {
		return update, f.changed, false
	}
	if after < f.since {
		update.Whole = true
		for _, pair := range f.state {
			update.Changes = append(update.Changes, kv.WatchEvent{Pair: pair})
		}
		slices.SortFunc(update.Changes, byRevision)
		return update, f.changed, true
	}
	from, _ := slices.BinarySearchFunc(f.changes, after+1, func(change kv.WatchEvent, revision int64) int {
		return int(change.Pair.ModRevision - revision)
	})
	update.Changes = slices.Clone(f.changes[from:])
	return update, f.changed, true
}

// byRevision compares changes by revision and then by key.
func byRevision(first, second kv.WatchEvent) int {
	if first.Pair.ModRevision != second.Pair.ModRevision {
		return int(first.Pair.ModRevision - second.Pair.ModRevision)
	}
	return strings.Compare(first.Pair.Key, second.Pair.Key)
}

// State returns a copy of the state and its revision.
func (f *Feed) State() (map[string]kv.Pair, int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return maps.Clone(f.state), f.revision
}
