// Package membership is the failure detector of the fleet. Within a zone it probes in the manner of SWIM (Das, Gupta,
// Motivala 2002): one random peer a period, indirect probes, suspicion that the suspect can refute, and changes
// piggybacked on the probes. Between zones a few nodes chosen by rendezvous hashing compare digests. A zone alone judges
// the health of its members; the others copy its verdicts and watch whether the zone can be reached at all.
//
// Core is the pure detector: time and randomness are its arguments and messages its output. Service carries it.
package membership

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// State is a member's state as others should treat it.
type State uint8

// The states of a member.
const (
	// Alive means that the member answers its zone's probes.
	Alive State = iota
	// Leaving means that the member has announced a planned stop: give it no new work.
	Leaving
	// Suspect means that a probe failed, or that the member's zone can't be reached from here: give it no work if
	// another can take it.
	Suspect
	// Dead means that the member's zone gave it up, or that it left.
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

// health is what a zone says about a member at one incarnation; it only ever grows there.
type health uint8

const (
	healthAlive health = iota
	healthSuspect
	healthDead
)

// Attributes are what a node tells the others about itself, besides its addresses.
type Attributes struct {
	// HasDisk says that the node stores job shards; DiskIncarnation is the random number written on its disk.
	HasDisk         bool
	DiskIncarnation uint64
	// ConfigRevision is the newest configuration revision the node has in force. It is kept up to date within the zone
	// only; other zones have it as it was when something else about the node changed.
	ConfigRevision int64
}

// Member is a node as its zone last described it.
type Member struct {
	Node   ident.Node
	Zone   ident.Zone
	Region ident.Region
	// PeerAddress and CallerAddress are "IP:port" of the listeners for nodes and for callers.
	PeerAddress   string
	CallerAddress string
	// Incarnation orders descriptions of the node: only the node itself raises it.
	Incarnation uint64
	// Started is the Unix time in milliseconds of the process's start; it changes with every restart.
	Started    uint64
	State      State
	Attributes Attributes
}

// record is a member as the detector keeps and sends it. Records form a join-semilattice under merge, so that nodes
// which have seen the same records agree, in whatever order they came:
// a higher incarnation replaces the whole record; at one incarnation only health and revision grow.
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

// state returns how others should treat the record's node.
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

// Self is what a node knows about itself when it starts.
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
