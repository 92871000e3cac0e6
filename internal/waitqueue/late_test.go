package waitqueue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/waitqueue"
)

// TestRationedJoinIgnoresLocalSlotCount has a node with one slot, which becomes free in 200 ms. Where slots are granted by
// others, ten requests must be accepted that would be rejected otherwise, but none for which every slot would be too late.
func TestRationedJoinIgnoresLocalSlotCount(t *testing.T) {
	queue := busyQueue(1, 200*time.Millisecond)
	assert.Assert(t, queue.Join(arriving(start), start))
	assert.Assert(t, !queue.Join(arriving(start), start))
	for range 10 {
		assert.Assert(t, queue.JoinRationed(arriving(start), start))
	}
	assert.Assert(t, !queue.JoinRationed(arriving(start.Add(-patience-time.Millisecond)), start))
	assert.Equal(t, queue.Len(), 11)
}

// TestLateRequestsMoveBehindThoseOnTime has three requests arrive one after the other, and the first one become late.
func TestLateRequestsMoveBehindThoseOnTime(t *testing.T) {
	var queue waitqueue.Queue
	first, second, third := arriving(start), arriving(start.Add(100*time.Millisecond)), arriving(start.Add(200*time.Millisecond))
	for _, waiter := range []*waitqueue.Waiter{first, second, third} {
		assert.Assert(t, queue.JoinRationed(waiter, start))
	}
	now := start.Add(objective + time.Millisecond)
	onTime, until, late := queue.Waiting(now)
	assert.Equal(t, onTime, 2)
	assert.Equal(t, until, second.OnTime)
	assert.Equal(t, late, 1)
	queue.MoveLateLast(now)
	for _, next := range []*waitqueue.Waiter{second, third, first} {
		assert.Equal(t, queue.Next(), next)
	}
	onTime, _, late = queue.Waiting(now)
	assert.Equal(t, onTime+late, 0)
}
