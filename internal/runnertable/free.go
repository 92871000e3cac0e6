package runnertable

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/work"
)

// Slots returns the total number of slots of the ready runners of a service.
func (t *Table) Slots(service string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	slots := 0
	for _, known := range t.services[service] {
		if known.runner.State == work.Ready {
			slots += max(known.runner.Slots, 1)
		}
	}
	return slots
}

// Free returns how many slots of the eligible runners of a service have no online work, as far as this node knows.
func (t *Table) Free(service string, now time.Time) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	free := 0
	for _, known := range t.services[service] {
		if known.eligible(PickRequest{}, now) {
			committed, _ := known.estimate(now)
			free += max(max(known.runner.Slots, 1)-committed, 0)
		}
	}
	return free
}

// ownerActiveFor is how long after its last report an owner is expected to report again. Nodes get a report from
// owners in other zones at least every 10 s.
const ownerActiveFor = 30 * time.Second

// shareOverdue says whether the owner reported the work at the runner before, but not recently. Owners report every 50
// ms to nodes that have work at their runners; a slot that was free in an older report may have been taken since.
func (e *entry) shareOverdue(now time.Time) bool {
	return e.share.Within(ownerActiveFor, now) && !e.share.Within(recentShareAge, now)
}

// knownFree says whether a slot that is estimated to be free can be given to a request that must not queue at the
// runner. If the slot were in fact taken, the request would wait at the runner ahead of requests with higher priority.
func (e *entry) knownFree(now time.Time) bool {
	return !e.shareOverdue(now) && !(e.load.Within(loadLifetime, now) && e.load.Value().waiting > 0)
}
