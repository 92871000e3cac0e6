package credit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// steppedSend is a batch prompt sent to an engine with known steps.
type steppedSend struct {
	at     time.Time
	step   int
	tokens int
}

// steppedRun simulates an engine with steps of random duration and arriving online requests, and polls the controller each
// millisecond. It returns the prompts sent, the arrivals and the start times of the steps.
func steppedRun(t *rapid.T, controller *Controller, sequences int) (sends []steppedSend, arrivals, steps []time.Time) {
	now, report, online := begin, reportAt(begin, sequences), 1
	controller.Decide(Input{KnownOnline: online, Report: report}, now)
	stepEnd := now
	arriveIn := rapid.IntRange(10, 400).Draw(t, "milliseconds between arrivals")
	untilArrival := arriveIn
	for range 1500 {
		now = now.Add(time.Millisecond)
		if !now.Before(stepEnd) {
			controller.RecordStep(now)
			steps = append(steps, now)
			stepEnd = now.Add(time.Duration(rapid.SampledFrom([]int{20, 20, 22, 26, 39}).Draw(t, "step")) * time.Millisecond)
		}
		if untilArrival--; untilArrival == 0 {
			untilArrival = max(1, arriveIn+rapid.IntRange(-arriveIn/2, arriveIn/2).Draw(t, "irregular"))
			online++
			arrivals = append(arrivals, now)
		}
		report = reportAt(now, sequences)
		controller.Decide(Input{KnownOnline: online, Report: report}, now)
		for controller.MayPrefill(now) {
			tokens := rapid.IntRange(1, 900).Draw(t, "prompt")
			if !controller.Fits(tokens, now) {
				break
			}
			controller.RecordPrefill(tokens, now)
			sends = append(sends, steppedSend{at: now, step: len(steps), tokens: tokens})
		}
	}
	return sends, arrivals, steps
}

// TestPrefillStaysOutOfAnArrivalsStepsWhenTheyAreKnown checks that no batch prompt is sent in the step in which an online
// request arrives nor in the next one, which prefills that request, unless none was sent for maxQuietTime; that no step
// gets more than its budget or a single prompt; and that batch does not starve.
func TestPrefillStaysOutOfAnArrivalsStepsWhenTheyAreKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequences := rapid.IntRange(8, 64).Draw(t, "sequences")
		sends, arrivals, steps := steppedRun(t, NewController(), sequences)
		last := begin
		perStep, prompts := map[int]int{}, map[int]int{}
		for _, send := range sends {
			assert.Assert(t, send.at.Sub(last) <= maxQuietTime+time.Millisecond+steps[1].Sub(steps[0])*3, "batch starved for %s", send.at.Sub(last))
			starved := send.at.Sub(last) >= maxQuietTime
			last = send.at
			perStep[send.step] += send.tokens
			prompts[send.step]++
			if starved || send.step < 2 {
				continue
			}
			for _, arrived := range arrivals {
				inTwoSteps := arrived.After(steps[send.step-2]) && !arrived.After(send.at)
				assert.Assert(t, !inTwoSteps, "sent %s after an arrival", send.at.Sub(arrived))
			}
		}
		for step, tokens := range perStep {
			assert.Assert(t, tokens <= stepPrefillPerSequence*sequences || prompts[step] == 1, "%d tokens, %d prompts in a step", tokens, prompts[step])
		}
		assert.Assert(t, len(sends) >= 10, "%d prompts in 1.5 s", len(sends))
	})
}

// TestPrefillIsSentJustBeforeAStepEnds checks that with constant step times prompts are only sent in the last part of a step,
// and that NextChange returns the start of that part.
func TestPrefillIsSentJustBeforeAStepEnds(t *testing.T) {
	controller := NewController()
	now := begin
	const step = 20 * time.Millisecond
	for range 50 {
		now = now.Add(step)
		controller.Decide(Input{KnownOnline: 1, Report: reportAt(now, 32)}, now)
		controller.RecordStep(now)
	}
	assert.Assert(t, !controller.MayPrefill(now))
	at := controller.NextChange(now)
	assert.Assert(t, at.After(now.Add(step-2*sendLead)) && at.Before(now.Add(step)), "%s after the step started", at.Sub(now))
	assert.Assert(t, !controller.MayPrefill(at.Add(-time.Nanosecond)))
	assert.Assert(t, controller.MayPrefill(at))
	assert.Assert(t, controller.NextChange(at).IsZero())
	silent := now.Add(silentSteps * step)
	assert.Assert(t, controller.NextChange(silent).IsZero(), "steps are predicted without a token")
	assert.Assert(t, controller.MayPrefill(silent), "the pace allows it")
}

// TestExpectedStepTimeIgnoresLateTokens records two step ends for each reported step time, as late tokens cause them, and checks
// that the expected step time stays near the reported one, so that tokens of different steps are still distinguished.
func TestExpectedStepTimeIgnoresLateTokens(t *testing.T) {
	controller := NewController()
	now := begin
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		controller.Decide(Input{KnownOnline: 1, Report: reportAt(now, 32)}, now)
		controller.RecordStep(now)
	}
	assert.Assert(t, controller.StepGap() >= 10*time.Millisecond, "%s", controller.StepGap())
	sendAfter := controller.NextChange(now).Sub(now)
	minimum := time.Duration(minReportedShare*float64(20*time.Millisecond)) - sendLead
	assert.Assert(t, sendAfter >= minimum, "prompts are sent %s after a step started", sendAfter)
}
