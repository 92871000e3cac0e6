// Package ownership decides which node owns which runner, and claims runners on their engines. An engine stores the highest epoch
// it has granted and refuses lower ones, so the engine itself is the register of ownership and no other service is needed. The
// choice by rendezvous hashing over the members makes the nodes nearly always agree; the epoch makes ownership safe when they do
// not.
package ownership

import (
	"iter"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// Distance returns the distance from one zone to another, in any unit; it is called for different zones only.
type Distance func(from, to ident.Zone) float64

// Choice is the node that should own a runner.
type Choice struct {
	Node ident.Node
	// Foreign is set if the node is in another zone than the runner.
	Foreign bool
	// Uncertain is set if the runner's zone may have live members after all: some are only suspect, or none is known at all, as
	// when this node has just started. If such runners were claimed at once, each node of a starting fleet would claim them all.
	Uncertain bool
}

// Choose returns the owner of a runner among the members: the live member of the runner's zone with the highest rendezvous weight
// or, if there is none, that of the nearest zone with live members. It returns false if no member is alive.
func Choose(runner ident.Runner, zone ident.Zone, members []membership.Member, distance Distance) (Choice, bool) {
	if best, found := rendezvous.First(string(runner), live(zone, members)); found {
		return Choice{Node: best}, true
	}
	nearest, found := nearestZone(zone, members, distance)
	if !found {
		return Choice{}, false
	}
	best, _ := rendezvous.First(string(runner), live(nearest, members))
	return Choice{Node: best, Foreign: true, Uncertain: mayHaveLive(zone, members)}, true
}

// live yields the live members of a zone.
func live(zone ident.Zone, members []membership.Member) iter.Seq[ident.Node] {
	return func(yield func(ident.Node) bool) {
		for _, member := range members {
			if member.Zone != zone || member.State != membership.Alive {
				continue
			}
			if !yield(member.Node) {
				return
			}
		}
	}
}

// zoneMembers holds the live members of a zone, in the order of the member list, and a hash over their names.
type zoneMembers struct {
	live        []ident.Node
	fingerprint uint64
}

// zonesOf groups the live members by zone.
func zonesOf(members []membership.Member) map[ident.Zone]zoneMembers {
	zones := map[ident.Zone]zoneMembers{}
	for _, member := range members {
		if member.State != membership.Alive {
			continue
		}
		zone := zones[member.Zone]
		zone.live = append(zone.live, member.Node)
		zones[member.Zone] = zone
	}
	for name, zone := range zones {
		zone.fingerprint = fingerprint(zone.live)
		zones[name] = zone
	}
	return zones
}

func fingerprint(nodes []ident.Node) uint64 {
	const end = 0
	var digest xxhash.Digest
	digest.Reset()
	for _, node := range nodes {
		_, _ = digest.WriteString(string(node))
		_, _ = digest.Write([]byte{end})
	}
	return digest.Sum64()
}

func nearestZone(from ident.Zone, members []membership.Member, distance Distance) (ident.Zone, bool) {
	var nearest ident.Zone
	var least float64
	for _, member := range members {
		if member.State != membership.Alive || member.Zone == nearest {
			continue
		}
		away := distance(from, member.Zone)
		if nearest == "" || away < least || (away == least && member.Zone < nearest) {
			nearest, least = member.Zone, away
		}
	}
	return nearest, nearest != ""
}

// mayHaveLive reports whether a zone without live members may have some after all: a member is suspect, or no member is known.
func mayHaveLive(zone ident.Zone, members []membership.Member) bool {
	known := false
	for _, member := range members {
		if member.Zone != zone {
			continue
		}
		known = true
		if member.State == membership.Suspect {
			return true
		}
	}
	return !known
}
