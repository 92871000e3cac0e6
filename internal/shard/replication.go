package shard

import (
	"slices"
	"time"
)

// progress is what a leader knows of another replica's log.
type progress struct {
	// match is the last index known to be durable there and equal to the leader's.
	match uint64
	// next is the next index to send.
	next uint64
	// known is set by the first answer in this term; until then one message at a time goes out.
	known bool
	// inflight counts entry messages sent since the last answer.
	inflight int
	// snapshot is set while the applied state is on its way.
	snapshot bool
	// held is the index of the state that was last sent; the log behind it is kept until the replica has caught up. Zero
	// if none is.
	held uint64
	// answered is the leader's clock in the newest message the replica answered.
	answered time.Duration
	// since is when the leader began to follow this replica.
	since time.Duration
	// activated is the newest epoch the replica durably knows to be activated.
	activated    uint64
	transferSent bool
}

func (c *Core) tickLeader() error {
	c.continueTransfer()
	if c.now < c.heartbeatDue {
		return nil
	}
	return c.broadcast()
}

// broadcast sends to every member and learner, with entries or as a heartbeat.
func (c *Core) broadcast() error {
	c.heartbeatDue = c.now + c.settings.Heartbeat
	for _, member := range c.followers() {
		// A heartbeat also finds out that messages were lost.
		c.progress[member].inflight = 0
		if err := c.sendAppend(member, true); err != nil {
			return err
		}
	}
	return nil
}

// followers returns the other members and the learners, in a fixed order.
func (c *Core) followers() []Member {
	if len(c.learners) == 0 {
		return c.others()
	}
	return slices.Concat(c.others(), c.learners)
}

// sendEntries sends what each follower still lacks.
func (c *Core) sendEntries() error {
	for _, member := range c.followers() {
		if err := c.sendAppend(member, false); err != nil {
			return err
		}
	}
	return nil
}

// sendAppend sends the next entries to a follower, as many messages as may be in flight. With heartbeat it sends at
// least one message.
func (c *Core) sendAppend(member Member, heartbeat bool) error {
	follower := c.progress[member]
	for follower.inflight < c.settings.MaximumInflight {
		pending := follower.next <= c.log.lastIndex()
		if !heartbeat && (!pending || !follower.known || follower.snapshot) {
			return nil
		}
		heartbeat = false
		if pending && follower.next < c.log.firstIndex() {
			c.requestSnapshot(member, follower)
		}
		if err := c.sendOne(member, follower); err != nil {
			return err
		}
	}
	return nil
}

func (c *Core) requestSnapshot(member Member, follower *progress) {
	if follower.snapshot || !follower.known {
		return
	}
	follower.snapshot = true
	c.output.SendSnapshots = append(c.output.SendSnapshots, member)
}

func (c *Core) sendOne(member Member, follower *progress) error {
	// Below the first index only the term before it is known: ask for the follower's place from there.
	previous := max(follower.next, c.log.firstIndex()) - 1
	previousTerm, err := c.log.term(previous)
	if err != nil {
		return err
	}
	request := AppendRequest{
		PreviousIndex: previous, PreviousTerm: previousTerm, Commit: c.log.commit, Sent: c.now,
	}
	if follower.known && !follower.snapshot && follower.next == previous+1 {
		request.Entries, err = c.log.entries(follower.next, c.log.lastIndex(), c.settings.MaximumAppendBytes)
		if err != nil {
			return err
		}
	}
	message := c.message(member, request)
	if !follower.known {
		message = c.withConfiguration(message)
	}
	follower.next += uint64(len(request.Entries))
	follower.inflight++
	c.output.Messages = append(c.output.Messages, message)
	return nil
}

func (c *Core) stepAppendRequest(message Message, request AppendRequest) error {
	if message.Term.Less(c.hard.Term) || message.Term.Epoch != c.hard.Configuration.Epoch {
		c.reply(message, AppendReply{Requested: message.Term, Rejected: true, Match: c.log.commit, Sent: request.Sent})
		return nil
	}
	if c.hard.Term.Less(message.Term) {
		if c.isMember() {
			// A leader has the promise of every member. One that this disk does not remember giving was lost with the
			// disk's past (say, a folder restored from a copy): this replica must not count as a copy.
			return nil
		}
		c.hard.Term = message.Term
		c.hard.Vote = message.From
	}
	if c.role != Follower || c.leader != message.From {
		c.becomeFollower(message.From)
	}
	c.heard = message.From
	c.leaseEnd = c.now + c.settings.Lease
	c.heardAt = c.now
	c.followingSince = c.now
	c.resetElection()
	return c.acceptEntries(message, request)
}

func (c *Core) acceptEntries(message Message, request AppendRequest) error {
	reply := AppendReply{Requested: message.Term, Sent: request.Sent}
	fits, err := c.matches(request)
	if err != nil {
		return err
	}
	if !fits {
		reply.Rejected = true
		reply.Match = c.resumeAfter(request)
		reply.Activated = c.hard.Activated
		c.reply(message, reply)
		return nil
	}
	if err := c.log.append(c.missing(request.Entries)); err != nil {
		return err
	}
	reply.Match = request.PreviousIndex + uint64(len(request.Entries))
	c.log.commit = max(c.log.commit, min(request.Commit, reply.Match))
	if err := c.noteActivation(); err != nil {
		return err
	}
	reply.Activated = c.hard.Activated
	c.reply(message, reply)
	return nil
}

// matches reports whether the log holds the entry before the sent ones. The committed part is the same everywhere.
func (c *Core) matches(request AppendRequest) (bool, error) {
	if request.PreviousIndex <= c.log.commit {
		return true, nil
	}
	if request.PreviousIndex > c.log.lastIndex() {
		return false, nil
	}
	term, err := c.log.term(request.PreviousIndex)
	return term == request.PreviousTerm, err
}

// resumeAfter tells the leader where the logs may still agree: at the end of a shorter log, else after the commit.
func (c *Core) resumeAfter(request AppendRequest) uint64 {
	if request.PreviousIndex > c.log.lastIndex() {
		return c.log.lastIndex()
	}
	return c.log.commit
}

// missing returns the entries from the first one on that the log does not hold.
func (c *Core) missing(entries []Entry) []Entry {
	for position, entry := range entries {
		if entry.Index <= c.log.commit {
			continue
		}
		term, err := c.log.term(entry.Index)
		if err != nil || term != entry.Term {
			return entries[position:]
		}
	}
	return nil
}

// noteActivation records the epoch once a member holds a committed entry of it. The record is durable before the reply
// that tells of it.
func (c *Core) noteActivation() error {
	epoch := c.hard.Configuration.Epoch
	if c.hard.Activated >= epoch || !c.isMember() || c.log.commit == 0 {
		return nil
	}
	term, err := c.log.term(c.log.commit)
	if err != nil {
		return err
	}
	if term.Epoch == epoch {
		c.hard.Activated = epoch
	}
	return nil
}

func (c *Core) stepAppendReply(message Message, reply AppendReply) error {
	follower := c.progress[message.From]
	if c.role != Leader || follower == nil || reply.Requested != c.hard.Term || c.hard.Term.Less(message.Term) {
		return nil
	}
	follower.answered = max(follower.answered, reply.Sent)
	follower.activated = max(follower.activated, reply.Activated)
	follower.inflight = max(0, follower.inflight-1)
	if reply.Rejected {
		return c.rewind(message.From, follower, reply)
	}
	if reply.Match > follower.match {
		follower.match = reply.Match
		follower.snapshot = follower.snapshot && follower.match+1 < c.log.firstIndex()
	}
	follower.known = true
	follower.next = max(follower.next, follower.match+1)
	c.continueTransfer()
	if err := c.advanceCommit(); err != nil {
		return err
	}
	return c.sendAppend(message.From, false)
}

// rewind goes back to where the follower's log may still agree.
func (c *Core) rewind(member Member, follower *progress, reply AppendReply) error {
	if follower.known && (reply.Match+1 >= follower.next || reply.Match < follower.match) {
		// An answer from before the last ones, or from a disk that lost what it acknowledged: answering such a one
		// again and again would only breed messages.
		return nil
	}
	follower.known = true
	follower.next = min(max(follower.match, reply.Match), c.log.lastIndex()) + 1
	follower.inflight = 0
	return c.sendAppend(member, true)
}

// advanceCommit commits what every member has on disk, once that includes an entry of the leader's own term.
func (c *Core) advanceCommit() error {
	index := c.log.persisted
	for _, member := range c.others() {
		index = min(index, c.progress[member].match)
	}
	if index <= c.log.commit || index < c.firstOfTerm {
		return nil
	}
	activating := c.hard.Activated < c.hard.Configuration.Epoch
	c.log.commit = index
	if err := c.noteActivation(); err != nil {
		return err
	}
	if activating {
		return c.broadcast()
	}
	return nil
}

// Propose appends commands to the log of a leader that may serve. It returns the index of the first; the command at an
// index was replaced by another leader's if another term is committed there.
func (c *Core) Propose(now time.Duration, commands ...[]byte) (first uint64, term Term, err error) {
	c.now = max(c.now, now)
	if !c.Serving() || c.transferTo != (Member{}) {
		return 0, Term{}, &NotLeaderError{Shard: c.id, Leader: c.leaderNode()}
	}
	first = c.log.lastIndex() + 1
	entries := make([]Entry, len(commands))
	for position, command := range commands {
		entries[position] = Entry{Index: first + uint64(position), Term: c.hard.Term, Command: command}
	}
	if err := c.log.append(entries); err != nil {
		return 0, Term{}, err
	}
	return first, c.hard.Term, c.sendEntries()
}

// Serving reports whether this replica leads, has committed an entry of its term, every member durably knows that the
// epoch is activated, and every member answered within the lease. The third condition is what lets any single survivor
// prove that it holds every acknowledged command.
func (c *Core) Serving() bool {
	if c.role != Leader || c.log.commit < c.firstOfTerm || c.now >= c.LeaseEnd() {
		return false
	}
	epoch := c.hard.Configuration.Epoch
	for _, member := range c.others() {
		if c.progress[member].activated < epoch {
			return false
		}
	}
	// Its own record was written before or with the message that told the members.
	return c.hard.Activated == epoch && c.savedHard.Activated == epoch
}

// LeaseEnd returns until when no other replica can have been elected; zero if this replica does not lead.
func (c *Core) LeaseEnd() time.Duration {
	if c.role != Leader {
		return 0
	}
	confirmed := c.now
	for _, member := range c.others() {
		confirmed = min(confirmed, c.progress[member].answered)
	}
	return confirmed + c.settings.Lease
}

// SetLearners chooses the non-members a leader replicates to, so that they can become members.
func (c *Core) SetLearners(learners []Member) {
	if c.role != Leader {
		return
	}
	c.learners = nil
	for _, learner := range learners {
		if !c.hard.Configuration.Has(learner) && !slices.Contains(c.learners, learner) {
			c.learners = append(c.learners, learner)
		}
	}
	wanted := c.followers()
	for member := range c.progress {
		if !slices.Contains(wanted, member) {
			delete(c.progress, member)
		}
	}
	for _, member := range wanted {
		if c.progress[member] == nil {
			c.progress[member] = &progress{next: c.log.lastIndex() + 1, since: c.now}
		}
	}
}

// SnapshotStarted tells that the state at an index is on its way to a member. The log behind it is kept meanwhile: else
// a state that takes longer to send than the log is kept would have to be sent again, without end.
func (c *Core) SnapshotStarted(member Member, index uint64) {
	if c.role == Leader && c.progress[member] != nil {
		c.progress[member].held = index
	}
}

// SnapshotEnded tells that sending the applied state to a member ended, and whether the member took it. The receipt itself is a
// message, which comes once the state is durable there: until then the entries behind the state are sent, so that the same state
// is not sent again. One that did not become durable is found out by the member's answer. The log behind the state stays: the
// next attempt may go on where this one broke off.
func (c *Core) SnapshotEnded(member Member, taken bool) {
	follower := c.progress[member]
	if c.role != Leader || follower == nil {
		return
	}
	follower.snapshot = false
	if taken {
		follower.next = max(follower.next, follower.held+1)
	}
}

// Install takes an applied state that was received completely. It reports whether it will replace this replica's: only
// a replica that holds no obligation of its own may forget its log.
func (c *Core) Install(now time.Duration, snapshot Snapshot) bool {
	c.now = max(c.now, now)
	c.Adopt(snapshot.Configuration)
	epoch := c.hard.Configuration.Epoch
	obliged := c.isMember() && (c.hard.Activated == epoch || c.hard.Configuration.IsSeasoned(c.self))
	stale := snapshot.LeaderTerm.Less(c.hard.Term) || snapshot.LeaderTerm.Epoch != epoch
	if snapshot.To != c.self || obliged || stale || snapshot.Index <= c.log.commit {
		return false
	}
	c.log.install(snapshot.Index, snapshot.Term)
	c.output.Install = &snapshot
	answer := Message{Shard: c.id, From: c.self, To: snapshot.From, Term: c.hard.Term}
	answer.Body = AppendReply{Requested: snapshot.LeaderTerm, Match: snapshot.Index, Activated: c.hard.Activated}
	c.output.AfterSync = append(c.output.AfterSync, answer)
	return true
}
