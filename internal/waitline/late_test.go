package waitline_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/waitline"
)

// TestRequestsWaitForGrantsHoweverFewPlacesTheNodeHas has a node with one place, which comes free in 200 ms: where places are granted by others
// ten requests wait that would be turned away otherwise, but none that no place is of use to.
func TestRequestsWaitForGrantsHoweverFewPlacesTheNodeHas(t *testing.T) {
	line := holding(1, 200*time.Millisecond)
	assert.Assert(t, line.Join(arriving(start), start))
	assert.Assert(t, !line.Join(arriving(start), start))
	for range 10 {
		assert.Assert(t, line.JoinRationed(arriving(start), start))
	}
	assert.Assert(t, !line.JoinRationed(arriving(start.Add(-patience-time.Millisecond)), start))
	assert.Equal(t, line.Len(), 11)
}

// TestWhatBecameLateStandsBehindWhatCanBeOnTime has three come one after the other, and the first one become late.
func TestWhatBecameLateStandsBehindWhatCanBeOnTime(t *testing.T) {
	var line waitline.Line
	first, second, third := arriving(start), arriving(start.Add(100*time.Millisecond)), arriving(start.Add(200*time.Millisecond))
	for _, waiter := range []*waitline.Waiter{first, second, third} {
		assert.Assert(t, line.JoinRationed(waiter, start))
	}
	now := start.Add(objective + time.Millisecond)
	onTime, until, late := line.Waiting(now)
	assert.Equal(t, onTime, 2)
	assert.Equal(t, until, second.OnTime)
	assert.Equal(t, late, 1)
	line.LateLast(now)
	for _, next := range []*waitline.Waiter{second, third, first} {
		assert.Equal(t, line.Next(), next)
	}
	onTime, _, late = line.Waiting(now)
	assert.Equal(t, onTime+late, 0)
}
