package waitqueue

import (
	"slices"
	"time"
)

// Requests of tenants that use more than their share of slots yield: they are served after the others, and their waits are
// estimated separately. Among them the more urgent kind is served first.

func (l *Queue) yields(waiter *Waiter) bool { return l.Yields != nil && l.Yields(waiter) }

// memoizedYields returns a version of Yields that reuses the last result for consecutive requests of one tenant and kind,
// which are the usual case.
func (l *Queue) memoizedYields() func(*Waiter) bool {
	var last *Waiter
	yields := false
	return func(waiter *Waiter) bool {
		if last == nil || last.Tenant != waiter.Tenant || last.Kind != waiter.Kind {
			yields = l.Yields(waiter)
		}
		last = waiter
		return yields
	}
}

// nextIndex returns the index of the next request to serve. The queue must not be empty.
func (l *Queue) nextIndex() int {
	if l.Yields == nil {
		return 0
	}
	nextIndex := 0
	yields := l.memoizedYields()
	for position, waiter := range l.waiting {
		if !yields(waiter) {
			return position
		}
		if waiter.Kind < l.waiting[nextIndex].Kind {
			nextIndex = position
		}
	}
	return nextIndex
}

// ahead returns how many waiting requests are served before one that would be inserted at a position.
func (l *Queue) ahead(waiter *Waiter, position int) int {
	if l.Yields == nil {
		return position
	}
	ahead := 0
	yields := l.memoizedYields()
	for index, other := range l.waiting {
		if isAhead(other, yields(other), waiter, index < position) {
			ahead++
		}
	}
	return ahead
}

// MustWait reports whether an arriving request must wait because some waiting request is served before it. A request that does
// not yield passes all that yield.
func (l *Queue) MustWait(waiter *Waiter) bool {
	if l.Yields == nil {
		return len(l.waiting) > 0
	}
	waiter.yielded = l.Yields(waiter)
	yields := l.memoizedYields()
	return slices.ContainsFunc(l.waiting, func(other *Waiter) bool { return isAhead(other, yields(other), waiter, true) })
}

// isAhead reports whether a waiting request, which yields or not, is served before another one; earlier says whether it is
// before that one in the queue.
func isAhead(other *Waiter, yields bool, waiter *Waiter, earlier bool) bool {
	switch {
	case yields != waiter.yielded:
		return waiter.yielded
	case yields && other.Kind != waiter.Kind:
		return other.Kind < waiter.Kind
	}
	return earlier
}

// extraFraction of the slots in use by the node is how many more requests that yield may take slots at one check, minExtra the
// least number: a node that uses none yet thus gets its first.
const (
	extraFraction = 1.0 / 8
	minExtra      = 0.25
)

// ExtraYielding returns how many requests that yield may try to take slots at a check, beyond the slots that this node freed. The
// limit is needed because all nodes see the same slots become free at the same time, and together would take each many times
// over.
func (l *Queue) ExtraYielding() int {
	l.extraCredit += max(extraFraction*float64(l.slotsInUse), minExtra)
	whole := int(l.extraCredit)
	l.extraCredit -= float64(whole)
	return whole
}

// NextYields reports whether the next request to serve yields; false if nobody waits.
func (l *Queue) NextYields() bool {
	return l.Yields != nil && len(l.waiting) > 0 && l.Yields(l.waiting[l.nextIndex()])
}

// FreedUnused records that a request released a slot without using it. The time for which it had the slot is not counted as a
// run.
func (l *Queue) FreedUnused() { l.slotsInUse-- }

// waitFactorOf returns the wait factor that applies to a request and that its own wait updates.
func (l *Queue) waitFactorOf(waiter *Waiter) *float64 {
	if waiter.yielded {
		return &l.yieldingWaitFactor
	}
	return &l.waitFactor
}

// yieldingSafetyFactor is how many times the estimated wait a request that yields must be able to wait, since others may be
// served before it meanwhile.
const yieldingSafetyFactor = 1.25

// conservativeWait returns the wait within which a request gets its slot almost certainly.
func (l *Queue) conservativeWait(waiter *Waiter, expected time.Duration) time.Duration {
	if !waiter.yielded {
		return expected
	}
	return time.Duration(yieldingSafetyFactor * float64(expected))
}

// ExpectedYieldingWait returns the estimated time until all requests that wait now have a slot, a further number that yield,
// and one more.
func (l *Queue) ExpectedYieldingWait(more int) time.Duration {
	return l.estimateWait(len(l.waiting)+more, l.yieldingWaitFactor)
}
