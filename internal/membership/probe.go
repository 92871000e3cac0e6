package membership

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// probe is the one under way.
type probe struct {
	target   ident.Node
	sequence uint64
	// asks is when others are asked to probe too; ends is when the probe has failed and the next one starts.
	asks, ends time.Time
	asked      bool
	answered   bool
}

// relay is a ping this node makes for another.
type relay struct {
	asker    ident.Node
	sequence uint64
	ends     time.Time
}

func (c *Core) tickProbe(now time.Time) []Outgoing {
	var out []Outgoing
	if c.probe.target != "" && !c.probe.answered && !c.probe.asked && !now.Before(c.probe.asks) {
		c.probe.asked = true
		out = append(out, c.askOthers(now)...)
	}
	if now.Before(c.probe.ends) {
		return out
	}
	if c.probe.target != "" && !c.probe.answered {
		c.suspect(c.probe.target, now)
	}
	out = append(out, c.tellSuspects(now)...)
	out = append(out, c.pingAbroad(now)...)
	return append(out, c.startProbe(now)...)
}

// pingAbroad pings a member of another zone while this node holds nobody of its own zone for alive but suspects some.
// Its answer tells the death of all neighbours from a fault of this node's own links: without it, the node would hear from
// other zones so seldom that it took itself for isolated in between, and took its suspicions back each time.
func (c *Core) pingAbroad(now time.Time) []Outgoing {
	if len(c.zonePeers()) == 0 || len(c.randomPeers(1, "")) > 0 {
		return nil
	}
	var out []Outgoing
	for _, node := range c.anyLive(1) {
		c.sequence++
		out = append(out, c.outgoing(node, Message{kind: KindPing, sequence: c.sequence}, now))
	}
	return out
}

// startProbe pings the next member of the zone. Each pass goes over all of them in a new random order, which bounds
// the time until a given one is probed.
func (c *Core) startProbe(now time.Time) []Outgoing {
	c.dropRelays(now)
	c.probe = probe{ends: now.Add(c.config.ProbePeriod)}
	target := c.nextTarget()
	if target == "" {
		return nil
	}
	c.sequence++
	c.probe.target = target
	c.probe.sequence = c.sequence
	c.probe.asks = now.Add(c.config.DirectTimeout)
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

// zonePeers returns the other members of the zone that aren't dead, in name order.
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

// randomPeers returns up to count live peers of the zone other than the given one.
func (c *Core) randomPeers(count int, except ident.Node) []ident.Node {
	peers := slices.DeleteFunc(c.zonePeers(), func(node ident.Node) bool {
		return node == except || c.members[node].health != healthAlive
	})
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// anyLive returns up to count live members of any zone.
func (c *Core) anyLive(count int) []ident.Node {
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

func (c *Core) askOthers(now time.Time) []Outgoing {
	var out []Outgoing
	for _, helper := range c.randomPeers(c.config.IndirectProbes, c.probe.target) {
		request := Message{kind: KindPingRequest, sequence: c.probe.sequence, target: c.probe.target}
		out = append(out, c.outgoing(helper, request, now))
	}
	return out
}

// answerPing answers, and tells a sender that is held for suspect or dead here, so that it refutes.
func (c *Core) answerPing(message Message, now time.Time) []Outgoing {
	answer := Message{kind: KindAck, sequence: message.sequence}
	if stored, known := c.members[message.from]; known && stored.health != healthAlive {
		answer.members = []record{stored.record}
	}
	return []Outgoing{c.answerTo(message, answer, now)}
}

// relayPing pings the target of another node's probe.
func (c *Core) relayPing(message Message, now time.Time) []Outgoing {
	if _, known := c.members[message.target]; !known {
		return nil
	}
	c.sequence++
	c.relays[c.sequence] = relay{asker: message.from, sequence: message.sequence, ends: now.Add(c.config.ProbePeriod)}
	return []Outgoing{c.outgoing(message.target, Message{kind: KindPing, sequence: c.sequence}, now)}
}

func (c *Core) takeAck(message Message, now time.Time) []Outgoing {
	c.acknowledge(message.from, message.sequence)
	waiting, relayed := c.relays[message.sequence]
	if !relayed {
		return nil
	}
	delete(c.relays, message.sequence)
	answer := Message{kind: KindIndirectAck, sequence: waiting.sequence, target: message.from}
	return []Outgoing{c.outgoing(waiting.asker, answer, now)}
}

func (c *Core) acknowledge(target ident.Node, sequence uint64) {
	if c.probe.target == target && c.probe.sequence == sequence {
		c.probe.answered = true
	}
}

func (c *Core) dropRelays(now time.Time) {
	for sequence, waiting := range c.relays {
		if !now.Before(waiting.ends) {
			delete(c.relays, sequence)
		}
	}
}

// suspect marks a member whose probe failed. It is told so at once: a live one refutes in its answer.
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

// tellSuspects pings this node's own suspects, each period, with the suspicion itself on board.
func (c *Core) tellSuspects(now time.Time) []Outgoing {
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

// tickSuspicions gives up suspects of the own zone whose time to refute has run out.
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

// isolated says that nothing was heard for a while although others should have been.
func (c *Core) isolated(now time.Time) bool {
	return now.Sub(c.lastHeard) > c.config.IsolatedAfter
}

// endIsolation takes back the suspicions of the time in which this node heard nobody: they were its own fault, and it
// hasn't passed them on. The probe under way proves nothing either.
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
