// Package shard replicates a log of commands over a small set of machines with disks and applies it to a state machine.
package shard

import (
	"context"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Failures of a proposal or a read.
const (
	// ErrUnavailable means the command was definitely not, and will not be, applied.
	ErrUnavailable = failure.Kind("shard: unavailable")
	// ErrOutcomeUnknown means the command may be applied now or later.
	ErrOutcomeUnknown = failure.Kind("shard: outcome unknown")
	// ErrTooFewCopies means the shard has fewer synchronised replicas than the proposal asked for; not applied.
	ErrTooFewCopies = failure.Kind("shard: too few copies")
)

// NotLeaderError means another replica leads the shard, if Leader is set. The command was not applied.
type NotLeaderError struct {
	Shard  ident.Shard
	Leader ident.Node
}

// Error names the leader if it is known.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("shard %d: not the leader (leader %q)", e.Shard, e.Leader)
}

// Reader reads the applied state of a shard.
type Reader interface {
	// Get returns a copy of the value, or nil if the key does not exist.
	Get(key []byte) ([]byte, error)
	// Scan calls visit for each key in [start, end) in order until visit returns false. The slices are only valid
	// during the call.
	Scan(start, end []byte, visit func(key, value []byte) bool) error
}

// Transaction reads and writes the state of a shard while a command is applied. Its reads see its own writes.
type Transaction interface {
	Reader
	Set(key, value []byte) error
	Delete(key []byte) error
	DeleteRange(start, end []byte) error
}

// Machine is the deterministic state machine of a shard. Apply depends on nothing but the transaction and the command:
// no clock, no randomness, no memory of its own. An error stops the replica.
type Machine interface {
	Apply(transaction Transaction, index uint64, command []byte) (reply []byte, err error)
}

// Leadership is one period of leadership of a replica. Terms of successive periods grow.
type Leadership struct {
	Epoch uint64
	Round uint64
}

// Replica is the local replica of a shard as its users see it.
type Replica interface {
	// Propose replicates a command and returns the state machine's reply once the command is committed at every
	// replica of the current set, and applied here. Errors wrap ErrUnavailable, ErrOutcomeUnknown, ErrTooFewCopies or
	// *NotLeaderError. minimumCopies is the least size of the replica set that may commit the command; zero means any.
	Propose(ctx context.Context, command []byte, minimumCopies int) (reply []byte, err error)
	// View reads committed state on the leader; followers return *NotLeaderError.
	View(ctx context.Context, read func(Reader) error) error
	// Leading reports whether this replica leads, and its term.
	Leading() (Leadership, bool)
}
