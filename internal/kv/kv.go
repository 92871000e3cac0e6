// Package kv is the interface to the platform's key-value service. Each dialect is one package below it. The service
// is small and rate-limited and has outages; an answer may be lost although the change took effect.
package kv

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Failures of the key-value service.
const (
	// ErrUnavailable means the service definitely did not apply the call.
	ErrUnavailable = failure.Kind("kv: unavailable")
	// ErrOutcomeUnknown means a change may or may not have been applied; read back to find out.
	ErrOutcomeUnknown = failure.Kind("kv: outcome unknown")
	// ErrRateLimited means the service refused the call for now.
	ErrRateLimited = failure.Kind("kv: rate limited")
	// ErrCompacted means a watch or read asked for a revision that is no longer kept.
	ErrCompacted = failure.Kind("kv: revision compacted")
	// ErrNotFound means the key does not exist.
	ErrNotFound = failure.Kind("kv: key not found")
	// ErrLeaseNotFound means the lease has lapsed or never existed.
	ErrLeaseNotFound = failure.Kind("kv: lease not found")
)

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
