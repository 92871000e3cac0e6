package waitqueue

import (
	"cmp"
	"slices"
	"time"
)

// MoveLateLast reorders the queue so that, within each turn, requests that became late while they waited come after those that can
// still be on time.
func (l *Queue) MoveLateLast(now time.Time) {
	for _, waiter := range l.waiting {
		if now.After(waiter.due) {
			waiter.due = waiter.Latest
		}
	}
	slices.SortStableFunc(l.waiting, func(first, second *Waiter) int {
		return cmp.Or(cmp.Compare(first.turn, second.turn), first.due.Compare(second.due))
	})
}

// Waiting returns how many waiting requests can still be on time, until when the first of them can, and how many are late.
func (l *Queue) Waiting(now time.Time) (onTime int, until time.Time, late int) {
	for _, waiter := range l.waiting {
		if now.After(waiter.OnTime) {
			late++
			continue
		}
		if onTime == 0 || waiter.OnTime.Before(until) {
			until = waiter.OnTime
		}
		onTime++
	}
	return onTime, until, late
}
