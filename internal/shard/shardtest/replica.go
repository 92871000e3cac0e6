// Package shardtest runs a state machine on one replica in memory, for the tests of packages that use shards.
package shardtest

import (
	"context"
	"fmt"
	"sync"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// Replica is a shard.Replica without a network or a disk. It commits a command by applying it.
type Replica struct {
	id      ident.Shard
	machine shard.Machine

	mutex   sync.Mutex
	state   *State
	index   uint64
	copies  int
	leader  bool
	node    ident.Node
	round   uint64
	failure error
}

var _ shard.Replica = (*Replica)(nil)

// New returns a leading replica of an empty shard that counts as three copies.
func New(id ident.Shard, machine shard.Machine) *Replica {
	const defaultCopies = 3
	return &Replica{id: id, machine: machine, state: NewState(), copies: defaultCopies, leader: true, round: 1}
}

// SetCopies sets the number of synchronised copies that proposals are checked against.
func (r *Replica) SetCopies(copies int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.copies = copies
}

// SetLeading makes the replica lead in a new term, or follow the given node.
func (r *Replica) SetLeading(leading bool, leader ident.Node) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leader = leading
	r.node = leader
	r.round++
}

// FailNext makes the next proposal end with err: before it is applied if err is shard.ErrUnavailable, after it is
// applied otherwise.
func (r *Replica) FailNext(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failure = err
}

// Propose applies the command.
func (r *Replica) Propose(ctx context.Context, command []byte, minimumCopies int) ([]byte, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("shard %d: %w: %w", r.id, shard.ErrUnavailable, ctx.Err())
	}
	if !r.leader {
		return nil, &shard.NotLeaderError{Shard: r.id, Leader: r.node}
	}
	if r.copies < minimumCopies {
		return nil, fmt.Errorf("shard %d: %d copies: %w", r.id, r.copies, shard.ErrTooFewCopies)
	}
	injected := r.failure
	r.failure = nil
	if injected == shard.ErrUnavailable {
		return nil, fmt.Errorf("shard %d: injected: %w", r.id, injected)
	}
	r.index++
	reply, err := r.machine.Apply(r.state, r.index, command)
	if err != nil {
		return nil, fmt.Errorf("shard %d: applying command %d: %w", r.id, r.index, err)
	}
	if injected != nil {
		return nil, fmt.Errorf("shard %d: injected: %w", r.id, injected)
	}
	return reply, nil
}

// View reads the applied state.
func (r *Replica) View(_ context.Context, read func(shard.Reader) error) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.leader {
		return &shard.NotLeaderError{Shard: r.id, Leader: r.node}
	}
	return read(r.state)
}

// Leading reports whether the replica leads.
func (r *Replica) Leading() (shard.Leadership, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return shard.Leadership{Epoch: 1, Round: r.round}, r.leader
}
