package confsim

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
)

// Timing of a simulated relay's reading of the key-value service: a watch shows a change after the store's delay; a
// relay that could not read tries again after followRetry.
const followRetry = 2 * time.Second

// Node is a hollow node. It implements confsync.LocalCopy.
type Node struct {
	fleet       *Fleet
	peer        confsync.Peer
	seed        uint64
	store       *kvtest.Store
	storeFaults kvtest.Faults

	core    *confsync.Core
	running bool
	// life counts starts, so that timers and messages of an earlier life are dropped.
	life int
	// paused nodes do nothing and lose their messages, but keep their state.
	paused bool
	// ticking is the instant of the earliest tick scheduled.
	ticking time.Time
	highest int64
	// reached is when the node reached each revision first.
	reached map[int64]time.Time
}

var _ confsync.LocalCopy = (*Node)(nil)

func newNode(fleet *Fleet, peer confsync.Peer, seed uint64) *Node {
	return &Node{
		fleet:   fleet,
		peer:    peer,
		seed:    seed,
		store:   kvtest.NewStore(fleet.data, seed),
		reached: map[int64]time.Time{},
	}
}

// Peer returns the node's name and zone.
func (n *Node) Peer() confsync.Peer { return n.peer }

// Relay reports whether the node is a relay of its zone, by its own view.
func (n *Node) Relay() bool { return n.core.Relay() }

// Store returns the node's own client of the key-value service.
func (n *Node) Store() *kvtest.Store { return n.store }

// SetStoreFaults sets the faults of the node's client; outages and cuts of the fleet are kept.
func (n *Node) SetStoreFaults(faults kvtest.Faults) {
	n.storeFaults = faults
	n.fleet.applyStoreFaults()
}

// Reached returns when the node first had the revision.
func (n *Node) Reached(revision int64) (time.Time, bool) {
	at, reached := n.reached[revision]
	return at, reached
}

// Stop ends the node's process.
func (n *Node) Stop() {
	n.running = false
	n.life++
	n.fleet.viewsChanged()
}

// Restart starts the node from a saved copy, or empty for a node without a disk.
func (n *Node) Restart(saved *confsync.State) {
	n.life++
	n.start(saved)
	n.fleet.viewsChanged()
}

// SetPaused freezes the node as a stopped process does, or lets it go on with the state it had.
func (n *Node) SetPaused(paused bool) {
	n.paused = paused
	if !paused {
		n.step(func(core *confsync.Core, now time.Time) {})
	}
}

func (n *Node) start(saved *confsync.State) {
	now := n.fleet.Now()
	n.running = true
	n.paused = false
	n.highest = 0
	n.ticking = time.Time{}
	n.core = confsync.NewCore(n.peer, n.fleet.options.Timing, n.seed+uint64(n.life)<<32, now)
	n.core.Install(now, saved)
	n.refreshPeers()
	n.scheduleFollow(n.fleet.draw(followRetry))
}

// refreshPeers shows the node the running nodes it can reach.
func (n *Node) refreshPeers() {
	if !n.running {
		return
	}
	var peers []confsync.Peer
	for _, other := range n.fleet.nodes {
		if other != n && other.running && n.fleet.reachable(n.peer.Zone, other.peer.Zone) {
			peers = append(peers, other.peer)
		}
	}
	n.step(func(core *confsync.Core, now time.Time) { core.SetPeers(now, peers) })
}

// step runs one input of the core, checks the invariant, sends its messages and schedules its next tick.
func (n *Node) step(input func(core *confsync.Core, now time.Time)) {
	if !n.running || n.paused {
		return
	}
	now := n.fleet.Now()
	input(n.core, now)
	n.check(now)
	for _, send := range n.core.Drain() {
		n.fleet.send(n, send)
	}
	n.scheduleTick()
}

// check notes a revision that went down.
func (n *Node) check(now time.Time) {
	revision := n.core.State().Revision
	if revision < n.highest {
		n.fleet.violate("%s went from revision %d down to %d", n.peer.Node, n.highest, revision)
	}
	for n.highest < revision {
		n.highest++
		if _, before := n.reached[n.highest]; !before {
			n.reached[n.highest] = now
		}
	}
	if n.core.Diverged() {
		n.fleet.violate("%s saw a diverged history at revision %d", n.peer.Node, revision)
	}
}

func (n *Node) scheduleTick() {
	next := n.core.NextTick()
	if !n.ticking.IsZero() && !next.Before(n.ticking) {
		return
	}
	n.ticking = next
	life := n.life
	n.fleet.clock.After(max(0, next.Sub(n.fleet.Now())), func() {
		if n.life != life || !n.ticking.Equal(next) {
			return
		}
		n.ticking = time.Time{}
		n.step(func(core *confsync.Core, now time.Time) { core.Tick(now) })
		if n.paused {
			return
		}
	})
}

// scheduleFollow has a relay read the key-value service after a delay, and again and again.
func (n *Node) scheduleFollow(delay time.Duration) {
	life := n.life
	n.fleet.clock.After(delay, func() {
		if n.life != life {
			return
		}
		n.follow()
		n.scheduleFollow(followRetry/2 + n.fleet.draw(followRetry))
	})
}

// follow reads the key-value service if the node is a relay. A failure leaves the copy as it is.
func (n *Node) follow() {
	if n.running && !n.paused && n.core.Relay() {
		_ = confsync.CatchUp(context.Background(), n.store, n)
	}
}

// State implements confsync.LocalCopy.
func (n *Node) State() *confsync.State { return n.core.State() }

// Learn implements confsync.LocalCopy.
func (n *Node) Learn(changes []confsync.Change) {
	n.step(func(core *confsync.Core, now time.Time) { core.Learn(now, changes) })
}

// Install implements confsync.LocalCopy.
func (n *Node) Install(state *confsync.State) {
	n.step(func(core *confsync.Core, now time.Time) { core.Install(now, state) })
}

// Recent implements confsync.LocalCopy.
func (n *Node) Recent(id string) (confsync.Change, bool) {
	if n.fleet.options.Forgetful {
		return confsync.Change{}, false
	}
	return n.core.Recent(id)
}
