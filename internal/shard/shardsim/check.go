package shardsim

import (
	"bytes"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shard/shardtest"
)

// checker watches from outside: it sees messages, applied entries, acknowledgements and stored replica sets, and trusts
// no replica's word.
type checker struct {
	machine shard.Machine
	// log is what was applied at each index, by whoever came first; log[0] is index 1.
	log []shard.Entry
	// acked is the highest acknowledged index, read the highest index whose effect was read.
	acked, read uint64
	leaders     map[shard.Term]ident.Node
	votes       map[vote]shard.Member
	acks        map[uint64]shard.Entry
	// servedEpoch is the newest epoch in which a command was acknowledged.
	servedEpoch uint64
}

type vote struct {
	voter shard.Member
	term  shard.Term
}

func newChecker(machine shard.Machine) *checker {
	return &checker{
		machine: machine, leaders: map[shard.Term]ident.Node{}, votes: map[vote]shard.Member{},
		acks: map[uint64]shard.Entry{},
	}
}

// sent checks votes: only members of the stored set vote, and only once in a term.
func (c *checker) sent(s *Simulation, message shard.Message) {
	reply, isVote := message.Body.(shard.VoteReply)
	if !isVote || !reply.Granted || reply.Trial {
		return
	}
	if !s.store.memberIn(message.From, reply.Requested.Epoch) {
		s.fail("%v voted in epoch %d without being a member", message.From, reply.Requested.Epoch)
	}
	cast := vote{voter: message.From, term: reply.Requested}
	if earlier, voted := c.votes[cast]; voted && earlier != message.To {
		s.fail("%v voted for %v and %v in %v", message.From, earlier, message.To, reply.Requested)
	}
	c.votes[cast] = message.To
}

func (k *store) memberIn(member shard.Member, epoch uint64) bool {
	for _, stored := range k.history {
		if stored.Epoch == epoch {
			return stored.Has(member)
		}
	}
	return false
}

// leading checks that no term has two leaders.
func (c *checker) leading(s *Simulation, n *node) {
	leadership, _ := n.driver.Core.Leadership(n.clock())
	term := shard.Term(leadership)
	if other, led := c.leaders[term]; led && other != n.name {
		s.fail("%s and %s both led in %v", other, n.name, term)
	}
	c.leaders[term] = n.name
}

// applied checks that all replicas apply the same log, in order.
func (c *checker) applied(s *Simulation, n *node, entry shard.Entry) {
	if entry.Index != n.disk.applied+1 {
		s.fail("%s applied %d after %d", n.name, entry.Index, n.disk.applied)
		return
	}
	if entry.Index == uint64(len(c.log))+1 {
		c.log = append(c.log, entry)
		return
	}
	if entry.Index > uint64(len(c.log)) {
		s.fail("%s applied %d, but %d was never applied before", n.name, entry.Index, len(c.log)+1)
		return
	}
	first := c.log[entry.Index-1]
	if first.Term != entry.Term || !bytes.Equal(first.Command, entry.Command) {
		s.fail("%s applied %v %q at %d, another replica %v %q", n.name, entry.Term, entry.Command, entry.Index,
			first.Term, first.Command)
	}
}

func (c *checker) acknowledged(s *Simulation, entry shard.Entry) {
	s.Acknowledged++
	c.acked = max(c.acked, entry.Index)
	c.acks[entry.Index] = entry
	if entry.Term.Epoch > c.servedEpoch {
		c.servedEpoch = entry.Term.Epoch
		s.strikeAfterServing()
	}
}

// viewed checks that a read sees everything acknowledged or read before it.
func (c *checker) viewed(s *Simulation, n *node) {
	s.Reads++
	if n.disk.applied < c.acked || n.disk.applied < c.read {
		s.fail("%s read at %d after %d was acknowledged and %d read", n.name, n.disk.applied, c.acked, c.read)
	}
	c.read = max(c.read, n.disk.applied)
}

// successor checks a change of the stored set: the next epoch, no step that both adds and drops, and a seasoned member
// of the old set in the new one.
func (c *checker) successor(s *Simulation, previous, next shard.Configuration) {
	added, dropped, kept := 0, 0, 0
	for _, member := range next.Members {
		if !previous.Has(member) {
			added++
		} else {
			kept++
		}
	}
	dropped = len(previous.Members) - kept
	if next.Epoch != previous.Epoch+1 || kept == 0 || added > 0 && dropped > 0 {
		s.fail("stored set %v after %v", next, previous)
	}
}

// removed checks that two other disks, at the least, hold every acknowledged command when a replica removes its data.
func (c *checker) removed(s *Simulation, n *node) {
	const leastHolders = 2
	holders := 0
	for _, other := range s.nodes {
		if other != n && other.disk.LastIndex() >= c.acked {
			holders++
		}
	}
	if holders < leastHolders {
		s.fail("%s removed its data when %d other disks held all %d acknowledged", n.name, holders, c.acked)
	}
}

// stateAt replays the log from the start.
func (c *checker) stateAt(s *Simulation, index uint64) *shardtest.State {
	state := shardtest.NewState()
	for _, entry := range c.log[:index] {
		if len(entry.Command) == 0 {
			continue
		}
		if _, err := c.machine.Apply(state, entry.Index, entry.Command); err != nil {
			s.fail("replaying %d: %v", entry.Index, err)
		}
	}
	return state
}

// final checks the healed shard: a leader serves on a whole set, holds every acknowledged command, and all members'
// states are what a replay gives.
func (c *checker) final(s *Simulation) {
	leader := s.Leader()
	if leader == "" {
		s.fail("no leader after healing")
		return
	}
	configuration, _ := s.store.current()
	if want := min(s.options.Copies, s.options.Nodes); len(configuration.Members) != want {
		s.fail("%d members after healing, want %d", len(configuration.Members), want)
	}
	for index, entry := range c.acks {
		held := c.log[index-1]
		if held.Term != entry.Term || !bytes.Equal(held.Command, entry.Command) {
			s.fail("acknowledged command %q at %d was replaced", entry.Command, index)
		}
	}
	if applied := s.node(leader).disk.applied; applied < c.acked {
		s.fail("leader %s applied %d, but %d was acknowledged", leader, applied, c.acked)
	}
	for _, member := range configuration.Members {
		n := s.node(member.Node)
		if !n.disk.state.Equal(c.stateAt(s, n.disk.applied)) {
			s.fail("%s holds another state at %d than a replay", n.name, n.disk.applied)
		}
	}
}
