// Package confsim runs many hollow nodes of configuration distribution in one process over a simulated clock, network
// and key-value service. The nodes run the real decision logic (confsync.Core, confsync.Writer); only their I/O is
// simulated. One seed gives one run.
package confsim

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

// scheduler runs events in order of their simulated instants; equal instants run in the order they were added.
type scheduler struct {
	now   time.Time
	added uint64
	queue eventQueue
}

func newScheduler() *scheduler { return &scheduler{now: time.Unix(1_700_000_000, 0).UTC()} }

func (s *scheduler) after(delay time.Duration, run func()) {
	s.added++
	heap.Push(&s.queue, event{at: s.now.Add(delay), order: s.added, run: run})
}

// runUntil runs every event up to the instant.
func (s *scheduler) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}
