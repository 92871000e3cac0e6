package overloadsim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/catalog"
)

// size is a fleet to simulate.
type size struct{ nodes, runners, zones int }

var sizes = []size{{4, 4, 1}, {4, 4, 2}, {40, 12, 3}}

func (s size) String() string {
	return fmt.Sprintf("%d nodes, %d runners, %d zones", s.nodes, s.runners, s.zones)
}

func (s size) capacity() float64 { return Capacity(s.runners, 32) }

// unequalTenants are three tenants of equal weight and very unequal demand.
func unequalTenants() []Tenant {
	return []Tenant{
		{Tenant: catalog.Tenant{Name: "flood"}, Share: 0.75},
		{Tenant: catalog.Tenant{Name: "steady"}, Share: 0.2},
		{Tenant: catalog.Tenant{Name: "light"}, Share: 0.05},
	}
}

// span is long enough for some thousand completed requests: their lengths alone make goodput vary by a few percent with
// fewer.
func (s size) span() time.Duration {
	return max(30*time.Second, 360*time.Second/time.Duration(s.runners))
}

// at returns options that offer a multiple of the capacity.
func (s size) at(factor float64) Options {
	return Options{
		Seed: 1, Nodes: s.nodes, Runners: s.runners, Zones: s.zones, Tenants: unequalTenants(),
		Stages:   []Stage{{0, factor * s.capacity()}},
		Duration: 30 * time.Second, Warmup: 6 * time.Second,
	}
}

func logResult(t *testing.T, name string, result Result) {
	t.Helper()
	t.Logf("%s: good %.1f/s of %d completed; first token p50 %v p95 %v; %d refusals, at p50 %v p99 %v most %v; returned %d, retries %d of %d attempts, full engines %d, failed %d",
		name, result.GoodPerSecond, result.Completed, Quantile(result.FirstTokens, 0.5), Quantile(result.FirstTokens, 0.95),
		len(result.RefusalDelays), Quantile(result.RefusalDelays, 0.5), Quantile(result.RefusalDelays, 0.99), Quantile(result.RefusalDelays, 1),
		result.Returned, result.Retries, result.Attempts, result.EngineRefusals, result.Failed)
	t.Logf("  refusals %v", result.Refusals)
	t.Logf("  good by second %v", result.Timeline)
	for _, tenant := range unequalTenants() {
		if counts := result.Tenants[tenant.Name]; counts != nil {
			t.Logf("  %s offered %d good %d", tenant.Name, counts.Offered, counts.Good)
		}
	}
}

// checkRefusals checks that a refusal is immediate unless the request had a place in the queue, that none is held for
// longer than the longest wait, and that each that was not run says when to come back.
func checkRefusals(t *testing.T, result Result) {
	t.Helper()
	assert.Equal(t, result.Unadvised, 0)
	assert.Equal(t, Quantile(result.RefusalDelays, 0.5), time.Duration(0))
	assert.Assert(t, Quantile(result.RefusalDelays, 1) <= time.Second)
	shortest, longest := Quantile(result.RetryAfters, 0.1), Quantile(result.RetryAfters, 0.9)
	assert.Assert(t, longest >= 2*shortest, "callers come back together: after %v to %v", shortest, longest)
}

// TestGoodputPastTheKnee offers up to five times the capacity. Goodput must not fall, tenants of little demand must get
// what they ask for, and first tokens come in time.
func TestGoodputPastTheKnee(t *testing.T) {
	const leastKept, leastOfLight, leastOfSteady = 0.97, 0.7, 0.65
	for _, size := range sizes {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			best := 0.0
			for _, factor := range []float64{1, 1.5, 3, 5} {
				options := size.at(factor)
				options.Duration = size.span()
				result := Run(options)
				logResult(t, fmt.Sprintf("%.1f times the capacity", factor), result)
				best = max(best, result.GoodPerSecond)
				t.Logf("  %.3f of the best", result.GoodPerSecond/best)
				assert.Assert(t, result.GoodPerSecond >= leastKept*best)
				assert.Assert(t, Quantile(result.FirstTokens, 0.95) <= FirstTokenGoal)
				light, steady := result.Tenants["light"], result.Tenants["steady"]
				assert.Assert(t, float64(light.Good) >= leastOfLight*float64(light.Offered), "light %+v", *light)
				share := min(float64(steady.Offered), float64(result.Good-light.Good)/2)
				assert.Assert(t, float64(steady.Good) >= leastOfSteady*share, "steady %+v, share %.0f", *steady, share)
				if factor > 1 {
					checkRefusals(t, result)
				}
			}
		})
	}
}

// TestStepOfLoad raises the load from a tenth to three times the capacity at once.
func TestStepOfLoad(t *testing.T) {
	const step, settled = 10, 12
	for _, size := range sizes[1:] {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			options := size.at(3)
			options.Stages = []Stage{{0, 0.1 * size.capacity()}, {step * time.Second, 3 * size.capacity()}}
			options.Warmup = step * time.Second
			result := Run(options)
			logResult(t, "step", result)
			for second := step; second < 30; second++ {
				least := 0.5 * size.capacity()
				if second >= settled {
					least = 0.7 * size.capacity()
				}
				assert.Assert(t, float64(result.Timeline[second]) >= least, "second %d", second)
			}
			checkRefusals(t, result)
		})
	}
}

// TestRunnerLostDuringOverload takes a runner away for ten seconds at three times the capacity. The rest of
// the fleet must go on, and the runner must be in full use again 20 s after its return.
func TestRunnerLostDuringOverload(t *testing.T) {
	const lost, back, recovered, end = 10, 20, 40, 60
	for _, size := range sizes[1:] {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			options := size.at(3)
			options.Losses = []Loss{{Runner: 1, At: lost * time.Second, For: (back - lost) * time.Second}}
			options.Duration = end * time.Second
			result := Run(options)
			logResult(t, "runner lost", result)
			without := float64(size.runners-1) / float64(size.runners)
			before, during, after := rate(result, 6, lost), rate(result, lost, back), rate(result, recovered, end)
			t.Logf("good requests/s before %.1f, during %.1f, after %.1f", before, during, after)
			assert.Assert(t, during >= 0.9*without*before)
			assert.Assert(t, after >= 0.97*before)
			assert.Assert(t, result.Failed <= 40, "more requests failed than ran on the runner: %d", result.Failed)
			assert.Equal(t, result.Unadvised, 0)
		})
	}
}

// TestManyNodesForEachRunner has each node use a runner so seldom that none ever sees one full.
func TestManyNodesForEachRunner(t *testing.T) {
	size := size{165, 44, 6}
	options := size.at(3)
	options.Duration = 15 * time.Second
	result := Run(options)
	logResult(t, "many nodes", result)
	assert.Assert(t, result.GoodPerSecond >= 0.95*size.capacity(), "%.0f of %.0f", result.GoodPerSecond, size.capacity())
}

// TestCallersOnOneNode sends all callers to one node of four, more than the runners carry. The node must find that it may
// use what the others leave.
func TestCallersOnOneNode(t *testing.T) {
	options := sizes[1].at(1.5)
	options.Tenants = []Tenant{{Tenant: catalog.Tenant{Name: "tenant"}, Share: 1, Nodes: 1}}
	result := Run(options)
	logResult(t, "one node", result)
	assert.Assert(t, rate(result, 15, 30) >= 0.9*sizes[1].capacity())
}

func rate(result Result, from, until int) float64 {
	total := 0
	for _, good := range result.Timeline[from:until] {
		total += good
	}
	return float64(total) / float64(until-from)
}

// TestRefusedCallersAreServedLater has callers at a little more than the capacity come back when told to.
func TestRefusedCallersAreServedLater(t *testing.T) {
	options := sizes[1].at(1.2)
	options.Returns = 5
	result := Run(options)
	logResult(t, "callers that come back", result)
	assert.Assert(t, float64(result.Completed) >= 0.9*float64(result.Offered))
	checkRefusals(t, result)
}

// TestSameSeedSameRun repeats a run.
func TestSameSeedSameRun(t *testing.T) {
	options := size{6, 3, 2}.at(3)
	options.Losses = []Loss{{Runner: 1, At: 10 * time.Second, For: 5 * time.Second}}
	options.Returns = 2
	assert.DeepEqual(t, Run(options), Run(options))
}
