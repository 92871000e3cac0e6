package confsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Timing configures how often a copy exchanges messages with other nodes and with how many of them.
type Timing struct {
	// DigestPeriod is how often a node compares copies with one random peer of its zone, and a relay also with a relay
	// of another zone.
	DigestPeriod time.Duration
	// AnnouncePeriod is the interval between announcement rounds of a new revision.
	AnnouncePeriod time.Duration
	// AnnounceRounds is the number of announcement rounds for a new revision.
	AnnounceRounds int
	// Fanout is the number of random peers of its zone that a node announces to in each round.
	Fanout int
	// ExchangeTimeout is how long an exchange may stay unanswered before it is abandoned and another peer is tried.
	ExchangeTimeout time.Duration
	// SnapshotTimeout is the corresponding limit for fetching a whole copy.
	SnapshotTimeout time.Duration
	// RelaysPerZone is the number of nodes of a zone that watch the key-value service and exchange messages with other zones.
	RelaysPerZone int
}

// DefaultTiming returns the timing used for the measurements in docs/design/configuration.md.
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

// Limits on what a copy retains and sends.
const (
	// maxTail is the number of recent changes a copy retains to bring peers up to date without a snapshot.
	maxTail = 256
	// maxTailBytes limits the total size of those changes.
	maxTailBytes = 1 << 20
	// maxDeltaBytes limits the size of the changes in one answer; the first change is always sent.
	maxDeltaBytes = 128 << 10
)

// Digest identifies the revision and history of a node's copy.
type Digest struct {
	From     Peer
	Revision int64
	Chain    uint64
}

// Delta answers a Digest with the changes its sender lacks.
type Delta struct {
	// Revision and Chain are those of the answering copy.
	Revision int64
	Chain    uint64
	// Changes follow the digest's revision without a gap.
	Changes []Change
	// Snapshot is set if the answering copy no longer retains the individual changes; the whole copy must be fetched.
	Snapshot bool
}

// Send is an outgoing message: the copy's digest for a peer, or a request for the peer's whole copy.
type Send struct {
	To       Peer
	Digest   Digest
	Snapshot bool
}

// Core is a copy of the configuration and its decision logic, without I/O: the time and the random seed are arguments, and
// outgoing messages are collected until Drain. Its revision never decreases. It is not safe for concurrent use.
type Core struct {
	self   Peer
	timing Timing
	random *rand.Rand

	peers  []Peer
	relays map[ident.Zone][]Peer

	state     *State
	tail      []Change
	tailBytes int

	// known is the revision each live peer last reported.
	known map[ident.Node]int64
	// pulling is the exchange or snapshot fetch in progress to catch up, if any.
	pulling *pull

	nextDigest   time.Time
	nextAnnounce time.Time
	roundsLeft   int
	diverged     bool

	outbox []Send
}

// pull is an attempt to catch up from a peer, abandoned at until.
type pull struct {
	from  ident.Node
	until time.Time
}

// NewCore returns an empty copy. Its first periodic digest is due at a random time within DigestPeriod after now.
func NewCore(self Peer, timing Timing, seed uint64, now time.Time) *Core {
	core := &Core{
		self:   self,
		timing: timing,
		random: rand.New(rand.NewPCG(seed, seed)),
		state:  EmptyState(),
		known:  map[ident.Node]int64{},
	}
	core.nextDigest = now.Add(core.randomDuration(timing.DigestPeriod))
	core.SetPeers(now, nil)
	return core
}

func (c *Core) State() *State { return c.state }

// Diverged reports whether a peer reported a different history at the same revision, or a change did not continue this history.
func (c *Core) Diverged() bool { return c.diverged }

// Held reports whether some live peer has reported the revision or a newer one.
func (c *Core) Held(revision int64) bool {
	for _, known := range c.known {
		if known >= revision {
			return true
		}
	}
	return false
}

// Relay reports whether this node is one of its zone's relays according to its own view of the peers.
func (c *Core) Relay() bool { return contains(c.relays[c.self.Zone], c.self.Node) }

// SetPeers replaces the list of live peers. A node that had no peers sends its digest to one in its zone at once. A relay sends
// its digest to a relay of each zone that was not visible before, so that it catches up without delay after a partition heals.
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

// Drain returns the pending outgoing messages and clears them.
func (c *Core) Drain() []Send {
	sends := c.outbox
	c.outbox = nil
	return sends
}

// Tick runs the work due at now: the periodic digest, an announcement round, and abandoning an unanswered pull.
func (c *Core) Tick(now time.Time) {
	if c.pulling != nil && !now.Before(c.pulling.until) {
		c.abandonPull(now)
	}
	if c.roundsLeft > 0 && !now.Before(c.nextAnnounce) {
		c.announceRound(now)
	}
	if !now.Before(c.nextDigest) {
		c.nextDigest = now.Add(c.timing.DigestPeriod/2 + c.randomDuration(c.timing.DigestPeriod))
		c.periodicDigests()
	}
}

// NextTick returns the time at which Tick next has work to do.
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
// the revision increased.
func (c *Core) Learn(now time.Time, changes []Change) bool {
	before := c.state.Revision
	for _, change := range changes {
		// Revisions are consecutive, so only the change right after the copy's revision may be applied. An older one would
		// revert the configuration and a later one would skip the changes between.
		if change.Revision <= c.state.Revision || change.Revision-1 != c.state.Revision {
			continue
		}
		if change.Chain != nextChain(c.state.Chain, change.ID) {
			c.diverged = true
			break
		}
		c.state = c.state.with(change)
		c.appendTail(change.withoutPrevious())
	}
	if c.state.Revision == before {
		return false
	}
	c.announce(now)
	return true
}

// Install replaces the copy with a newer state and ignores an older one. It reports whether the revision increased.
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

// Recent returns the change with the given identifier if it is among the retained changes.
func (c *Core) Recent(id string) (Change, bool) {
	for i := len(c.tail) - 1; i >= 0; i-- {
		if c.tail[i].ID == id {
			return c.tail[i], true
		}
	}
	return Change{}, false
}

// HandleDigest answers a peer's digest with the changes the peer lacks. If the peer is ahead, it starts a pull from it.
func (c *Core) HandleDigest(now time.Time, digest Digest) Delta {
	c.observePeer(now, digest.From, digest.Revision, digest.Chain)
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

// HandleDelta processes a peer's answer to a digest.
func (c *Core) HandleDelta(now time.Time, from Peer, delta Delta) {
	c.endPull(from.Node)
	c.Learn(now, delta.Changes)
	if delta.Snapshot && delta.Revision > c.state.Revision {
		c.startPull(now, from, true)
	}
	c.observePeer(now, from, delta.Revision, delta.Chain)
}

// HandleSnapshot processes a peer's whole copy.
func (c *Core) HandleSnapshot(now time.Time, from Peer, state *State) {
	c.endPull(from.Node)
	c.Install(now, state)
	c.observePeer(now, from, state.Revision, state.Chain)
}

// HandleFailure processes a failed exchange with a peer: the peer's revision becomes unknown, and a pull from it moves to
// another peer.
func (c *Core) HandleFailure(now time.Time, to Peer) {
	delete(c.known, to.Node)
	if c.pulling != nil && c.pulling.from == to.Node {
		c.pulling = nil
		c.pullFromAhead(now)
	}
}

// observePeer records a peer's reported revision and starts a pull if the peer is ahead and no pull is in progress.
func (c *Core) observePeer(now time.Time, from Peer, revision int64, chain uint64) {
	if revision == c.state.Revision && chain != c.state.Chain {
		c.diverged = true
		return
	}
	// A peer that restarted without its saved copy reports a lower revision than before, so the latest report counts, not
	// the highest.
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

// pullFromAhead starts a pull from a peer that is known to be ahead, if there is one.
func (c *Core) pullFromAhead(now time.Time) {
	for _, peer := range c.peers {
		if c.known[peer.Node] > c.state.Revision {
			c.startPull(now, peer, false)
			return
		}
	}
}

// appendTail adds a change to the tail and drops the oldest changes beyond the limits.
func (c *Core) appendTail(change Change) {
	c.tail = append(c.tail, change)
	c.tailBytes += change.size()
	for len(c.tail) > maxTail || (c.tailBytes > maxTailBytes && len(c.tail) > 1) {
		c.tailBytes -= c.tail[0].size()
		c.tail = c.tail[1:]
	}
}

// size returns the total bytes of a change's strings and values, without framing.
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

func (c *Core) randomDuration(period time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(period) + 1))
}
