package membership

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// probe is the state of the current probe.
type probe struct {
	target   ident.Node
	sequence uint64
	// indirectAt is when indirect probes are requested; deadline is when an unanswered probe has failed and the next one
	// starts.
	indirectAt, deadline time.Time
	indirectSent         bool
	answered             bool
}

// relay is a ping that this node sends on behalf of another.
type relay struct {
	requester ident.Node
	sequence  uint64
	deadline  time.Time
}

func (c *Core) tickProbe(now time.Time) []Outgoing {
	var out []Outgoing
	if c.probe.target != "" && !c.probe.answered && !c.probe.indirectSent && !now.Before(c.probe.indirectAt) {
		c.probe.indirectSent = true
		out = append(out, c.requestIndirectProbes(now)...)
	}
	if now.Before(c.probe.deadline) {
		return out
	}
	if c.probe.target != "" && !c.probe.answered {
		c.suspect(c.probe.target, now)
	}
	out = append(out, c.pingSuspects(now)...)
	out = append(out, c.pingOtherZone(now)...)
	return append(out, c.startProbe(now)...)
}

// pingOtherZone pings a live member of another zone while all remaining peers of this node's zone are suspect. The answer
// distinguishes the death of all peers from a fault of this node's own links: without it, messages from other zones
// would be so rare that the node would repeatedly consider itself isolated and revert its suspicions.
func (c *Core) pingOtherZone(now time.Time) []Outgoing {
	if len(c.zonePeers()) == 0 || len(c.randomPeers(1, "")) > 0 {
		return nil
	}
	var out []Outgoing
	for _, node := range c.randomLive(1) {
		c.sequence++
		out = append(out, c.outgoing(node, Message{kind: KindPing, sequence: c.sequence}, now))
	}
	return out
}

// startProbe pings the next member of the zone. Each pass covers all of them in a new random order, which bounds the time
// until a given member is probed.
func (c *Core) startProbe(now time.Time) []Outgoing {
	c.dropRelays(now)
	c.probe = probe{deadline: now.Add(c.config.ProbePeriod)}
	target := c.nextTarget()
	if target == "" {
		return nil
	}
	c.sequence++
	c.probe.target = target
	c.probe.sequence = c.sequence
	c.probe.indirectAt = now.Add(c.config.DirectTimeout)
	return []Outgoing{c.outgoing(target, Message{kind: KindPing, sequence: c.sequence}, now)}
}

func (c *Core) nextTarget() ident.Node {
	for range 2 {
		for len(c.order) > 0 {
			last := len(c.order) - 1
			candidate := c.order[last]
			c.order = c.order[:last]
			if stored, known := c.members[candidate]; known && stored.zone == c.self.zone && stored.health != healthDead {
				return candidate
			}
		}
		c.order = c.zonePeers()
		c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	}
	return ""
}

// zonePeers returns the other members of the zone that are not dead, sorted by name.
func (c *Core) zonePeers() []ident.Node {
	var peers []ident.Node
	for node, stored := range c.members {
		if node != c.self.node && stored.zone == c.self.zone && stored.health != healthDead {
			peers = append(peers, node)
		}
	}
	slices.Sort(peers)
	return peers
}

// randomPeers returns up to count live peers of the zone in random order, excluding the given node.
func (c *Core) randomPeers(count int, except ident.Node) []ident.Node {
	peers := slices.DeleteFunc(c.zonePeers(), func(node ident.Node) bool {
		return node == except || c.members[node].health != healthAlive
	})
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// randomLive returns up to count live members of any zone in random order.
func (c *Core) randomLive(count int) []ident.Node {
	var nodes []ident.Node
	for node, stored := range c.members {
		if node != c.self.node && stored.health == healthAlive {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes[:min(count, len(nodes))]
}

func (c *Core) requestIndirectProbes(now time.Time) []Outgoing {
	var out []Outgoing
	for _, helper := range c.randomPeers(c.config.IndirectProbes, c.probe.target) {
		request := Message{kind: KindPingRequest, sequence: c.probe.sequence, target: c.probe.target}
		out = append(out, c.outgoing(helper, request, now))
	}
	return out
}

// answerPing answers a ping. A sender recorded as suspect or dead gets that record with the answer, so that it refutes it.
func (c *Core) answerPing(message Message, now time.Time) []Outgoing {
	answer := Message{kind: KindAck, sequence: message.sequence}
	if stored, known := c.members[message.from]; known && stored.health != healthAlive {
		answer.members = []record{stored.record}
	}
	return []Outgoing{c.answerTo(message, answer, now)}
}

// relayPing pings the target of another node's probe on its behalf.
func (c *Core) relayPing(message Message, now time.Time) []Outgoing {
	if _, known := c.members[message.target]; !known {
		return nil
	}
	c.sequence++
	c.relays[c.sequence] = relay{requester: message.from, sequence: message.sequence, deadline: now.Add(c.config.ProbePeriod)}
	return []Outgoing{c.outgoing(message.target, Message{kind: KindPing, sequence: c.sequence}, now)}
}

func (c *Core) handleAck(message Message, now time.Time) []Outgoing {
	c.acknowledge(message.from, message.sequence)
	pending, relayed := c.relays[message.sequence]
	if !relayed {
		return nil
	}
	delete(c.relays, message.sequence)
	answer := Message{kind: KindIndirectAck, sequence: pending.sequence, target: message.from}
	return []Outgoing{c.outgoing(pending.requester, answer, now)}
}

func (c *Core) acknowledge(target ident.Node, sequence uint64) {
	if c.probe.target == target && c.probe.sequence == sequence {
		c.probe.answered = true
	}
}

func (c *Core) dropRelays(now time.Time) {
	for sequence, pending := range c.relays {
		if !now.Before(pending.deadline) {
			delete(c.relays, sequence)
		}
	}
}

// suspect marks a member whose probe failed as suspect.
func (c *Core) suspect(target ident.Node, now time.Time) {
	stored, known := c.members[target]
	if !known || stored.health == healthDead {
		return
	}
	if stored.health == healthAlive {
		c.counts.Suspicions++
		suspected := stored.record
		suspected.health = healthSuspect
		c.store(stored, suspected, now)
		c.queue.add(target, c.retransmits())
	}
	stored.ownSuspicion = true
}

// pingSuspects pings the members suspected by this node's own probes in every period and includes the suspicion, which a
// live member refutes in its answer.
func (c *Core) pingSuspects(now time.Time) []Outgoing {
	if c.isolated(now) {
		return nil
	}
	var out []Outgoing
	for _, node := range c.zonePeers() {
		stored := c.members[node]
		if stored.health == healthSuspect && stored.ownSuspicion {
			out = append(out, c.outgoing(node, Message{kind: KindPing, members: []record{stored.record}}, now))
		}
	}
	return out
}

// tickSuspicions declares suspects of this node's zone dead after the suspicion timeout.
func (c *Core) tickSuspicions(now time.Time) {
	timeout := c.config.SuspicionTimeout
	if c.isolated(now) {
		timeout *= time.Duration(c.config.IsolatedFactor)
	}
	for node, stored := range c.members {
		if stored.health != healthSuspect || stored.zone != c.self.zone || now.Sub(stored.suspectedAt) < timeout {
			continue
		}
		dead := stored.record
		dead.health = healthDead
		c.store(stored, dead, now)
		c.queue.add(node, c.retransmits())
	}
}

// isolated reports whether no message was received for longer than IsolatedAfter.
func (c *Core) isolated(now time.Time) bool {
	return now.Sub(c.lastReceived) > c.config.IsolatedAfter
}

// endIsolation reverts the suspicions raised by this node's own probes: they were likely caused by its own isolation,
// and it sends no gossip while isolated. The current probe is discarded for the same reason.
func (c *Core) endIsolation() {
	c.probe.answered = true
	for node, stored := range c.members {
		if stored.health == healthSuspect && stored.ownSuspicion {
			stored.health = healthAlive
			stored.suspectedAt = time.Time{}
			stored.ownSuspicion = false
			c.changes++
			c.queue.drop(node)
		}
	}
}
