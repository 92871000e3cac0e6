// Package waitqueue is the queue of requests at one node that wait for a runner slot of a service. It decides which request
// gets a slot that becomes free, and which requests are rejected at once because they would get none in time. Requests wait at
// the node that accepted them while online work takes the slots of all runners: a request in the queue of a runner can't be
// rejected early, and delays all requests behind it. The order is by tenant turns, urgency and remaining time; requests of
// tenants above their share yield to the others. The package does no I/O, and times are arguments.
package waitqueue

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/fairshare"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Waiter is a request without a slot.
type Waiter struct {
	// Tenant is the tenant of the request; empty where there are no tenants. Rank is the tenant's rank, zero the most urgent.
	Tenant ident.Tenant
	Rank   int
	// Kind is the priority rank of the kind of request, zero the most urgent. It orders only requests that yield.
	Kind int
	// OnTime is the last moment at which a slot still allows an answer within the objective, Latest the last one at which a
	// slot is of any use. OnTime is never after Latest.
	OnTime, Latest time.Time
	// Objective is the time within which an answer should begin.
	Objective time.Duration
	// turn is the primary sort key of the queue: the number of the round in which the request's tenant takes its turn.
	turn int
	// due is the secondary sort key: OnTime, or Latest for a request that is too late to be on time.
	due time.Time
	// joined is when the request began to wait, expected the wait estimated then, yielded whether it yielded then.
	joined   time.Time
	expected time.Duration
	yielded  bool
}

const (
	// runWeight is the weight of one run in the moving average of run times, waitWeight that of one wait in the moving average
	// of the wait factor.
	runWeight, waitWeight = 0.05, 0.1
	// minWaitFactor and maxWaitFactor limit the wait factor, so that a few unusual waits neither close the queue nor open it
	// to all.
	minWaitFactor, maxWaitFactor = 0.5, 4
)

// Queue is the queue of the requests without a slot at one node, for one service, with an estimate of how fast slots become
// free. The zero Queue is empty.
type Queue struct {
	// Yields reports whether a request must wait behind those that don't yield; if nil, none yields. It is set before the
	// queue is used.
	Yields func(*Waiter) bool
	// waiting is ordered by turn and due.
	waiting []*Waiter
	// turn is that of the last request that got a slot, next the turn of each tenant's next request. Both are reset when the
	// queue is empty, since slots for which nobody waits count as nobody's turn.
	turn int
	next map[ident.Tenant]float64
	// slotsInUse is the number of slots that this node's requests use, meanRun the mean time for which they use them.
	slotsInUse int
	meanRun    time.Duration
	// waitFactor is the mean ratio of actual to estimated waits, yieldingWaitFactor that of requests that yielded; zero if
	// unknown.
	waitFactor, yieldingWaitFactor float64
	// extraCredit is the fraction of a request carried over to the next call of Extra.
	extraCredit float64
	// rejected contains until when each rejected request would have been in time, without those whose time has passed.
	rejected []time.Time
	tally    Tally
}

// Tally counts what became of the requests that found no free slot at once.
type Tally struct {
	// Waited requests got a slot, Rejected ones were refused because they would get none in time. WronglyRejected counts those of
	// the latter for which there was a slot in time after all: one became free while nobody waited.
	Waited, Rejected, WronglyRejected int
}

// Tally returns the counts since the last call, and the mean ratio of actual to estimated waits.
func (l *Queue) Tally() (counts Tally, waitFactor float64) {
	tally := l.tally
	l.tally = Tally{}
	return tally, boundedFactor(l.waitFactor)
}

// SlotTaken records that a request got a slot.
func (l *Queue) SlotTaken() { l.slotsInUse++ }

// SlotFreed records that a request released its slot after a time. If nobody waits for the slot, a rejected request that would
// still be in time could have used it.
func (l *Queue) SlotFreed(after time.Duration, now time.Time) {
	l.slotsInUse--
	if len(l.waiting) == 0 {
		l.countWrong(now)
	}
	if l.meanRun == 0 {
		l.meanRun = after
	}
	l.meanRun += time.Duration(runWeight * float64(after-l.meanRun))
}

// Len returns the number of waiting requests.
func (l *Queue) Len() int { return len(l.waiting) }

// estimateWait returns the estimated time until a request with a number of others ahead of it gets a slot, on the assumption
// that this node's slots become free one after the other within the time of a run. A node that uses no slot has no data, and
// expects one at once.
func (l *Queue) estimateWait(ahead int, waitFactor float64) time.Duration {
	if l.slotsInUse <= 0 {
		return 0
	}
	expected := float64(l.meanRun) * float64(ahead+1) / float64(l.slotsInUse)
	return time.Duration(expected * boundedFactor(waitFactor))
}

// boundedFactor returns the factor to apply to an estimated wait for the mean factor observed so far.
func boundedFactor(waitFactor float64) float64 {
	if waitFactor == 0 {
		return 1
	}
	return min(max(waitFactor, minWaitFactor), maxWaitFactor)
}

// Join adds a request to the queue, and returns false if it can't get a slot in time: on time or, for one that is late
// already or would wait alone and be a little late, while a slot is of any use. Rejecting it at once saves its caller a useless wait.
func (l *Queue) Join(waiter *Waiter, now time.Time) bool {
	position := l.position(waiter, now)
	expected := l.estimateWait(l.ahead(waiter, position), *l.waitFactorOf(waiter))
	return l.join(waiter, position, expected, now)
}

// JoinRationed adds a request where others grant the slots, so that the rate at which this node's own slots become free says
// nothing about the wait. It returns false if no slot is of any use to the request any more.
func (l *Queue) JoinRationed(waiter *Waiter, now time.Time) bool {
	return l.join(waiter, l.position(waiter, now), 0, now)
}

// position sets the sort keys of a request and returns its index in the queue.
func (l *Queue) position(waiter *Waiter, now time.Time) int {
	waiter.due = waiter.OnTime
	if now.After(waiter.due) {
		waiter.due = waiter.Latest
	}
	waiter.turn = l.turnOf(waiter)
	waiter.yielded = l.yields(waiter)
	return l.insertIndex(waiter)
}

// join adds a request with an estimated wait at a position, or rejects it.
func (l *Queue) join(waiter *Waiter, position int, expected time.Duration, now time.Time) bool {
	slotAt := now.Add(l.conservativeWait(waiter, expected))
	if slotAt.After(waiter.due) && l.acceptsLate(waiter, slotAt) {
		waiter.due = waiter.Latest
	}
	if slotAt.After(waiter.due) {
		l.dropExpired(now)
		l.rejected = append(l.rejected, waiter.due)
		l.tally.Rejected++
		return false
	}
	l.countTurn(waiter)
	waiter.joined, waiter.expected = now, expected
	l.waiting = slices.Insert(l.waiting, position, waiter)
	return true
}

// acceptsLate reports whether a request that would get its slot late, at an expected moment, may wait for it all the same: nobody
// else waits, so that requests on time that arrive later pass it, and its answer would be late by at most its objective.
func (l *Queue) acceptsLate(waiter *Waiter, slotAt time.Time) bool {
	return len(l.waiting) == 0 && !slotAt.After(waiter.OnTime.Add(waiter.Objective))
}

// countWrong counts one rejected request, if there is one left, as wrongly rejected because a slot became free in time.
func (l *Queue) countWrong(now time.Time) {
	l.dropExpired(now)
	if len(l.rejected) > 0 {
		l.rejected = slices.Delete(l.rejected, 0, 1)
		l.tally.WronglyRejected++
	}
}

// dropExpired removes the rejected requests that would be late by now.
func (l *Queue) dropExpired(now time.Time) {
	l.rejected = slices.DeleteFunc(l.rejected, func(due time.Time) bool { return due.Before(now) })
}

// insertIndex returns how many waiting requests sort before a request or equal to it.
func (l *Queue) insertIndex(waiter *Waiter) int {
	index := slices.IndexFunc(l.waiting, func(other *Waiter) bool {
		return cmp.Or(cmp.Compare(other.turn, waiter.turn), other.due.Compare(waiter.due)) > 0
	})
	if index < 0 {
		return len(l.waiting)
	}
	return index
}

// turnOf returns the turn of a request: the current one, or a later one if its tenant has used that. A tenant with many
// requests thus waits for its own turns, and does not delay the others. Requests of no tenant always have the current turn.
func (l *Queue) turnOf(waiter *Waiter) int {
	if len(l.waiting) == 0 {
		l.turn = 0
		clear(l.next)
	}
	return max(l.turn, int(l.next[waiter.Tenant]))
}

// countTurn counts the turn of a waiting request. A tenant has half as many turns as one of the next more urgent rank.
func (l *Queue) countTurn(waiter *Waiter) {
	if waiter.Tenant == "" {
		return
	}
	if l.next == nil {
		l.next = map[ident.Tenant]float64{}
	}
	l.next[waiter.Tenant] = max(l.next[waiter.Tenant], float64(waiter.turn)) + 1/fairshare.Weight(waiter.Rank)
}

// Leave removes a request from the queue.
func (l *Queue) Leave(waiter *Waiter) {
	if index := slices.Index(l.waiting, waiter); index >= 0 {
		l.waiting = slices.Delete(l.waiting, index, index+1)
	}
}

// Next removes and returns the first request of the queue, or nil if it is empty: within a turn, the one with the least time
// left. Requests that yield come last.
func (l *Queue) Next() *Waiter {
	if len(l.waiting) == 0 {
		return nil
	}
	position := l.nextIndex()
	next := l.waiting[position]
	l.waiting = slices.Delete(l.waiting, position, position+1)
	l.turn = max(l.turn, next.turn)
	return next
}

// PutBack puts a request that Next returned, and that found no slot, back at the head of the queue.
func (l *Queue) PutBack(waiter *Waiter) { l.waiting = slices.Insert(l.waiting, 0, waiter) }

// RecordWait records how long a request waited that got a slot, to improve later estimates.
func (l *Queue) RecordWait(waiter *Waiter, now time.Time) {
	l.tally.Waited++
	if waiter.expected <= 0 {
		return
	}
	waitFactor := l.waitFactorOf(waiter)
	before := boundedFactor(*waitFactor)
	observed := before * float64(now.Sub(waiter.joined)) / float64(waiter.expected)
	*waitFactor = before + waitWeight*(min(observed, maxWaitFactor)-before)
}

// ExpectedWait returns the estimated time until all requests that wait now have a slot, and one more.
func (l *Queue) ExpectedWait() time.Duration { return l.estimateWait(len(l.waiting), l.waitFactor) }
