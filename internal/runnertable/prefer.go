package runnertable

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Prefer makes choices consider only the given runners while one of them has a free slot. Without preferred runners, or if none
// of them has a free slot, choices consider all runners of the service.
func (t *Table) Prefer(runners []ident.Incarnation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.preferred = map[string][]*entry{}
	for _, id := range runners {
		if known := t.runners[id]; known != nil {
			t.preferred[known.runner.Service] = append(t.preferred[known.runner.Service], known)
		}
	}
	for _, entries := range t.preferred {
		slices.SortFunc(entries, func(first, second *entry) int { return compareID(first, second.runner.ID) })
	}
}

// considered returns the entries among which the runner for a request is chosen. A request with a long shared prefix may go to
// any runner, because all nodes send it to the same one. The caller holds the mutex.
func (t *Table) considered(request PickRequest, now time.Time) []*entry {
	preferred, all := t.preferred[request.Service], t.services[request.Service]
	if len(preferred) == 0 || sharedTokens(request.Prefix) >= smallestSharedTokens {
		return all
	}
	for _, known := range preferred {
		if known.hasFreeSlot(request, now) {
			return preferred
		}
	}
	return all
}

// hasFreeSlot says whether a request would get a slot at the runner at once, as far as this node knows.
func (e *entry) hasFreeSlot(request PickRequest, now time.Time) bool {
	if e.runner.State != work.Ready || !e.eligible(request, now) {
		return false
	}
	e.committed, e.preemptible = e.estimate(now)
	return e.committed < max(e.runner.Slots, 1) && !e.full(request, now)
}
