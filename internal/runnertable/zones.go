package runnertable

import (
	"cmp"
	"maps"
	"math/rand/v2"
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

const (
	// fadesFrom and fadesTo are the ages between which the word of a runner's owner gives way to what is usual at the runners of its zone.
	// An owner that is well tells each 50 ms where this node has work, and places are taken anew within the time of a run: one that says nothing
	// while the others fill up would have its runners be the first choice of all nodes.
	fadesFrom, fadesTo = 250 * time.Millisecond, time.Second
	// freshness is the age at which a word has half the part in what is usual that a new one has.
	freshness = 100 * time.Millisecond
)

// zones is what the table believes of the other zones. The table's mutex guards it.
type zones struct {
	// names are those of the zones of all runners, in order.
	names    []ident.Zone
	contacts map[ident.Zone]*zoneroom.Contact
	// splits and pasts are by service.
	splits map[string]*zoneroom.Split
	pasts  map[string]*zoneroom.Past
	// told is the state of each zone that was last told.
	told map[ident.Zone]zoneroom.State
	left map[Departure]int
}

// choice is what a choice of a runner goes by beside the runners.
type choice struct {
	areas []area
	// goal is the zone that the request is to go to.
	goal ident.Zone
	// avoidCut says that zones out of reach get nothing.
	avoidCut bool
}

// shuns says whether a runner gets nothing because its zone is out of reach.
func (c choice) shuns(candidate *entry) bool {
	return c.avoidCut && c.areas[candidate.zoneAt].state == zoneroom.Cut
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

// area is what a choice goes by in one zone.
type area struct {
	room zoneroom.Room
	// state says whether the zone answers; its own zone always does.
	state zoneroom.State
	// taken and places are the online work of others and the places at the runners there, newer words having more part in them; age is
	// that of the words, in seconds times places.
	taken, places, age float64
	// works says that a runner there may take the wish.
	works bool
}

// survey works out what a choice goes by in each zone, and what is usual at the runners there. The caller holds the mutex.
func (t *Table) survey(wish Wish, now time.Time) []area {
	areas := make([]area, len(t.zones.names))
	for index, zone := range t.zones.names {
		areas[index] = area{room: zoneroom.Room{Zone: zone}, state: t.reach(zone, now)}
	}
	entries := t.services[wish.Service]
	for _, known := range entries {
		if known.share.Within(shareMemory, now) {
			age, places := max(known.share.Age(now), 0), float64(max(known.runner.Slots, 1))
			part := float64(freshness) / float64(freshness+age)
			there := &areas[known.zoneAt]
			there.taken += part * float64(known.share.Value().others)
			there.places += part * places
			there.age += part * places * age.Seconds()
		}
	}
	for _, known := range entries {
		there := &areas[known.zoneAt]
		places := float64(max(known.runner.Slots, 1))
		known.usual = 0
		if there.places > 0 {
			known.usual = there.taken / there.places * places
		}
		if !known.eligible(wish, now) {
			continue
		}
		there.works = true
		if known.share.Within(shareMemory, now) {
			firm, _ := known.estimate(now)
			there.room.Places += places
			there.room.Taken += float64(firm)
		}
	}
	return areas
}

// used is the part of the places that is taken.
func (a area) used() float64 { return a.room.Taken / max(a.room.Places, 1) }

// past returns what the zone of this node had taken of a service lately. The caller holds the mutex.
func (t *Table) past(service string) *zoneroom.Past {
	if t.zones.pasts == nil {
		t.zones.pasts = map[string]*zoneroom.Past{}
	}
	if t.zones.pasts[service] == nil {
		t.zones.pasts[service] = &zoneroom.Past{}
	}
	return t.zones.pasts[service]
}

// noteZone takes note of what the zone of this node has taken, for each service that is in several. The caller holds the mutex.
func (t *Table) noteZone(now time.Time) {
	if len(t.zones.names) < 2 {
		return
	}
	for service, entries := range t.services {
		var own area
		for _, known := range entries {
			if known.runner.Zone == t.zone && known.share.Within(shareMemory, now) {
				firm, _ := known.estimate(now)
				own.room.Places += float64(max(known.runner.Slots, 1))
				own.room.Taken += float64(firm)
			}
		}
		t.past(service).Note(own.used(), now)
	}
}

// avoidCut says whether zones that are out of reach get nothing: as long as another zone has a runner that may take the wish, however
// full it is.
func avoidCut(areas []area) bool {
	return slices.ContainsFunc(areas, func(there area) bool { return there.works && there.state != zoneroom.Cut })
}

// goal returns the zone that a request is to go to. The caller holds the mutex.
func (t *Table) goal(wish Wish, areas []area, now time.Time, random *rand.Rand) ident.Zone {
	own := slices.IndexFunc(areas, func(there area) bool { return there.room.Zone == t.zone })
	if wish.Class != Online || own < 0 || len(areas) < 2 {
		return t.zone
	}
	past, used := t.past(wish.Service), areas[own].used()
	past.Note(used, now)
	var others []zoneroom.Room
	for index, there := range areas {
		if index != own && there.state == zoneroom.InTouch && there.room.Places > 0 {
			told := now.Add(-time.Duration(there.age / there.places * float64(time.Second)))
			there.room.Taken += past.Rise(used, told) * there.room.Places
			others = append(others, there.room)
		}
	}
	if len(others) == 0 {
		return t.zone
	}
	if t.zones.splits == nil {
		t.zones.splits = map[string]*zoneroom.Split{}
	}
	split := t.zones.splits[wish.Service]
	if split == nil {
		split = &zoneroom.Split{}
		t.zones.splits[wish.Service] = split
	}
	return split.Draw(areas[own].room, others, way(wish), random.Float64())
}

// nameZones gives each runner the place of its zone among all. The caller holds the mutex.
func (t *Table) nameZones() {
	t.zones.names = t.zones.names[:0]
	for _, known := range t.runners {
		t.zones.names = append(t.zones.names, known.runner.Zone)
	}
	slices.Sort(t.zones.names)
	t.zones.names = slices.Compact(t.zones.names)
	for _, known := range t.runners {
		known.zoneAt, _ = slices.BinarySearch(t.zones.names, known.runner.Zone)
	}
}

// way is the price of the way to another zone, in milliseconds.
func way(wish Wish) float64 { return farCost + farCostPerKilobyte*float64(wish.Bytes)/1000 }

// zoneCost is what the zone of a runner adds to its cost. firm is the online work that is thought to be there. The caller holds the mutex.
func (t *Table) zoneCost(candidate *entry, wish Wish, choice choice, firm int, now time.Time) float64 {
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
	places := max(candidate.runner.Slots, 1)
	if firm+1 > places-places/keptPart {
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

// overdue is how far a word of some age has given way to what is usual: from 0 to 1.
func overdue(age time.Duration) float64 {
	return min(max(float64(age-fadesFrom)/float64(fadesTo-fadesFrom), 0), 1)
}

// faded is the online work of others, where some of an age was told.
func (e *entry) faded(told int, gone float64) int {
	return int(float64(told)*(1-gone) + e.usual*gone + 0.5)
}
