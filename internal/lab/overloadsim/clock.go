package overloadsim

import (
	"container/heap"
	"time"
)

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

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// clock runs events in order of their instants; those of one instant run in the order they were added.
type clock struct {
	start, now time.Time
	added      uint64
	queue      eventQueue
}

func newClock() *clock {
	start := time.Unix(1_800_000_000, 0).UTC()
	return &clock{start: start, now: start}
}

// Now returns the simulated time.
func (c *clock) Now() time.Time { return c.now }

// elapsed returns the time since the start.
func (c *clock) elapsed() time.Duration { return c.now.Sub(c.start) }

func (c *clock) after(delay time.Duration, run func()) {
	c.added++
	heap.Push(&c.queue, event{at: c.now.Add(delay), order: c.added, run: run})
}

// every runs a function again and again, first after a delay.
func (c *clock) every(first, period time.Duration, run func()) {
	c.after(first, func() {
		run()
		c.every(period, period, run)
	})
}

// runFor runs all events of the next span.
func (c *clock) runFor(span time.Duration) {
	end := c.now.Add(span)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}
