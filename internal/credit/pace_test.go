package credit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPrefillKeepsToItsPaceBesideOnline starts prompts of random length whenever the pace allows, for any look period,
// and checks that any window stays within the rate, the burst and one prompt, and that the rate is reached.
func TestPrefillKeepsToItsPaceBesideOnline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := NewController()
		now := begin
		online := Input{KnownOnline: 1, Report: reportAt(begin, 64)}
		controller.Decide(online, now)
		tick := time.Duration(rapid.IntRange(1, 30).Draw(t, "milliseconds between looks")) * time.Millisecond
		total, largest := 0, 0
		for range 200 {
			now = now.Add(tick)
			for controller.MayPrefill(now) {
				prompt := rapid.IntRange(1, 600).Draw(t, "prompt")
				controller.Prefilling(prompt, now)
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

// TestPrefillAloneLeavesNoDebt prefills much on a quiet runner: an online arrival does not stop batch for long.
func TestPrefillAloneLeavesNoDebt(t *testing.T) {
	controller := NewController()
	report := reportAt(begin, 64)
	controller.Decide(Input{Report: report}, begin)
	for range 30 {
		assert.Assert(t, controller.MayPrefill(begin))
		controller.Prefilling(128, begin)
	}
	controller.Decide(Input{KnownOnline: 1, Report: report}, begin)
	assert.Assert(t, !controller.MayPrefill(begin))
	assert.Assert(t, controller.MayPrefill(begin.Add(paceTime)))
}
