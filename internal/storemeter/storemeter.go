// Package storemeter counts the calls a node makes to the platform's store, and notes whether they are answered. Each call has its
// price there, refused ones too, so that operators want to see which part of a node makes them.
package storemeter

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/reachability"
)

// Store passes calls on to another store and counts them. It implements kv.Paged.
type Store struct {
	next kv.Paged
	// Heard is told whether the store answers; nil is not.
	Heard *reachability.Watch

	mutex sync.Mutex
	// counts holds the calls since the last Take, by kind: the call's name, and the family of the keys where it has one.
	counts map[string]int
}

// New returns a meter before a store.
func New(next kv.Paged) *Store { return &Store{next: next, counts: map[string]int{}} }

// Take returns the counts since the last Take.
func (s *Store) Take() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.counts
	s.counts = map[string]int{}
	return taken
}

func (s *Store) count(call, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[kind(call, key)]++
}

// note tells whether a call was answered. One that its caller gave up says nothing.
func (s *Store) note(ctx context.Context, err error) {
	switch {
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, kv.ErrOutcomeUnknown):
		if !errors.Is(ctx.Err(), context.Canceled) {
			s.Heard.Failed(clock.Now())
		}
	default:
		s.Heard.Answered()
	}
}

// familyParts is how many parts of a key, parted by slashes, name its family.
const familyParts = 2

// kind names a call by the family of its key: the part that does not change from one job or runner to the next.
func kind(call, key string) string {
	if key == "" {
		return call
	}
	parts := strings.SplitN(key, "/", familyParts+1)
	return call + " " + strings.Join(parts[:min(len(parts), familyParts)], "/")
}

// Get implements kv.Paged.
func (s *Store) Get(ctx context.Context, key string) (kv.Pair, int64, error) {
	s.count("get", key)
	pair, revision, err := s.next.Get(ctx, key)
	s.note(ctx, err)
	return pair, revision, err
}

// ListPage implements kv.Paged.
func (s *Store) ListPage(ctx context.Context, prefix string, options kv.PageOptions) (kv.Page, error) {
	s.count("list", prefix)
	page, err := s.next.ListPage(ctx, prefix, options)
	s.note(ctx, err)
	return page, err
}

// Changes implements kv.Paged.
func (s *Store) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.WatchResponse, error) {
	s.count("watch", prefix)
	changes, err := s.next.Changes(ctx, prefix, after, wait)
	s.note(ctx, err)
	return changes, err
}

// Commit implements kv.Paged. It is counted by its first written key, in the family that the caller writes first.
func (s *Store) Commit(ctx context.Context, compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	key := ""
	if len(writes) > 0 {
		key = writes[0].Key
	}
	s.count("commit", key)
	result, err := s.next.Commit(ctx, compares, writes)
	s.note(ctx, err)
	return result, err
}

// Grant implements kv.Paged.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.count("grant", "")
	lease, err := s.next.Grant(ctx, ttl)
	s.note(ctx, err)
	return lease, err
}

// KeepAlive implements kv.Paged.
func (s *Store) KeepAlive(ctx context.Context, lease kv.LeaseID) (time.Duration, error) {
	s.count("renew", "")
	ttl, err := s.next.KeepAlive(ctx, lease)
	s.note(ctx, err)
	return ttl, err
}

// Revoke implements kv.Paged.
func (s *Store) Revoke(ctx context.Context, lease kv.LeaseID) error {
	s.count("revoke", "")
	err := s.next.Revoke(ctx, lease)
	s.note(ctx, err)
	return err
}
