package runnertable

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/zonebalance"
)

const (
	// blendFrom and blendTo are the ages of the owner's report between which it is gradually replaced by the typical
	// load of the runner's zone. A healthy owner reports every 50 ms to the nodes that have work at its runners, and
	// slots are reused within the time of one run. Without the blending, the runners of an owner that stops reporting
	// would look idle while the others fill up, and all nodes would choose them first.
	blendFrom, blendTo = 250 * time.Millisecond, time.Second
	// weightHalfAge is the age at which a report has half the weight of a new one in the typical load of a zone.
	weightHalfAge = 100 * time.Millisecond
)

// pickContext holds what the choice of a runner depends on besides the runners themselves.
type pickContext struct {
	// entries are the runners that are considered.
	entries []*entry
	// prefixHome is the runner to which nodes send prompts with this shared prefix, or nil.
	prefixHome *entry
	zones      []zoneSummary
	// targetZone is the zone that the request should go to.
	targetZone ident.Zone
	// skipUnreachable says that runners in unreachable zones are not chosen.
	skipUnreachable bool
}

// newPickContext returns the context for choosing a runner. The caller holds the mutex.
func (t *Table) newPickContext(request PickRequest, now time.Time, random *rand.Rand) pickContext {
	entries := t.considered(request, now)
	zones := t.summarizeZones(entries, request, now)
	return pickContext{entries: entries, prefixHome: t.prefixHome(entries, request, now), zones: zones, targetZone: t.targetZone(request, zones, random),
		skipUnreachable: skipUnreachable(zones)}
}

// skips says whether a runner is excluded because its zone is unreachable.
func (c pickContext) skips(candidate *entry) bool {
	return c.skipUnreachable && c.zones[candidate.zoneIndex].state == zonebalance.Unreachable
}

// zoneSummary is what a choice uses about one zone.
type zoneSummary struct {
	load zonebalance.ZoneLoad
	// state is the reachability of the zone; the node's own zone always counts as reachable.
	state zonebalance.State
	// othersOnline and slots are the online work of other nodes and the slots at the runners there, weighted by the
	// age of the reports.
	othersOnline, slots float64
	// eligible says that at least one runner there is eligible for the request.
	eligible bool
}

// summarizeZones summarizes each zone by the given runners, and updates their typical load and their estimates.
// The caller holds the mutex.
func (t *Table) summarizeZones(entries []*entry, request PickRequest, now time.Time) []zoneSummary {
	zones := make([]zoneSummary, len(t.zones.names))
	for index, zone := range t.zones.names {
		zones[index] = zoneSummary{load: zonebalance.ZoneLoad{Zone: zone}, state: t.zoneState(zone, now)}
	}
	for _, known := range entries {
		if known.share.Within(shareLifetime, now) {
			age, slots := max(known.share.Age(now), 0), float64(max(known.runner.Slots, 1))
			part := float64(weightHalfAge) / float64(weightHalfAge+age)
			summary := &zones[known.zoneIndex]
			summary.othersOnline += part * float64(known.share.Value().others)
			summary.slots += part * slots
		}
	}
	for _, known := range entries {
		summary := &zones[known.zoneIndex]
		slots := float64(max(known.runner.Slots, 1))
		known.typicalOthers = 0
		if summary.slots > 0 {
			known.typicalOthers = summary.othersOnline / summary.slots * slots
		}
		known.committed, known.preemptible = known.estimate(now)
		if !known.eligible(request, now) {
			continue
		}
		summary.eligible = true
		if known.share.Within(t.loadMaxAge(known, request), now) {
			summary.load.Slots += slots
			summary.load.Online += float64(known.committed)
		}
	}
	return zones
}

// loadMaxAge is the age up to which the report of a runner's owner counts towards the load of its zone. If the owners
// of the best runners have just been polled, an old report from another zone means that its owner did not answer,
// which is no reason to send requests there.
func (t *Table) loadMaxAge(known *entry, request PickRequest) time.Duration {
	if request.OwnersPolled && known.runner.Zone != t.zone {
		return recentShareAge
	}
	return shareLifetime
}

// skipUnreachable says whether runners in unreachable zones are excluded: as long as a zone that is not unreachable
// has an eligible runner, however loaded it is.
func skipUnreachable(zones []zoneSummary) bool {
	return slices.ContainsFunc(zones, func(summary zoneSummary) bool { return summary.eligible && summary.state != zonebalance.Unreachable })
}

// targetZone returns the zone that a request should go to. The caller holds the mutex.
func (t *Table) targetZone(request PickRequest, zones []zoneSummary, random *rand.Rand) ident.Zone {
	own := slices.IndexFunc(zones, func(summary zoneSummary) bool { return summary.load.Zone == t.zone })
	if request.Class != Online || own < 0 || len(zones) < 2 {
		return t.zone
	}
	var others []zonebalance.ZoneLoad
	for index, summary := range zones {
		if index != own && summary.state == zonebalance.Reachable && summary.load.Slots > 0 {
			others = append(others, summary.load)
		}
	}
	if len(others) == 0 {
		return t.zone
	}
	if t.zones.spillovers == nil {
		t.zones.spillovers = map[string]*zonebalance.Spillover{}
	}
	spillover := t.zones.spillovers[request.Service]
	if spillover == nil {
		spillover = &zonebalance.Spillover{}
		t.zones.spillovers[request.Service] = spillover
	}
	return spillover.Choose(zones[own].load, others, transferCost(request), random.Float64())
}

// indexZones sets the sorted list of zones and each runner's index into it. The caller holds the mutex.
func (t *Table) indexZones() {
	t.zones.names = slices.Sorted(maps.Keys(t.byZone))
	for index, zone := range t.zones.names {
		for _, known := range t.byZone[zone] {
			known.zoneIndex = index
		}
	}
}

// blendWeight returns the weight, from 0 to 1, of the typical load against a report of some age.
func blendWeight(age time.Duration) float64 {
	return min(max(float64(age-blendFrom)/float64(blendTo-blendFrom), 0), 1)
}

// blended returns the online work of other nodes: the reported number, with the typical one mixed in by weight.
func (e *entry) blended(reported int, weight float64) int {
	return int(float64(reported)*(1-weight) + e.typicalOthers*weight + 0.5)
}
