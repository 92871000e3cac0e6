package runnertable

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/zoneroom"
)

const (
	// stayCost is added for the runners of this zone where a request is to leave it: more than chance adds, so that they come
	// after each free place elsewhere, and less than a queue there.
	stayCost = 50.0
	// keptCost is added for the last places of a runner of another zone, which are kept for its own callers: as much as a queue.
	keptCost = 60.0
	// keptPart of the places of a runner is one that is kept.
	keptPart = 8
	// unheardCost is added for a runner of another zone of which nothing was heard: it may have no free place, which costs a
	// queue.
	unheardCost = 30.0
)

// zones is what the table believes of the other zones. The table's mutex guards it.
type zones struct {
	// names are those of the zones of all runners, in order.
	names    []ident.Zone
	contacts map[ident.Zone]*zoneroom.Contact
	// splits are by service.
	splits map[string]*zoneroom.Split
	// told is the state of each zone that was last told.
	told map[ident.Zone]zoneroom.State
	left map[Departure]int
}

// Departure is why a request left its zone, and to which.
type Departure struct {
	To ident.Zone
	// Balanced says that the places of its zone were scarcer than those of the other one; otherwise its zone had none.
	Balanced bool
}

// ZoneChange says that a zone is out of reach, or that it is back.
type ZoneChange struct {
	Zone ident.Zone
	Cut  bool
}

// HeardZone notes that a worker of a zone answered a question.
func (t *Table) HeardZone(zone ident.Zone, asked time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.heard(zone, asked)
}

// MissedZone notes that a worker of a zone left a question without an answer.
func (t *Table) MissedZone(zone ident.Zone, by string, asked, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.missed(zone, by, asked, now)
}

// ZoneDoubted returns since when a zone is in doubt or out of reach, or zero.
func (t *Table) ZoneDoubted(zone ident.Zone) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.zones.contacts[zone]; known != nil && zone != t.zone {
		return known.Doubted()
	}
	return time.Time{}
}

// ZoneChanges returns what became of the reach of zones since it was last asked, in the order of their names.
func (t *Table) ZoneChanges(now time.Time) []ZoneChange {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var changes []ZoneChange
	for zone := range t.zones.contacts {
		if cut := t.reach(zone, now) == zoneroom.Cut; cut != (t.zones.told[zone] == zoneroom.Cut) {
			changes = append(changes, ZoneChange{Zone: zone, Cut: cut})
		}
	}
	if t.zones.told == nil {
		t.zones.told = map[ident.Zone]zoneroom.State{}
	}
	for _, change := range changes {
		t.zones.told[change.Zone] = t.reach(change.Zone, now)
	}
	slices.SortFunc(changes, func(first, second ZoneChange) int { return cmp.Compare(first.Zone, second.Zone) })
	return changes
}

// Departures returns how many requests left their zone since it was last asked.
func (t *Table) Departures() map[Departure]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	left := maps.Clone(t.zones.left)
	clear(t.zones.left)
	return left
}

// heard notes an answer. A zone that is back has the failures of its runners forgotten that were its own. The caller holds the mutex.
func (t *Table) heard(zone ident.Zone, asked time.Time) {
	since, back := t.contact(zone).Answered(asked)
	if !back || zone == t.zone {
		return
	}
	for _, known := range t.runners {
		if known.runner.Zone == zone && !known.health.rateAt.Before(since) {
			known.health.forgive()
		}
	}
}

// missed notes a question without an answer. The caller holds the mutex.
func (t *Table) missed(zone ident.Zone, by string, asked, now time.Time) {
	t.contact(zone).Missed(by, asked, now)
}

func (t *Table) contact(zone ident.Zone) *zoneroom.Contact {
	known := t.zones.contacts[zone]
	if known == nil {
		known = &zoneroom.Contact{}
		if t.zones.contacts == nil {
			t.zones.contacts = map[ident.Zone]*zoneroom.Contact{}
		}
		t.zones.contacts[zone] = known
	}
	return known
}

// reach says whether a zone answers. A node that its own zone does not answer either is cut off by itself, which proves nothing of
// the zones: runners may well answer it. The caller holds the mutex.
func (t *Table) reach(zone ident.Zone, now time.Time) zoneroom.State {
	known, own := t.zones.contacts[zone], t.zones.contacts[t.zone]
	if known == nil || zone == t.zone || (own != nil && own.State(now) == zoneroom.Cut) {
		return zoneroom.InTouch
	}
	return known.State(now)
}

// way is the price of the way to another zone, in milliseconds.
func way(wish Wish) float64 { return farCost + farCostPerKilobyte*float64(wish.Bytes)/1000 }

// zoneCost is what the zone of a runner adds to its cost. firm is the online work that is thought to be there. The caller holds the mutex.
func (t *Table) zoneCost(candidate *entry, wish Wish, choice choice, now time.Time) float64 {
	zone := candidate.runner.Zone
	if zone == t.zone {
		if choice.goal != t.zone {
			return stayCost
		}
		return 0
	}
	cost := 0.0
	if zone != choice.goal {
		cost += way(wish)
	}
	if choice.areas[candidate.zoneAt].state != zoneroom.InTouch {
		cost += silenceCost
	}
	if !candidate.share.Within(shareMemory, now) {
		cost += unheardCost
	}
	cost += candidate.unanswered(wish, now)
	places := max(candidate.runner.Slots, 1)
	if candidate.firm+1 > places-places/keptPart {
		cost += keptCost
	}
	return cost
}

// noteLeft counts a request that leaves its zone. The caller holds the mutex.
func (t *Table) noteLeft(chosen *entry, wish Wish, goal ident.Zone) {
	if wish.Class != Online || chosen.runner.Zone == t.zone {
		return
	}
	if t.zones.left == nil {
		t.zones.left = map[Departure]int{}
	}
	t.zones.left[Departure{To: chosen.runner.Zone, Balanced: goal == chosen.runner.Zone}]++
}
