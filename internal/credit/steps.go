package credit

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
)

const (
	// stepPrefill bounds the batch prompt tokens sent for one step beside online work, for each sequence of the engine.
	// One larger prompt may go alone.
	stepPrefill = 12
	// sendLead is how long before the expected end of a step batch prompts are sent: time for a late call, and little time
	// for an online request to arrive in, which would share the step with them.
	sendLead = 8 * time.Millisecond
	// knownLate is how much later an online request may be known of than it reached the engine.
	knownLate = 1500 * time.Microsecond
	// stepRise and stepFall are the weights of a longer and of a shorter step in the expected time of one.
	stepRise = 0.02
	stepFall = 0.2
	// leastOfReported bounds the expected step from below, as a share of the reported step time.
	leastOfReported = 0.6
	// silentSteps is the number of steps without a token after which steps are no longer followed.
	silentSteps = 4
)

// stepClock follows the steps of a runner's engine by the tokens its batch sequences give: each step gives its tokens at
// its end, which is where the next one begins.
type stepClock struct {
	// began and before are when the present step and the one before it began.
	began, before time.Time
	// expected is the time of a step with little prefill.
	expected time.Duration
	// reported is the smoothed step time of the load reports.
	reported time.Duration
	// budget bounds the batch prefill of one step, in tokens.
	budget int
	// spent is the batch prefill sent in the present step, in tokens.
	spent int
}

// follow notes that a step ended and the next began.
func (s *stepClock) follow(now time.Time) {
	interval := now.Sub(s.began)
	s.before, s.began = s.began, now
	s.spent = 0
	switch {
	case s.expected == 0:
		s.expected = s.reported
	case interval < s.expected:
		s.expected += time.Duration(stepFall * float64(interval-s.expected))
	case interval < silentSteps*s.expected:
		s.expected += time.Duration(stepRise * float64(interval-s.expected))
	}
	s.expected = max(s.expected, time.Duration(leastOfReported*float64(s.reported)))
}

// observe takes the step time and the size of the engine from a load report.
func (s *stepClock) observe(report *engine.LoadReport) {
	if s.reported == 0 {
		s.reported = report.StepTime
	}
	s.reported += time.Duration(stepSmoothing * float64(report.StepTime-s.reported))
	s.budget = stepPrefill * report.MaxSequences
}

// followed reports whether the steps are known well enough to send by.
func (s *stepClock) followed(now time.Time) bool {
	return s.expected > 0 && now.Sub(s.began) < silentSteps*s.expected
}

// sendAt is when prompts for the next step are sent.
func (s *stepClock) sendAt() time.Time { return s.began.Add(s.expected - sendLead) }

// open reports whether the next step is about to begin and has room for a prompt.
func (s *stepClock) open(now time.Time) bool { return !now.Before(s.sendAt()) && s.spent < s.budget }

// busy reports whether the online prompt of a request that arrived then may be prefilled in the next step. One that arrived
// since the present step began is. One that came in the step before is being prefilled in the present step, and goes on in
// the next if it is long.
func (s *stepClock) busy(arrived time.Time) bool { return arrived.After(s.before.Add(-knownLate)) }

// fits reports whether a prompt has room in the next step beside those that were sent for it.
func (s *stepClock) fits(tokens int) bool { return s.spent == 0 || s.spent+tokens <= s.budget }

// Stepped tells that the runner's engine ended a step and began the next, as its batch sequences' tokens show. Tokens
// that come within StepGap of the first ones of a step belong to the same step.
func (c *Controller) Stepped(now time.Time) { c.steps.follow(now) }

// StepGap returns the time within which tokens count as those of one step, or 0 while too little is known.
func (c *Controller) StepGap() time.Duration { return max(c.steps.expected, c.steps.reported) / 2 }

// Fits reports whether a prompt that MayPrefill allows has room beside those sent for the same step.
func (c *Controller) Fits(tokens int, now time.Time) bool {
	return !c.beside || !c.steps.followed(now) || c.steps.fits(tokens)
}

// LookAt returns when MayPrefill may change its answer though nothing happens, or the zero time.
func (c *Controller) LookAt(now time.Time) time.Time {
	if !c.beside || !c.steps.followed(now) || !now.Before(c.steps.sendAt()) {
		return time.Time{}
	}
	return c.steps.sendAt()
}
