package jobworker_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/kv"
)

// weather is how the store treats the calls of one node.
type weather int

const (
	// fair answers at once.
	fair weather = iota
	// down refuses each call as not done.
	down
	// slow does changes at once and answers them slowAnswer later; reads are answered at once.
	slow
	// rough draws for each change: answered late, done without an answer, done after its caller gave up, or fair.
	rough
)

const (
	// slowAnswer is how late a slow store answers.
	slowAnswer = 240 * time.Millisecond
	// maxDelay bounds how late a change is done, or answered, in rough weather; some are later than their callers wait.
	maxDelay = 2 * time.Second
)

// weatherStore is a node's client of the store, with drawn faults.
type weatherStore struct {
	kv.Paged

	mutex sync.Mutex
	now   weather
	draw  *rand.Rand
}

func newWeatherStore(store kv.Paged, seed uint64) *weatherStore {
	return &weatherStore{Paged: store, draw: rand.New(rand.NewPCG(seed, 1))}
}

func (s *weatherStore) set(next weather) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.now = next
}

// plan is when a change is done and answered, counted from the call; lost means that it is not answered.
type plan struct {
	refused     bool
	done, reply time.Duration
	lost        bool
}

func (s *weatherStore) next() plan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch s.now {
	case down:
		return plan{refused: true}
	case slow:
		return plan{reply: slowAnswer}
	case rough:
		delay := time.Duration(s.draw.Int64N(int64(maxDelay)))
		return []plan{{}, {}, {reply: delay}, {lost: true}, {done: delay, reply: delay}, {done: delay, lost: true}}[s.draw.IntN(6)]
	}
	return plan{}
}

// Commit implements kv.Paged.
func (s *weatherStore) Commit(ctx context.Context, compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	next := s.next()
	if next.refused {
		return kv.TransactionResult{}, kv.ErrUnavailable
	}
	type answer struct {
		result kv.TransactionResult
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		time.Sleep(next.done)
		result, err := s.Paged.Commit(context.Background(), compares, writes)
		if next.lost {
			return
		}
		time.Sleep(next.reply - next.done)
		answers <- answer{result, err}
	}()
	select {
	case made := <-answers:
		return made.result, made.err
	case <-ctx.Done():
		return kv.TransactionResult{}, kv.ErrOutcomeUnknown
	}
}

// refuses reports whether a call that is no transaction is refused.
func (s *weatherStore) refuses() bool { return s.next().refused }

// Get implements kv.Paged.
func (s *weatherStore) Get(ctx context.Context, key string) (kv.Pair, int64, error) {
	if s.refuses() {
		return kv.Pair{}, 0, kv.ErrUnavailable
	}
	return s.Paged.Get(ctx, key)
}

// ListPage implements kv.Paged.
func (s *weatherStore) ListPage(ctx context.Context, prefix string, options kv.PageOptions) (kv.Page, error) {
	if s.refuses() {
		return kv.Page{}, kv.ErrUnavailable
	}
	return s.Paged.ListPage(ctx, prefix, options)
}

// Changes implements kv.Paged.
func (s *weatherStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.WatchResponse, error) {
	if s.refuses() {
		return kv.WatchResponse{}, kv.ErrUnavailable
	}
	return s.Paged.Changes(ctx, prefix, after, wait)
}

// Grant implements kv.Paged.
func (s *weatherStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if s.refuses() {
		return 0, kv.ErrUnavailable
	}
	return s.Paged.Grant(ctx, ttl)
}

// KeepAlive implements kv.Paged.
func (s *weatherStore) KeepAlive(ctx context.Context, lease kv.LeaseID) (time.Duration, error) {
	if s.refuses() {
		return 0, kv.ErrUnavailable
	}
	return s.Paged.KeepAlive(ctx, lease)
}
