package confsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Timing is how often and how widely a copy talks to others.
type Timing struct {
	// DigestPeriod is how often a node compares copies with one random peer of its zone, and a relay also with a relay
	// of another zone.
	DigestPeriod time.Duration
	// AnnouncePeriod is the wait between the rounds in which a new revision is announced.
	AnnouncePeriod time.Duration
	// AnnounceRounds is how many rounds a new revision is announced in.
	AnnounceRounds int
	// Fanout is how many peers of its zone a node announces to in each round.
	Fanout int
	// ExchangeTimeout is after how long an unanswered exchange is given up and another peer asked.
	ExchangeTimeout time.Duration
	// SnapshotTimeout is the same for the fetch of a whole copy.
	SnapshotTimeout time.Duration
	// RelaysPerZone is how many nodes of a zone watch the key-value service and talk to other zones.
	RelaysPerZone int
}

// DefaultTiming is what the measurements in docs/design/configuration.md were made with.
func DefaultTiming() Timing {
	return Timing{
		DigestPeriod:    2 * time.Second,
		AnnouncePeriod:  200 * time.Millisecond,
		AnnounceRounds:  3,
		Fanout:          3,
		ExchangeTimeout: 1 * time.Second,
		SnapshotTimeout: 20 * time.Second,
		RelaysPerZone:   2,
	}
}

// Bounds of what a copy keeps and sends.
const (
	// maxTail is how many changes a copy keeps to bring others up to date one by one.
	maxTail = 256
	// maxTailBytes bounds the values of those changes.
	maxTailBytes = 1 << 20
	// maxDeltaBytes bounds the values of the changes in one answer, beyond the first change.
	maxDeltaBytes = 128 << 10
)

// Digest is what a node says about its copy.
type Digest struct {
	From     Peer
	Revision int64
	Chain    uint64
}

// Delta answers a Digest with what its sender lacks.
type Delta struct {
	// Revision and Chain are of the answering copy.
	Revision int64
	Chain    uint64
	// Changes follow the digest's revision without a gap.
	Changes []Change
	// Snapshot says that the changes are no longer held one by one: fetch the whole copy.
	Snapshot bool
}

// Send is a message the copy wants sent: its digest to a peer, or a fetch of the peer's whole copy.
type Send struct {
	To       Peer
	Digest   Digest
	Snapshot bool
}

// Core is a copy of the configuration and its rules, apart from I/O: time and randomness are arguments, and messages to
// be sent are collected until Drain. Its revision never goes down. It is not safe for concurrent use.
type Core struct {
	self   Peer
	timing Timing
	random *rand.Rand

	peers  []Peer
	relays map[ident.Zone][]Peer

	state     *State
	tail      []Change
	tailBytes int

	// known is the revision each live peer last said that it has.
	known map[ident.Node]int64
	// pulling is the exchange or snapshot fetch under way to catch up, if any.
	pulling *pull

	nextDigest   time.Time
	nextAnnounce time.Time
	roundsLeft   int
	diverged     bool

	outbox []Send
}

// pull is one attempt to catch up from a peer.
type pull struct {
	from  ident.Node
	until time.Time
}

// NewCore returns an empty copy. The first periodic digest comes within a period of now, at a random instant.
func NewCore(self Peer, timing Timing, seed uint64, now time.Time) *Core {
	core := &Core{
		self:   self,
		timing: timing,
		random: rand.New(rand.NewPCG(seed, seed)),
		state:  EmptyState(),
		known:  map[ident.Node]int64{},
	}
	core.nextDigest = now.Add(core.draw(timing.DigestPeriod))
	core.SetPeers(now, nil)
	return core
}

// State returns the newest state.
func (c *Core) State() *State { return c.state }

// Diverged reports whether a peer was seen with another history at the same revision.
func (c *Core) Diverged() bool { return c.diverged }

// Known returns the revision the peer last said that it has, or zero.
func (c *Core) Known(node ident.Node) int64 { return c.known[node] }

// Held reports whether some live peer has said that it has the revision.
func (c *Core) Held(revision int64) bool {
	for _, known := range c.known {
		if known >= revision {
			return true
		}
	}
	return false
}

// Relay reports whether this node is one of its zone's relays, by its own view of the peers.
func (c *Core) Relay() bool { return contains(c.relays[c.self.Zone], c.self.Node) }

// SetPeers replaces the list of live peers. A node that has just come up compares copies with one of them at once; a
// relay does so with the relays of zones that have come into view, so that a healed cut is caught up on without waiting.
func (c *Core) SetPeers(now time.Time, peers []Peer) {
	others := slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return peer.Node == c.self.Node })
	if c.relays != nil && slices.Equal(others, c.peers) {
		return
	}
	before := c.relays
	alone := len(c.peers) == 0
	c.peers = others
	for node := range c.known {
		if !contains(c.peers, node) {
			delete(c.known, node)
		}
	}
	c.relays = chooseRelays(append([]Peer{c.self}, c.peers...), c.timing.RelaysPerZone)
	if near := c.zonePeers(); alone && len(near) > 0 {
		c.sendDigest(c.pick(near))
	}
	if !c.Relay() {
		return
	}
	for _, zone := range sortedZones(c.relays) {
		if zone != c.self.Zone && len(before[zone]) == 0 {
			c.sendDigest(c.relays[zone][0])
		}
	}
}

// Drain returns the messages to be sent and forgets them.
func (c *Core) Drain() []Send {
	sends := c.outbox
	c.outbox = nil
	return sends
}

// Tick does what is due at now: the periodic digest, rounds of announcement, giving up on an unanswered pull.
func (c *Core) Tick(now time.Time) {
	if c.pulling != nil && !now.Before(c.pulling.until) {
		c.abandonPull(now)
	}
	if c.roundsLeft > 0 && !now.Before(c.nextAnnounce) {
		c.announceRound(now)
	}
	if !now.Before(c.nextDigest) {
		c.nextDigest = now.Add(c.timing.DigestPeriod/2 + c.draw(c.timing.DigestPeriod))
		c.periodicDigests()
	}
}

// NextTick returns when Tick next has something to do.
func (c *Core) NextTick() time.Time {
	next := c.nextDigest
	if c.roundsLeft > 0 && c.nextAnnounce.Before(next) {
		next = c.nextAnnounce
	}
	if c.pulling != nil && c.pulling.until.Before(next) {
		next = c.pulling.until
	}
	return next
}

// Learn applies the accepted changes that follow the copy's state in order and ignores the others. It reports whether
// the revision grew.
func (c *Core) Learn(now time.Time, changes []Change) bool {
	before := c.state.Revision
	for _, change := range changes {
		// The revisions are dense: only the change right after ours may be applied. An older one would take the
		// configuration back, a later one would skip what lies between.
		if change.Revision <= c.state.Revision || change.Revision-1 != c.state.Revision {
			continue
		}
		if change.Chain != nextChain(c.state.Chain, change.ID) {
			c.diverged = true
			break
		}
		c.state = c.state.with(change)
		c.keep(change.withoutPrevious())
	}
	if c.state.Revision == before {
		return false
	}
	c.announce(now)
	return true
}

// Install replaces the copy by a newer state. It reports whether the revision grew.
func (c *Core) Install(now time.Time, state *State) bool {
	if state.Revision <= c.state.Revision {
		return false
	}
	c.state = state
	c.tail = nil
	c.tailBytes = 0
	c.announce(now)
	return true
}

// Recent finds a change by its identifier among those kept.
func (c *Core) Recent(id string) (Change, bool) {
	for i := len(c.tail) - 1; i >= 0; i-- {
		if c.tail[i].ID == id {
			return c.tail[i], true
		}
	}
	return Change{}, false
}

// HandleDigest answers a peer's digest with what the peer lacks. If the peer is ahead, the copy asks it in turn.
func (c *Core) HandleDigest(now time.Time, digest Digest) Delta {
	c.hear(now, digest.From, digest.Revision, digest.Chain)
	delta := Delta{Revision: c.state.Revision, Chain: c.state.Chain}
	if digest.Revision >= c.state.Revision {
		return delta
	}
	oldest := c.state.Revision - int64(len(c.tail))
	if digest.Revision < oldest {
		delta.Snapshot = true
		return delta
	}
	size := 0
	for _, change := range c.tail[digest.Revision-oldest:] {
		size += change.size()
		if size > maxDeltaBytes && len(delta.Changes) > 0 {
			break
		}
		delta.Changes = append(delta.Changes, change)
	}
	return delta
}

// HandleDelta takes in a peer's answer to a digest.
func (c *Core) HandleDelta(now time.Time, from Peer, delta Delta) {
	c.endPull(from.Node)
	c.Learn(now, delta.Changes)
	if delta.Snapshot && delta.Revision > c.state.Revision {
		c.startPull(now, from, true)
	}
	c.hear(now, from, delta.Revision, delta.Chain)
}

// HandleSnapshot takes in a peer's whole copy.
func (c *Core) HandleSnapshot(now time.Time, from Peer, state *State) {
	c.endPull(from.Node)
	c.Install(now, state)
	c.hear(now, from, state.Revision, state.Chain)
}

// HandleFailure notes that an exchange with a peer failed.
func (c *Core) HandleFailure(now time.Time, to Peer) {
	delete(c.known, to.Node)
	if c.pulling != nil && c.pulling.from == to.Node {
		c.pulling = nil
		c.pullFromAhead(now)
	}
}

// hear notes what a peer has said about its copy, and asks it for what this copy lacks unless a pull is under way.
func (c *Core) hear(now time.Time, from Peer, revision int64, chain uint64) {
	if revision == c.state.Revision && chain != c.state.Chain {
		c.diverged = true
		return
	}
	// A peer that has restarted without a disk says less than it did before, so the last word counts, not the highest.
	c.known[from.Node] = revision
	if c.pulling == nil && revision > c.state.Revision {
		c.startPull(now, from, false)
	}
}

func (c *Core) startPull(now time.Time, from Peer, snapshot bool) {
	timeout := c.timing.ExchangeTimeout
	if snapshot {
		timeout = c.timing.SnapshotTimeout
	}
	c.pulling = &pull{from: from.Node, until: now.Add(timeout)}
	c.outbox = append(c.outbox, Send{To: from, Digest: c.digest(), Snapshot: snapshot})
}

func (c *Core) endPull(from ident.Node) {
	if c.pulling != nil && c.pulling.from == from {
		c.pulling = nil
	}
}

func (c *Core) abandonPull(now time.Time) {
	delete(c.known, c.pulling.from)
	c.pulling = nil
	c.pullFromAhead(now)
}

// pullFromAhead asks some peer that is known to be ahead.
func (c *Core) pullFromAhead(now time.Time) {
	for _, peer := range c.peers {
		if c.known[peer.Node] > c.state.Revision {
			c.startPull(now, peer, false)
			return
		}
	}
}

// keep adds a change to the tail and drops the oldest beyond the bounds.
func (c *Core) keep(change Change) {
	c.tail = append(c.tail, change)
	c.tailBytes += change.size()
	for len(c.tail) > maxTail || (c.tailBytes > maxTailBytes && len(c.tail) > 1) {
		c.tailBytes -= c.tail[0].size()
		c.tail = c.tail[1:]
	}
}

// size returns the bytes of a change's values and names, without framing.
func (c Change) size() int {
	size := len(c.ID) + len(c.Author) + len(c.Comment)
	for _, changed := range c.Resources {
		size += len(changed.Resource.Kind) + len(changed.Resource.Name) + len(changed.Resource.Value)
	}
	return size
}

func (c *Core) digest() Digest {
	return Digest{From: c.self, Revision: c.state.Revision, Chain: c.state.Chain}
}

func (c *Core) draw(period time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(period) + 1))
}
