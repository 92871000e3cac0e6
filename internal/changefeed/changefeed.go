// Package changefeed passes a state of the key-value service on from the node that reads it to those that follow it, change by
// change. Each reading has its price, and its number is to grow with the facts and not with the nodes. A follower names the
// revision that it has and gets the changes since, or the whole state where these are not kept. Times are arguments; the package
// makes no calls.
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

// Update is what a follower lacks of a state.
type Update struct {
	// Whole says that the state begins anew: what Changes does not name is gone.
	Whole bool
	// Changes are in the order of their revisions. A whole state has no removals.
	Changes []kv.WatchEvent
	// Revision is that of the state with the changes; each change after it comes with a later update.
	Revision int64
	// AsOf is no later than the moment at which the state was so.
	AsOf time.Time
}

// ErrBehind means that nothing can be told to a follower: the feed is empty, or the follower knows more.
const ErrBehind = failure.Kind("change feed: the follower knows more")

// keptChanges bounds the changes that are kept for followers. A follower asks every second or two; a heap of jobs makes some
// hundred changes.
const keptChanges = 2048

// Feed holds a state and its latest changes. The zero Feed is empty. It is safe for concurrent use.
type Feed struct {
	mutex sync.Mutex
	state map[string]kv.Pair
	// changes are all those after the revision since, in order.
	changes []kv.WatchEvent
	since   int64
	// revision and asOf never go back.
	revision int64
	asOf     time.Time
	// changed is closed with the next change; nil while nobody waits.
	changed chan struct{}
}

// Take takes over what was read here or told by another node. An update of an older state than is known is passed over, and
// Take returns false.
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
		f.keep(update.Changes)
	}
	moved := update.Revision > f.revision
	f.revision = update.Revision
	if update.AsOf.After(f.asOf) {
		f.asOf = update.AsOf
	}
	if moved && f.changed != nil {
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

// keep remembers changes, and forgets the oldest beyond what is kept.
func (f *Feed) keep(changes []kv.WatchEvent) {
	f.changes = append(f.changes, changes...)
	if over := len(f.changes) - keptChanges; over > 0 {
		f.since = f.changes[over-1].Pair.ModRevision
		f.changes = slices.Clone(f.changes[over:])
	}
}

// Next returns what a follower lacks that has the state after a revision, zero for none of it. With nothing new it waits, at
// most for the wait, and returns an update without changes. Its error wraps ErrBehind, or is the context's.
func (f *Feed) Next(ctx context.Context, after int64, wait time.Duration) (Update, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		update, changed, news := f.compare(after)
		switch {
		case news:
			return update, nil
		case over && update.Revision < max(after, 1):
			return Update{}, fmt.Errorf("%w: it has %d, the feed %d", ErrBehind, after, update.Revision)
		case over:
			return update, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return Update{}, fmt.Errorf("waiting for a change: %w", ctx.Err())
		}
	}
}

// compare returns what a follower lacks, what is closed at the next change, and whether there is anything.
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
		slices.SortFunc(update.Changes, inOrder)
		return update, f.changed, true
	}
	from, _ := slices.BinarySearchFunc(f.changes, after+1, func(change kv.WatchEvent, revision int64) int {
		return int(change.Pair.ModRevision - revision)
	})
	update.Changes = slices.Clone(f.changes[from:])
	return update, f.changed, true
}

func inOrder(first, second kv.WatchEvent) int {
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
