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
	// Doubtful says that the runner's zone has members that are suspect only, so that they may well be at work.
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
	return Choice{Node: best, Foreign: true, Doubtful: anySuspect(zone, members)}, true
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

// fingerprint returns a hash over what Choose reads of the members: names, zones and states, in their order.
func fingerprint(members []membership.Member) uint64 {
	const end = 0
	var digest xxhash.Digest
	digest.Reset()
	for _, member := range members {
		_, _ = digest.WriteString(string(member.Node))
		_, _ = digest.Write([]byte{end})
		_, _ = digest.WriteString(string(member.Zone))
		_, _ = digest.Write([]byte{end, byte(member.State)})
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

func anySuspect(zone ident.Zone, members []membership.Member) bool {
	for _, member := range members {
		if member.Zone == zone && member.State == membership.Suspect {
			return true
		}
	}
	return false
}
