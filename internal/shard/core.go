package shard

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Role is what a replica does in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	// Trial asks whether an election would succeed.
	Trial
	Candidate
	Leader
)

// Core is the replication protocol of one replica. It does no I/O and has no clock: time is the argument of Tick and
// Step, on the caller's monotonic clock. It is not safe for concurrent use. An error of a method is final: the replica
// must stop.
//
// The protocol in short: an entry is committed when every member of the current set has it on disk, and a leader is
// elected by the promises of every member. So each member alone holds everything that was acknowledged, and the set can
// be replaced from any one survivor. See docs/design/job-shards.md.
type Core struct {
	id       ident.Shard
	self     Member
	settings Settings
	log      *replicaLog

	hard      HardState
	savedHard HardState

	// otherMembers are the members of the present set but this replica.
	otherMembers []Member

	role   Role
	leader Member
	now    time.Duration
	// round is the highest round seen in the current epoch, promised or not.
	round uint64
	// draws counts election times drawn, for their variation.
	draws uint64

	// heard is the leader whose lease this replica keeps until leaseEnd. The zero Member after a start stands for any
	// leader before the start.
	heard    Member
	leaseEnd time.Duration
	// heardAt is when this replica last heard from a leader, or started; followingSince is when it last had one, or
	// learnt its replica set.
	heardAt time.Duration
	// ticked is the last tick, awakeSince when the process last went on after a standstill: the silence of others is counted from
	// then at the earliest.
	ticked, awakeSince time.Duration
	followingSince     time.Duration
	// electionDue is when a member without a leader campaigns.
	electionDue time.Duration
	votes       map[Member]bool
	// replied is when each other member last answered this replica as a candidate.
	replied map[Member]time.Duration
	// received is when the last message of each other replica came, of any kind and epoch; touched is the latest of these.
	received map[Member]time.Duration
	touched  time.Duration
	// away is for how long this replica was out of touch with everybody since each other member last answered.
	away map[Member]absence

	// The fields below are of the leader.
	progress     map[Member]*progress
	learners     []Member
	firstOfTerm  uint64
	heartbeatDue time.Duration
	transferTo   Member
	transferEnd  time.Duration

	output Output
}

// NewCore returns a follower. applied is the index up to which the durable state machine has applied the log.
func NewCore(
	id ident.Shard, self Member, hard HardState, store LogReader, applied uint64, settings Settings, now time.Duration,
) *Core {
	core := &Core{
		id: id, self: self, settings: settings, log: newLog(store, applied),
		hard: hard, savedHard: hard, now: now, replied: map[Member]time.Duration{}, received: map[Member]time.Duration{},
		touched: now, away: map[Member]absence{},
	}
	// A vote given or a lease kept just before a crash is forgotten; wait as long as it may have lasted.
	core.leaseEnd = now + settings.Lease
	core.heardAt = now
	core.followingSince = now
	core.round = hard.Term.Round
	core.updateOthers()
	core.resetElection()
	return core
}

// Step takes a message from another replica.
func (c *Core) Step(now time.Duration, message Message) error {
	c.now = max(c.now, now)
	if message.To != c.self || message.Shard != c.id {
		return nil
	}
	c.noteContact(message.From)
	if message.Configuration != nil {
		c.Adopt(*message.Configuration)
	}
	c.observeTerm(message)
	switch body := message.Body.(type) {
	case VoteRequest:
		return c.stepVoteRequest(message, body)
	case VoteReply:
		return c.stepVoteReply(message, body)
	case AppendRequest:
		return c.stepAppendRequest(message, body)
	case AppendReply:
		return c.stepAppendReply(message, body)
	case TransferRequest:
		return c.stepTransfer(message)
	}
	return nil
}

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) error {
	c.now = max(c.now, now)
	c.noteStandstill()
	if c.role == Leader {
		return c.tickLeader()
	}
	if c.now >= c.electionDue && c.isMember() && c.mayPromise(c.self) {
		return c.startTrial()
	}
	return nil
}

// standstillFactor times the time between two heartbeats without a tick shows that this process stood still: hosts tick several
// times within one.
const standstillFactor = 2

// noteStandstill notes when this process goes on after a standstill. What others sent meanwhile lies unread, so that none of them
// is known to have been silent: a leader that was paused with all members dropped one whose message it had not come to.
func (c *Core) noteStandstill() {
	if c.ticked > 0 && c.now-c.ticked > standstillFactor*c.settings.Heartbeat {
		c.awakeSince = c.now
	}
	c.ticked = c.now
}

// absence is a time out of touch, counted after the answer of a member at a moment. It is nothing once the member answers again.
type absence struct {
	after time.Duration
	sum   time.Duration
}

// noteContact notes that a replica was heard. One that comes back from a cut hears the others one after the other: the first to be
// heard must not have it drop the second for a silence that was its own. Of each time without any message the length of an election
// still counts as silence, so that contact that breaks off again and again keeps no lost member in the set.
func (c *Core) noteContact(from Member) {
	for _, member := range c.others() {
		answered := c.answered(member)
		if out := c.now - max(c.touched, answered) - c.settings.Election; out > 0 {
			c.away[member] = absence{after: answered, sum: c.awaySince(member) + out}
		}
	}
	c.touched = c.now
	c.received[from] = c.now
}

// awaySince is how long this replica was out of touch since a member last answered.
func (c *Core) awaySince(member Member) time.Duration {
	if known := c.away[member]; known.after == c.answered(member) {
		return known.sum
	}
	return 0
}

// answered is when another member last answered, or since when this replica counts on answers.
func (c *Core) answered(member Member) time.Duration {
	if follower := c.progress[member]; follower != nil {
		return max(follower.answered, follower.since)
	}
	return max(c.replied[member], c.followingSince)
}

// Adopt takes a replica set that is known to be stored in the key-value service. A newer epoch ends every role of the
// older one. It reports whether the set was new.
func (c *Core) Adopt(configuration Configuration) bool {
	if configuration.Epoch <= c.hard.Configuration.Epoch {
		return false
	}
	c.hard.Configuration = configuration.normalise()
	c.updateOthers()
	c.round = 0
	if c.hard.Term.Epoch == configuration.Epoch {
		c.round = c.hard.Term.Round
	}
	c.becomeFollower(Member{})
	clear(c.replied)
	clear(c.away)
	c.followingSince = c.now
	return true
}

// Take returns the work that became due. The caller does it before it calls Take again.
func (c *Core) Take() Output {
	if !c.hard.equal(c.savedHard) {
		saved := c.hard
		c.savedHard = c.hard
		c.output.HardState = &saved
	}
	c.output.Append = c.log.take()
	c.takeCommitted()
	taken := c.output
	c.output = Output{}
	return taken
}

// Persisted tells that the writes of the output are durable.
func (c *Core) Persisted(output Output) error {
	if len(output.Append) > 0 {
		last := output.Append[len(output.Append)-1]
		c.log.markPersisted(last.Index, last.Term)
	}
	if output.HardState != nil && c.role == Candidate && output.HardState.Term == c.hard.Term {
		c.votes[c.self] = true
		return c.countVotes()
	}
	if c.role == Leader {
		return c.advanceCommit()
	}
	return nil
}

// takeCommitted hands out entries that are committed and durable here.
func (c *Core) takeCommitted() {
	last := min(c.log.commit, c.log.persisted)
	if c.log.applied >= last {
		return
	}
	entries, err := c.log.entries(c.log.applied+1, last, c.settings.MaximumAppendBytes)
	if err != nil || len(entries) == 0 {
		return
	}
	c.output.Committed = entries
	c.log.applied = entries[len(entries)-1].Index
	c.log.shrink()
}

// HasWork reports whether Take would return anything.
func (c *Core) HasWork() bool {
	return !c.output.Empty() || !c.hard.equal(c.savedHard) || c.log.taken < c.log.lastIndex() ||
		c.log.applied < min(c.log.commit, c.log.persisted)
}

func (c *Core) isMember() bool { return c.hard.Configuration.Has(c.self) }

// others returns the other members of the set. The slice must not be changed.
func (c *Core) others() []Member { return c.otherMembers }

func (c *Core) updateOthers() {
	members := slices.Clone(c.hard.Configuration.Members)
	c.otherMembers = slices.DeleteFunc(members, func(m Member) bool { return m == c.self })
}

// observeTerm remembers the highest round in use, and ends the leadership of a leader that a member has left for a
// newer term: that member will acknowledge nothing more.
func (c *Core) observeTerm(message Message) {
	if message.Term.Epoch != c.hard.Configuration.Epoch {
		return
	}
	if trial, isVote := message.Body.(VoteRequest); isVote && trial.Trial {
		return
	}
	c.round = max(c.round, message.Term.Round)
	isReply := false
	switch message.Body.(type) {
	case VoteReply, AppendReply:
		isReply = c.hard.Configuration.Has(message.From)
	}
	if isReply && c.hard.Term.Less(message.Term) && (c.role == Leader || c.role == Candidate) {
		c.becomeFollower(Member{})
	}
}

func (c *Core) becomeFollower(leader Member) {
	if c.role != Follower || leader == (Member{}) {
		c.resetElection()
	}
	if c.role == Leader {
		// A leader hears nobody else lead: the time of its own leadership is no silence of the others.
		c.heardAt = c.now
		c.followingSince = c.now
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.learners = nil
	c.transferTo = Member{}
}

// resetElection draws the time of the next campaign from one to two election times.
func (c *Core) resetElection() {
	c.draws++
	spread := mix(c.settings.Seed + c.draws)
	c.electionDue = c.now + c.settings.Election + time.Duration(spread%uint64(c.settings.Election))
}

// mix spreads the bits of a counter (the finaliser of SplitMix64).
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}

func (c *Core) message(to Member, body Body) Message {
	return Message{Shard: c.id, From: c.self, To: to, Term: c.hard.Term, Body: body}
}

// withConfiguration adds the replica set, for a receiver that may not know it.
func (c *Core) withConfiguration(message Message) Message {
	configuration := c.hard.Configuration
	message.Configuration = &configuration
	return message
}

// reply answers a message after the next sync; it brings the newer replica set to a sender of an older epoch.
func (c *Core) reply(to Message, body Body) {
	answer := c.message(to.From, body)
	if to.Term.Epoch < c.hard.Configuration.Epoch {
		answer.Term = laterTerm(answer.Term, Term{Epoch: c.hard.Configuration.Epoch})
		answer = c.withConfiguration(answer)
	}
	c.output.AfterSync = append(c.output.AfterSync, answer)
}

func laterTerm(first, second Term) Term {
	if first.Less(second) {
		return second
	}
	return first
}
