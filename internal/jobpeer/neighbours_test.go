package jobpeer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// TestWorkersOfTheZoneStayWhileTheirRegistrationsAreGone has a zone whose registrations lapsed together, with one of its two workers dead.
func TestWorkersOfTheZoneStayWhileTheirRegistrationsAreGone(t *testing.T) {
	now := time.Unix(100, 0)
	one, two, far := jobrecord.Worker{Node: "1", Zone: "a", Address: "1"}, jobrecord.Worker{Node: "2", Zone: "a", Address: "2"}, jobrecord.Worker{Node: "3", Zone: "b", Address: "3"}
	var known neighbours
	assert.Equal(t, len(known.workers("a", []jobrecord.Worker{far}, now)), 1)
	all := []jobrecord.Worker{one, two, far}
	assert.DeepEqual(t, known.workers("a", all, now), all)
	known.answered("1", now)
	known.answered("2", now)
	// One that retires goes from the list by itself.
	assert.DeepEqual(t, known.workers("a", []jobrecord.Worker{two, far}, now), []jobrecord.Worker{two, far})
	assert.DeepEqual(t, known.workers("a", all, now), all)
	now = now.Add(answersFor)
	known.answered("1", now)
	assert.DeepEqual(t, known.workers("a", []jobrecord.Worker{far}, now), []jobrecord.Worker{far, one})
	// Their registrations come back one after the other.
	assert.DeepEqual(t, known.workers("a", []jobrecord.Worker{two, far}, now), []jobrecord.Worker{two, far, one})
	now = now.Add(unlistedFor)
	known.answered("1", now)
	assert.DeepEqual(t, known.workers("a", []jobrecord.Worker{far}, now), []jobrecord.Worker{far})
}

// TestListIsGoneByAgainOnceAllAreBack has a worker retire after a zone has its registrations back.
func TestListIsGoneByAgainOnceAllAreBack(t *testing.T) {
	now := time.Unix(100, 0)
	one, two := jobrecord.Worker{Node: "1", Zone: "a", Address: "1"}, jobrecord.Worker{Node: "2", Zone: "a", Address: "2"}
	var known neighbours
	both := []jobrecord.Worker{one, two}
	known.workers("a", both, now)
	known.answered("1", now)
	known.answered("2", now)
	assert.DeepEqual(t, known.workers("a", nil, now), both)
	assert.DeepEqual(t, known.workers("a", both, now), both)
	assert.DeepEqual(t, known.workers("a", both[:1], now), both[:1])
}
