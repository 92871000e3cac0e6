package membership

import (
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// pauseFactor times the probe period is the gap between two ticks from which the process counts as having been paused.
const pauseFactor = 2

// Core is the detector of one node. It does no I/O and isn't safe for concurrent use: the owner feeds it messages by
// Step and the time by Tick, and sends what they return.
type Core struct {
	config Config
	random *rand.Rand
	seeds  []string

	self    record
	members map[ident.Node]*entry
	queue   gossipQueue
	changes uint64
	counts  Counts

	lastTick  time.Time
	lastHeard time.Time
	sequence  uint64
	probe     probe
	order     []ident.Node
	relays    map[uint64]relay

	contacts      map[ident.Zone]time.Time
	zones         []ident.Zone
	zoneSize      int
	zoneSet       uint32
	reachable     map[ident.Zone]bool
	nextBridge    time.Time
	nextRepair    time.Time
	nextReconnect time.Time
}

// Counts are totals since the start. Many suspicions or refutations without deaths mean that nodes or links are too slow
// for the probes.
type Counts struct {
	// Suspicions counts members this node's own probes made suspect.
	Suspicions uint64
	// Refutations counts records of others that this node had to contradict.
	Refutations uint64
}

// Counts returns the totals.
func (c *Core) Counts() Counts { return c.counts }

// entry is a record with what this node alone knows about it.
type entry struct {
	record
	// suspectedAt is when this node learned of the suspicion; zero if there is none.
	suspectedAt time.Time
	// ownSuspicion says that this node's probe failed.
	ownSuspicion bool
	// diedAt is when this node learned of the death.
	diedAt time.Time
}

// NewCore returns the detector of a node that knows nobody but the seeds' peer addresses.
func NewCore(config Config, self Self, seeds []string, random *rand.Rand, now time.Time) *Core {
	core := &Core{
		config:    config,
		random:    random,
		seeds:     seeds,
		self:      self.record(),
		members:   map[ident.Node]*entry{},
		relays:    map[uint64]relay{},
		contacts:  map[ident.Zone]time.Time{},
		reachable: map[ident.Zone]bool{},
		lastTick:  now,
		lastHeard: now,
	}
	core.nextBridge = now.Add(core.spread(config.BridgePeriod))
	core.nextRepair = now.Add(core.spread(config.RepairPeriod))
	core.nextReconnect = now
	core.probe.ends = now.Add(core.spread(config.ProbePeriod))
	core.announce()
	return core
}

// spread returns a random part of a period, so that nodes started together don't act together.
func (c *Core) spread(period time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(period) + 1))
}

// announce takes the changed own record into the members and the gossip.
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

// raise gives the own record an incarnation above any that was seen.
func (c *Core) raise(above uint64) {
	c.self.incarnation = max(c.self.incarnation, above) + 1
	c.announce()
}

// SetAttributes tells the others the node's attributes. A new configuration revision alone travels in short form.
func (c *Core) SetAttributes(attributes Attributes) {
	changed := c.self.hasDisk != attributes.HasDisk || c.self.disk != attributes.DiskIncarnation
	grown := attributes.ConfigRevision > c.self.revision
	c.self.hasDisk = attributes.HasDisk
	c.self.disk = attributes.DiskIncarnation
	c.self.revision = max(c.self.revision, attributes.ConfigRevision)
	switch {
	case changed:
		c.raise(c.self.incarnation)
	case grown:
		c.members[c.self.node].record = c.self
		c.changes++
		c.queue.addRevision(c.self.node, c.config.RevisionSends)
	}
}

// Leave announces a planned stop. The node goes on answering probes until it exits.
func (c *Core) Leave() {
	if c.self.leaving {
		return
	}
	c.self.leaving = true
	c.raise(c.self.incarnation)
}

// Exit announces the node's end and returns the last messages, to a few peers that spread it. Step and Tick must not
// be called after it.
func (c *Core) Exit(now time.Time) []Outgoing {
	c.self.health = healthDead
	c.self.leaving = true
	c.raise(c.self.incarnation)
	peers := c.randomPeers(c.config.IndirectProbes, "")
	if len(peers) == 0 {
		peers = c.anyLive(c.config.IndirectProbes)
	}
	var out []Outgoing
	for _, peer := range peers {
		out = append(out, c.outgoing(peer, Message{kind: KindPing, members: []record{c.self}}, now))
	}
	return out
}

// Step takes a message in and returns the messages to send.
func (c *Core) Step(message Message, now time.Time) []Outgoing {
	if message.from == c.self.node {
		return nil
	}
	c.hear(message, now)
	for _, received := range message.members {
		c.learn(received, now)
	}
	for _, received := range message.revisions {
		c.learnRevision(received)
	}
	switch message.kind {
	case KindPing:
		return c.answerPing(message, now)
	case KindAck:
		return c.takeAck(message, now)
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

// hear notes that the sender, and so its zone, can be reached.
func (c *Core) hear(message Message, now time.Time) {
	if now.Sub(c.lastHeard) > c.config.IsolatedAfter {
		c.endIsolation()
	}
	c.lastHeard = now
	c.hearFromZone(message, now)
}

// Tick does what the time asks for and returns the messages to send. Call it several times a probe period.
func (c *Core) Tick(now time.Time) []Outgoing {
	c.forgivePause(now)
	var out []Outgoing
	out = append(out, c.tickProbe(now)...)
	c.tickSuspicions(now)
	out = append(out, c.tickSync(now)...)
	c.dropTombstones(now)
	c.refreshReachable(now)
	return out
}

// forgivePause moves the deadlines on after a pause of the process: messages that came meanwhile wait unread, so
// the time that passed says nothing about the others.
func (c *Core) forgivePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap < pauseFactor*c.config.ProbePeriod {
		return
	}
	c.probe = probe{ends: now.Add(c.config.ProbePeriod)}
	c.lastHeard = now
	for _, stored := range c.members {
		if !stored.suspectedAt.IsZero() {
			stored.suspectedAt = now
		}
	}
}

// Member returns one member as it is now.
func (c *Core) Member(node ident.Node) (Member, bool) {
	stored, known := c.members[node]
	if !known {
		return Member{}, false
	}
	return stored.member(c.zoneReachable(stored.zone)), true
}

// Changes grows with every change that Members would show.
func (c *Core) Changes() uint64 { return c.changes }

// learn merges a record from another node.
func (c *Core) learn(received record, now time.Time) {
	if received.node == c.self.node {
		c.refute(received)
		return
	}
	stored, known := c.members[received.node]
	if !known {
		c.learnNew(received, now)
		return
	}
	merged := merge(stored.record, received)
	if merged == stored.record {
		return
	}
	c.store(stored, merged, now)
	c.queue.add(received.node, c.sendsOf(merged))
}

// learnNew takes in a member that wasn't known. A dead one is no loss and isn't remembered anew: if it were, tombstones
// would be passed around for ever.
func (c *Core) learnNew(received record, now time.Time) {
	if received.health == healthDead || len(c.members) >= c.config.MaxMembers {
		return
	}
	stored := &entry{}
	c.members[received.node] = stored
	c.store(stored, received, now)
	c.queue.add(received.node, c.sendsOf(received))
}

// store replaces an entry's record and starts or ends the clocks that hang on its health.
func (c *Core) store(stored *entry, merged record, now time.Time) {
	fresh := merged.incarnation != stored.incarnation
	if fresh || merged.health != healthSuspect {
		stored.suspectedAt = time.Time{}
		stored.ownSuspicion = false
	}
	if merged.health == healthSuspect && stored.suspectedAt.IsZero() {
		stored.suspectedAt = now
	}
	moved := merged.zone != stored.zone
	died := merged.health == healthDead && (stored.health != healthDead || fresh)
	if died {
		stored.diedAt = now
	}
	stored.record = merged
	c.changes++
	if moved || died || fresh {
		c.refreshZones()
	}
}

// learnRevision merges the short form. It says nothing about a record of another incarnation.
func (c *Core) learnRevision(received revision) {
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

// refute answers a record of this node that isn't its own word: of an earlier life, or a suspicion or verdict.
func (c *Core) refute(received record) {
	stale := received.incarnation < c.self.incarnation
	own := received.incarnation == c.self.incarnation && received.health == c.self.health
	if stale || own {
		return
	}
	c.counts.Refutations++
	c.raise(received.incarnation)
}

// dropTombstones forgets members that have been dead for long.
func (c *Core) dropTombstones(now time.Time) {
	for node, stored := range c.members {
		if stored.health == healthDead && node != c.self.node && now.Sub(stored.diedAt) > c.config.TombstoneTime {
			delete(c.members, node)
			c.changes++
			c.refreshZones()
		}
	}
}
