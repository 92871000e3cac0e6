package shard

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// MemberStatus is what a leader or a candidate knows of another replica.
type MemberStatus struct {
	Member  Member
	Learner bool
	// Match is the last index known to be durable there; leaders only.
	Match uint64
	// Silence is the time since the replica last answered, or since the leader began to follow it.
	Silence time.Duration
	// Unheard is the time since any message of the replica came. It is at most Silence.
	Unheard time.Duration
}

// Status is a replica's view of its shard.
type Status struct {
	Self          Member
	Role          Role
	Leader        Member
	Term          Term
	Configuration Configuration
	Activated     uint64
	FirstIndex    uint64
	LastIndex     uint64
	Commit        uint64
	Applied       uint64
	// Serving allows proposals and reads.
	Serving  bool
	LeaseEnd time.Duration
	// Transferring is set while leadership is handed over.
	Transferring bool
	// LeaderSilence is the time since this replica last heard from a leader, or started.
	LeaderSilence time.Duration
	// Unfollowed is the time since this replica last followed a leader, learnt its set, or started.
	Unfollowed time.Duration
	// Others are the other members and the learners.
	Others []MemberStatus
}

// Status returns the present view.
func (c *Core) Status(now time.Duration) Status {
	c.now = max(c.now, now)
	status := Status{
		Self: c.self, Role: c.role, Leader: c.leader, Term: c.hard.Term, Configuration: c.hard.Configuration,
		Activated: c.hard.Activated, FirstIndex: c.log.firstIndex(), LastIndex: c.log.lastIndex(),
		Commit: c.log.commit, Applied: c.log.applied, LeaseEnd: c.LeaseEnd(),
		Transferring: c.transferTo != (Member{}), LeaderSilence: c.now - max(c.heardAt, c.awakeSince),
		Unfollowed: c.now - c.followingSince,
	}
	status.Serving = c.Serving() && status.Applied >= c.firstOfTerm
	for _, member := range c.others() {
		status.Others = append(status.Others, c.memberStatus(member, false))
	}
	for _, learner := range c.learners {
		status.Others = append(status.Others, c.memberStatus(learner, true))
	}
	return status
}

func (c *Core) memberStatus(member Member, learner bool) MemberStatus {
	status := MemberStatus{Member: member, Learner: learner}
	if follower := c.progress[member]; follower != nil {
		status.Match = follower.match
	}
	status.Silence = c.now - max(c.answered(member)+c.awaySince(member), c.awakeSince)
	status.Unheard = min(status.Silence, c.now-c.received[member])
	return status
}

// Leadership returns the term of a replica that may serve.
func (c *Core) Leadership(now time.Duration) (Leadership, bool) {
	c.now = max(c.now, now)
	serving := c.Serving() && c.log.applied >= c.firstOfTerm
	return Leadership{Epoch: c.hard.Term.Epoch, Round: c.hard.Term.Round}, serving
}

// Copies returns the size of the present set.
func (c *Core) Copies() int { return len(c.hard.Configuration.Members) }

// Compactable returns the last index that may be dropped from the log when retained applied entries are kept. Entries
// that a replica still needs after a state on its way stay too.
func (c *Core) Compactable(retained uint64) uint64 {
	return min(c.CompactableAtMost(retained), c.heldAfter(retained))
}

// CompactableAtMost is Compactable without regard to states on their way, for a log that has grown too long for them.
func (c *Core) CompactableAtMost(retained uint64) uint64 {
	if c.log.applied <= retained {
		return 0
	}
	return min(c.log.applied-retained, c.log.persisted)
}

// heldAfter returns the index after which entries are held for replicas that catch up. Until the set is activated all are: a
// new member has caught up but for its last entries, what the former leader knew of it is gone with the former epoch, and a
// second state would hold up every command while it is sent, because nothing commits without a member.
func (c *Core) heldAfter(retained uint64) uint64 {
	if c.hard.Activated < c.hard.Configuration.Epoch {
		return 0
	}
	held := uint64(math.MaxUint64)
	for member, follower := range c.progress {
		// A learner may lack more than the retained entries when it becomes a member.
		if c.hard.Configuration.Has(member) && follower.match+retained >= c.log.applied {
			follower.held = 0
		}
		if follower.held > 0 {
			held = min(held, max(follower.held, follower.match))
		}
	}
	return held
}

// TermAt returns the term of an entry, so that a snapshot of the applied state can name it.
func (c *Core) TermAt(index uint64) (Term, error) { return c.log.term(index) }

func (c *Core) leaderNode() ident.Node {
	if c.role == Leader {
		return c.self.Node
	}
	return c.leader.Node
}
