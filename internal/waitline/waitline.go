// Package waitline decides which request gets a place that comes free, and which one can get none in time. While online work
// takes the places of all runners, requests wait at the node that took them: what waits in the queue of a runner can't be told
// at once that it will not be served in time, and makes all that comes behind it late too. The package does no I/O; times are
// arguments.
package waitline

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/fairshare"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Waiter is a request without a place.
type Waiter struct {
	// Tenant is whose request it is; empty where there are no tenants. Rank is the tenant's, zero the most urgent.
	Tenant ident.Tenant
	Rank   int
	// Kind is the rank of its kind of request, zero the most urgent: it orders the requests that yield.
	Kind int
	// OnTime is the last moment at which a place still lets it be answered within its objective, Latest the last one at which a
	// place is of any use. OnTime is never after Latest.
	OnTime, Latest time.Time
	// turn is what the line is ordered by first: the turns that the tenants took one after the other until this one.
	turn int
	// due is what it is ordered by then: OnTime, or Latest for one that came too late to be on time.
	due time.Time
	// joined is when it began to wait, expected how long that was thought to take, yielded whether it yielded then.
	joined   time.Time
	expected time.Duration
	yielded  bool
}

const (
	// runWeight is the part that one run has in their mean time, waitWeight the part that one wait has in the mean factor by
	// which waits are longer than expected.
	runWeight, waitWeight = 0.05, 0.1
	// leastLonger and mostLonger bound that factor: a few odd waits must neither close the line nor open it.
	leastLonger, mostLonger = 0.5, 4
)

// Line is the requests without a place at one node, for one service, and how fast places come free. The zero Line is empty.
type Line struct {
	// Yields says whether a request is to wait behind those that don't yield; nil has none yield. It is set before the line is used.
	Yields func(*Waiter) bool
	// waiting is ordered by turn and due.
	waiting []*Waiter
	// turn is that of the last request that got a place, next the turn of each tenant's next request. Both begin anew with an empty
	// line: places that nobody has to wait for are nobody's turn.
	turn int
	next map[ident.Tenant]float64
	// held are the places that this node's requests have, run is the mean time for which they have them.
	held int
	run  time.Duration
	// longer is the mean factor by which waits were longer than expected, longerYielding that of those that yielded; zero is not known.
	longer, longerYielding float64
	// extra is the part of a request that the next look may let take a place.
	extra float64
	// turned holds until when each request that was turned away would have been in time, for those that still would.
	turned []time.Time
	tally  Tally
}

// Tally is what became of the requests that found no place at once.
type Tally struct {
	// Waited got a place, TurnedAway were told that they would get none in time. Wrongly counts those among them for which
	// there was a place in time after all: one came free while nobody waited.
	Waited, TurnedAway, Wrongly int
}

// Tally returns the counts since the last call, and the mean factor by which waits were longer than expected.
func (l *Line) Tally() (counts Tally, longer float64) {
	tally := l.tally
	l.tally = Tally{}
	return tally, longerBy(l.longer)
}

// Taken notes that a request got a place.
func (l *Line) Taken() { l.held++ }

// Freed notes that a request gave its place back after a time. Where nobody waits for it, one that was turned away and
// would still be in time could have had it.
func (l *Line) Freed(after time.Duration, now time.Time) {
	l.held--
	if len(l.waiting) == 0 {
		l.noteWrong(now)
	}
	if l.run == 0 {
		l.run = after
	}
	l.run += time.Duration(runWeight * float64(after-l.run))
}

// Len returns how many wait.
func (l *Line) Len() int { return len(l.waiting) }

// untilPlace is how long it takes until a request gets a place that has some before it: this node's places come free one after
// the other in the time of a run. A node that has none yet knows nothing, and expects one at once.
func (l *Line) untilPlace(ahead int, longer float64) time.Duration {
	if l.held <= 0 {
		return 0
	}
	expected := float64(l.run) * float64(ahead+1) / float64(l.held)
	return time.Duration(expected * longerBy(longer))
}

// longerBy is the factor that waits are expected to be longer by than the places and the runs say, for the mean so far.
func longerBy(longer float64) float64 {
	if longer == 0 {
		return 1
	}
	return min(max(longer, leastLonger), mostLonger)
}

// Join has a request wait, and returns false where it can't get a place in time: on time, or for one that is late already,
// while a place is of any use. Nobody's time is taken for a place that does not come.
func (l *Line) Join(waiter *Waiter, now time.Time) bool {
	position := l.position(waiter, now)
	expected := l.untilPlace(l.ahead(waiter, position), *l.longerOf(waiter))
	return l.join(waiter, position, expected, now)
}

// JoinRationed has a request wait where places are granted by others, and how fast this node's own come free tells nothing. It returns
// false where no place is of any use any more.
func (l *Line) JoinRationed(waiter *Waiter, now time.Time) bool {
	return l.join(waiter, l.position(waiter, now), 0, now)
}

// position is where in the line a request is to stand.
func (l *Line) position(waiter *Waiter, now time.Time) int {
	waiter.due = waiter.OnTime
	if now.After(waiter.due) {
		waiter.due = waiter.Latest
	}
	waiter.turn = l.turnOf(waiter)
	waiter.yielded = l.yields(waiter)
	return l.before(waiter)
}

// join has a request wait that expects a place after a time, or turns it away.
func (l *Line) join(waiter *Waiter, position int, expected time.Duration, now time.Time) bool {
	if now.Add(l.unsure(waiter, expected)).After(waiter.due) {
		l.dropLate(now)
		l.turned = append(l.turned, waiter.due)
		l.tally.TurnedAway++
		return false
	}
	l.take(waiter)
	waiter.joined, waiter.expected = now, expected
	l.waiting = slices.Insert(l.waiting, position, waiter)
	return true
}

// noteWrong counts a request that was turned away though a place came free in time, if there is one.
func (l *Line) noteWrong(now time.Time) {
	l.dropLate(now)
	if len(l.turned) > 0 {
		l.turned = slices.Delete(l.turned, 0, 1)
		l.tally.Wrongly++
	}
}

// dropLate forgets the requests that were turned away and would be late by now.
func (l *Line) dropLate(now time.Time) {
	l.turned = slices.DeleteFunc(l.turned, func(due time.Time) bool { return due.Before(now) })
}

// before returns how many of those that wait come before one.
func (l *Line) before(waiter *Waiter) int {
	index := slices.IndexFunc(l.waiting, func(other *Waiter) bool {
		return cmp.Or(cmp.Compare(other.turn, waiter.turn), other.due.Compare(waiter.due)) > 0
	})
	if index < 0 {
		return len(l.waiting)
	}
	return index
}

// turnOf is the turn of a request: the present one, unless its tenant has had that. So one with many requests waits for its own, and
// not the others for it. Requests of no tenant have the present turn always.
func (l *Line) turnOf(waiter *Waiter) int {
	if len(l.waiting) == 0 {
		l.turn = 0
		clear(l.next)
	}
	return max(l.turn, int(l.next[waiter.Tenant]))
}

// take counts the turn of a request that waits. A tenant has half as many turns as one of the next more urgent rank.
func (l *Line) take(waiter *Waiter) {
	if waiter.Tenant == "" {
		return
	}
	if l.next == nil {
		l.next = map[ident.Tenant]float64{}
	}
	l.next[waiter.Tenant] = max(l.next[waiter.Tenant], float64(waiter.turn)) + 1/fairshare.Weight(waiter.Rank)
}

// Leave takes a request out of the line.
func (l *Line) Leave(waiter *Waiter) {
	if index := slices.Index(l.waiting, waiter); index >= 0 {
		l.waiting = slices.Delete(l.waiting, index, index+1)
	}
}

// Next takes the request out of the line whose turn it is, of several the one that has the least time left, or returns nil. Those
// that yield come last.
func (l *Line) Next() *Waiter {
	if len(l.waiting) == 0 {
		return nil
	}
	position := l.first()
	next := l.waiting[position]
	l.waiting = slices.Delete(l.waiting, position, position+1)
	l.turn = max(l.turn, next.turn)
	return next
}

// Again puts a request back that was taken out and found no place.
func (l *Line) Again(waiter *Waiter) { l.waiting = slices.Insert(l.waiting, 0, waiter) }

// Served notes how long a request waited that found a place, so that the next ones are expected better.
func (l *Line) Served(waiter *Waiter, now time.Time) {
	l.tally.Waited++
	if waiter.expected <= 0 {
		return
	}
	longer := l.longerOf(waiter)
	before := longerBy(*longer)
	this := before * float64(now.Sub(waiter.joined)) / float64(waiter.expected)
	*longer = before + waitWeight*(min(this, mostLonger)-before)
}

// Return is how long it takes until all that wait now have a place, and one more.
func (l *Line) Return() time.Duration { return l.untilPlace(len(l.waiting), l.longer) }
