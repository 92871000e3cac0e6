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
	runners map[ident.Runner]*entry
	// services holds the entries of each service in a fixed order.
	services map[string][]*entry
	// onlineChanged is told when this node's online work at a runner rose or fell; nil is told nothing. It must not block.
	onlineChanged func(rose bool)
}

// New returns an empty table for a node of the zone.
func New(zone ident.Zone) *Table {
	return &Table{zone: zone, runners: map[ident.Runner]*entry{}, services: map[string][]*entry{}}
}

// entry is what the table believes of one runner. The table's mutex guards it.
type entry struct {
	runner work.Runner
	// warmUntil is when the runner ends its slow start.
	warmUntil time.Time
	// own counts this node's work in progress, by class.
	own [classes]int
	// waiting holds the flights without a first byte.
	waiting map[*Flight]time.Time
	// pendingTokens are the prompt tokens of flights without a first event that the runner is not thought to keep.
	pendingTokens int
	// load is the runner's own count, as of its answer's head; share what the owner of its batch places told, as of the
	// question.
	load     asof.Fact[loadReport]
	share    asof.Fact[share]
	health   health
	prefixes prefixHistory
	// missingSince is when a list first lacked the runner and the table kept it; zero while it is listed.
	missingSince time.Time
}

// share is what the owner of the runner's batch places knows of the work there.
type share struct {
	// others is the online work of other nodes, batch the owner's items.
	others, batch int
	// silent says that the runner does not answer its owner either.
	silent bool
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
	Added, Removed []ident.Runner
	// Kept are the runners that the list lacks and that stay for a while.
	Kept []ident.Runner
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
	seen := make(map[ident.Runner]bool, len(listed))
	for _, runner := range listed {
		seen[runner.ID] = true
		known := t.runners[runner.ID]
		if known == nil {
			known = &entry{waiting: map[*Flight]time.Time{}}
			t.runners[runner.ID] = known
			change.Added = append(change.Added, runner.ID)
		}
		known.runner = runner
		known.missingSince = time.Time{}
		known.warmUntil = now.Add(runner.WarmUp)
	}
	for id, known := range t.runners {
		if seen[id] {
			continue
		}
		if !absenceIsProof && known.runner.State == work.Ready {
			known.keepMissing(now)
			change.Kept = append(change.Kept, id)
			continue
		}
		delete(t.runners, id)
		change.Removed = append(change.Removed, id)
		change.LongestMissing = max(change.LongestMissing, known.missingFor(now))
	}
	t.index()
	return change
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
	t.services = make(map[string][]*entry, len(t.services))
	for _, known := range t.runners {
		t.services[known.runner.Service] = append(t.services[known.runner.Service], known)
	}
	for _, entries := range t.services {
		slices.SortFunc(entries, func(first, second *entry) int { return cmp.Compare(first.runner.ID, second.runner.ID) })
	}
}

// Runner returns the runner with the id, if the table has it.
func (t *Table) Runner(id ident.Runner) (work.Runner, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.runners[id]
	if known == nil {
		return work.Runner{}, false
	}
	return known.runner, true
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
