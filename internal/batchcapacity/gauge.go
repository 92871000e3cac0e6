// Package batchcapacity decides how much batch work one runner may run beside its online work, and how many batch items must
// be preempted at once. It is pure: reports and times go in, counts come out.
package batchcapacity

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// sampleWindow is how long an observed count of online work is used to decide how many slots are left free for it:
	// online work comes in bursts.
	sampleWindow = 600 * time.Millisecond
	// maxReportAge is how long a report is valid.
	maxReportAge = time.Second
	// reservedShare is the share of a runner's slots that is left free for online work that arrives before the next
	// report; at least minReserve slots.
	reservedShare = 0.12
	minReserve    = 2
	// ownerReserveShare is the share of the slots of all runners of an owner that is left free if nodes report their
	// online work: they choose among the runners, so a free slot is needed somewhere, not at each runner, and a slot is
	// cleared within milliseconds of a request. Without the reserve each request would preempt a run. It is about one
	// slot in 17, the same as was reserved at each runner with that many slots; no other share was tried.
	ownerReserveShare = 0.06
	// expectedFor is how long after online work at a runner more of it is expected there.
	expectedFor = 3 * time.Second
	// toleratedQueue is how many requests may wait in one report before any batch item is preempted.
	toleratedQueue = 0
	// blindLimit is how many batch items a runner may run while no report of it is valid.
	blindLimit = 1
)

// sample is the work of others seen at one time, and how much of it nodes had reported.
type sample struct {
	at       time.Time
	others   int
	reported int
}

// Gauge tracks one runner. The zero Gauge has no reports.
type Gauge struct {
	samples []sample
	// waiting is the number of requests that waited at the runner in the newest report, waitedBefore in the one before.
	waiting, waitedBefore int
	// handled is true once the newest report was acted on.
	handled    bool
	observedAt time.Time
	// onlineAt is when nodes last reported online work at the runner; zero if they never did.
	onlineAt time.Time
}

// ObserveOnline records that nodes report online work at the runner.
func (g *Gauge) ObserveOnline(now time.Time) { g.onlineAt = now }

// ExpectsOnline reports whether online work came recently, so that more of it may come before it is reported.
func (g *Gauge) ExpectsOnline(now time.Time) bool {
	return !g.onlineAt.IsZero() && now.Sub(g.onlineAt) < expectedFor
}

// Observe records a report. own is the number of this node's batch items at the runner when the report was made, reported
// the online work there that nodes had reported.
func (g *Gauge) Observe(load work.Load, own, reported int, now time.Time) {
	g.observedAt = now
	g.samples = append(g.samples, sample{at: now, others: max(load.Running+load.Waiting-own, 0), reported: reported})
	for len(g.samples) > 1 && now.Sub(g.samples[0].at) > sampleWindow {
		g.samples = g.samples[1:]
	}
	g.waitedBefore, g.waiting, g.handled = g.waiting, load.Waiting, false
}

// ReportedWork is the online work at a runner as reported by nodes.
type ReportedWork struct {
	Online int
	// Reported is true if nodes report their work at all, so that no reported work means that there is none.
	Reported bool
	// Orphans is the number of orphaned runs there.
	Orphans int
}

// OwnerReserve returns how many slots of all its runners together an owner leaves free if nodes report their online work, and some is
// expected.
func OwnerReserve(slots int) int {
	return atMostHalf(int(math.Ceil(ownerReserveShare*float64(slots))), slots)
}

// atMostHalf bounds a reserve of some slots, so that batch work runs where there are few.
func atMostHalf(reserve, slots int) int { return min(reserve, slots/2) }

// others returns the work of others to leave slots for. What nodes report is newer than any report of the runner; the
// work that all runner reports show beyond it (of nodes that do not report, or are gone) is added. If nodes report
// nothing, it is the mean of the window or the newest count, whichever is larger: the maximum of the window would be far
// above the mean at every runner, by chance alone.
func (g *Gauge) others(reported ReportedWork) int {
	if reported.Reported {
		return reported.Online + max(g.unreported(), reported.Orphans)
	}
	if len(g.samples) == 0 {
		return 0
	}
	sum := 0
	for _, seen := range g.samples {
		sum += seen.others
	}
	mean := (sum + len(g.samples) - 1) / len(g.samples)
	return max(mean, g.samples[len(g.samples)-1].others)
}

// unreported returns the least work that the reports of the window show beyond what nodes reported: a runner's report is
// older than the nodes' reports, so a single one proves nothing.
func (g *Gauge) unreported() int {
	least := 0
	for position, seen := range g.samples {
		beyond := max(seen.others-seen.reported, 0)
		if position == 0 || beyond < least {
			least = beyond
		}
	}
	return least
}

// Stale reports whether no report of the runner is recent enough to be valid.
func (g *Gauge) Stale(now time.Time) bool { return now.Sub(g.observedAt) > maxReportAge }

// FreeSlots returns how many more batch items the runner may run, given own, the number of this node's items that it has.
// reported is the online work that nodes report now; if they do, the owner leaves slots free over all its runners, not
// at each.
func (g *Gauge) FreeSlots(slots, own int, reported ReportedWork, now time.Time) int {
	if g.Stale(now) {
		return max(blindLimit-own, 0)
	}
	if g.waiting > 0 {
		return 0
	}
	reserve := atMostHalf(max(int(reservedShare*float64(slots)+0.5), minReserve), slots)
	if reported.Reported {
		reserve = 0
	}
	return max(slots-reserve-g.others(reported)-own, 0)
}

// ExcessItems returns how many of the own batch items must be preempted for the online work that nodes report now: those that
// do not fit beside it. They are preempted before a request has to wait.
func ExcessItems(slots, own, reported int) int {
	return min(max(reported+own-slots, 0), own)
}

// Preemptions returns how many of the own batch items must be preempted because requests wait at the runner. If none waited in
// the report before, that is one item for each waiting request beyond toleratedQueue, else one item for every two
// waiting requests. Online requests are short, so a few that wait for the first time find slots by themselves sooner
// than a slot can be cleared; toleratedQueue is how many. Each report is acted on once.
func (g *Gauge) Preemptions(own int) int {
	if g.handled {
		return 0
	}
	g.handled = true
	yield := g.waiting - toleratedQueue
	if g.waitedBefore > 0 {
		yield = (g.waiting + 1) / 2
	}
	return min(max(yield, 0), own)
}
