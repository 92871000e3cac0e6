// Package virtualtime runs events in the order of their simulated instants. A simulation on it depends on nothing but its
// seed: no wall clock, no goroutines.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock holds the simulated time and the events to come. It belongs to one goroutine.
type Clock struct {
	start, now time.Time
	added      uint64
	events     eventQueue
}

// Epoch is where simulations begin that need no date of their own.
var Epoch = time.Unix(1_800_000_000, 0).UTC()

// New returns a clock at an instant, without events.
func New(start time.Time) *Clock { return &Clock{start: start, now: start} }

// Now returns the simulated time: within an event, the event's instant.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns the simulated time since the start.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(c.start) }

// After sets an event. Events of one instant run in the order in which they were set.
func (c *Clock) After(delay time.Duration, run func()) {
	c.added++
	heap.Push(&c.events, event{at: c.now.Add(delay), order: c.added, run: run})
}

// Every sets an event after a first delay and then again each period, for ever.
func (c *Clock) Every(first, period time.Duration, run func()) {
	c.After(first, func() {
		run()
		c.Every(period, period, run)
	})
}

// RunUntil runs the events up to the end, those at the end included, and leaves the clock there.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// RunFor runs the events of the next span.
func (c *Clock) RunFor(span time.Duration) { c.RunUntil(c.now.Add(span)) }

// event is something that happens at an instant.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(added any) { *q = append(*q, added.(event)) }

// Pop implements heap.Interface. The slot is cleared, so that what an event holds can be collected.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}
