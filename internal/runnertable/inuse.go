package runnertable

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// inUse holds the entries that may have requests of this node in flight, an ejection, or a pace to pass on, so that reports
// cost what a node uses and not the size of the fleet. Entries are added where one of these begins, and removed when a report
// finds none of them. The table's mutex guards it.
type inUse map[ident.Incarnation]*entry

// use records that an entry is in use, unless its runner was removed. The caller holds the mutex.
func (t *Table) use(known *entry) {
	if t.runners[known.runner.ID] == known {
		t.inUse[known.runner.ID] = known
	}
}

// prune removes the entries that are not in use any more.
func (u inUse) prune(now time.Time) {
	for id, known := range u {
		if known.own == ([classes]int{}) && !known.health.ejected(now) && !known.passesPace(now) {
			delete(u, id)
		}
	}
}

// passesPace says whether the runner reported its pace to this node recently, so that it is passed on.
func (e *entry) passesPace(now time.Time) bool {
	return e.directPace.Pace.Known() && now.Sub(e.directPace.At) < directReportLifetime
}

// InFlight returns the runners with requests of a class of this node in flight, ordered by id.
func (t *Table) InFlight(class Class, now time.Time) []work.Runner {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inUse.prune(now)
	var runners []work.Runner
	for _, known := range t.inUse {
		if known.own[class] > 0 {
			runners = append(runners, known.runner)
		}
	}
	slices.SortFunc(runners, func(first, second work.Runner) int { return cmp.Compare(first.ID, second.ID) })
	return runners
}
