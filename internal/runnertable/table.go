// Package runnertable maintains a node's view of the runners: the registry's list, the node's own requests in flight,
// the load that runners and their owners report, the pace and the recent failures of each runner, and the reachability
// of other zones. It chooses the runner for a request from this view. Times are arguments; the table does no I/O.
package runnertable

import (
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/asof"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/pace"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Class is the class of work at a runner.
type Class uint8

const (
	// Online is work for a caller that waits for the response.
	Online Class = iota
	// Batch is an item of a job.
	Batch
	classes
)

// Table is a node's view of all runners. It is safe for concurrent use.
type Table struct {
	zone    ident.Zone
	mutex   sync.Mutex
	runners map[ident.Incarnation]*entry
	// latest is the latest incarnation ever listed under each name that is still listed. It never goes back to an
	// earlier one.
	latest map[ident.Runner]ident.Incarnation
	// services and byZone hold the entries of each service and of each zone, ordered by runner id.
	services map[string][]*entry
	byZone   map[ident.Zone][]*entry
	// preferred holds the entries of each service that are considered first; see Prefer.
	preferred map[string][]*entry
	// generation rises with each change of the runners. pass counts the lists that were compared with them.
	generation, pass uint64
	// settled is the last list if applying it again, at whatever time, would change nothing; nil otherwise.
	settled []work.Runner
	// completeThrough is the time until which all starts of runners are known from lists.
	completeThrough time.Time
	// listInUse is the newest list. registryLost means that the registry does not answer since.
	listInUse    ListInUse
	registryLost bool
	inUse        inUse
	// rationed holds the entries whose owners ration their slots, as of the last reports.
	rationed map[ident.Incarnation]*entry
	// onlineChanged is called when this node's online work at a runner changes or a direct report starts or ends a
	// slow phase of a runner; see OnOnlineChanged. It may be nil.
	onlineChanged func(rose bool)
	// countedAt is when this node's online work was last counted for a report.
	countedAt time.Time
	// timings holds the typical times of requests, by service.
	timings map[string]*serviceTimings
	// slowPhases holds the counters for the log.
	slowPhases SlowPhases
	zones      zones
	// versions holds the software versions of the runners of each service; newVersion is signalled when one is added.
	versions   map[string]map[work.Version]*versionUse
	newVersion chan struct{}
	// assumeFullFor is how long runners of the next list count as full until there is information about them.
	assumeFullFor time.Duration
}

// New returns an empty table for a node of the zone.
func New(zone ident.Zone) *Table {
	return &Table{
		zone: zone, runners: map[ident.Incarnation]*entry{}, latest: map[ident.Runner]ident.Incarnation{},
		services: map[string][]*entry{}, byZone: map[ident.Zone][]*entry{}, inUse: inUse{}, rationed: map[ident.Incarnation]*entry{}, timings: map[string]*serviceTimings{},
		versions: map[string]map[work.Version]*versionUse{}, newVersion: make(chan struct{}, 1),
	}
}

// entry is the view of one runner. The table's mutex guards it.
type entry struct {
	runner work.Runner
	// zoneIndex is the index of its zone in zones.names.
	zoneIndex int
	// warmUpUntil is when the slow start of the runner ends.
	warmUpUntil time.Time
	// own counts this node's requests in flight, by class.
	own [classes]int
	// tokens is the runner memory used by this node's requests in flight, by class: prompts without the cached parts,
	// plus the maximum output.
	tokens [classes]int
	// memory is how many tokens the runner can hold; zero if unknown.
	memory int
	// online holds the flights of online work, oldest first.
	online []*Flight
	// waiting holds the flights without a first byte and when each started.
	waiting map[*Flight]time.Time
	// pendingTokens is the number of uncached prompt tokens of the flights without a first byte.
	pendingTokens int
	// load is the runner's own count, as of the head of its response. share is what the owner of its batch slots
	// reported, as of the time of the poll.
	load  asof.Fact[loadReport]
	share asof.Fact[share]
	// typicalOthers is the online work of other nodes that a runner of this size typically has in its zone, as of the
	// last choice; zero if unknown.
	typicalOthers float64
	// committed and preemptible are the estimate made for the current choice, or for the last one.
	committed, preemptible int
	// grantUses holds the times of this node's online requests since the owner's report, if the runner's slots are
	// rationed.
	grantUses []time.Time
	health    health
	// pace is the current estimate of the runner's pace. directPace is the latest pace that the runner reported to
	// this node directly.
	pace       pace.Estimate
	directPace pace.Report
	prefixes   prefixHistory
	// assumeFullUntil is when the runner stops counting as full for lack of information; zero if it does not count as
	// full.
	assumeFullUntil time.Time
	// pass is the number of the last list that named the runner unchanged.
	pass uint64
	// missingSince is when a list first lacked the runner and the table retained it; zero while it is listed.
	missingSince time.Time
	// overwritten is when a list first showed an earlier incarnation under the runner's name; zero while its latest
	// incarnation is listed.
	overwritten time.Time
}

// share is what the owner of the runner's batch slots reported about the work there.
type share struct {
	// others is the online work of other nodes, batch the owner's items, orphans the orphaned runs.
	others, batch, orphans int
	// unresponsive says that the runner does not respond to its owner either.
	unresponsive bool
	// tokens is the memory used by the work of other nodes.
	tokens int
	// rationed says that the owner grants the slots one by one. granted is how many this node may use, and grantedLate
	// says whether late requests may use them too.
	rationed    bool
	granted     int
	grantedLate bool
}

// loadReport is the runner's own count of its work.
type loadReport struct {
	// others is the work the runner counted in addition to this node's.
	others int
	// waiting is the number of requests that waited at the runner.
	waiting int
}

// Runner returns the runner with the id, if it is in the table.
func (t *Table) Runner(id ident.Incarnation) (work.Runner, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.runners[id]
	if known == nil {
		return work.Runner{}, false
	}
	return known.runner, true
}

// Latest returns the latest incarnation that was listed under a name; empty if there is none.
func (t *Table) Latest(name ident.Runner) ident.Incarnation {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.latest[name]
}

// Leaving says whether a runner is known to leave, or is not listed any more, so that the end of its process is
// expected.
func (t *Table) Leaving(id ident.Incarnation) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.runners[id]
	return known == nil || known.runner.State != work.Ready || !known.missingSince.IsZero()
}

// HasReady says whether a zone has a ready runner of a service.
func (t *Table) HasReady(service string, zone ident.Zone) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.byZone[zone], func(known *entry) bool {
		return known.runner.Service == service && known.runner.State == work.Ready
	})
}

// Generation returns a number that rises with each change of the runners.
func (t *Table) Generation() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.generation
}

// Zones returns the zones that have runners, sorted.
func (t *Table) Zones() []ident.Zone {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.zones.names)
}

// InZone returns the runners of a zone, ordered by id.
func (t *Table) InZone(zone ident.Zone) []work.Runner {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	runners := make([]work.Runner, 0, len(t.byZone[zone]))
	for _, known := range t.byZone[zone] {
		runners = append(runners, known.runner)
	}
	return runners
}

// All returns all runners in the table, in no particular order.
func (t *Table) All() []work.Runner {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := make([]work.Runner, 0, len(t.runners))
	for _, known := range t.runners {
		all = append(all, known.runner)
	}
	return all
}

// Count returns the number of runners in the table.
func (t *Table) Count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.runners)
}

// Zone returns the zone of the table's node.
func (t *Table) Zone() ident.Zone { return t.zone }
