package runnertable

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// rationMemory is how long a runner counts as rationed after its owner said so: nodes without work there hear from the owner each half
	// second. An owner that is gone holds up requests for no longer.
	rationMemory = demand.IdleRefreshEvery + 100*time.Millisecond
	// grantMemory is how long a grant may be used: a little less than the owner keeps the place.
	grantMemory = 80 * time.Millisecond
)

// rationed says whether the owner of the runner gives out its places one by one, because runs of dead nodes leave few.
func (e *entry) rationed(now time.Time) bool {
	return e.share.Value().rationed && e.share.Within(rationMemory, now)
}

// grants says whether a request may begin at a rationed runner. Places that this node's own requests give back are the owner's to grant
// again.
func (e *entry) grants(wish Wish, now time.Time) bool {
	told := e.share.Value()
	if !e.share.Within(grantMemory, now) || wish.Late && !told.grantedLate {
		return false
	}
	return told.granted > len(e.begun)
}

// noteBegun counts an online request that begins at a rationed runner.
func (e *entry) noteBegun(class Class, now time.Time) {
	if class == Online && e.share.Value().rationed {
		e.begun = append(e.begun, now)
	}
}

// forgetBegun forgets the requests that were part of what the owner was told for its word as of a moment.
func (e *entry) forgetBegun(asOf time.Time) {
	e.begun = slices.DeleteFunc(e.begun, asOf.After)
}

// Rations says whether the places of a service's runners are rationed.
func (t *Table) Rations(service string, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.services[service], func(known *entry) bool { return known.rationed(now) })
}

// Rationed returns the runners whose places are rationed, in no order.
func (t *Table) Rationed(now time.Time) []work.Runner {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var rationed []work.Runner
	for _, known := range t.runners {
		if known.rationed(now) {
			rationed = append(rationed, known.runner)
		}
	}
	return rationed
}
