// Package membership maintains the list of the fleet's nodes and detects their failures. Within a zone it follows the
// SWIM protocol (Das, Gupta, Motivala 2002): each node probes one random peer per period, requests indirect probes,
// marks an unresponsive peer as suspect, which the suspect can refute, and piggybacks changes on the probes. Between
// zones, a few nodes chosen by rendezvous hashing, the bridges, compare digests. Only a zone's own nodes decide about the
// health of its members; other zones copy the result and track whether the zone is reachable at all.
//
// Core is the deterministic detector: it receives time and randomness as arguments and returns the messages to send.
// Service runs a Core over the transport and publishes its state as a View, as metrics and as log events.
package membership

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// State is a member's state as others should treat it.
type State uint8

// The states of a member.
const (
	// Alive means that the member answers the probes of its zone.
	Alive State = iota
	// Leaving means that the member has announced a planned stop and should get no new work.
	Leaving
	// Suspect means that a probe failed, or that the member's zone is unreachable from this node. The member should
	// get no work that another can take.
	Suspect
	// Dead means that the member's zone declared it dead, or that it left.
	Dead
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	default:
		return "dead"
	}
}

// health is a zone's assessment of a member. Within one incarnation it never decreases.
type health uint8

const (
	healthAlive health = iota
	healthSuspect
	healthDead
)

// Attributes are properties that a node announces about itself, in addition to its addresses.
type Attributes struct {
	// HasDisk is set if the node stores job shards; DiskIncarnation is the random number written on its disk.
	HasDisk         bool
	DiskIncarnation uint64
	// ConfigRevision is the newest configuration revision that the node applies. It is current within the zone only;
	// other zones have its value from the last time another part of the record changed.
	ConfigRevision int64
}

// Member is the state of a node as last received from its zone.
type Member struct {
	Node   ident.Node
	Zone   ident.Zone
	Region ident.Region
	// PeerAddress and CallerAddress are "IP:port" of the listeners for nodes and for callers.
	PeerAddress   string
	CallerAddress string
	// Incarnation orders the records about the node. Only the node itself raises it.
	Incarnation uint64
	// Started is the Unix time in milliseconds of the process's start; it changes with every restart.
	Started    uint64
	State      State
	Attributes Attributes
}

// record is a member as the detector stores and sends it. Records form a join-semilattice under merge, so that nodes that
// have received the same records agree, regardless of the order of arrival: a higher incarnation replaces the whole
// record; within one incarnation only health and revision grow.
type record struct {
	node          ident.Node
	zone          ident.Zone
	region        ident.Region
	peerAddress   string
	callerAddress string
	incarnation   uint64
	started       uint64
	health        health
	leaving       bool
	hasDisk       bool
	disk          uint64
	revision      int64
}

// merge returns the join of two records of one node.
func merge(first, second record) record {
	if first.incarnation != second.incarnation {
		if first.incarnation > second.incarnation {
			return first
		}
		return second
	}
	first.health = max(first.health, second.health)
	first.revision = max(first.revision, second.revision)
	return first
}

// state returns the state of the record's node, given whether its zone is reachable.
func (r record) state(zoneReachable bool) State {
	switch {
	case r.health == healthDead:
		return Dead
	case r.health == healthSuspect || !zoneReachable:
		return Suspect
	case r.leaving:
		return Leaving
	default:
		return Alive
	}
}

func (r record) member(zoneReachable bool) Member {
	return Member{
		Node:          r.node,
		Zone:          r.zone,
		Region:        r.region,
		PeerAddress:   r.peerAddress,
		CallerAddress: r.callerAddress,
		Incarnation:   r.incarnation,
		Started:       r.started,
		State:         r.state(zoneReachable),
		Attributes:    Attributes{HasDisk: r.hasDisk, DiskIncarnation: r.disk, ConfigRevision: r.revision},
	}
}

// Self describes the local node at its start.
type Self struct {
	Node          ident.Node
	Zone          ident.Zone
	Region        ident.Region
	PeerAddress   string
	CallerAddress string
	Started       time.Time
	Attributes    Attributes
}

func (s Self) record() record {
	started := uint64(max(s.Started.UnixMilli(), 1))
	return record{
		node:          s.Node,
		zone:          s.Zone,
		region:        s.Region,
		peerAddress:   s.PeerAddress,
		callerAddress: s.CallerAddress,
		incarnation:   started,
		started:       started,
		hasDisk:       s.Attributes.HasDisk,
		disk:          s.Attributes.DiskIncarnation,
		revision:      s.Attributes.ConfigRevision,
	}
}
