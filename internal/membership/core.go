package membership

import (
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// pauseFactor is the gap between two ticks, in probe periods, from which the process counts as having been paused.
const pauseFactor = 2

// Core is the failure detector of one node. It does no I/O and is not safe for concurrent use: its user passes received
// messages to Step and the time to Tick, and sends the messages that they return.
type Core struct {
	config Config
	random *rand.Rand
	seeds  []string

	self    record
	members map[ident.Node]*entry
	queue   gossipQueue
	changes uint64
	counts  Counts

	lastTick     time.Time
	lastReceived time.Time
	sequence     uint64
	probe        probe
	order        []ident.Node
	relays       map[uint64]relay

	contacts      map[ident.Zone]time.Time
	zones         []ident.Zone
	zoneSize      int
	zoneSet       uint32
	reachable     map[ident.Zone]bool
	nextBridge    time.Time
	nextRepair    time.Time
	nextReconnect time.Time
}

// Counts holds totals since the start of the process. Many suspicions or refutations without deaths indicate that nodes
// or links are too slow for the probe timeouts.
type Counts struct {
	// Suspicions counts the members marked as suspect by this node's own probes.
	Suspicions uint64
	// Refutations counts the records about this node, received from others, that it refuted.
	Refutations uint64
}

// Counts returns the totals.
func (c *Core) Counts() Counts { return c.counts }

// entry is a record with the local state of this node about it.
type entry struct {
	record
	// suspectedAt is when the suspicion reached this node; zero if there is none.
	suspectedAt time.Time
	// ownSuspicion is set if a probe by this node failed.
	ownSuspicion bool
	// diedAt is when the death became known to this node.
	diedAt time.Time
}

// NewCore returns the detector of a node that knows only itself and the peer addresses of the seeds.
func NewCore(config Config, self Self, seeds []string, random *rand.Rand, now time.Time) *Core {
	core := &Core{
		config:       config,
		random:       random,
		seeds:        seeds,
		self:         self.record(),
		members:      map[ident.Node]*entry{},
		relays:       map[uint64]relay{},
		contacts:     map[ident.Zone]time.Time{},
		reachable:    map[ident.Zone]bool{},
		lastTick:     now,
		lastReceived: now,
	}
	core.nextBridge = now.Add(core.randomDelay(config.BridgePeriod))
	core.nextRepair = now.Add(core.randomDelay(config.RepairPeriod))
	core.nextReconnect = now
	core.probe.deadline = now.Add(core.randomDelay(config.ProbePeriod))
	core.announce()
	return core
}

// randomDelay returns a random duration up to period, so that nodes started together do not act simultaneously.
func (c *Core) randomDelay(period time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(period) + 1))
}

// announce copies the changed record of this node to the members and queues it for gossip.
func (c *Core) announce() {
	stored, known := c.members[c.self.node]
	if !known {
		stored = &entry{}
		c.members[c.self.node] = stored
	}
	stored.record = c.self
	c.changes++
	c.queue.add(c.self.node, c.retransmits())
	c.refreshZones()
}

// raiseIncarnation raises the incarnation of this node above its current one and the given one.
func (c *Core) raiseIncarnation(above uint64) {
	c.self.incarnation = max(c.self.incarnation, above) + 1
	c.announce()
}

// SetAttributes announces the node's attributes. A new configuration revision alone is sent in short form.
func (c *Core) SetAttributes(attributes Attributes) {
	changed := c.self.hasDisk != attributes.HasDisk || c.self.disk != attributes.DiskIncarnation
	newRevision := attributes.ConfigRevision > c.self.revision
	c.self.hasDisk = attributes.HasDisk
	c.self.disk = attributes.DiskIncarnation
	c.self.revision = max(c.self.revision, attributes.ConfigRevision)
	switch {
	case changed:
		c.raiseIncarnation(c.self.incarnation)
	case newRevision:
		c.members[c.self.node].record = c.self
		c.changes++
		c.queue.addRevision(c.self.node, c.config.RevisionSends)
	}
}

// Leave announces a planned stop. The node answers probes until it exits.
func (c *Core) Leave() {
	if c.self.leaving {
		return
	}
	c.self.leaving = true
	c.raiseIncarnation(c.self.incarnation)
}

// Exit marks the node as dead and returns the final messages, which announce this to a few peers that pass it on. Step
// and Tick must not be called after it.
func (c *Core) Exit(now time.Time) []Outgoing {
	c.self.health = healthDead
	c.self.leaving = true
	c.raiseIncarnation(c.self.incarnation)
	peers := c.randomPeers(c.config.IndirectProbes, "")
	if len(peers) == 0 {
		peers = c.randomLive(c.config.IndirectProbes)
	}
	var out []Outgoing
	for _, peer := range peers {
		out = append(out, c.outgoing(peer, Message{kind: KindPing, members: []record{c.self}}, now))
	}
	return out
}

// Step processes a received message and returns the messages to send.
func (c *Core) Step(message Message, now time.Time) []Outgoing {
	if message.from == c.self.node {
		return nil
	}
	c.recordContact(message, now)
	for _, received := range message.members {
		c.mergeRecord(received, now)
	}
	for _, received := range message.revisions {
		c.mergeRevision(received)
	}
	switch message.kind {
	case KindPing:
		return c.answerPing(message, now)
	case KindAck:
		return c.handleAck(message, now)
	case KindPingRequest:
		return c.relayPing(message, now)
	case KindIndirectAck:
		c.acknowledge(message.target, message.sequence)
		return nil
	case KindOffer:
		return c.answerOffer(message, now)
	case KindDigests:
		return c.answerDigests(message, now)
	case KindSummary:
		return c.answerSummary(message, now)
	case KindRecords:
		return c.answerWants(message, now)
	default:
		return nil
	}
}

// recordContact records that the sender, and thus its zone, is reachable.
func (c *Core) recordContact(message Message, now time.Time) {
	if now.Sub(c.lastReceived) > c.config.IsolatedAfter {
		c.endIsolation()
	}
	c.lastReceived = now
	c.recordZoneContact(message, now)
}

// Tick performs the actions that are due and returns the messages to send. It must be called several times per probe
// period.
func (c *Core) Tick(now time.Time) []Outgoing {
	c.compensatePause(now)
	var out []Outgoing
	out = append(out, c.tickProbe(now)...)
	c.tickSuspicions(now)
	out = append(out, c.tickSync(now)...)
	c.dropTombstones(now)
	c.refreshReachable(now)
	return out
}

// compensatePause extends the deadlines after a pause of the process: messages that arrived during the pause are still
// unread, so the elapsed time is no evidence against other members.
func (c *Core) compensatePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap < pauseFactor*c.config.ProbePeriod {
		return
	}
	c.probe = probe{deadline: now.Add(c.config.ProbePeriod)}
	c.lastReceived = now
	for _, stored := range c.members {
		if !stored.suspectedAt.IsZero() {
			stored.suspectedAt = now
		}
	}
}

// Member returns the current state of a member.
func (c *Core) Member(node ident.Node) (Member, bool) {
	stored, known := c.members[node]
	if !known {
		return Member{}, false
	}
	return stored.member(c.zoneReachable(stored.zone)), true
}

// Changes returns a counter that grows with every change visible in View.
func (c *Core) Changes() uint64 { return c.changes }

// mergeRecord merges a record received from another node.
func (c *Core) mergeRecord(received record, now time.Time) {
	if received.node == c.self.node {
		c.refute(received)
		return
	}
	stored, known := c.members[received.node]
	if !known {
		c.addMember(received, now)
		return
	}
	merged := merge(stored.record, received)
	if merged == stored.record {
		return
	}
	c.store(stored, merged, now)
	c.queue.add(received.node, c.sendCount(merged))
}

// addMember adds a member that was not known. Dead members are not added: otherwise nodes would pass expired tombstones
// to each other forever.
func (c *Core) addMember(received record, now time.Time) {
	if received.health == healthDead || len(c.members) >= c.config.MaxMembers {
		return
	}
	stored := &entry{}
	c.members[received.node] = stored
	c.store(stored, received, now)
	c.queue.add(received.node, c.sendCount(received))
}

// store replaces an entry's record and updates the times of its suspicion and death.
func (c *Core) store(stored *entry, merged record, now time.Time) {
	newIncarnation := merged.incarnation != stored.incarnation
	if newIncarnation || merged.health != healthSuspect {
		stored.suspectedAt = time.Time{}
		stored.ownSuspicion = false
	}
	if merged.health == healthSuspect && stored.suspectedAt.IsZero() {
		stored.suspectedAt = now
	}
	zoneChanged := merged.zone != stored.zone
	died := merged.health == healthDead && (stored.health != healthDead || newIncarnation)
	if died {
		stored.diedAt = now
	}
	stored.record = merged
	c.changes++
	if zoneChanged || died || newIncarnation {
		c.refreshZones()
	}
}

// mergeRevision merges a record in short form. It applies only to the same incarnation.
func (c *Core) mergeRevision(received revision) {
	stored, known := c.members[received.node]
	if !known || received.node == c.self.node || stored.incarnation != received.incarnation {
		return
	}
	if received.revision <= stored.revision {
		return
	}
	stored.revision = received.revision
	c.changes++
	c.queue.addRevision(received.node, c.config.RevisionSends)
}

// refute raises the incarnation if a received record about this node did not originate from this process: it stems from
// an earlier run, or is a suspicion or a death.
func (c *Core) refute(received record) {
	stale := received.incarnation < c.self.incarnation
	own := received.incarnation == c.self.incarnation && received.health == c.self.health
	if stale || own {
		return
	}
	c.counts.Refutations++
	c.raiseIncarnation(received.incarnation)
}

// dropTombstones removes members that have been dead for longer than TombstoneTime.
func (c *Core) dropTombstones(now time.Time) {
	for node, stored := range c.members {
		if stored.health == healthDead && node != c.self.node && now.Sub(stored.diedAt) > c.config.TombstoneTime {
			delete(c.members, node)
			c.changes++
			c.refreshZones()
		}
	}
}
