// Package batchroom decides how much batch work one runner may carry beside its online work, and how much must step
// aside at once. It is pure: reports and times go in, counts come out.
package batchroom

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// window is how long the online work that was seen is kept room for: online work comes in bursts.
	window = 600 * time.Millisecond
	// reportMemory is how long a report is believed.
	reportMemory = time.Second
	// reservedShare of a runner's places is kept free for online work that comes before the next report; at least
	// smallestReserve places.
	reservedShare   = 0.12
	smallestReserve = 2
	// keptShare of the places of all runners of an owner is kept free where nodes tell of their online work: they choose
	// among the runners, so that a free place is needed somewhere and not at each, and a place is cleared within milliseconds
	// of a request; with none, each request would break off a run. It is about one place of 17, as was kept at each runner
	// with that many; no other share was tried.
	keptShare = 0.06
	// briefQueue is how many requests may wait in one report before any batch steps aside.
	briefQueue = 0
	// blindRoom is how much batch work a runner may carry while nothing is known of it.
	blindRoom = 1
)

// sample is the work of others seen at one time, and how much of it nodes had told of.
type sample struct {
	at     time.Time
	others int
	told   int
}

// Gauge follows one runner. The zero Gauge knows nothing.
type Gauge struct {
	samples []sample
	// waiting is the number of requests that waited at the runner in the newest report, waitedBefore in the one before.
	waiting, waitedBefore int
	// acted says that the newest report was acted on.
	acted bool
	last  time.Time
}

// Observe takes in a report. own is the batch work this node had at the runner when the report was made, told the online
// work there that nodes have told of.
func (g *Gauge) Observe(load work.Load, own, told int, now time.Time) {
	g.last = now
	g.samples = append(g.samples, sample{at: now, others: max(load.Running+load.Waiting-own, 0), told: told})
	for len(g.samples) > 1 && now.Sub(g.samples[0].at) > window {
		g.samples = g.samples[1:]
	}
	g.waitedBefore, g.waiting, g.acted = g.waiting, load.Waiting, false
}

// Told is the online work at a runner that nodes tell of.
type Told struct {
	Online int
	// Any says that nodes tell of their work at all, so that no work is told of where there is none.
	Any bool
	// Orphans are the runs there that no living node tells of.
	Orphans int
}

// Kept returns how many places an owner keeps free of all that its runners have together, where nodes tell of their online
// work.
func Kept(slots int) int { return int(math.Ceil(keptShare * float64(slots))) }

// others is the work of others that room is kept for. What nodes tell is newer than any report; what reports show beyond it
// all the time (work of nodes that tell nothing, or are gone) is added. Where nothing is told, it is the mean of the window
// or the newest count, whichever is more: the most seen in the window would be far more than the mean at every runner, by
// chance alone.
func (g *Gauge) others(told Told) int {
	if told.Any {
		return told.Online + max(g.untold(), told.Orphans)
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

// untold is the least work that the reports of the window show beyond what was told: a report is older than what is told,
// so that a single one proves nothing.
func (g *Gauge) untold() int {
	least := 0
	for position, seen := range g.samples {
		beyond := max(seen.others-seen.told, 0)
		if position == 0 || beyond < least {
			least = beyond
		}
	}
	return least
}

// Blind says whether no report of the runner is new enough to be believed.
func (g *Gauge) Blind(now time.Time) bool { return now.Sub(g.last) > reportMemory }

// Room returns how many batch items more the runner may take beside the own ones it has. told is the online work there
// that nodes tell of now; where they do, its owner keeps places free over all its runners.
func (g *Gauge) Room(slots, own int, told Told, now time.Time) int {
	if g.Blind(now) {
		return max(blindRoom-own, 0)
	}
	if g.waiting > 0 {
		return 0
	}
	reserve := max(int(reservedShare*float64(slots)+0.5), smallestReserve)
	if told.Any {
		reserve = 0
	}
	return max(slots-reserve-g.others(told)-own, 0)
}

// Excess returns how many of the own batch items must step aside for the online work that nodes tell of now: those that
// do not fit beside it. They do so before a request waits.
func Excess(slots, own, told int) int {
	return min(max(told+own-slots, 0), own)
}

// Yield returns how many of the own batch items must step aside, because requests wait at the runner. Online requests
// are short, so that a few that wait for the first time find places by themselves sooner than a place is cleared. Each
// report is acted on once.
func (g *Gauge) Yield(own int) int {
	if g.acted {
		return 0
	}
	g.acted = true
	yield := g.waiting - briefQueue
	if g.waitedBefore > 0 {
		yield = (g.waiting + 1) / 2
	}
	return min(max(yield, 0), own)
}
