package runnertable

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// ErrNoRunner means that no runner of the service may take the request now.
const ErrNoRunner = failure.Kind("runner table: no runner may take the request")

// ErrFull means that runners may take the request, and that online work takes the places, or the memory, of all of them.
const ErrFull = failure.Kind("runner table: the places of all runners are taken")

// queueShare of its places is how much online work may wait at a runner: enough that a place which comes free is not idle
// until nodes hear of it, and so little that a request can still be told that it will be late.
const queueShare = 0.25

// Costs are in milliseconds of expected delay to the first event, so that unlike things can be added.
const (
	// loadCost is the delay of a runner whose places are all taken, beside one that is idle: a step takes hardly longer with more
	// requests, as long as each has a place.
	loadCost = 2.0
	// queueCost is the delay for each request beyond the places.
	queueCost = 60.0
	// yieldCost is the delay where an item has to step aside first. It is less than farCost: a run that is cut goes on
	// elsewhere, and the news of another zone are older.
	yieldCost = 20.0
	// tokensPerMillisecond is how fast a prompt is read.
	tokensPerMillisecond = 50.0
	// farCost and farCostPerKilobyte stand for the price of bytes between zones.
	farCost            = 25.0
	farCostPerKilobyte = 4.0
	// silenceCost is added for a runner that has left a request without a first byte for longer than silenceSuspect.
	silenceCost    = 250.0
	silenceSuspect = 450 * time.Millisecond
	// warmUpCost is added while a runner is in its slow start.
	warmUpCost = 80.0
	// jitterCost spreads the choices of nodes that decide at once, over all runners with a free place. None of them sees what the
	// others chose in the last moment: were the emptiest the first choice of all, it would be the fullest until they hear of it.
	// It is less than a queue.
	jitterCost = 45.0
	// fullCost is added for a runner that refused a request a moment ago.
	fullCost = 400.0
	// failureCost is added to a runner whose last outcomes were all failures, and in proportion.
	failureCost = 500.0
	// loadMemory is how long a runner's own count of others' work is believed.
	loadMemory = 1500 * time.Millisecond
)

// Wish is what a choice depends on.
type Wish struct {
	Service string
	Class   Class
	Prefix  []work.Part
	// PromptTokens is the whole prompt.
	PromptTokens int
	// Tokens are the prompt and the most that may be made, summed; zero where they are not told.
	Tokens int
	// Bytes is the size of the request, for the price of sending it to another zone.
	Bytes int
	// Objective is the time to the first event that earns full credit, Pause the longest time between two events that does; zero
	// names none.
	Objective, Pause time.Duration
	// Wary says that the owners were asked before the choice, so that one which did not answer in time is no place to go to.
	Wary bool
	// Exclude holds runners that already had the request.
	Exclude map[ident.Incarnation]bool
	// Full holds runners that refused the request a moment ago, because their places were taken. A nil map has the request
	// sent also where it must wait at the runner, if that has memory for it.
	Full map[ident.Incarnation]bool
	// Scarce says that places are scarce: a runner is not thought to be free because nothing was heard of it.
	Scarce bool
	// Yields says that the request has no part in the short queue of runners, which is kept for others: it takes a slot that is free
	// now or none. It counts only with Full.
	Yields bool
	// Vacant is a runner at which another request gave its place back for this one, so that it is full only where the request does not fit its
	// memory or was refused there; empty is none.
	Vacant ident.Incarnation
	// Late says that the request can't be on time any more. It counts only with Full.
	Late bool
}

// Pick chooses the runner with the least expected delay and starts a flight on it. The error wraps ErrNoRunner.
func (t *Table) Pick(wish Wish, now time.Time, random *rand.Rand) (*Flight, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	choice := t.choose(wish, now, random)
	best := t.cheapest(wish, choice, now, random)
	if best == nil && t.anyFull(wish, now) {
		return nil, fmt.Errorf("%w: service %s", ErrFull, wish.Service)
	}
	if best == nil {
		best = t.firstBack(wish)
	}
	if best == nil {
		return nil, fmt.Errorf("%w: service %s", ErrNoRunner, wish.Service)
	}
	t.noteChoice(best, wish, now)
	t.noteLeft(best, wish, choice.goal)
	return t.start(best, wish, best.uncached(wish, best == choice.home, now), now), nil
}

// cheapest returns the eligible runner with the least cost, or nil.
func (t *Table) cheapest(wish Wish, choice choice, now time.Time, random *rand.Rand) *entry {
	var best *entry
	bestCost := 0.0
	for _, candidate := range t.services[wish.Service] {
		if choice.shuns(candidate) || !candidate.eligible(wish, now) || candidate.full(wish, now) {
			continue
		}
		cost := t.cost(candidate, wish, choice, now) + jitterCost*random.Float64()
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// anyFull says whether a runner may take the request as soon as it has a place.
func (t *Table) anyFull(wish Wish, now time.Time) bool {
	for _, candidate := range t.services[wish.Service] {
		if candidate.eligible(wish, now) && candidate.full(wish, now) {
			return true
		}
	}
	return false
}

// full says whether a request that waits for a place elsewhere would have to wait at the runner: online work takes its places,
// or it has just refused the request. One that waits nowhere else finds only a lack of memory there.
func (e *entry) full(wish Wish, now time.Time) bool {
	switch {
	case !e.fits(wish, now):
		return true
	case wish.Full == nil:
		return false
	case wish.Full[e.runner.ID]:
		return true
	case e.rationed(now):
		return !e.grants(wish, now)
	case e.runner.ID == wish.Vacant:
		return false
	}
	places := float64(max(e.runner.Slots, 1))
	queue := queueShare / float64(e.pace.Now(now)) * max(places-float64(e.orphans(now)), 0)
	switch {
	case !wish.Yields:
	case !e.seenFree(now):
		return true
	default:
		queue = 0
	}
	return e.unheardSinceStart(now) || float64(e.firm+1) > places+queue
}

// firstBack returns the ejected runner whose ejection ends first: trying it is better than refusing while every runner
// is ejected, which may be this node's own fault.
func (t *Table) firstBack(wish Wish) *entry {
	var best *entry
	for _, candidate := range t.services[wish.Service] {
		if !candidate.allowed(wish) {
			continue
		}
		if best == nil || candidate.health.ejectedUntil.Before(best.health.ejectedUntil) {
			best = candidate
		}
	}
	return best
}

// StartAt starts a flight at a runner the caller chose by itself.
func (t *Table) StartAt(id ident.Incarnation, wish Wish, now time.Time) (*Flight, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	chosen := t.runners[id]
	if chosen == nil || !chosen.eligible(wish, now) || !chosen.fits(wish, now) {
		return nil, fmt.Errorf("%w: runner %s", ErrNoRunner, id)
	}
	return t.start(chosen, wish, chosen.uncached(wish, false, now), now), nil
}

// allowed filters out the runners that must never have the request.
func (e *entry) allowed(wish Wish) bool {
	return e.runner.State == work.Ready && !wish.Exclude[e.runner.ID] && !e.health.replaced
}

// eligible filters out the ejected runners too, and those of which their owner tells that they are silent.
func (e *entry) eligible(wish Wish, now time.Time) bool {
	silent := e.share.Value().silent && e.share.Within(shareMemory, now)
	return e.allowed(wish) && !e.health.ejected(now) && !silent
}

// home returns the runner of the node's zone at which nodes gather the shared beginning of the prompt, or nil.
func (t *Table) home(wish Wish, now time.Time) *entry {
	if sharedTokens(wish.Prefix) < smallestSharedTokens {
		return nil
	}
	var best *entry
	var bestRank uint64
	for _, candidate := range t.services[wish.Service] {
		if candidate.runner.Zone != t.zone || !candidate.eligible(wish, now) {
			continue
		}
		if rank := homeRank(wish.Prefix, candidate.runner.ID); best == nil || rank > bestRank {
			best, bestRank = candidate, rank
		}
	}
	return best
}

// cost is the expected delay of the first event, in milliseconds, with the price of the bytes.
func (t *Table) cost(candidate *entry, wish Wish, choice choice, now time.Time) float64 {
	places := float64(max(candidate.runner.Slots, 1))
	load, yielding := float64(candidate.firm+1), float64(candidate.yielding)
	cost := loadCost * min((load+yielding)/places, 1)
	switch {
	case load > places:
		cost += queueCost * (load - places)
	case load+yielding > places:
		cost += yieldCost
	}
	reading := float64(candidate.pendingTokens+candidate.uncached(wish, candidate == choice.home, now)) / tokensPerMillisecond
	cost += reading + t.slowness(candidate, wish, reading+queueCost*max(load-places, 0), now)
	cost += t.zoneCost(candidate, wish, choice, now)
	if wish.Scarce && candidate.overdue(now) {
		cost += unansweredCost
	}
	if candidate.silentFor(now) > silenceSuspect {
		cost += silenceCost
	}
	if now.Before(candidate.warmUntil) {
		cost += warmUpCost
	}
	if candidate.health.full(now) {
		cost += fullCost
	}
	cost += failureCost * candidate.health.failureRate(now)
	return cost
}

// uncached returns the prompt tokens that the runner would have to read. At the runner where nodes gather a beginning,
// another node may have sent it, so that half of it is thought to be kept.
func (e *entry) uncached(wish Wish, isHome bool, now time.Time) int {
	kept := e.prefixes.kept(wish.Prefix, now)
	if isHome {
		kept = max(kept, sharedTokens(wish.Prefix)/2)
	}
	return max(wish.PromptTokens-kept, 0)
}

// estimate returns the work thought to be at the runner. yielding are the items among it that step aside for a request,
// where the owner of the runner's batch places told of them lately; firm is the rest, runs of nodes that are gone among it. Without
// such word all is firm: this node's work, and what the runner counted beyond it. Either gives way to what is usual in the runner's
// zone as it gets old.
func (e *entry) estimate(now time.Time) (firm, yielding int) {
	own := e.own[Online] + e.own[Batch]
	if e.share.Within(shareMemory, now) {
		told := e.share.Value()
		return own + e.faded(told.others, givenWay(e.share.Age(now))) + told.orphans, told.batch
	}
	if !e.load.Within(loadMemory, now) {
		return own + e.faded(0, 1), 0
	}
	return own + e.faded(e.load.Value().others, float64(e.load.Age(now))/float64(loadMemory)), 0
}

// silentFor returns how long the oldest request without a first byte has waited.
func (e *entry) silentFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, since := range e.waiting {
		longest = max(longest, now.Sub(since))
	}
	return longest
}
