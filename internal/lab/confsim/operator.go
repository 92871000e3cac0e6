package confsim

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"time"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/kv"
)

// operatorDeadline is how long a simulated Apply may take.
const operatorDeadline = 5 * time.Second

// Outcome is how an operator's change ended.
type Outcome struct {
	ID     string
	Change confsync.Change
	Err    error
	// Committed is the instant at which the last commit was tried at the key-value service.
	Committed time.Time
	Finished  time.Time
}

// Submit runs Writer.Apply at a node, beginning now. Each of its calls of the key-value service takes simulated time, in
// which other operators and nodes act. done is called when it ends, unless the node stops before.
func (f *Fleet) Submit(node *Node, proposal confsync.Proposal, done func(Outcome)) {
	operator := &operator{
		fleet:    f,
		node:     node,
		life:     node.life,
		deadline: f.Now().Add(operatorDeadline),
		tasks:    make(chan task),
		resume:   make(chan struct{}),
	}
	writer := confsync.NewWriter(&slowStore{Store: node.store, operator: operator}, &operatorCopy{node, operator},
		confsync.WithApplyTimeout(time.Hour),
		confsync.WithClock(f.Now, operator.sleep, func(bound time.Duration) time.Duration {
			return bound/2 + f.draw(bound/2)
		}))
	go func() {
		<-operator.resume
		change, err := writer.Apply(context.Background(), proposal)
		operator.tasks <- task{finish: func() {
			done(Outcome{
				ID:        proposal.ID,
				Change:    change,
				Err:       err,
				Committed: operator.committed,
				Finished:  f.Now(),
			})
		}}
	}()
	operator.proceed()
}

// operator is one Apply, run in a goroutine of its own that only moves while the clock waits for it: the run stays
// deterministic and free of data races.
type operator struct {
	fleet     *Fleet
	node      *Node
	life      int
	deadline  time.Time
	tasks     chan task
	resume    chan struct{}
	committed time.Time
	// abandoned operators end at once when they are resumed.
	abandoned bool
}

// task is what an operator waits for: a duration, or its end.
type task struct {
	delay  time.Duration
	finish func()
}

// proceed lets the operator run to its next task and schedules that. An operator whose node has stopped never runs
// again.
func (o *operator) proceed() {
	if o.node.life != o.life {
		o.abandoned = true
		o.resume <- struct{}{}
		return
	}
	o.resume <- struct{}{}
	next := <-o.tasks
	if next.finish != nil {
		next.finish()
		return
	}
	o.fleet.clock.After(next.delay, o.proceed)
}

// wait lets simulated time pass.
func (o *operator) wait(delay time.Duration) {
	o.tasks <- task{delay: delay}
	<-o.resume
	if o.abandoned {
		runtime.Goexit()
	}
}

func (o *operator) sleep(_ context.Context, duration time.Duration) error {
	if o.fleet.Now().Add(duration).After(o.deadline) {
		return fmt.Errorf("simulated deadline: %w", context.DeadlineExceeded)
	}
	o.wait(duration)
	return nil
}

// operatorCopy is a node's copy as an operator on it sees it.
type operatorCopy struct {
	*Node
	operator *operator
}

// Periods of an operator's wait for a second node.
const (
	heldTimeout    = 500 * time.Millisecond
	heldPollPeriod = 10 * time.Millisecond
)

// AwaitHeld waits in simulated time until another node is known to hold the revision.
func (c *operatorCopy) AwaitHeld(_ context.Context, revision int64) bool {
	until := c.fleet.Now().Add(heldTimeout)
	for !c.core.Held(revision) && c.fleet.Now().Before(until) {
		c.operator.wait(heldPollPeriod)
	}
	return c.core.Held(revision)
}

// slowStore has each call take the store's delay before and after it takes effect.
type slowStore struct {
	kv.Store
	operator *operator
}

func (s *slowStore) pass() {
	fleet := s.operator.fleet
	s.operator.wait(fleet.options.StoreDelay + fleet.draw(fleet.options.StoreDelay))
}

// Get implements kv.Store.
func (s *slowStore) Get(ctx context.Context, key string) (kv.Pair, error) {
	s.pass()
	pair, err := s.Store.Get(ctx, key)
	s.pass()
	return pair, err
}

// List implements kv.Store.
func (s *slowStore) List(ctx context.Context, prefix string) ([]kv.Pair, int64, error) {
	s.pass()
	pairs, revision, err := s.Store.List(ctx, prefix)
	s.pass()
	return pairs, revision, err
}

// Commit implements kv.Store. A request whose outcome is unknown arrives once more later, as one that was held up in the
// network does.
func (s *slowStore) Commit(
	ctx context.Context, compares []kv.Compare, writes []kv.Write,
) (kv.TransactionResult, error) {
	s.pass()
	result, err := s.Store.Commit(ctx, compares, writes)
	s.operator.committed = s.operator.fleet.Now()
	s.operator.fleet.committed()
	if errors.Is(err, kv.ErrOutcomeUnknown) {
		s.operator.fleet.commitLate(compares, writes)
	}
	s.pass()
	return result, err
}

// commitLate applies a commit after a while, past every fault.
func (f *Fleet) commitLate(compares []kv.Compare, writes []kv.Write) {
	f.clock.After(f.draw(3*time.Second), func() {
		// A compare that no longer holds is the case under test.
		_, _ = f.late.Commit(context.Background(), compares, writes)
		f.committed()
	})
}

// committed has the watches of all relays show a change after the store's delay.
func (f *Fleet) committed() {
	for _, node := range f.nodes {
		f.clock.After(f.options.StoreDelay+f.draw(f.options.StoreDelay), node.follow)
	}
}
