package runnertable

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/zonebalance"
)

const (
	// ownZoneCost is added for the runners of this zone if the request should go to another one. It is more than
	// jitterCost, so that they are chosen only if no slot is free there, and less than queueing there.
	ownZoneCost = 50.0
	// reservedSlotCost is added for the last slots of a runner in another zone, which are reserved for callers of that
	// zone. It equals queueCost.
	reservedSlotCost = 60.0
	// reservedDivisor sets the number of reserved slots: one in reservedDivisor of a runner's slots.
	reservedDivisor = 8
	// unknownLoadCost is added for a runner of another zone without a report of its load: it may have no free slot,
	// which would cost a queue.
	unknownLoadCost = 30.0
)

// zones is the view of the other zones. The table's mutex guards it.
type zones struct {
	// names holds the zones of all runners, sorted.
	names        []ident.Zone
	reachability map[ident.Zone]*zonebalance.Reachability
	// spillovers are by service.
	spillovers map[string]*zonebalance.Spillover
	// reported is the state of each zone as last returned by ZoneChanges.
	reported   map[ident.Zone]zonebalance.State
	departures map[Departure]int
}

// Departure identifies why requests left their zone, and where they went.
type Departure struct {
	To ident.Zone
	// Balanced says that slots were scarcer in its zone than in the other one; otherwise its zone had no free slot.
	Balanced bool
}

// ZoneChange says that a zone became unreachable, or reachable again.
type ZoneChange struct {
	Zone        ident.Zone
	Unreachable bool
}

// ZoneAnswered records that a worker of a zone answered a request sent at a time.
func (t *Table) ZoneAnswered(zone ident.Zone, sent time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.zoneAnswered(zone, sent)
}

// ZoneTimedOut records that a request to a worker of a zone, named by, got no answer.
func (t *Table) ZoneTimedOut(zone ident.Zone, by string, sent, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.zoneTimedOut(zone, by, sent, now)
}

// ZoneSuspectedSince returns since when a zone is suspected or unreachable, or zero.
func (t *Table) ZoneSuspectedSince(zone ident.Zone) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.zones.reachability[zone]; known != nil && zone != t.zone {
		return known.SuspectedSince()
	}
	return time.Time{}
}

// ZoneChanges returns the zones that became unreachable or reachable since the last call, sorted by name.
func (t *Table) ZoneChanges(now time.Time) []ZoneChange {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var changes []ZoneChange
	for zone := range t.zones.reachability {
		if unreachable := t.zoneState(zone, now) == zonebalance.Unreachable; unreachable != (t.zones.reported[zone] == zonebalance.Unreachable) {
			changes = append(changes, ZoneChange{Zone: zone, Unreachable: unreachable})
		}
	}
	if t.zones.reported == nil {
		t.zones.reported = map[ident.Zone]zonebalance.State{}
	}
	for _, change := range changes {
		t.zones.reported[change.Zone] = t.zoneState(change.Zone, now)
	}
	slices.SortFunc(changes, func(first, second ZoneChange) int { return cmp.Compare(first.Zone, second.Zone) })
	return changes
}

// Departures returns and resets the counts of requests that left their zone.
func (t *Table) Departures() map[Departure]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	departures := maps.Clone(t.zones.departures)
	clear(t.zones.departures)
	return departures
}

// zoneAnswered records an answer. When a zone becomes reachable again, runner failures since the first unanswered
// request are cleared, because the network caused them. The caller holds the mutex.
func (t *Table) zoneAnswered(zone ident.Zone, sent time.Time) {
	since, back := t.reachabilityOf(zone).Answered(sent)
	if !back || zone == t.zone {
		return
	}
	for _, known := range t.runners {
		if known.runner.Zone == zone && !known.health.rateAt.Before(since) {
			known.health.reset()
		}
	}
}

// zoneTimedOut records a request without an answer. The caller holds the mutex.
func (t *Table) zoneTimedOut(zone ident.Zone, by string, sent, now time.Time) {
	t.reachabilityOf(zone).TimedOut(by, sent, now)
}

func (t *Table) reachabilityOf(zone ident.Zone) *zonebalance.Reachability {
	known := t.zones.reachability[zone]
	if known == nil {
		known = &zonebalance.Reachability{}
		if t.zones.reachability == nil {
			t.zones.reachability = map[ident.Zone]*zonebalance.Reachability{}
		}
		t.zones.reachability[zone] = known
	}
	return known
}

// zoneState returns the reachability of a zone. If the node's own zone does not answer either, the node itself is
// partitioned, which proves nothing about the other zones: their runners may still respond. The caller holds the
// mutex.
func (t *Table) zoneState(zone ident.Zone, now time.Time) zonebalance.State {
	known, own := t.zones.reachability[zone], t.zones.reachability[t.zone]
	if known == nil || zone == t.zone || (own != nil && own.State(now) == zonebalance.Unreachable) {
		return zonebalance.Reachable
	}
	return known.State(now)
}

// transferCost is the cost of sending a request to another zone, in milliseconds.
func transferCost(request PickRequest) float64 {
	return crossZoneCost + crossZoneCostPerKilobyte*float64(request.Bytes)/1000
}

// zoneCost is the part of a runner's cost that depends on its zone. The caller holds the mutex.
func (t *Table) zoneCost(candidate *entry, request PickRequest, pick pickContext, now time.Time) float64 {
	zone := candidate.runner.Zone
	if zone == t.zone {
		if pick.targetZone != t.zone {
			return ownZoneCost
		}
		return 0
	}
	cost := 0.0
	if zone != pick.targetZone {
		cost += transferCost(request)
	}
	if pick.zones[candidate.zoneIndex].state != zonebalance.Reachable {
		cost += unresponsiveCost
	}
	if !candidate.share.Within(shareLifetime, now) {
		cost += unknownLoadCost
	}
	cost += candidate.staleCost(request, now)
	slots := max(candidate.runner.Slots, 1)
	if candidate.committed+1 > slots-slots/reservedDivisor {
		cost += reservedSlotCost
	}
	return cost
}

// countDeparture counts a request that leaves its zone. The caller holds the mutex.
func (t *Table) countDeparture(chosen *entry, request PickRequest, targetZone ident.Zone) {
	if request.Class != Online || chosen.runner.Zone == t.zone {
		return
	}
	if t.zones.departures == nil {
		t.zones.departures = map[Departure]int{}
	}
	t.zones.departures[Departure{To: chosen.runner.Zone, Balanced: targetZone == chosen.runner.Zone}]++
}
