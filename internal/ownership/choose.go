// Package ownership decides which node owns which runner, and claims runners on the engines themselves: the engine
// keeps the highest epoch it has granted and refuses lower ones, so it is the register and no other service is needed.
// Rendezvous hashing over the members makes the nodes agree on the choice nearly always; the epoch makes it safe when
// they don't.
package ownership

import (
	"iter"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// Distance returns how far one zone is from another, in any unit; it is asked for different zones only.
type Distance func(from, to ident.Zone) float64

// Choice is the node that ought to own a runner.
type Choice struct {
	Node ident.Node
	// Foreign says that the node is of another zone than the runner.
	Foreign bool
	// Doubtful says that the runner's zone has members that are suspect only, so that they may well be at work, or none that
	// are known at all, as when this node has just started. Were such runners asked for and claimed at once, each node of a
	// starting fleet would claim them all.
	Doubtful bool
}

// Choose returns the owner of a runner among the members: the highest rendezvous weight of the live members of its
// zone, else of the nearest zone that has any. It returns false if nobody is alive.
func Choose(runner ident.Runner, zone ident.Zone, members []membership.Member, distance Distance) (Choice, bool) {
	if best, found := rendezvous.First(string(runner), live(zone, members)); found {
		return Choice{Node: best}, true
	}
	nearest, found := nearestZone(zone, members, distance)
	if !found {
		return Choice{}, false
	}
	best, _ := rendezvous.First(string(runner), live(nearest, members))
	return Choice{Node: best, Foreign: true, Doubtful: anyMayLive(zone, members)}, true
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

// zoneMembers are the live members of a zone, in the order of the members, and a hash over their names.
type zoneMembers struct {
	live        []ident.Node
	fingerprint uint64
}

// zonesOf sorts the live members by zone.
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

// anyMayLive says whether a zone without live members may have some: one is suspect, or none is known to be dead either.
func anyMayLive(zone ident.Zone, members []membership.Member) bool {
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
