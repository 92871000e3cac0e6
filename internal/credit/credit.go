// Package credit computes how much batch work one runner may run beside its online work: limits on batch sequences and on
// outstanding batch prefill, and when the prompt of a batch item may be sent. It does no I/O and takes the time as an
// argument. The runner's owner calls it on every change, so that credits are revoked as soon as online work is known,
// without waiting for a load report.
package credit

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
)

// Input is the runner's state as its owner currently knows it.
type Input struct {
	// KnownOnline counts the online requests on the runner that the owner dispatched or its peers reported.
	KnownOnline int
	// Report is the newest load report, or nil. It must not be modified.
	Report *engine.LoadReport
	// RunningBatch counts the batch sequences that the owner has in flight on the runner.
	RunningBatch int
	// Leaving is true if the runner accepts no new work.
	Leaving bool
	// ShareBesideOnline limits the share of the sequences that batch may use while online work is on the runner, greater
	// than 0 and at most 1; one sequence is always allowed. The operator sets it to trade tail latency of online requests
	// against batch throughput. Zero means 1.
	ShareBesideOnline float64
}

// Credits limits the batch work of a runner.
//
// Invariant: Sequences is at most Hold.
type Credits struct {
	// MaxRunning limits the batch sequences that may stay in flight. The owner preempts those above it immediately.
	MaxRunning int
	// MaxWhenStarting limits the batch sequences in flight when another one is started. It leaves a reserve of free sequences, so
	// that an online request can start without a preemption. The reserve is restored as batch sequences end.
	MaxWhenStarting int
	// PrefillTokens limits the prompt tokens of batch items that were sent and have not returned a token yet.
	PrefillTokens int
}

// Parameters of the controller.
const (
	// maxReportAge is the age above which a load report is ignored. Without a valid report there are no credits.
	maxReportAge = 5 * time.Second
	// minReserveShare is the minimum share of a runner's sequences that is reserved for online requests.
	minReserveShare = 1.0 / 64
	// reserveRiseShare is the share of the largest recent rise of online work that is reserved for the next rise.
	reserveRiseShare = 0.5
	// riseHalfLife is the time in which a recorded rise decays to half.
	riseHalfLife = 2 * time.Second
	// riseWindow is the time within which arrivals count as one rise. It is about the duration of a preemption.
	riseWindow = 50 * time.Millisecond
	// prefillTokensAlone and prefillTokensBesideOnline limit outstanding batch prefill without and with online work on the
	// runner. Beside online work the pacing spreads prefill; the limit only takes effect if the engine falls behind.
	prefillTokensAlone        = 4096
	prefillTokensBesideOnline = 1024
	// preemptionsPerWaiting is the number of batch sequences preempted for each online one that waits for capacity.
	preemptionsPerWaiting = 2
	// memoryFull is the share of KV cache in use at which no further batch sequence is started.
	memoryFull = 0.95
	// stepTarget is the smoothed step time above which batch is reduced while online work is on the runner. It leaves a
	// margin to the objective of 47 ms between tokens.
	stepTarget = 42 * time.Millisecond
	// stepSmoothing is the weight of a new report's step time. It is low because a single step with a large prefill is not
	// representative.
	stepSmoothing = 0.2
	// stepShrink (a factor) and stepGrow (an increment) change the step limit once for each report.
	stepShrink = 0.85
	stepGrow   = 1.0 / 16
)

// Controller computes the credits of one runner. It is not safe for concurrent use.
type Controller struct {
	history  history
	rise     float64
	riseTime time.Time
	// stepLimit is the share of the runner's sequences that batch may use, adapted to the step time.
	stepLimit    float64
	lastMeasured time.Time
	// stepTime is the smoothed step time.
	stepTime time.Duration
	pacer    pacer
	steps    stepClock
	// knownOnline is the newest known online count, lastArrival the time it last rose, and lastPrefill the time batch
	// prefill last started.
	knownOnline              int
	lastArrival, lastPrefill time.Time
	// onlinePresent is true if online work was on the runner at the last call of Decide.
	onlinePresent bool
}

// NewController returns the controller of a runner without any recorded state.
func NewController() *Controller { return &Controller{stepLimit: 1} }

// Decide returns the current credits. The time must not decrease between calls.
func (c *Controller) Decide(input Input, now time.Time) Credits {
	c.history.add(now, input.KnownOnline)
	c.trackRise(now)
	if input.KnownOnline > c.knownOnline {
		c.lastArrival = now
	}
	c.knownOnline = input.KnownOnline
	report := input.Report
	if input.Leaving || report == nil || now.Sub(report.Measured) > maxReportAge {
		return Credits{}
	}
	online := input.KnownOnline + c.unknownOnline(report)
	c.trackStep(report, online)
	c.onlinePresent = online > 0
	capacity := float64(report.MaxSequences)
	hold := max(0, report.MaxSequences-online)
	if overcommitted(report) {
		hold = min(hold, max(0, input.RunningBatch-preemptionsPerWaiting*report.WaitingOnline))
	}
	limit := min(float64(hold), capacity-float64(online)-c.reserve(capacity), math.Floor(capacity*c.stepLimit))
	if c.onlinePresent && input.ShareBesideOnline > 0 {
		limit = min(limit, max(1, math.Floor(capacity*input.ShareBesideOnline)))
	}
	sequences := max(0, int(limit))
	if report.MemoryUsed >= memoryFull {
		sequences = min(sequences, input.RunningBatch)
	}
	return Credits{MaxRunning: hold, MaxWhenStarting: sequences, PrefillTokens: prefillLimit(online)}
}

// MayPrefill reports whether the prompt of another batch item may be sent now. Beside online work, batch prefill is kept
// out of the steps that prefill a new online prompt and is limited for every step. While the step times of the engine are
// unknown, a constant rate and a pause after each online arrival are used instead.
func (c *Controller) MayPrefill(now time.Time) bool {
	if !c.onlinePresent {
		return true
	}
	starved := now.Sub(c.lastPrefill) >= maxQuietTime
	if c.steps.predictable(now) {
		return c.steps.sendWindowOpen(now) && (starved || !c.steps.mayPrefillOnline(c.lastArrival))
	}
	quiet := now.Sub(c.lastArrival) < quietTime && !starved
	return !quiet && c.pacer.ready(now)
}

// RecordPrefill records that the prompt of a batch item, of the given number of tokens, was sent.
func (c *Controller) RecordPrefill(tokens int, now time.Time) {
	c.lastPrefill = now
	if c.steps.predictable(now) {
		c.steps.spent += tokens
		return
	}
	c.pacer.spend(tokens, now)
	if !c.onlinePresent {
		c.pacer.debt = min(c.pacer.debt, paceTokens)
	}
}

// overcommitted reports whether online work waits in the engine for capacity. Work that waits while there is free capacity
// only waits for the next step.
func overcommitted(report *engine.LoadReport) bool {
	demand := report.RunningOnline + report.RunningBatch + report.WaitingOnline
	return report.WaitingOnline > 0 && (demand > report.MaxSequences || report.MemoryUsed >= memoryFull)
}

// unknownOnline returns the online work of the report that the owner did not know of when the report was measured. Known
// requests are not counted again: the report lags, and they may have ended since.
func (c *Controller) unknownOnline(report *engine.LoadReport) int {
	reported := report.RunningOnline + report.WaitingOnline
	return max(0, reported-c.history.maxAround(report.Measured))
}

// reserve returns the number of sequences reserved for online requests. It is at most half of them, so that batch work runs
// on a runner with a single one.
func (c *Controller) reserve(capacity float64) float64 {
	minimum := math.Ceil(capacity * minReserveShare)
	wanted := max(minimum, math.Ceil(reserveRiseShare*c.rise))
	return min(wanted, math.Floor(capacity/2))
}

// trackRise records the largest recent rise of online work and lets it decay with riseHalfLife.
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
	c.steps.observeReport(report)
	c.stepTime += time.Duration(stepSmoothing * float64(report.StepTime-c.stepTime))
	if online > 0 && c.stepTime > stepTarget {
		c.stepLimit = max(minReserveShare, c.stepLimit*stepShrink)
		return
	}
	c.stepLimit = min(1, c.stepLimit+stepGrow)
}

// prefillLimit returns the limit of outstanding batch prefill, in tokens.
func prefillLimit(online int) int {
	if online == 0 {
		return prefillTokensAlone
	}
	return prefillTokensBesideOnline
}
