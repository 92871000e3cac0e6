package jobpeer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// TestZoneWorkersStayInUseWithoutRegistrations has all registrations of a zone expire together, with one of its two
// workers dead.
func TestZoneWorkersStayInUseWithoutRegistrations(t *testing.T) {
	now := time.Unix(100, 0)
	one, two, far := jobrecord.Worker{Node: "1", Zone: "a", Address: "1"}, jobrecord.Worker{Node: "2", Zone: "a", Address: "2"}, jobrecord.Worker{Node: "3", Zone: "b", Address: "3"}
	var known zoneWorkers
	assert.Equal(t, len(known.workers("a", []jobrecord.Worker{far}, now)), 1)
	all := []jobrecord.Worker{one, two, far}
	assert.DeepEqual(t, known.workers("a", all, now), all)
	known.answered("1", now)
	known.answered("2", now)
	// A worker that retires is removed from the list alone.
	assert.DeepEqual(t, known.workers("a", []jobrecord.Worker{two, far}, now), []jobrecord.Worker{two, far})
	assert.DeepEqual(t, known.workers("a", all, now), all)
	now = now.Add(answerTTL)
	known.answered("1", now)
	assert.DeepEqual(t, known.workers("a", []jobrecord.Worker{far}, now), []jobrecord.Worker{far, one})
	// Their registrations return one by one.
	assert.DeepEqual(t, known.workers("a", []jobrecord.Worker{two, far}, now), []jobrecord.Worker{two, far, one})
	now = now.Add(unlistedGrace)
	known.answered("1", now)
	assert.DeepEqual(t, known.workers("a", []jobrecord.Worker{far}, now), []jobrecord.Worker{far})
}

// TestOnlyListedWorkersAreUsedOnceAllAreBack has a worker retire after the registrations of its zone have returned.
func TestOnlyListedWorkersAreUsedOnceAllAreBack(t *testing.T) {
	now := time.Unix(100, 0)
	one, two := jobrecord.Worker{Node: "1", Zone: "a", Address: "1"}, jobrecord.Worker{Node: "2", Zone: "a", Address: "2"}
	var known zoneWorkers
	both := []jobrecord.Worker{one, two}
	known.workers("a", both, now)
	known.answered("1", now)
	known.answered("2", now)
	assert.DeepEqual(t, known.workers("a", nil, now), both)
	assert.DeepEqual(t, known.workers("a", both, now), both)
	assert.DeepEqual(t, known.workers("a", both[:1], now), both[:1])
}
