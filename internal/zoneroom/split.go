package zoneroom

import (
	"math"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Room is the places that a service has in one zone.
type Room struct {
	Zone ident.Zone
	// Places are those of the runners that take work and of which is known what they have. A runner that is slow now may
	// count for fewer than it has.
	Places float64
	// Taken are the online requests there. Items are not counted: they step aside.
	Taken float64
}

const (
	// fullWait is how long a request waits at a runner of a zone whose places are all taken, in milliseconds, and steepness how the
	// wait grows until then: nodes choose by counts that are a report old, so that they meet at full runners before all are full.
	fullWait  = 120.0
	steepness = 8
	// overWait is the wait for as many requests beyond the places as there are places: a run, of the shortest that there are.
	overWait = 500.0
	// keptShare of its places is what a zone keeps for its own callers: nobody comes into it beyond the others.
	keptShare = 0.1
	// gain is by how many milliseconds it has to be better elsewhere for all to leave. What is known of the other zones is old by about
	// the time of a run: with less, all leave until it is heard that they came.
	gain = 150.0
	// stay is the part of the price of the way below which a node that has requests leave has them stay again.
	stay = 0.5
)

// wait is how long a request waits for a place in a zone, in milliseconds.
func (r Room) wait() float64 {
	used := r.Taken / r.Places
	if used >= 1 {
		return fullWait + overWait*(used-1)
	}
	return fullWait * math.Pow(used, steepness)
}

// free is how many places callers of other zones may have.
func (r Room) free() float64 { return max((1-keptShare)*r.Places-r.Taken, 0) }

// Split decides how many requests leave their zone. The zero Split has all stay. It is not safe for concurrent use.
type Split struct {
	// leaving says that some do.
	leaving bool
}

// Draw returns the zone that a request goes to: its own, or one of the others in proportion to their free places. way is the price
// of the way in milliseconds, random is drawn from 0 to 1. Nodes that know the same do not all decide the same: what leaves is a share
// that grows with the difference.
func (s *Split) Draw(own Room, others []Room, way, random float64) ident.Zone {
	var elsewhere Room
	free := 0.0
	for _, other := range others {
		if other.free() > 0 {
			elsewhere.Places += other.Places
			elsewhere.Taken += other.Taken
			free += other.free()
		}
	}
	if free == 0 || own.Places <= 0 {
		s.leaving = false
		return own.Zone
	}
	better := own.wait() - elsewhere.wait()
	s.leaving = better > way || (s.leaving && better > stay*way)
	share := min((better-stay*way)/gain, 1)
	if !s.leaving || random >= share {
		return own.Zone
	}
	drawn := random / share * free
	for _, other := range others {
		drawn -= other.free()
		if other.free() > 0 && drawn < 0 {
			return other.Zone
		}
	}
	return own.Zone
}
