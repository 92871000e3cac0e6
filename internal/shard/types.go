package shard

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Member is one replica's identity: a node and the random incarnation written in its data folder. A wiped folder gets
// another incarnation, so it is another member and never votes in the place of the first.
type Member struct {
	Node        ident.Node `json:"node"`
	Incarnation string     `json:"incarnation"`
}

// Compare orders members by node, then by incarnation.
func (m Member) Compare(other Member) int {
	if order := cmp.Compare(m.Node, other.Node); order != 0 {
		return order
	}
	return cmp.Compare(m.Incarnation, other.Incarnation)
}

// Term is a period of at most one leader. Terms are ordered by epoch, then by round.
type Term struct {
	Epoch uint64 `json:"epoch"`
	Round uint64 `json:"round"`
}

// Compare orders terms.
func (t Term) Compare(other Term) int {
	if order := cmp.Compare(t.Epoch, other.Epoch); order != 0 {
		return order
	}
	return cmp.Compare(t.Round, other.Round)
}

// Less reports whether t is before other.
func (t Term) Less(other Term) bool { return t.Compare(other) < 0 }

// Entry is one entry of the log. An entry without a command is what a leader commits first in its term.
type Entry struct {
	Index   uint64
	Term    Term
	Command []byte
}

// Configuration is the replica set of one epoch. Its members never change within the epoch.
type Configuration struct {
	Epoch uint64 `json:"epoch"`
	// Members is sorted.
	Members []Member `json:"members"`
	// Seasoned are the members that were known to hold every committed entry when the epoch was written.
	Seasoned []Member `json:"seasoned"`
}

// Has reports whether the member belongs to the set.
func (c Configuration) Has(member Member) bool { return slices.Contains(c.Members, member) }

// IsSeasoned reports whether the member was known to hold every committed entry when the epoch was written.
func (c Configuration) IsSeasoned(member Member) bool { return slices.Contains(c.Seasoned, member) }

// Equal reports whether both are the same set of the same epoch.
func (c Configuration) Equal(other Configuration) bool {
	return c.Epoch == other.Epoch && slices.Equal(c.Members, other.Members) && slices.Equal(c.Seasoned, other.Seasoned)
}

// NewConfiguration returns a replica set in normal form, so that sets with the same members are equal.
func NewConfiguration(epoch uint64, members, seasoned []Member) Configuration {
	return Configuration{Epoch: epoch, Members: members, Seasoned: seasoned}.normalise()
}

// normalise sorts the lists, so that equal configurations are stored as equal bytes.
func (c Configuration) normalise() Configuration {
	members := slices.Clone(c.Members)
	slices.SortFunc(members, Member.Compare)
	seasoned := slices.Clone(c.Seasoned)
	slices.SortFunc(seasoned, Member.Compare)
	return Configuration{Epoch: c.Epoch, Members: slices.Compact(members), Seasoned: slices.Compact(seasoned)}
}

// HardState is what a replica must have on disk before it speaks.
type HardState struct {
	// Term is the newest term the replica promised: it takes part in no older one.
	Term Term `json:"term"`
	// Vote is the candidate it promised in Term.
	Vote Member `json:"vote"`
	// Configuration is the newest replica set it knows.
	Configuration Configuration `json:"configuration"`
	// Activated is the newest epoch of which this replica, as a member, holds a committed entry. From then on it holds
	// every committed entry of that epoch and all before.
	Activated uint64 `json:"activated"`
}

func (h HardState) equal(other HardState) bool {
	return h.Term == other.Term && h.Vote == other.Vote && h.Activated == other.Activated &&
		h.Configuration.Equal(other.Configuration)
}

// LogReader reads the durable log. Entries below FirstIndex were compacted into the applied state; the term of the
// entry just before FirstIndex is kept.
type LogReader interface {
	FirstIndex() uint64
	LastIndex() uint64
	// Term returns the term of an entry in [FirstIndex-1, LastIndex].
	Term(index uint64) (Term, error)
	// Entries returns entries from index low on, at least one and at most about maximumBytes, none beyond high.
	Entries(low, high uint64, maximumBytes int) ([]Entry, error)
}

// Settings are the times and sizes of a replica. Times are on the caller's monotonic clock.
type Settings struct {
	// Heartbeat is the time between messages of an idle leader.
	Heartbeat time.Duration
	// Lease is how long a follower refuses other candidates after it heard from a leader.
	Lease time.Duration
	// Election is the least time without a leader before a member campaigns; the most is twice that.
	Election time.Duration
	// MaximumAppendBytes bounds the commands in one message.
	MaximumAppendBytes int
	// MaximumInflight bounds the unacknowledged append messages to one member.
	MaximumInflight int
	// Seed varies the election time between replicas.
	Seed uint64
}

// DefaultSettings suit zones a few milliseconds apart.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:          500 * time.Millisecond,
		Lease:              1500 * time.Millisecond,
		Election:           2 * time.Second,
		MaximumAppendBytes: 1 << 20,
		MaximumInflight:    16,
	}
}
