package shard

// startTrial asks every member whether it would vote, before any promise is asked for: a replica that was away does not
// disturb a living leader.
func (c *Core) startTrial() error {
	c.becomeFollower(Member{})
	c.role = Trial
	c.votes = map[Member]bool{c.self: true}
	return c.requestVotes(VoteRequest{Trial: true})
}

// Campaign starts an election at once if this replica is a member. transfer says that the lease kept by the members
// was given up by its holder.
func (c *Core) Campaign(transfer bool) error {
	if !c.isMember() {
		return nil
	}
	if !transfer && !c.mayPromise(c.self) {
		return nil
	}
	c.becomeFollower(Member{})
	c.role = Candidate
	c.votes = map[Member]bool{}
	c.round++
	// The vote for itself is a promise like any other: the requests go out once it is durable.
	c.hard.Term = Term{Epoch: c.hard.Configuration.Epoch, Round: c.round}
	c.hard.Vote = c.self
	return c.requestVotes(VoteRequest{Transfer: transfer})
}

func (c *Core) requestVotes(request VoteRequest) error {
	lastTerm, err := c.log.lastTerm()
	if err != nil {
		return err
	}
	request.LastIndex = c.log.lastIndex()
	request.LastTerm = lastTerm
	for _, member := range c.others() {
		message := c.withConfiguration(c.message(member, request))
		message.Term = c.requestedTerm()
		c.output.AfterSync = append(c.output.AfterSync, message)
	}
	return c.countVotes()
}

// requestedTerm is the term this replica campaigns for.
func (c *Core) requestedTerm() Term {
	if c.role == Trial {
		return Term{Epoch: c.hard.Configuration.Epoch, Round: c.round + 1}
	}
	return c.hard.Term
}

// mayPromise reports whether the lease this replica keeps allows it to follow the candidate.
func (c *Core) mayPromise(candidate Member) bool {
	if c.role == Leader {
		return false
	}
	return c.now >= c.leaseEnd || c.heard == candidate
}

func (c *Core) stepVoteRequest(message Message, request VoteRequest) error {
	granted, err := c.wouldVote(message, request)
	if err != nil {
		return err
	}
	if granted && !request.Trial {
		c.becomeFollower(Member{})
		c.hard.Term = message.Term
		c.hard.Vote = message.From
	}
	c.reply(message, VoteReply{Trial: request.Trial, Granted: granted, Requested: message.Term})
	return nil
}

// wouldVote decides a vote. Only members vote, only for members, only in their own epoch, only for a term they have
// promised to nobody else, and only for a log that holds at least what their own holds.
func (c *Core) wouldVote(message Message, request VoteRequest) (bool, error) {
	configuration := c.hard.Configuration
	if message.Term.Epoch != configuration.Epoch || !configuration.Has(c.self) || !configuration.Has(message.From) {
		return false, nil
	}
	repeated := message.Term == c.hard.Term && c.hard.Vote == message.From && !request.Trial
	if !repeated && !c.hard.Term.Less(message.Term) {
		return false, nil
	}
	if !request.Transfer && !c.mayPromise(message.From) {
		return false, nil
	}
	lastTerm, err := c.log.lastTerm()
	if err != nil {
		return false, err
	}
	order := request.LastTerm.Compare(lastTerm)
	return order > 0 || order == 0 && request.LastIndex >= c.log.lastIndex(), nil
}

func (c *Core) stepVoteReply(message Message, reply VoteReply) error {
	if !c.hard.Configuration.Has(message.From) {
		return nil
	}
	c.replied[message.From] = c.now
	wanted := c.role == Candidate && !reply.Trial || c.role == Trial && reply.Trial
	if !wanted || !reply.Granted || reply.Requested != c.requestedTerm() {
		return nil
	}
	c.votes[message.From] = true
	return c.countVotes()
}

// countVotes goes on once every member has given its vote, this replica's own being counted when it is durable.
func (c *Core) countVotes() error {
	for _, member := range c.hard.Configuration.Members {
		if !c.votes[member] {
			return nil
		}
	}
	if c.role == Trial {
		return c.Campaign(false)
	}
	return c.becomeLeader()
}

// becomeLeader starts a term with an entry of its own: entries of earlier terms are only committed together with it.
func (c *Core) becomeLeader() error {
	c.role = Leader
	c.leader = c.self
	c.votes = nil
	c.progress = map[Member]*progress{}
	c.firstOfTerm = c.log.lastIndex() + 1
	for _, member := range c.others() {
		c.progress[member] = &progress{next: c.firstOfTerm, since: c.now}
	}
	c.heartbeatDue = c.now
	if err := c.log.append([]Entry{{Index: c.firstOfTerm, Term: c.hard.Term}}); err != nil {
		return err
	}
	return c.broadcast()
}

// Transfer hands leadership to a member: no new proposals are taken, and once the member has the whole log it campaigns.
// The leader resumes if that fails within two election times. It reports whether the transfer began.
func (c *Core) Transfer(to Member) bool {
	if c.role != Leader || to == c.self || !c.hard.Configuration.Has(to) {
		return false
	}
	c.transferTo = to
	c.progress[to].transferSent = false
	c.transferEnd = c.now + 2*c.settings.Election
	c.continueTransfer()
	return true
}

func (c *Core) continueTransfer() {
	if c.transferTo == (Member{}) {
		return
	}
	if c.now >= c.transferEnd {
		c.transferTo = Member{}
		return
	}
	target := c.progress[c.transferTo]
	if target == nil || target.match != c.log.lastIndex() || target.transferSent {
		return
	}
	target.transferSent = true
	c.output.Messages = append(c.output.Messages, c.message(c.transferTo, TransferRequest{}))
}

func (c *Core) stepTransfer(message Message) error {
	sameEpoch := message.Term.Epoch == c.hard.Configuration.Epoch
	if !sameEpoch || message.Term != c.hard.Term || message.From != c.leader {
		return nil
	}
	return c.Campaign(true)
}
