package jobworker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/work"
)

// TestRosterIsMadeOnceForAListOfWorkers has a worker asked for its sources, its part and the zones of others, in fleets of several
// sizes: the workers are walked once for each list of them, and not at all for a list that says the same.
func TestRosterIsMadeOnceForAListOfWorkers(t *testing.T) {
	for _, count := range []int{15, 150, 300} {
		w := &Worker{Node: "w-007", Zone: "z-2", Now: time.Now, Readers: noReaders{}}
		w.setWorkers(zonedWorkers(count))
		first, listed := w.rosterNow(), w.Registered()
		for range 3 {
			w.setWorkers(zonedWorkers(count))
			_, other := w.Reader(func(string) bool { return false })
			assert.Assert(t, other)
			assert.Assert(t, !w.IsReader() && !w.IsRelay())
			zone, known := w.ZoneOf("w-003")
			assert.Assert(t, known && zone == "z-3")
			assert.Assert(t, work.SameList(listed, w.Registered()))
		}
		assert.Assert(t, w.rosterNow() == first)
		w.setWorkers(zonedWorkers(count - 1))
		assert.Assert(t, w.rosterNow() != first)
		assert.Equal(t, len(w.Registered()), count-1)
	}
}
