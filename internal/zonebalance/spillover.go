package zonebalance

import (
	"math"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// ZoneLoad is the slots and the load of a service in one zone.
type ZoneLoad struct {
	Zone ident.Zone
	// Slots are the slots of the eligible runners whose load is known.
	Slots float64
	// Online is the number of online requests there. Batch items are not counted because they can be preempted.
	Online float64
}

const (
	// fullWaitMs is the wait for a slot in a zone whose slots are all taken, and waitExponent sets how the wait grows
	// with the load up to there. Nodes choose by counts as old as a report, so that requests meet at full runners
	// before all runners are full.
	fullWaitMs   = 120.0
	waitExponent = 8
	// overloadWaitMs is the wait for as many requests beyond the slots as there are slots: about one run, of the
	// shortest there are.
	overloadWaitMs = 500.0
	// reservedShare is the part of its slots that a zone reserves for its own callers: requests from other zones only
	// get slots below the rest.
	reservedShare = 0.1
	// fullSpillMs is the difference in wait at which all requests leave. The information about other zones is about as
	// old as a run is long: with a smaller value, all requests would leave until the load that they cause is reported.
	fullSpillMs = 150.0
	// stopFraction is the fraction of the transfer cost below which a node stops sending requests to other zones.
	stopFraction = 0.5
)

// waitMs is the expected wait for a slot in the zone, in milliseconds.
func (l ZoneLoad) waitMs() float64 {
	used := l.Online / l.Slots
	if used >= 1 {
		return fullWaitMs + overloadWaitMs*(used-1)
	}
	return fullWaitMs * math.Pow(used, waitExponent)
}

// freeForOthers is the number of slots available to callers of other zones.
func (l ZoneLoad) freeForOthers() float64 { return max((1-reservedShare)*l.Slots-l.Online, 0) }

// Spillover decides which share of the requests leaves a zone. The zero value lets all stay. It is not safe for
// concurrent use.
type Spillover struct {
	// active says that some requests leave.
	active bool
}

// Choose returns the zone for a request: its own, or one of the others in proportion to their free slots. transferMs
// is the cost of sending a request to another zone, in milliseconds, and random is uniform in [0, 1). The share that
// leaves grows with the difference in wait, so that nodes with the same view do not all decide the same.
func (s *Spillover) Choose(own ZoneLoad, others []ZoneLoad, transferMs, random float64) ident.Zone {
	var elsewhere ZoneLoad
	free := 0.0
	for _, other := range others {
		if other.freeForOthers() > 0 {
			elsewhere.Slots += other.Slots
			elsewhere.Online += other.Online
			free += other.freeForOthers()
		}
	}
	if free == 0 || own.Slots <= 0 {
		s.active = false
		return own.Zone
	}
	gainMs := own.waitMs() - elsewhere.waitMs()
	s.active = gainMs > transferMs || (s.active && gainMs > stopFraction*transferMs)
	share := min((gainMs-stopFraction*transferMs)/fullSpillMs, 1)
	if !s.active || random >= share {
		return own.Zone
	}
	drawn := random / share * free
	for _, other := range others {
		drawn -= other.freeForOthers()
		if other.freeForOthers() > 0 && drawn < 0 {
			return other.Zone
		}
	}
	return own.Zone
}
