package reachability

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPartitionedOnlyAfterRepeatedFailuresWithoutAnswer(t *testing.T) {
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	var w Watch
	assert.Assert(t, !w.Partitioned(at(10_000)), "no call was made")
	for _, failed := range []int{0, 500, 1000} {
		w.Failed(at(failed))
	}
	assert.Assert(t, !w.Partitioned(at(1499)))
	assert.Assert(t, w.Partitioned(at(1500)))

	w.Answered()
	assert.Assert(t, !w.Partitioned(at(1500)), "one answer resets the failures")
	w.Failed(at(1600))
	w.Failed(at(1700))
	assert.Assert(t, !w.Partitioned(at(9000)), "two calls are too few")
	w.Failed(at(9000))
	assert.Assert(t, w.Partitioned(at(9000)))
}

func TestNilWatchIsNeverPartitioned(t *testing.T) {
	var w *Watch
	w.Failed(time.Now())
	w.Answered()
	assert.Assert(t, !w.Partitioned(time.Now()))
}
