package waitline

import (
	"slices"
	"time"
)

// Requests of tenants that have more than their share of places yield: they come after the others, and expect longer waits than these
// do. Among them the more urgent kind comes first.

func (l *Line) yields(waiter *Waiter) bool { return l.Yields != nil && l.Yields(waiter) }

// remembering returns Yields for many requests in a row, most of which are of one tenant and kind.
func (l *Line) remembering() func(*Waiter) bool {
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

// first is the position of the next request in the line, which is not empty.
func (l *Line) first() int {
	if l.Yields == nil {
		return 0
	}
	first := 0
	yields := l.remembering()
	for position, waiter := range l.waiting {
		if !yields(waiter) {
			return position
		}
		if waiter.Kind < l.waiting[first].Kind {
			first = position
		}
	}
	return first
}

// ahead is how many of those that wait are served before one that would stand at a position.
func (l *Line) ahead(waiter *Waiter, position int) int {
	if l.Yields == nil {
		return position
	}
	ahead := 0
	yields := l.remembering()
	for index, other := range l.waiting {
		if isAhead(other, yields(other), waiter, index < position) {
			ahead++
		}
	}
	return ahead
}

// MustWait says whether a request that comes must not pass some that wait. One that waits is passed only by those that don't yield while it
// does.
func (l *Line) MustWait(waiter *Waiter) bool {
	if l.Yields == nil {
		return len(l.waiting) > 0
	}
	waiter.yielded = l.Yields(waiter)
	yields := l.remembering()
	return slices.ContainsFunc(l.waiting, func(other *Waiter) bool { return isAhead(other, yields(other), waiter, true) })
}

// isAhead says whether one that waits, and yields or not, is served before a request; stands says whether it stands before it in the line.
func isAhead(other *Waiter, yields bool, waiter *Waiter, stands bool) bool {
	switch {
	case yields != waiter.yielded:
		return waiter.yielded
	case yields && other.Kind != waiter.Kind:
		return other.Kind < waiter.Kind
	}
	return stands
}

// extraPart of the places that the node's requests have is how many more those that yield may take at one look, leastExtra how many at
// least: a node that has none yet gets its first.
const (
	extraPart  = 1.0 / 8
	leastExtra = 0.25
)

// Extra is how many requests that yield may take places at a look, beyond those that this node freed: all nodes see the same places come
// free at the same time, and together would take them many times over.
func (l *Line) Extra() int {
	l.extra += max(extraPart*float64(l.held), leastExtra)
	whole := int(l.extra)
	l.extra -= float64(whole)
	return whole
}

// NextYields says whether the request yields whose turn it is; false where nobody waits.
func (l *Line) NextYields() bool {
	return l.Yields != nil && len(l.waiting) > 0 && l.Yields(l.waiting[l.first()])
}

// Unused notes that a request gave its place back that it had no use for: how long it had it tells nothing of runs.
func (l *Line) Unused() { l.held-- }

// longerOf is the mean factor of waits that a request's is expected by, and counts in.
func (l *Line) longerOf(waiter *Waiter) *float64 {
	if waiter.yielded {
		return &l.longerYielding
	}
	return &l.longer
}

// unsureBy is how many times longer than expected a request that yields must be able to wait: others come before it meanwhile.
const unsureBy = 1.25

// unsure is the wait within which a request gets its place as good as surely.
func (l *Line) unsure(waiter *Waiter, expected time.Duration) time.Duration {
	if !waiter.yielded {
		return expected
	}
	return time.Duration(unsureBy * float64(expected))
}

// ReturnYielding is how long it takes until all that wait now have a place, some more that yield, and one after them.
func (l *Line) ReturnYielding(more int) time.Duration {
	return l.untilPlace(len(l.waiting)+more, l.longerYielding)
}
