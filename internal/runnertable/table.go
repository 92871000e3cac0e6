// Package runnertable holds what a node believes of the runners: the registry's list, its own work in progress, the
// runners' own counts, and which of them failed lately. It chooses the runner of a request. Times are arguments; the
// table does no I/O.
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

// Class orders work on a runner.
type Class uint8

const (
	// Online work has a caller that waits.
	Online Class = iota
	// Batch work is an item of a job.
	Batch
	classes
)

// Table is safe for concurrent use.
type Table struct {
	zone    ident.Zone
	mutex   sync.Mutex
	runners map[ident.Incarnation]*entry
	// latest is the latest incarnation of each name that was ever listed while the name is listed. It never goes back.
	latest map[ident.Runner]ident.Incarnation
	// services holds the entries of each service in a fixed order.
	services map[string][]*entry
	// onlineChanged is told when this node's online work at a runner rose or fell, and when a runner's pace changed as far as this
	// node knew; nil is told nothing. It must not block.
	onlineChanged func(rose bool)
	// usual is what the services' requests take at the usual pace.
	usual map[string]*usual
	// slowPhases counts for the log.
	slowPhases SlowPhases
	zones      zones
	// unheardFor is how long the runners of the next list count as full unless they were heard of.
	unheardFor time.Duration
}

// New returns an empty table for a node of the zone.
func New(zone ident.Zone) *Table {
	return &Table{
		zone: zone, runners: map[ident.Incarnation]*entry{}, latest: map[ident.Runner]ident.Incarnation{},
		services: map[string][]*entry{}, usual: map[string]*usual{},
	}
}

// entry is what the table believes of one runner. The table's mutex guards it.
type entry struct {
	runner work.Runner
	// zoneAt is the place of its zone among the names of all.
	zoneAt int
	// warmUntil is when the runner ends its slow start.
	warmUntil time.Time
	// own counts this node's work in progress, by class.
	own [classes]int
	// tokens are what the work in progress takes of the runner's memory, by class: prompts, but for parts that are kept, and the most
	// that may be made.
	tokens [classes]int
	// memory is how many tokens the runner can hold; zero where it is not known.
	memory int
	// online are the flights of online work, the oldest first.
	online []*Flight
	// waiting holds the flights without a first byte.
	waiting map[*Flight]time.Time
	// pendingTokens are the prompt tokens of flights without a first event that the runner is not thought to keep.
	pendingTokens int
	// load is the runner's own count, as of its answer's head; share what the owner of its batch places told, as of the
	// question.
	load  asof.Fact[loadReport]
	share asof.Fact[share]
	// usualOthers is the online work of other nodes that a runner of this size has in its zone, as of the last choice; zero where none
	// is known.
	usualOthers float64
	// firm and yielding are the estimate of the choice in progress, or of the last one.
	firm, yielding int
	// begun is when this node began online requests since the owner's word, where the runner's places are rationed.
	begun  []time.Time
	health health
	// pace is how long work takes at the runner now, spoken the newest word of it that the runner told this node itself.
	pace     pace.Belief
	spoken   pace.Word
	prefixes prefixHistory
	// unheardUntil is until when the runner counts as full unless it was heard of; zero where it does not.
	unheardUntil time.Time
	// missingSince is when a list first lacked the runner and the table kept it; zero while it is listed.
	missingSince time.Time
	// overwritten is when a list first showed an earlier incarnation under the runner's name; zero while its entry is its own.
	overwritten time.Time
}

// share is what the owner of the runner's batch places knows of the work there.
type share struct {
	// others is the online work of other nodes, batch the owner's items, orphans the runs of nodes that are gone.
	others, batch, orphans int
	// silent says that the runner does not answer its owner either.
	silent bool
	// tokens are those of the work of others.
	tokens int
	// rationed says that the owner gives out the places one by one, granted how many this node may take, grantedLate whether also for
	// requests that are late.
	rationed    bool
	granted     int
	grantedLate bool
}

// loadReport is the runner's own count and what it was of.
type loadReport struct {
	// others is the work the runner counted beyond this node's.
	others int
	// waiting is the number of requests that waited at the runner.
	waiting int
}

// Change says what a list changed.
type Change struct {
	// Added are the runners that are new, Removed those that left.
	Added, Removed []ident.Incarnation
	// Addresses are those of the removed: connections kept to them are of no more use, and may be silent.
	Addresses []string
	// Kept are the runners that the list lacks and that stay for a while.
	Kept []ident.Incarnation
	// LongestMissing is the longest time that one of the removed was used although it was not listed.
	LongestMissing time.Duration
}

// Replace takes over the registry's list. Runners that it does not name take no more work where their absence is proof that
// they left. A registry that has just come back may not list the living yet: then ready runners stay, also idle ones. Their
// own answers show nothing, for those that left serve on for a while.
func (t *Table) Replace(listed []work.Runner, now time.Time, absenceIsProof bool) Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var change Change
	names := t.names(listed, now)
	for _, runner := range listed {
		if runner.State == work.Unreadable || names[runner.ID.Name()] != runner.ID {
			continue
		}
		known := t.runners[runner.ID]
		if known == nil {
			known = &entry{waiting: map[*Flight]time.Time{}, unheardUntil: now.Add(t.unheardFor)}
			t.runners[runner.ID] = known
			change.Added = append(change.Added, runner.ID)
		}
		known.runner = runner
		known.missingSince, known.overwritten = time.Time{}, time.Time{}
		known.warmUntil = now.Add(runner.WarmUp)
	}
	for id, known := range t.runners {
		present, named := names[id.Name()]
		if present == id {
			continue
		}
		if !named && !absenceIsProof && known.runner.State == work.Ready {
			known.keepMissing(now)
			change.Kept = append(change.Kept, id)
			continue
		}
		delete(t.runners, id)
		change.Removed = append(change.Removed, id)
		change.Addresses = append(change.Addresses, known.runner.Address)
		change.LongestMissing = max(change.LongestMissing, known.missingFor(now))
	}
	t.index()
	if len(t.runners) > 0 {
		t.unheardFor = 0
	}
	return change
}

// overwrittenFor is how long an incarnation is used whose entry shows an earlier one again: an entry that was written late. A
// living runner writes its own again within a heartbeat, 1.2 s on all deployments so far, and the list is read twice meanwhile.
const overwrittenFor = 2500 * time.Millisecond

// names returns which incarnation each name of the list is of, or none. Whatever else has a listed name is over, also where
// absence proves nothing. The caller holds the mutex.
func (t *Table) names(listed []work.Runner, now time.Time) map[ident.Runner]ident.Incarnation {
	names := make(map[ident.Runner]ident.Incarnation, len(listed))
	for _, runner := range listed {
		names[runner.ID.Name()] = t.incarnation(runner, now)
	}
	for name, latest := range t.latest {
		if _, listed := names[name]; !listed && t.runners[latest] == nil {
			delete(t.latest, name)
		}
	}
	return names
}

// incarnation returns which incarnation an entry of the list is of. An entry that cannot be read is of none, nor is one that
// does not tell its start where the runner of the name did. An entry that goes back to an earlier start was written late: the
// latest incarnation stays for a moment, and the earlier one never comes back. The caller holds the mutex.
func (t *Table) incarnation(listed work.Runner, now time.Time) ident.Incarnation {
	name := listed.ID.Name()
	latest := t.latest[name]
	_, told := listed.ID.Started()
	_, latestTold := latest.Started()
	switch {
	case listed.State == work.Unreadable, latestTold && !told:
		return ""
	case !listed.ID.Precedes(latest):
		t.latest[name] = listed.ID
		return listed.ID
	}
	if known := t.runners[latest]; known != nil && known.overwrittenWithin(overwrittenFor, now) {
		return latest
	}
	return ""
}

// overwrittenWithin notes that the entry shows an earlier incarnation, and says whether that began less than the time ago.
func (e *entry) overwrittenWithin(limit time.Duration, now time.Time) bool {
	if e.overwritten.IsZero() {
		e.overwritten = now
	}
	return now.Sub(e.overwritten) < limit
}

func (e *entry) keepMissing(now time.Time) {
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

// index rebuilds the lists by service, ordered so that a choice depends on nothing but its inputs.
func (t *Table) index() {
	t.nameZones()
	t.services = make(map[string][]*entry, len(t.services))
	for _, known := range t.runners {
		t.services[known.runner.Service] = append(t.services[known.runner.Service], known)
	}
	for _, entries := range t.services {
		slices.SortFunc(entries, func(first, second *entry) int { return cmp.Compare(first.runner.ID, second.runner.ID) })
	}
}

// Runner returns the runner with the id, if the table has it.
func (t *Table) Runner(id ident.Incarnation) (work.Runner, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.runners[id]
	if known == nil {
		return work.Runner{}, false
	}
	return known.runner, true
}

// Leaving says whether a runner is known to leave, or the list lacks it: its end is no surprise.
func (t *Table) Leaving(id ident.Incarnation) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.runners[id]
	return known == nil || known.runner.State != work.Ready || !known.missingSince.IsZero()
}

// Of returns the ready runners of a service.
func (t *Table) Of(service string) []work.Runner {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var found []work.Runner
	for _, known := range t.services[service] {
		if known.runner.State == work.Ready {
			found = append(found, known.runner)
		}
	}
	return found
}

// All returns every runner the table has, in no order.
func (t *Table) All() []work.Runner {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := make([]work.Runner, 0, len(t.runners))
	for _, known := range t.runners {
		all = append(all, known.runner)
	}
	return all
}

// Count returns how many runners the table has.
func (t *Table) Count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.runners)
}

// Zone returns the zone of the table's node.
func (t *Table) Zone() ident.Zone { return t.zone }
