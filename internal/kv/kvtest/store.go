package kvtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/kv"
)

// watchBuffer is how many responses a watch holds for a slow reader.
const watchBuffer = 16

// Faults are the faults of a Store. The zero value has none.
type Faults struct {
	// Outage refuses every call with kv.ErrUnavailable and silences watches.
	Outage bool
	// RateLimited is the chance that a call is refused with kv.ErrRateLimited.
	RateLimited float64
	// LoseAnswer is the chance that a change is applied and its answer lost: kv.ErrOutcomeUnknown.
	LoseAnswer float64
	// LoseRequest is the chance that a change is not applied and its caller cannot tell: kv.ErrOutcomeUnknown.
	LoseRequest float64
	// LoseContact applies the next change, loses its answer, and is an outage from then on.
	LoseContact bool
}

// Store is a kv.Store in memory with seeded faults. Each client of one Data may have a Store of its own, and so its
// own faults: a partition by client is an outage of one Store.
type Store struct {
	data *Data

	mutex   sync.Mutex
	faults  Faults
	random  *rand.Rand
	calls   int
	changed chan struct{}
}

var _ kv.Store = (*Store)(nil)

// New returns a Store with its own Data and leases that run by the wall clock.
func New(seed uint64) *Store { return NewStore(NewData(time.Now), seed) }

// NewStore returns a Store over shared data.
func NewStore(data *Data, seed uint64) *Store {
	return &Store{data: data, random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
}

// Data returns the data behind the store, which tests may look at past any fault.
func (s *Store) Data() *Data { return s.data }

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns how many calls reached the store, watches included.
func (s *Store) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Pair, error) {
	if err := s.admit(ctx); err != nil {
		return kv.Pair{}, fmt.Errorf("get %q: %w", key, err)
	}
	pair, _, exists := s.data.Get(key)
	if !exists {
		return kv.Pair{}, fmt.Errorf("get %q: %w", key, kv.ErrNotFound)
	}
	return pair, nil
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	if err := s.admit(ctx); err != nil {
		return nil, 0, fmt.Errorf("list %q: %w", prefix, err)
	}
	events, revision := s.data.Range(prefix, PrefixEnd(prefix))
	pairs := make([]kv.Pair, 0, len(events))
	for _, event := range events {
		pairs = append(pairs, event.Pair)
	}
	return pairs, revision, nil
}

// Commit implements kv.Store.
func (s *Store) Commit(ctx context.Context, compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	if err := s.admit(ctx); err != nil {
		return kv.TransactionResult{}, fmt.Errorf("commit: %w", err)
	}
	applied, answered := s.drawChange()
	if !applied {
		return kv.TransactionResult{}, fmt.Errorf("commit: request lost: %w", kv.ErrOutcomeUnknown)
	}
	result, err := s.commit(compares, writes)
	if !answered {
		return kv.TransactionResult{}, fmt.Errorf("commit: answer lost: %w", kv.ErrOutcomeUnknown)
	}
	return result, err
}

func (s *Store) commit(compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	var result kv.TransactionResult
	revision, err := s.data.Transact(func(get func(string) (kv.Pair, int64, bool)) []Op {
		for _, compare := range compares {
			pair, _, _ := get(compare.Key)
			if pair.ModRevision != compare.ModRevision {
				return nil
			}
		}
		result.Succeeded = true
		return opsOf(writes)
	})
	result.Revision = revision
	if err != nil {
		return kv.TransactionResult{}, fmt.Errorf("commit: %w", err)
	}
	return result, nil
}

func opsOf(writes []kv.Write) []Op {
	ops := make([]Op, 0, len(writes))
	for _, write := range writes {
		ops = append(ops, Op{Key: write.Key, Value: write.Value, Delete: write.Delete, Lease: write.Lease})
	}
	return ops
}

// Watch implements kv.Store. An outage holds events back and delivers them when it ends.
func (s *Store) Watch(ctx context.Context, prefix string, afterRevision int64) (<-chan kv.WatchResponse, error) {
	if err := s.admit(ctx); err != nil {
		return nil, fmt.Errorf("watch %q: %w", prefix, err)
	}
	responses := make(chan kv.WatchResponse, watchBuffer)
	go s.watch(ctx, prefix, afterRevision, responses)
	return responses, nil
}

func (s *Store) watch(ctx context.Context, prefix string, revision int64, responses chan<- kv.WatchResponse) {
	defer close(responses)
	for {
		dataChanged := s.data.Changed()
		outage, faultsChanged := s.outage()
		if !outage {
			response := s.next(prefix, revision)
			if len(response.Events) > 0 || response.Err != nil {
				select {
				case responses <- response:
				case <-ctx.Done():
					return
				}
			}
			if response.Err != nil {
				return
			}
			revision = response.Revision
		}
		select {
		case <-dataChanged:
		case <-faultsChanged:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) next(prefix string, afterRevision int64) kv.WatchResponse {
	events, revision, err := s.data.EventsAfter(prefix, PrefixEnd(prefix), afterRevision)
	response := kv.WatchResponse{Revision: max(revision, afterRevision)}
	if err != nil {
		response.Err = fmt.Errorf("watch %q: %w", prefix, err)
		return response
	}
	for _, event := range events {
		response.Events = append(response.Events, kv.WatchEvent{Pair: event.Pair, Deleted: event.Deleted})
	}
	return response
}

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.admit(ctx); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	applied, answered := s.drawChange()
	if !applied {
		return 0, fmt.Errorf("grant lease: request lost: %w", kv.ErrOutcomeUnknown)
	}
	id := s.data.Grant(ttl)
	if !answered {
		return 0, fmt.Errorf("grant lease: answer lost: %w", kv.ErrOutcomeUnknown)
	}
	return id, nil
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) (time.Duration, error) {
	if err := s.admit(ctx); err != nil {
		return 0, fmt.Errorf("keep lease alive: %w", err)
	}
	ttl, err := s.data.KeepAlive(id)
	if err != nil {
		return 0, fmt.Errorf("keep lease alive: %w", err)
	}
	return ttl, nil
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	if err := s.admit(ctx); err != nil {
		return fmt.Errorf("revoke lease: %w", err)
	}
	if err := s.data.Revoke(id); err != nil {
		return fmt.Errorf("revoke lease: %w", err)
	}
	return nil
}

// admit counts the call and refuses it where a fault says so; nothing has been applied then.
func (s *Store) admit(ctx context.Context) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if ctx.Err() != nil || s.faults.Outage {
		return kv.ErrUnavailable
	}
	if s.random.Float64() < s.faults.RateLimited {
		return kv.ErrRateLimited
	}
	return nil
}

// drawChange decides whether a change is applied and whether its answer arrives.
func (s *Store) drawChange() (applied, answered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.LoseContact {
		s.faults.LoseContact = false
		s.faults.Outage = true
		return true, false
	}
	if s.random.Float64() < s.faults.LoseRequest {
		return false, false
	}
	return true, s.random.Float64() >= s.faults.LoseAnswer
}

func (s *Store) outage() (bool, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.Outage, s.changed
}
