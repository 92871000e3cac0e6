// Package credit decides how much batch work one runner may carry now. It is pure: the figures and the time go in, the
// credits come out. The runner's owner asks it whenever anything changes, so credits are revoked the moment online work
// is known, without waiting for a load report.
package credit

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
)

// Input is what the owner of a runner knows now.
type Input struct {
	// KnownOnline counts online requests on the runner by the owner's own dispatches and its peers' hints.
	KnownOnline int
	// Report is the newest load report, or nil. It must not be changed.
	Report *engine.LoadReport
	// RunningBatch counts the batch sequences the owner has on the runner.
	RunningBatch int
	// Leaving says that the runner takes no new work.
	Leaving bool
	// ShareBesideOnline bounds the share of the sequences that batch fills while online work is on the runner, above 0 to
	// 1; one sequence is always allowed. It is the operator's choice between the tail of online latency and batch
	// throughput; zero means 1.
	ShareBesideOnline float64
}

// Credits is the batch work a runner may carry.
//
// Invariant: Sequences is at most Hold.
type Credits struct {
	// Hold bounds the batch sequences that may run on. Those above it are to be preempted at once.
	Hold int
	// Sequences bounds the batch sequences when one is started. It leaves a reserve free, so that an online arrival
	// finds room without a preemption; the reserve is restored as batch sequences end.
	Sequences int
	// PrefillTokens bounds the prompt tokens of batch items that were sent and have given no token yet.
	PrefillTokens int
}

// Parameters of the controller.
const (
	// maxReportAge is the age at which a load report counts no more; without one there are no credits.
	maxReportAge = 5 * time.Second
	// reserveShare is the least share of a runner's sequences kept free for online arrivals.
	reserveShare = 1.0 / 64
	// reserveOfRise is the part of the largest recent rise of online work that is kept free for the next one.
	reserveOfRise = 0.5
	// riseHalfLife is the time in which the memory of a rise halves.
	riseHalfLife = 2 * time.Second
	// riseWindow is the time within which arrivals count as one rise: about what it takes to preempt.
	riseWindow = 50 * time.Millisecond
	// prefillAlone and prefillBeside bound outstanding batch prefill without and with online work on the runner. Beside
	// online work the pace spreads it; the bound only matters on an engine that falls behind.
	prefillAlone  = 4096
	prefillBeside = 1024
	// crowdedFactor is how many batch sequences make room for each online one that waits for room.
	crowdedFactor = 2
	// memoryFull is the share of the KV cache in use above which batch may not grow.
	memoryFull = 0.95
	// stepTarget is the smoothed step time, in the presence of online work, above which batch shrinks. It leaves room
	// under the 47 ms between tokens.
	stepTarget = 42 * time.Millisecond
	// stepSmoothing is the weight of a new report's step time: a single step with much prefill says little.
	stepSmoothing = 0.2
	// stepShrink and stepGrow change the step limit once for each report.
	stepShrink = 0.85
	stepGrow   = 1.0 / 16
)

// Controller decides the credits of one runner. It belongs to one goroutine.
type Controller struct {
	history  history
	rise     float64
	riseTime time.Time
	// stepLimit is the share of the runner's sequences that batch may use as the step time allows.
	stepLimit    float64
	lastMeasured time.Time
	// stepTime is the smoothed step time.
	stepTime time.Duration
	pace     pace
	steps    stepClock
	// known is the newest known online count, arrived when it last rose, and prefilled when batch prefill last started.
	known              int
	arrived, prefilled time.Time
	// beside is true while online work is on the runner, as of the last decision.
	beside bool
}

// NewController returns the controller of a runner nothing is known of yet.
func NewController() *Controller { return &Controller{stepLimit: 1} }

// Decide returns the credits now. Calls must not go back in time.
func (c *Controller) Decide(input Input, now time.Time) Credits {
	c.history.add(now, input.KnownOnline)
	c.trackRise(now)
	if input.KnownOnline > c.known {
		c.arrived = now
	}
	c.known = input.KnownOnline
	report := input.Report
	if input.Leaving || report == nil || now.Sub(report.Measured) > maxReportAge {
		return Credits{}
	}
	online := input.KnownOnline + c.unexplained(report)
	c.trackStep(report, online)
	c.beside = online > 0
	capacity := float64(report.MaxSequences)
	hold := max(0, report.MaxSequences-online)
	if crowded(report) {
		hold = min(hold, max(0, input.RunningBatch-crowdedFactor*report.WaitingOnline))
	}
	free := min(float64(hold), capacity-float64(online)-c.reserve(capacity), math.Floor(capacity*c.stepLimit))
	if c.beside && input.ShareBesideOnline > 0 {
		free = min(free, max(1, math.Floor(capacity*input.ShareBesideOnline)))
	}
	sequences := max(0, int(free))
	if report.MemoryUsed >= memoryFull {
		sequences = min(sequences, input.RunningBatch)
	}
	return Credits{Hold: hold, Sequences: sequences, PrefillTokens: prefillLimit(online)}
}

// MayPrefill reports whether the prompt of another batch item may be sent now. Beside online work batch prefill stays out
// of the steps in which a new online prompt waits, and no step gets much of it. While the engine's steps are not known, it
// keeps to a pace instead.
func (c *Controller) MayPrefill(now time.Time) bool {
	if !c.beside {
		return true
	}
	starved := now.Sub(c.prefilled) >= longestQuiet
	if c.steps.followed(now) {
		return c.steps.open(now) && (starved || !c.steps.busy(c.arrived))
	}
	quiet := now.Sub(c.arrived) < quietTime && !starved
	return !quiet && c.pace.clear(now)
}

// Prefilling records that a prompt of a batch item was sent, in tokens.
func (c *Controller) Prefilling(tokens int, now time.Time) {
	c.prefilled = now
	if c.steps.followed(now) {
		c.steps.spent += tokens
		return
	}
	c.pace.spend(tokens, now)
	if !c.beside {
		c.pace.debt = min(c.pace.debt, paceTokens)
	}
}

// crowded reports whether online work waits on the engine because there is no room for it. Work that waits beside free
// room only waits for the next step.
func crowded(report *engine.LoadReport) bool {
	wanted := report.RunningOnline + report.RunningBatch + report.WaitingOnline
	return report.WaitingOnline > 0 && (wanted > report.MaxSequences || report.MemoryUsed >= memoryFull)
}

// unexplained returns the online work of the report beyond what the owner knew when it was measured. What the owner
// knew is not counted again: the report lags, and its requests may long have ended.
func (c *Controller) unexplained(report *engine.LoadReport) int {
	reported := report.RunningOnline + report.WaitingOnline
	return max(0, reported-c.history.mostAround(report.Measured))
}

// reserve returns the sequences to keep free for online arrivals.
func (c *Controller) reserve(capacity float64) float64 {
	least := math.Ceil(capacity * reserveShare)
	return max(least, math.Ceil(reserveOfRise*c.rise))
}

// trackRise remembers the largest recent rise of online work, fading with time.
func (c *Controller) trackRise(now time.Time) {
	if !c.riseTime.IsZero() {
		c.rise *= math.Exp2(-now.Sub(c.riseTime).Seconds() / riseHalfLife.Seconds())
	}
	c.riseTime = now
	c.rise = max(c.rise, float64(c.history.riseWithin(riseWindow)))
}

// trackStep adapts the step limit once for each new report.
func (c *Controller) trackStep(report *engine.LoadReport, online int) {
	if !report.Measured.After(c.lastMeasured) {
		return
	}
	c.lastMeasured = report.Measured
	c.steps.observe(report)
	c.stepTime += time.Duration(stepSmoothing * float64(report.StepTime-c.stepTime))
	if online > 0 && c.stepTime > stepTarget {
		c.stepLimit = max(reserveShare, c.stepLimit*stepShrink)
		return
	}
	c.stepLimit = min(1, c.stepLimit+stepGrow)
}

func prefillLimit(online int) int {
	if online == 0 {
		return prefillAlone
	}
	return prefillBeside
}
