package shard

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Message travels between two replicas of a shard. Messages may be lost, delayed, duplicated and reordered.
type Message struct {
	Shard ident.Shard
	From  Member
	// To names the incarnation meant; any other incarnation of the node must drop the message.
	To Member
	// Term is the sender's term: the candidate's, the leader's, or the newest term the answering replica promised.
	Term Term
	// Configuration is set when the receiver may not know the replica set of Term.
	Configuration *Configuration
	Body          Body
}

// Body is the content of a message: one of the types below.
type Body interface{ body() }

// VoteRequest asks for a promise to follow nobody but the sender in Term.
type VoteRequest struct {
	// Trial asks whether a vote would be given and changes nothing at the receiver.
	Trial bool
	// Transfer says that the leader gave up its lease in favour of the sender.
	Transfer  bool
	LastIndex uint64
	LastTerm  Term
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Trial   bool
	Granted bool
	// Requested is the term of the request.
	Requested Term
}

// AppendRequest replicates entries, proves that the leader lives, and spreads the commit index.
type AppendRequest struct {
	PreviousIndex uint64
	PreviousTerm  Term
	Entries       []Entry
	Commit        uint64
	// Sent is the leader's clock; the reply brings it back.
	Sent time.Duration
}

// AppendReply answers an AppendRequest once the entries are on disk.
type AppendReply struct {
	// Requested is the term of the request.
	Requested Term
	Rejected  bool
	// Match is the last index known to equal the leader's log and to be on disk; after a rejection, the index to
	// resume after.
	Match uint64
	// Activated is the newest epoch the replica durably knows to be activated.
	Activated uint64
	Sent      time.Duration
}

// TransferRequest asks the receiver to campaign at once; the sender gave up its lease.
type TransferRequest struct{}

func (VoteRequest) body()     {}
func (VoteReply) body()       {}
func (AppendRequest) body()   {}
func (AppendReply) body()     {}
func (TransferRequest) body() {}

// Snapshot describes the applied state sent to a replica whose next entry was compacted.
type Snapshot struct {
	Shard ident.Shard
	From  Member
	To    Member
	// LeaderTerm is the term of the sender.
	LeaderTerm Term
	// Index and Term are those of the last entry in the state.
	Index         uint64
	Term          Term
	Configuration Configuration
	// Staging names the place where the receiver's store keeps the received state until it is installed.
	Staging uint64
}

// Output is the work a replica asks its host to do. The host sends Messages at any time; it makes HardState, Install and
// Append durable in one atomic write, then calls Core.Persisted, and only then sends AfterSync and applies Committed.
// The order matters: a vote or an acknowledgement that a crash can undo would let two leaders be elected in one term,
// or lose an entry that was reported committed.
type Output struct {
	HardState *HardState
	// Install replaces the state and the log.
	Install *Snapshot
	// Append replaces the log from Append[0].Index on.
	Append []Entry
	// Messages do not depend on the writes of this output.
	Messages  []Message
	AfterSync []Message
	// Committed entries follow one another and are already durable here.
	Committed []Entry
	// SendSnapshots lists members that need the applied state.
	SendSnapshots []Member
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return !o.NeedsSync() && len(o.Messages) == 0 && len(o.AfterSync) == 0 && len(o.Committed) == 0 &&
		len(o.SendSnapshots) == 0
}

// NeedsSync reports whether the output has anything to make durable.
func (o *Output) NeedsSync() bool {
	return o.HardState != nil || o.Install != nil || len(o.Append) > 0
}
