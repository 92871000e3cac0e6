package runnertable

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/work"
)

// Slots returns how many requests the ready runners of a service work on at once.
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

// Free returns how many slots of a service's runners that may take requests have no online work, as far as this node knows.
func (t *Table) Free(service string, now time.Time) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	free := 0
	for _, known := range t.services[service] {
		if known.eligible(Wish{}, now) {
			firm, _ := known.estimate(now)
			free += max(max(known.runner.Slots, 1)-firm, 0)
		}
	}
	return free
}

// heardFor is for how long an owner that told once is thought to tell again: nodes hear those of other zones each ten seconds at least.
const heardFor = 30 * time.Second

// overdue says whether the owner of the runner told of the work there before, and not lately: nodes that have work at an owner's
// runners hear it each 50 ms, and what is older may be of a slot that others took since.
func (e *entry) overdue(now time.Time) bool {
	return e.share.Within(heardFor, now) && !e.share.Within(wordMemory, now)
}

// seenFree says whether a slot that is thought to be free may be taken by a request that yields: it would wait at the runner before the others
// if it is not.
func (e *entry) seenFree(now time.Time) bool {
	return !e.overdue(now) && !(e.load.Within(loadMemory, now) && e.load.Value().waiting > 0)
}
