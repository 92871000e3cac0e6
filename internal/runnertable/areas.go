package runnertable

import (
	"math/rand/v2"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/zoneroom"
)

const (
	// fadesFrom and fadesTo are the ages between which the word of a runner's owner gives way to what is usual at the runners of its zone.
	// An owner that is well tells each 50 ms where this node has work, and places are taken anew within the time of a run: one that says nothing
	// while the others fill up would have its runners be the first choice of all nodes.
	fadesFrom, fadesTo = 250 * time.Millisecond, time.Second
	// freshness is the age at which a word has half the part in what is usual that a new one has.
	freshness = 100 * time.Millisecond
)

// choice is what a choice of a runner goes by beside the runners.
type choice struct {
	// home is the runner at which nodes gather the shared beginning of the prompt, or nil.
	home  *entry
	areas []area
	// goal is the zone that the request is to go to.
	goal ident.Zone
	// avoidCut says that zones out of reach get nothing.
	avoidCut bool
}

// choose works out what the choice of a runner goes by. The caller holds the mutex.
func (t *Table) choose(wish Wish, now time.Time, random *rand.Rand) choice {
	areas := t.survey(wish, now)
	return choice{home: t.home(wish, now), areas: areas, goal: t.goal(wish, areas, random), avoidCut: avoidCut(areas)}
}

// shuns says whether a runner gets nothing because its zone is out of reach.
func (c choice) shuns(candidate *entry) bool {
	return c.avoidCut && c.areas[candidate.zoneAt].state == zoneroom.Cut
}

// area is what a choice goes by in one zone.
type area struct {
	room zoneroom.Room
	// state says whether the zone answers; its own zone always does.
	state zoneroom.State
	// taken and places are the online work of others and the places at the runners there, newer words having more part in them.
	taken, places float64
	// works says that a runner there may take the wish.
	works bool
}

// survey works out what a choice goes by in each zone, what is usual at the runners there and the work at each. The caller holds the mutex.
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
		}
	}
	for _, known := range entries {
		there := &areas[known.zoneAt]
		places := float64(max(known.runner.Slots, 1))
		known.usualOthers = 0
		if there.places > 0 {
			known.usualOthers = there.taken / there.places * places
		}
		known.firm, known.yielding = known.estimate(now)
		if !known.eligible(wish, now) {
			continue
		}
		there.works = true
		if known.share.Within(t.roomMemory(known, wish), now) {
			there.room.Places += places
			there.room.Taken += float64(known.firm)
		}
	}
	return areas
}

// roomMemory is the age up to which a word of a runner's owner tells of room there. Where the owners of the best runners were just asked,
// an old word of another zone is of one that did not answer, and no reason to go there.
func (t *Table) roomMemory(known *entry, wish Wish) time.Duration {
	if wish.Wary && known.runner.Zone != t.zone {
		return wordMemory
	}
	return shareMemory
}

// avoidCut says whether zones that are out of reach get nothing: as long as another zone has a runner that may take the wish, however
// full it is.
func avoidCut(areas []area) bool {
	return slices.ContainsFunc(areas, func(there area) bool { return there.works && there.state != zoneroom.Cut })
}

// goal returns the zone that a request is to go to. The caller holds the mutex.
func (t *Table) goal(wish Wish, areas []area, random *rand.Rand) ident.Zone {
	own := slices.IndexFunc(areas, func(there area) bool { return there.room.Zone == t.zone })
	if wish.Class != Online || own < 0 || len(areas) < 2 {
		return t.zone
	}
	var others []zoneroom.Room
	for index, there := range areas {
		if index != own && there.state == zoneroom.InTouch && there.room.Places > 0 {
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

// givenWay is how far a word of some age has given way to what is usual: from 0 to 1.
func givenWay(age time.Duration) float64 {
	return min(max(float64(age-fadesFrom)/float64(fadesTo-fadesFrom), 0), 1)
}

// faded is the online work of others, where some of an age was told.
func (e *entry) faded(told int, gone float64) int {
	return int(float64(told)*(1-gone) + e.usualOthers*gone + 0.5)
}
