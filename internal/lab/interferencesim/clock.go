package interferencesim

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual times, those of one moment in the order they were set.
type clock struct {
	now    time.Duration
	set    uint64
	events eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// after sets an event.
func (c *clock) after(delay time.Duration, run func()) {
	c.set++
	heap.Push(&c.events, event{at: c.now + delay, order: c.set, run: run})
}

// runUntil runs the events up to the end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}

// wall returns a moment for code that wants one; only differences count.
func (c *clock) wall() time.Time { return time.Unix(1_800_000_000, 0).Add(c.now) }

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(pushed any) { *h = append(*h, pushed.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}
