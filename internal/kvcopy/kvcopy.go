// Package kvcopy keeps a copy of the pairs under a prefix of a key-value service whose lists come in pages. The first reading lists
// all pages; each further one asks for the changes since, so that its calls and its time do not grow with the number of pairs. A list
// of a page or two is read anew each time, which takes no more calls.
package kvcopy

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/kv"
)

// Options configure a copy.
type Options[V, L any] struct {
	Store  kv.Paged
	Prefix string
	// Decode returns what a pair says. It is called once for each revision of a pair.
	Decode func(pair kv.Pair) V
	// Equal reports whether two revisions of a pair say the same.
	Equal func(first, second V) bool
	// List makes what Read returns of what the pairs say, in the order of their keys. It is called only if that has changed.
	List func(values []V) L
	// MarkPrefix is a prefix with few or no keys. A page of it is read for the service's present revision.
	MarkPrefix string
	// MaxAge is the age from which a copy is listed anew: the changes since would be more than the pairs, or forgotten.
	MaxAge time.Duration
	Now    func() time.Time
}

// Copy is a copy of what the pairs under a prefix say. It is safe for concurrent use.
type Copy[V, L any] struct {
	options Options[V, L]

	mutex sync.Mutex
	// pairs are ordered by key. They are complete if readAt is set, the time from which on the copy was true.
	pairs []decoded[V]
	// made is what the last Read returned, and unchanged is set as long as the pairs say the same.
	made      L
	unchanged bool
	// pages is the number of pages of the last listing.
	pages    int
	revision int64
	readAt   time.Time
}

// decoded is what a pair says, as of its revision.
type decoded[V any] struct {
	key      string
	revision int64
	value    V
}

// New returns an empty copy.
func New[V, L any](options Options[V, L]) *Copy[V, L] { return &Copy[V, L]{options: options} }

// Read brings the copy up to date: to a state that is no older than the call. It returns the list of what the pairs say, and their
// revision. callTimeout bounds each call of the service. After an error the next Read goes on from the changes that were read, or
// lists anew. The list must not be changed: as long as the pairs say the same, the same one is returned.
func (c *Copy[V, L]) Read(ctx context.Context, callTimeout time.Duration) (list L, revision int64, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.update(ctx, callTimeout); err != nil {
		return list, 0, err
	}
	if !c.unchanged {
		c.made, c.unchanged = c.options.List(c.values()), true
	}
	return c.made, c.revision, nil
}

// values returns what the pairs say. The caller holds the mutex.
func (c *Copy[V, L]) values() []V {
	values := make([]V, 0, len(c.pairs))
	for _, pair := range c.pairs {
		values = append(values, pair.value)
	}
	return values
}

// update brings the copy up to date. The caller holds the mutex, as for all that follows.
func (c *Copy[V, L]) update(ctx context.Context, callTimeout time.Duration) error {
	began := c.options.Now()
	if c.readAt.IsZero() || c.pages <= maxListedPages || began.Sub(c.readAt) > c.options.MaxAge {
		return c.list(ctx, callTimeout, began)
	}
	err := c.follow(ctx, callTimeout)
	if errors.Is(err, kv.ErrCompacted) {
		return c.list(ctx, callTimeout, began)
	}
	if err != nil {
		return err
	}
	c.readAt = began
	return nil
}

// maxListedPages is the largest number of pages that are listed anew at each reading. Reading the changes takes two calls at least.
const maxListedPages = 2

// Release drops the pairs if the copy is too old to be brought up to date. It does nothing while the copy is read.
func (c *Copy[V, L]) Release() {
	if !c.mutex.TryLock() {
		return
	}
	defer c.mutex.Unlock()
	if c.options.Now().Sub(c.readAt) > c.options.MaxAge {
		c.clear()
	}
}

// clear drops the pairs and the list that was made of them. The caller holds the mutex.
func (c *Copy[V, L]) clear() {
	var none L
	c.pairs, c.made, c.unchanged = nil, none, false
	c.pages, c.revision, c.readAt = 0, 0, time.Time{}
}

// list reads all pages. Pages are not a snapshot: the copy has the revision of the first page, and the changes since then are read
// before it is complete.
func (c *Copy[V, L]) list(ctx context.Context, callTimeout time.Duration, began time.Time) error {
	c.clear()
	after := ""
	for {
		page, err := c.page(ctx, callTimeout, c.options.Prefix, after)
		if err != nil {
			return err
		}
		if after == "" {
			c.revision = page.Revision
		}
		for _, pair := range page.Pairs {
			c.pairs = append(c.pairs, c.decode(pair))
		}
		c.pages++
		if !page.More || len(page.Pairs) == 0 {
			break
		}
		after = page.Pairs[len(page.Pairs)-1].Key
	}
	if c.pages > maxListedPages {
		if err := c.follow(ctx, callTimeout); err != nil {
			return err
		}
	}
	c.readAt = began
	return nil
}

func (c *Copy[V, L]) decode(pair kv.Pair) decoded[V] {
	return decoded[V]{key: pair.Key, revision: pair.ModRevision, value: c.options.Decode(pair)}
}

func (c *Copy[V, L]) page(ctx context.Context, callTimeout time.Duration, prefix, after string) (kv.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.options.Store.ListPage(ctx, prefix, kv.PageOptions{After: after})
}

// follow applies the changes up to the revision that the service has when it begins. An answer may hold a part of the changes.
func (c *Copy[V, L]) follow(ctx context.Context, callTimeout time.Duration) error {
	mark, err := c.page(ctx, callTimeout, c.options.MarkPrefix, "")
	if err != nil {
		return err
	}
	for c.revision < mark.Revision {
		changes, err := c.changes(ctx, callTimeout)
		if err != nil {
			return err
		}
		for _, event := range changes.Events {
			c.apply(event)
		}
		c.revision = max(c.revision, changes.Revision)
		if len(changes.Events) == 0 {
			// Nothing under the prefix has changed up to the mark.
			c.revision = max(c.revision, mark.Revision)
		}
	}
	return nil
}

// shortestWait is how long the service may wait for a change before it answers that there is none.
const shortestWait = time.Millisecond

func (c *Copy[V, L]) changes(ctx context.Context, callTimeout time.Duration) (kv.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.options.Store.Changes(ctx, c.options.Prefix, c.revision, shortestWait)
}

// apply applies a change, unless the copy has a newer state of the key.
func (c *Copy[V, L]) apply(event kv.WatchEvent) {
	at, found := slices.BinarySearchFunc(c.pairs, event.Pair.Key, func(pair decoded[V], key string) int { return cmp.Compare(pair.key, key) })
	switch {
	case found && c.pairs[at].revision >= event.Pair.ModRevision:
	case event.Deleted && found:
		c.pairs, c.unchanged = slices.Delete(c.pairs, at, at+1), false
	case event.Deleted:
	case found:
		c.replace(&c.pairs[at], c.decode(event.Pair))
	default:
		c.pairs, c.unchanged = slices.Insert(c.pairs, at, c.decode(event.Pair)), false
	}
}

// replace stores what a pair says as of a later revision.
func (c *Copy[V, L]) replace(present *decoded[V], later decoded[V]) {
	c.unchanged = c.unchanged && c.options.Equal(present.value, later.value)
	*present = later
}
