// Package kv is the interface to the platform's key-value service. Each dialect is one package below it. The service
// is small and rate-limited and has outages; an answer may be lost although the change took effect.
package kv

import (
	"context"
	"errors"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Failures of the key-value service.
const (
	// ErrUnavailable means the service definitely did not apply the call.
	ErrUnavailable = failure.Kind("kv: unavailable")
	// ErrOutcomeUnknown means a change may or may not have been applied; read back to find out.
	ErrOutcomeUnknown = failure.Kind("kv: outcome unknown")
	// ErrRefused means the service did not apply the call and would not apply the same call later either: it is too large, or not valid.
	ErrRefused = failure.Kind("kv: refused")
	// ErrRateLimited means the service refused the call for now.
	ErrRateLimited = failure.Kind("kv: rate limited")
	// ErrCompacted means a watch or read asked for a revision that is no longer kept.
	ErrCompacted = failure.Kind("kv: revision compacted")
	// ErrNotFound means the key does not exist.
	ErrNotFound = failure.Kind("kv: key not found")
	// ErrLeaseNotFound means the lease has lapsed or never existed.
	ErrLeaseNotFound = failure.Kind("kv: lease not found")
)

// NotApplied reports whether a failed change is known to have had no effect.
func NotApplied(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRateLimited) || errors.Is(err, ErrRefused)
}

// LeaseID identifies a lease; zero means none.
type LeaseID int64

// Pair is a stored key and value.
type Pair struct {
	Key   string
	Value []byte
	// CreateRevision and ModRevision are the service's revisions of the first and the last write of the key.
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Compare is one condition of a transaction: the key's ModRevision equals the given one; zero means "does not exist".
type Compare struct {
	Key         string
	ModRevision int64
}

// Write is one change of a transaction.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
	Lease  LeaseID
}

// TransactionResult tells whether every compare held; only then were the writes applied, at Revision.
type TransactionResult struct {
	Succeeded bool
	Revision  int64
	// Conflicts holds the present pairs of the compares of a transaction that failed, where the service tells them.
	// A compared key that is not among them does not exist.
	Conflicts []Pair
}

// WatchEvent is one change seen by a watch, in revision order.
type WatchEvent struct {
	Pair    Pair
	Deleted bool
}

// WatchResponse is a batch of events of the same or successive revisions, or the error that ended the watch.
type WatchResponse struct {
	Revision int64
	Events   []WatchEvent
	Err      error
}

// Store is the key-value service. Implementations are safe for concurrent use and bound each call by its context.
type Store interface {
	// Get returns one pair, or ErrNotFound.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns the pairs whose keys have the prefix, and the revision they were read at.
	List(ctx context.Context, prefix string) ([]Pair, int64, error)
	// Commit applies the writes if every compare holds.
	Commit(ctx context.Context, compares []Compare, writes []Write) (TransactionResult, error)
	// Watch streams changes to keys with the prefix after the given revision until ctx ends. The channel is closed
	// after a response with Err set.
	Watch(ctx context.Context, prefix string, afterRevision int64) (<-chan WatchResponse, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its new time to live.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// PageOptions narrow one page of a list.
type PageOptions struct {
	// After is the last key of the page before; empty starts at the beginning.
	After string
	// Stale permits an answer that is seconds old, which costs the service less.
	Stale bool
}

// Page is a part of a list, in the order of keys. Pages of one list are not one snapshot.
type Page struct {
	Pairs    []Pair
	Revision int64
	// More says that keys follow.
	More bool
}

// Paged is a key-value service whose lists come in pages and whose changes are asked for, one call at a time.
// Implementations are safe for concurrent use and bound each call by its context.
type Paged interface {
	// Get returns one pair, or ErrNotFound. revision is the service's at the reading, also where the key is absent, or
	// zero where the service does not tell.
	Get(ctx context.Context, key string) (pair Pair, revision int64, err error)
	// ListPage returns one page of the pairs whose keys have the prefix.
	ListPage(ctx context.Context, prefix string, options PageOptions) (Page, error)
	// Changes waits for changes to keys with the prefix after the revision. Without any within the wait it returns no
	// events and a revision to go on from.
	Changes(ctx context.Context, prefix string, afterRevision int64, wait time.Duration) (WatchResponse, error)
	// Commit applies the writes if every compare holds.
	Commit(ctx context.Context, compares []Compare, writes []Write) (TransactionResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its new time to live.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// ListAll reads every page of a list. The revision is that of the first page: what changed later is found again by
// asking for the changes after it.
func ListAll(ctx context.Context, store Paged, prefix string, options PageOptions) ([]Pair, int64, error) {
	var pairs []Pair
	revision := int64(0)
	for {
		page, err := store.ListPage(ctx, prefix, options)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		pairs = append(pairs, page.Pairs...)
		if !page.More || len(page.Pairs) == 0 {
			return pairs, revision, nil
		}
		options.After = page.Pairs[len(page.Pairs)-1].Key
	}
}
