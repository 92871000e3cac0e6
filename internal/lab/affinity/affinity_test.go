package affinity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// site is a site under moderate load: 16 requests/s, of which seven in ten begin with one of the chains, each of which is in
// use for two minutes on average.
func site(seed uint64, chains int, knowledge Knowledge) Options {
	return Options{
		Seed: seed, Knowledge: knowledge, Chains: chains, Life: 2 * time.Minute,
		MemoryTokens: 64_000, Rate: 16, Warmup: 30 * time.Second, Duration: 40 * time.Second,
	}
}

func (r Result) log(t *testing.T, name string) {
	t.Logf("%-16s hit share %.3f, first token mean %v p99 %v, herd %.2f, refused %d of %d, %.1f changes a reply",
		name, r.HitShare, r.MeanFirst.Round(time.Millisecond), r.P99First.Round(time.Millisecond), r.Herd,
		r.Refused, r.Requests, float64(r.Changes)/float64(max(1, r.Replies)))
}

// TestCorrectedHistoryFollowsTheCaches compares the kinds of knowledge. With many shared beginnings, of which each engine
// holds a few, history alone is mostly wrong; with a few, it is mostly right. Corrected, also when one event in twenty is
// lost, it must save more and never herd.
func TestCorrectedHistoryFollowsTheCaches(t *testing.T) {
	leastGain := map[int]float64{4: 0, 56: 0.25}
	const herdBound = 2.5
	for chains, gain := range leastGain {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%d chains, seed %d", chains, seed), func(t *testing.T) {
				t.Parallel()
				results := map[Knowledge]Result{}
				for _, knowledge := range []Knowledge{None, History, Events, Perfect} {
					results[knowledge] = Run(site(seed, chains, knowledge))
					results[knowledge].log(t, string(knowledge))
				}
				gaps := site(seed, chains, Events)
				gaps.EventGap = 0.05
				gappy := Run(gaps)
				gappy.log(t, "events with gaps")
				assert.Equal(t, gappy, Run(gaps), "the simulation depends on more than its options")
				history, events, perfect := results[History], results[Events], results[Perfect]
				assert.Assert(t, events.HitShare >= history.HitShare+gain)
				assert.Assert(t, gappy.HitShare >= history.HitShare+gain/2)
				assert.Assert(t, events.HitShare <= perfect.HitShare+0.05)
				assert.Assert(t, events.MeanFirst < history.MeanFirst)
				assert.Assert(t, events.Herd < herdBound)
				assert.Assert(t, events.Refused <= history.Refused)
			})
		}
	}
}
