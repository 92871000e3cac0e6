package waitline

import (
	"cmp"
	"slices"
	"time"
)

// LateLast has the requests that became late while they waited stand behind those of their turn that can be on time: a place is of more
// use to these.
func (l *Line) LateLast(now time.Time) {
	for _, waiter := range l.waiting {
		if now.After(waiter.due) {
			waiter.due = waiter.Latest
		}
	}
	slices.SortStableFunc(l.waiting, func(first, second *Waiter) int {
		return cmp.Or(cmp.Compare(first.turn, second.turn), first.due.Compare(second.due))
	})
}

// Waiting returns how many of those that wait can be on time, until when the first of them can, and how many are late.
func (l *Line) Waiting(now time.Time) (onTime int, until time.Time, late int) {
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
