// Package runnertable maintains a node's view of the runners: the registry's list, the node's own requests in flight,
// the load that runners and their owners report, the pace and the recent failures of each runner, and the reachability
// of other zones. It chooses the runner for a request from this view. Times are arguments; the table does no I/O.
package runnertable

import (
	"cmp"
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
	inUse            inUse
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
	// assumeFullFor is how long runners of the next list count as full until there is information about them.
	assumeFullFor time.Duration
}

// New returns an empty table for a node of the zone.
func New(zone ident.Zone) *Table {
	return &Table{
		zone: zone, runners: map[ident.Incarnation]*entry{}, latest: map[ident.Runner]ident.Incarnation{},
		services: map[string][]*entry{}, byZone: map[ident.Zone][]*entry{}, inUse: inUse{}, rationed: map[ident.Incarnation]*entry{}, timings: map[string]*serviceTimings{},
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

// Change is the difference that a new list made.
type Change struct {
	// Added are the new runners, Removed those that were removed.
	Added, Removed []ident.Incarnation
	// Addresses are the addresses of the removed runners. Pooled connections to them are useless, and may be dead.
	Addresses []string
	// Retained are the runners that the list lacks and that the table retains for now.
	Retained []ident.Incarnation
	// LongestMissing is the longest time for which a removed runner was retained without being listed.
	LongestMissing time.Duration
}

// Replace applies the registry's list. Runners that are not listed get no more work if their absence proves that they
// left. A registry that has just recovered may not list all live runners yet: then ready runners are retained, idle
// ones too. Responses of a runner are no evidence, because runners that left continue to serve for a while.
func (t *Table) Replace(listed []work.Runner, now time.Time, absenceIsProof bool) Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.pass++
	generation := t.generation
	rest := t.markUnchanged(listed)
	var change Change
	names := t.names(rest, now)
	for _, runner := range rest {
		if runner.State != work.Unreadable && names[runner.ID.Name()] == runner.ID {
			t.put(runner, now, &change)
		}
	}
	for id, known := range t.runners {
		if known.pass == t.pass {
			continue
		}
		present, named := t.named(id.Name(), names)
		if present == id {
			continue
		}
		if !named && !absenceIsProof && known.runner.State == work.Ready {
			known.markMissing(now)
			change.Retained = append(change.Retained, id)
			continue
		}
		t.remove(id, known)
		change.Removed = append(change.Removed, id)
		change.Addresses = append(change.Addresses, known.runner.Address)
		change.LongestMissing = max(change.LongestMissing, known.missingFor(now))
	}
	t.forgetNames(names)
	if t.generation != generation {
		t.indexZones()
	}
	if len(t.runners) > 0 {
		t.assumeFullFor = 0
	}
	return change
}

// markUnchanged marks the runners that a list names as they are, and returns the rest of the list. The caller holds the mutex.
func (t *Table) markUnchanged(listed []work.Runner) []work.Runner {
	var rest []work.Runner
	for _, runner := range listed {
		known := t.runners[runner.ID]
		if known == nil || known.runner != runner || known.pass == t.pass || !known.settled() || t.latest[runner.ID.Name()] != runner.ID {
			rest = append(rest, runner)
			continue
		}
		known.pass = t.pass
	}
	return rest
}

// settled says whether the last list named the runner and no earlier incarnation of it.
func (e *entry) settled() bool { return e.missingSince.IsZero() && e.overwritten.IsZero() }

// named returns the incarnation that the list has for a name, given those of the rest of the list, and whether it has the name.
// The caller holds the mutex.
func (t *Table) named(name ident.Runner, rest map[ident.Runner]ident.Incarnation) (ident.Incarnation, bool) {
	if present, named := rest[name]; named {
		return present, true
	}
	latest := t.latest[name]
	if known := t.runners[latest]; known != nil && known.pass == t.pass {
		return latest, true
	}
	return "", false
}

// forgetNames removes the latest incarnations of names that are neither listed nor in the table. The caller holds the mutex.
func (t *Table) forgetNames(rest map[ident.Runner]ident.Incarnation) {
	if len(t.latest) <= len(t.runners) {
		return
	}
	for name, latest := range t.latest {
		if _, listed := rest[name]; !listed && t.runners[latest] == nil {
			delete(t.latest, name)
		}
	}
}

// put adds or updates a listed runner. The caller holds the mutex.
func (t *Table) put(runner work.Runner, now time.Time, change *Change) {
	known := t.runners[runner.ID]
	switch {
	case known == nil:
		known = &entry{runner: runner, waiting: map[*Flight]time.Time{}, assumeFullUntil: now.Add(t.assumeFullFor)}
		t.runners[runner.ID] = known
		t.index(known)
		change.Added = append(change.Added, runner.ID)
	case known.runner.Service != runner.Service || known.runner.Zone != runner.Zone:
		t.unindex(known)
		known.runner = runner
		t.index(known)
	case known.runner != runner:
		known.runner = runner
		t.generation++
	}
	known.missingSince, known.overwritten = time.Time{}, time.Time{}
	known.warmUpUntil = now.Add(runner.WarmUp)
	known.pass = t.pass
}

// remove removes a runner. The caller holds the mutex.
func (t *Table) remove(id ident.Incarnation, known *entry) {
	delete(t.runners, id)
	delete(t.inUse, id)
	delete(t.rationed, id)
	t.unindex(known)
}

// overwrittenGrace is how long an incarnation is used after its entry shows an earlier one again, which happens when
// an entry is written late. A live runner rewrites its own entry within a heartbeat, 1.2 s in all deployments so far,
// and the list is read twice in that time.
const overwrittenGrace = 2500 * time.Millisecond

// names returns the incarnation of each name in a part of the list; it is empty for an entry that counts for none. Any other
// incarnation of a listed name is over, even if absence proves nothing. The caller holds the mutex.
func (t *Table) names(listed []work.Runner, now time.Time) map[ident.Runner]ident.Incarnation {
	names := make(map[ident.Runner]ident.Incarnation, len(listed))
	for _, runner := range listed {
		names[runner.ID.Name()] = t.incarnation(runner, now)
	}
	return names
}

// incarnation returns the incarnation that an entry of the list stands for. It is empty for an entry that can't be
// read, and for one without a start time if the runner of that name had one. An entry with an earlier start was
// written late: the latest incarnation stays for overwrittenGrace, and the earlier one is never used again. The caller
// holds the mutex.
func (t *Table) incarnation(listed work.Runner, now time.Time) ident.Incarnation {
	name := listed.ID.Name()
	latest := t.latest[name]
	_, hasStart := listed.ID.Started()
	_, latestHasStart := latest.Started()
	switch {
	case listed.State == work.Unreadable, latestHasStart && !hasStart:
		return ""
	case !listed.ID.Precedes(latest):
		t.latest[name] = listed.ID
		return listed.ID
	}
	if known := t.runners[latest]; known != nil && known.overwrittenWithin(overwrittenGrace, now) {
		return latest
	}
	return ""
}

// overwrittenWithin records that the entry shows an earlier incarnation, and says whether that started less than limit
// ago.
func (e *entry) overwrittenWithin(limit time.Duration, now time.Time) bool {
	if e.overwritten.IsZero() {
		e.overwritten = now
	}
	return now.Sub(e.overwritten) < limit
}

func (e *entry) markMissing(now time.Time) {
	if e.missingSince.IsZero() {
		e.missingSince = now
	}
}

func (e *entry) missingFor(now time.Time) time.Duration {
	if e.missingSince.IsZero() {
		return 0
	}
	return now.Sub(e.missingSince)
}

// index adds an entry to the ordered lists, so that a choice depends only on its inputs. The caller holds the mutex.
func (t *Table) index(known *entry) {
	t.generation++
	t.services[known.runner.Service] = insert(t.services[known.runner.Service], known)
	t.byZone[known.runner.Zone] = insert(t.byZone[known.runner.Zone], known)
}

// unindex removes an entry from the ordered lists. The caller holds the mutex.
func (t *Table) unindex(known *entry) {
	t.generation++
	removeFrom(t.services, known.runner.Service, known)
	removeFrom(t.preferred, known.runner.Service, known)
	removeFrom(t.byZone, known.runner.Zone, known)
}

func insert(entries []*entry, added *entry) []*entry {
	at, _ := slices.BinarySearchFunc(entries, added.runner.ID, compareID)
	return slices.Insert(entries, at, added)
}

func removeFrom[K comparable](lists map[K][]*entry, key K, removed *entry) {
	at, found := slices.BinarySearchFunc(lists[key], removed.runner.ID, compareID)
	if found {
		lists[key] = slices.Delete(lists[key], at, at+1)
	}
	if len(lists[key]) == 0 {
		delete(lists, key)
	}
}

func compareID(known *entry, id ident.Incarnation) int { return cmp.Compare(known.runner.ID, id) }

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
