package credit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPrefillKeepsToItsPaceBesideOnline starts prompts of random length whenever allowed, for random polling intervals, and
// checks that the total never exceeds the rate plus the burst and one prompt, and that the rate is reached.
func TestPrefillKeepsToItsPaceBesideOnline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := NewController()
		now := begin
		online := Input{KnownOnline: 1, Report: reportAt(begin, 64)}
		controller.Decide(online, now)
		tick := time.Duration(rapid.IntRange(1, 30).Draw(t, "milliseconds between polls")) * time.Millisecond
		total, largest := 0, 0
		for range 200 {
			now = now.Add(tick)
			for controller.MayPrefill(now) {
				prompt := rapid.IntRange(1, 600).Draw(t, "prompt")
				controller.RecordPrefill(prompt, now)
				total += prompt
				largest = max(largest, prompt)
			}
			earned := paceTokens * float64(now.Sub(begin)) / float64(paceTime)
			assert.Assert(t, float64(total) <= earned+paceBurst+float64(largest), "%d tokens by %s", total, now.Sub(begin))
		}
		earned := paceTokens * float64(now.Sub(begin)) / float64(paceTime)
		assert.Assert(t, float64(total) >= earned-paceBurst-float64(largest), "%d tokens of %.0f", total, earned)
	})
}

// TestPrefillAloneLeavesNoDebt checks that a large prefill on a runner without online work does not stop batch for longer
// than one pace interval or quiet time after an online arrival.
func TestPrefillAloneLeavesNoDebt(t *testing.T) {
	controller := NewController()
	report := reportAt(begin, 64)
	controller.Decide(Input{Report: report}, begin)
	for range 30 {
		assert.Assert(t, controller.MayPrefill(begin))
		controller.RecordPrefill(128, begin)
	}
	controller.Decide(Input{KnownOnline: 1, Report: report}, begin)
	assert.Assert(t, !controller.MayPrefill(begin))
	assert.Assert(t, controller.MayPrefill(begin.Add(max(paceTime, quietTime))))
}

// TestPrefillStaysOutOfAnArrivalsSteps checks that batch prefill pauses for quietTime after an online arrival, and that
// continuous arrivals do not starve it.
func TestPrefillStaysOutOfAnArrivalsSteps(t *testing.T) {
	controller := NewController()
	report := reportAt(begin, 64)
	now := begin.Add(time.Second)
	controller.Decide(Input{KnownOnline: 1, Report: report}, begin)
	assert.Assert(t, controller.MayPrefill(now))
	controller.RecordPrefill(1, now)
	controller.Decide(Input{KnownOnline: 2, Report: report}, now)
	assert.Assert(t, !controller.MayPrefill(now.Add(quietTime-time.Millisecond)), "batch prefill did not pause after an arrival")
	assert.Assert(t, controller.MayPrefill(now.Add(quietTime)))
	for online := 3; online < 3+int(maxQuietTime/(10*time.Millisecond)); online++ {
		now = now.Add(10 * time.Millisecond)
		controller.Decide(Input{KnownOnline: online, Report: report}, now)
	}
	assert.Assert(t, controller.MayPrefill(now), "batch starves beside steady arrivals")
}
