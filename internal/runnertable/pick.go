package runnertable

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// ErrNoRunner means that no runner of the service is eligible for the request.
const ErrNoRunner = failure.Kind("runner table: no runner may take the request")

// ErrFull means that runners are eligible for the request, but online work takes the slots or the memory of all of
// them.
const ErrFull = failure.Kind("runner table: online work takes the slots or the memory of all runners")

// queueShare is the part of a runner's slots that may be queued at it in addition. The queue keeps a freed slot busy
// until nodes are informed of it, and is short enough that a request can still be refused early if it would be late.
const queueShare = 0.25

// All costs are milliseconds of expected delay to the first event, so that they can be added.
const (
	// loadCost is the delay at a runner whose slots are all taken, compared with an idle one. A step takes hardly
	// longer with more requests as long as each has a slot.
	loadCost = 2.0
	// queueCost is the delay for each request beyond the slots.
	queueCost = 60.0
	// preemptCost is the delay if a batch item has to be preempted first. It is less than crossZoneCost: a preempted
	// run is resumed elsewhere, and the information about other zones is older.
	preemptCost = 20.0
	// tokensPerMillisecond is the rate at which a prompt is read.
	tokensPerMillisecond = 50.0
	// crossZoneCost and crossZoneCostPerKilobyte stand for the price of traffic between zones.
	crossZoneCost            = 25.0
	crossZoneCostPerKilobyte = 4.0
	// unresponsiveCost is added for a runner that has not sent the first byte of a response for longer than
	// unresponsiveAfter, and for runners in zones that are suspected or unreachable.
	unresponsiveCost  = 250.0
	unresponsiveAfter = 450 * time.Millisecond
	// warmUpCost is added while a runner is in slow start.
	warmUpCost = 80.0
	// jitterCost is the maximum random cost. It spreads the choices that nodes make at the same time over all runners
	// with a free slot: none of them knows the latest choices of the others, and if all chose the emptiest runner, it
	// would be the fullest before they are informed. It is less than queueCost.
	jitterCost = 45.0
	// fullCost is added for a runner that refused a request within refusalBackoff.
	fullCost = 400.0
	// failureCost is added in proportion to the failure rate of a runner, in full if all recent outcomes were
	// failures.
	failureCost = 500.0
	// loadLifetime is how long a runner's own count of the work of others is used.
	loadLifetime = 1500 * time.Millisecond
)

// PickRequest describes the request for which a runner is chosen.
type PickRequest struct {
	Service string
	Class   Class
	Prefix  []work.Part
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// Tokens is the sum of the prompt and the maximum output; zero if unknown.
	Tokens int
	// Bytes is the size of the request, for the cost of sending it to another zone.
	Bytes int
	// Objective is the time to the first event, and Pause the longest time between two events, that still earn full
	// credit. Zero means no limit.
	Objective, Pause time.Duration
	// OwnersPolled says that the owners were polled before the choice. Runners whose owner did not answer in time then cost
	// more.
	OwnersPolled bool
	// Origin is where the stream began that the runner goes on with; nil means that it begins one.
	Origin *work.Origin
	// Exclude holds the runners that the request was already sent to.
	Exclude map[ident.Incarnation]bool
	// RefusedBy holds the runners that refused the request recently because their slots were taken. If the map is nil, the
	// request is sent even if it has to queue at the runner, provided the runner has enough free memory.
	RefusedBy map[ident.Incarnation]bool
	// Scarce says that slots are scarce: a runner with an overdue report is not assumed to be free.
	Scarce bool
	// NoQueueing says that the request must not use the short queue at the runners, which is reserved for others: it is
	// sent only to a slot that is free now. It applies only if Full is not nil.
	NoQueueing bool
	// FreedRunner is a runner at which another request gave up its slot for this one. It counts as full only if the request
	// does not fit its memory or was refused there. Empty means none.
	FreedRunner ident.Incarnation
	// Late says that the request can't meet its objective any more. It applies only if Full is not nil.
	Late bool
}

// Pick chooses the runner with the least cost and starts a flight on it. The error wraps ErrFull or ErrNoRunner.
func (t *Table) Pick(pickRequest PickRequest, now time.Time, random *rand.Rand) (*Flight, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	pick := t.newPickContext(pickRequest, now, random)
	best := t.cheapest(pickRequest, pick, now, random)
	if best == nil && pick.anyFull(pickRequest, now) {
		return nil, fmt.Errorf("%w: service %s", ErrFull, pickRequest.Service)
	}
	if best == nil {
		best = pick.earliestReadmitted(pickRequest, now)
	}
	if best == nil {
		return nil, fmt.Errorf("%w: service %s", ErrNoRunner, pickRequest.Service)
	}
	t.countChoice(best, pick.entries, pickRequest, now)
	t.countDeparture(best, pickRequest, pick.targetZone)
	return t.start(best, pickRequest, best.uncached(pickRequest, best == pick.prefixHome, now), now), nil
}

// cheapest returns the eligible runner with the least cost that is not full, or nil.
func (t *Table) cheapest(pickRequest PickRequest, pick pickContext, now time.Time, random *rand.Rand) *entry {
	var best *entry
	bestCost := 0.0
	for _, candidate := range pick.entries {
		if pick.skips(candidate) || !candidate.eligible(pickRequest, now) || candidate.full(pickRequest, now) {
			continue
		}
		cost := t.cost(candidate, pickRequest, pick, now) + jitterCost*random.Float64()
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// anyFull says whether a runner is eligible for the request but full.
func (c pickContext) anyFull(pickRequest PickRequest, now time.Time) bool {
	for _, candidate := range c.entries {
		if candidate.eligible(pickRequest, now) && candidate.full(pickRequest, now) {
			return true
		}
	}
	return false
}

// full says whether the runner can't take the request now: its memory lacks space, or, for a request that can wait for
// a slot at the node, it would have to queue at the runner beyond the short queue or was refused there. A request that
// can't wait at the node (nil Full) is limited by memory only.
func (e *entry) full(pickRequest PickRequest, now time.Time) bool {
	switch {
	case !e.fits(pickRequest, now):
		return true
	case pickRequest.RefusedBy == nil:
		return false
	case pickRequest.RefusedBy[e.runner.ID]:
		return true
	case e.rationed(now):
		return !e.grants(pickRequest, now)
	case e.runner.ID == pickRequest.FreedRunner:
		return false
	}
	slots := float64(max(e.runner.Slots, 1))
	queue := queueShare / float64(e.pace.Current(now)) * max(slots-float64(e.orphans(now)), 0)
	switch {
	case !pickRequest.NoQueueing:
	case !e.knownFree(now):
		return true
	default:
		queue = 0
	}
	return e.assumedFull(now) || float64(e.committed+1) > slots+queue
}

// earliestReadmitted returns the ejected runner whose ejection ends first. If every runner is ejected, the cause may
// be this node itself, so trying one is better than refusing the request.
func (c pickContext) earliestReadmitted(pickRequest PickRequest, now time.Time) *entry {
	var best *entry
	for _, candidate := range c.entries {
		if !candidate.allowed(pickRequest, now) {
			continue
		}
		if best == nil || candidate.health.ejectedUntil.Before(best.health.ejectedUntil) {
			best = candidate
		}
	}
	return best
}

// StartAt starts a flight at a runner that the caller chose.
func (t *Table) StartAt(id ident.Incarnation, pickRequest PickRequest, now time.Time) (*Flight, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	chosen := t.runners[id]
	if chosen == nil || !chosen.eligible(pickRequest, now) || !chosen.fits(pickRequest, now) {
		return nil, fmt.Errorf("%w: runner %s", ErrNoRunner, id)
	}
	return t.start(chosen, pickRequest, chosen.uncached(pickRequest, false, now), now), nil
}

// allowed excludes the runners that must not get the request, even if no other one is left.
func (e *entry) allowed(pickRequest PickRequest, now time.Time) bool {
	if pickRequest.Origin != nil && !pickRequest.Origin.Permits(e.runner) {
		return false
	}
	return e.runner.State == work.Ready && !pickRequest.Exclude[e.runner.ID] && !e.health.replaced(now)
}

// eligible also excludes ejected runners and those whose owner reports them as unresponsive.
func (e *entry) eligible(pickRequest PickRequest, now time.Time) bool {
	unresponsive := e.share.Value().unresponsive && e.share.Within(shareLifetime, now)
	return e.allowed(pickRequest, now) && !e.health.ejected(now) && !unresponsive
}

// prefixHome returns the runner of the node's zone to which nodes send prompts with this shared prefix, or nil.
func (t *Table) prefixHome(entries []*entry, pickRequest PickRequest, now time.Time) *entry {
	if sharedTokens(pickRequest.Prefix) < smallestSharedTokens {
		return nil
	}
	var best *entry
	var bestRank uint64
	for _, candidate := range entries {
		if candidate.runner.Zone != t.zone || !candidate.eligible(pickRequest, now) {
			continue
		}
		if rank := prefixRank(pickRequest.Prefix, candidate.runner.ID); best == nil || rank > bestRank {
			best, bestRank = candidate, rank
		}
	}
	return best
}

// cost returns the expected delay of the first event, in milliseconds, plus the price of cross-zone traffic.
func (t *Table) cost(candidate *entry, pickRequest PickRequest, pick pickContext, now time.Time) float64 {
	slots := float64(max(candidate.runner.Slots, 1))
	load, preemptible := float64(candidate.committed+1), float64(candidate.preemptible)
	cost := loadCost * min((load+preemptible)/slots, 1)
	switch {
	case load > slots:
		cost += queueCost * (load - slots)
	case load+preemptible > slots:
		cost += preemptCost
	}
	reading := float64(candidate.pendingTokens+candidate.uncached(pickRequest, candidate == pick.prefixHome, now)) / tokensPerMillisecond
	cost += reading + t.paceCost(candidate, pickRequest, reading+queueCost*max(load-slots, 0), now)
	cost += t.zoneCost(candidate, pickRequest, pick, now)
	if pickRequest.Scarce && candidate.shareOverdue(now) {
		cost += staleShareCost
	}
	if candidate.unresponsiveFor(now) > unresponsiveAfter {
		cost += unresponsiveCost
	}
	if now.Before(candidate.warmUpUntil) {
		cost += warmUpCost
	}
	if candidate.health.full(now) {
		cost += fullCost
	}
	cost += failureCost * candidate.health.failureRate(now)
	return cost
}

// uncached returns the number of prompt tokens that the runner would have to read. At the prefix home another node may
// have sent the prefix, so half of it is assumed to be cached.
func (e *entry) uncached(pickRequest PickRequest, isPrefixHome bool, now time.Time) int {
	cached := e.prefixes.cached(pickRequest.Prefix, now)
	if isPrefixHome {
		cached = max(cached, sharedTokens(pickRequest.Prefix)/2)
	}
	return max(pickRequest.PromptTokens-cached, 0)
}

// estimate returns the work estimated to be at the runner. preemptible is the number of batch items that can be
// preempted for a request, if the runner's owner reported them recently; committed is the rest, including orphaned
// runs. Without such a report all work is committed: this node's own, and what the runner counted in addition. Both
// sources are blended into the typical load of the runner's zone as they age.
func (e *entry) estimate(now time.Time) (committed, preemptible int) {
	own := e.own[Online] + e.own[Batch]
	if e.share.Within(shareLifetime, now) {
		reported := e.share.Value()
		return own + e.blended(reported.others, blendWeight(e.share.Age(now))) + reported.orphans, reported.batch
	}
	if !e.load.Within(loadLifetime, now) {
		return own + e.blended(0, 1), 0
	}
	return own + e.blended(e.load.Value().others, float64(e.load.Age(now))/float64(loadLifetime)), 0
}

// unresponsiveFor returns how long the oldest request without a first byte has waited.
func (e *entry) unresponsiveFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, since := range e.waiting {
		longest = max(longest, now.Sub(since))
	}
	return longest
}
