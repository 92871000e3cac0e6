package credit

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
)

const (
	// stepPrefillPerSequence limits the batch prompt tokens sent for one step beside online work, per sequence of the
	// engine. A single larger prompt may be sent alone.
	stepPrefillPerSequence = 12
	// sendLead is how long before the expected end of a step batch prompts are sent: long enough for a delayed call, and
	// short because an online request that arrives in this time shares the next step with them.
	sendLead = 8 * time.Millisecond
	// maxArrivalDelay is the maximum delay between the arrival of an online request at the engine and its report here.
	maxArrivalDelay = 1500 * time.Microsecond
	// stepRiseWeight and stepFallWeight are the weights of a longer and of a shorter step in the expected step time.
	stepRiseWeight = 0.02
	stepFallWeight = 0.2
	// minReportedShare is the lower limit of the expected step time, as a share of the reported one.
	minReportedShare = 0.6
	// silentSteps is the number of expected step times without a token after which steps count as unknown.
	silentSteps = 4
)

// stepClock estimates the step times of a runner's engine from the tokens of its batch sequences. An engine returns the
// tokens of a step at its end, when the next step starts.
type stepClock struct {
	// started and previousStart are when the current step and the one before it started.
	started, previousStart time.Time
	// expected is the estimated duration of a step with little prefill.
	expected time.Duration
	// reported is the smoothed step time of the load reports.
	reported time.Duration
	// budget limits the batch prefill of one step, in tokens.
	budget int
	// spent is the batch prefill sent in the current step, in tokens.
	spent int
}

// stepEnded records that a step ended and the next one started.
func (s *stepClock) stepEnded(now time.Time) {
	interval := now.Sub(s.started)
	s.previousStart, s.started = s.started, now
	s.spent = 0
	switch {
	case s.expected == 0:
		s.expected = s.reported
	case interval < s.expected:
		s.expected += time.Duration(stepFallWeight * float64(interval-s.expected))
	case interval < silentSteps*s.expected:
		s.expected += time.Duration(stepRiseWeight * float64(interval-s.expected))
	}
	s.expected = max(s.expected, time.Duration(minReportedShare*float64(s.reported)))
}

// observeReport updates the reported step time and the budget from a load report.
func (s *stepClock) observeReport(report *engine.LoadReport) {
	if s.reported == 0 {
		s.reported = report.StepTime
	}
	s.reported += time.Duration(stepSmoothing * float64(report.StepTime-s.reported))
	s.budget = stepPrefillPerSequence * report.MaxSequences
}

// predictable reports whether the end of the current step can be predicted.
func (s *stepClock) predictable(now time.Time) bool {
	return s.expected > 0 && now.Sub(s.started) < silentSteps*s.expected
}

// sendAt returns when prompts for the next step are sent.
func (s *stepClock) sendAt() time.Time { return s.started.Add(s.expected - sendLead) }

// sendWindowOpen reports whether the next step is about to start and has budget left for a prompt.
func (s *stepClock) sendWindowOpen(now time.Time) bool {
	return !now.Before(s.sendAt()) && s.spent < s.budget
}

// mayPrefillOnline reports whether the prompt of an online request that arrived at the given time may be prefilled in the
// next step. One that arrived during the current step will be. One that arrived during the previous step is prefilled in
// the current step, and continues in the next if it is long.
func (s *stepClock) mayPrefillOnline(arrived time.Time) bool {
	return arrived.After(s.previousStart.Add(-maxArrivalDelay))
}

// fits reports whether a prompt fits the budget of the next step beside those already sent for it.
func (s *stepClock) fits(tokens int) bool { return s.spent == 0 || s.spent+tokens <= s.budget }

// RecordStep records that the runner's engine ended a step and started the next one, as shown by tokens of its batch
// sequences. Tokens that arrive within StepGap of the first tokens of a step belong to the same step.
func (c *Controller) RecordStep(now time.Time) { c.steps.stepEnded(now) }

// StepGap returns the time within which tokens count as belonging to one step, or 0 while no step time is known.
func (c *Controller) StepGap() time.Duration { return max(c.steps.expected, c.steps.reported) / 2 }

// Fits reports whether a prompt that MayPrefill allows fits beside those already sent for the same step.
func (c *Controller) Fits(tokens int, now time.Time) bool {
	return !c.onlinePresent || !c.steps.predictable(now) || c.steps.fits(tokens)
}

// NextChange returns the time at which the result of MayPrefill may change without any other event, or the zero time.
func (c *Controller) NextChange(now time.Time) time.Time {
	if !c.onlinePresent || !c.steps.predictable(now) || !now.Before(c.steps.sendAt()) {
		return time.Time{}
	}
	return c.steps.sendAt()
}
