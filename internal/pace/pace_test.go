package pace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/pace"
	"mallowlatch.example/mallowlatch/internal/work"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time { return start.Add(after) }

// TestNodesWithTheSameReportsAgree draws reports and two orders in which they arrive. The latest counts in both; of
// two with the same time, the slower one.
func TestNodesWithTheSameReportsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pace.Report {
			return pace.Report{
				Pace: work.Pace(rapid.SampledFrom([]float64{0, .9, 1, 1.1, 2.5, 7.5}).Draw(t, "pace")),
				At:   at(time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * time.Millisecond),
			}
		}), 1, 12).Draw(t, "words")
		var first, second pace.Estimate
		for _, report := range reports {
			first.Update(report, true, start)
		}
		for _, report := range rapid.Permutation(reports).Draw(t, "order") {
			second.Update(report, false, start)
		}
		known, _ := first.Latest()
		other, _ := second.Latest()
		assert.DeepEqual(t, known, other)
		for _, report := range reports {
			assert.Assert(t, !report.Pace.Known() || !report.At.After(known.At))
		}
	})
}

// TestSlownessIsForgottenWithinTheTimeOfAPhase checks the bound of docs/design/beliefs.md. A slow phase lasts 2.2 s at
// most, with a median of 0.7 s: half of the slowness is left after the median, and none after three times as long.
func TestSlownessIsForgottenWithinTheTimeOfAPhase(t *testing.T) {
	var estimate pace.Estimate
	estimate.Update(pace.Report{Pace: 3, At: start}, true, start)
	assert.Equal(t, estimate.Current(start), work.Pace(3))
	assert.Equal(t, estimate.Current(at(700*time.Millisecond)), work.Pace(2))
	assert.Assert(t, estimate.Current(at(2*time.Second)) > 1)
	assert.Equal(t, estimate.Current(at(2100*time.Millisecond)), work.Pace(1))
}

// TestSlownessFadesWithoutAnEdge draws reports and checks the estimate every 10 ms without further ones: it never
// rises, and never falls by more than a sixth of the slowness. A sharp drop would make all nodes turn to the runner at
// one moment.
func TestSlownessFadesWithoutAnEdge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var estimate pace.Estimate
		now := start
		reported := 1.0
		for range rapid.IntRange(1, 10).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			reported = rapid.Float64Range(.5, 10).Draw(t, "pace")
			estimate.Update(pace.Report{Pace: work.Pace(reported), At: now}, true, now)
		}
		before := estimate.Current(now)
		assert.Equal(t, before, work.Pace(max(reported, 1)))
		for end := now.Add(pace.ReportLifetime); now.Before(end); {
			now = now.Add(10 * time.Millisecond)
			next := estimate.Current(now)
			assert.Assert(t, next >= 1 && next <= before && float64(before-next) <= (max(reported, 1)-1)/6+1e-9, "%v after %v", next,
				before)
			before = next
		}
		assert.Equal(t, before, work.Pace(1))
	})
}

// TestPolledNodesAgreeWithTheOwner draws reports to an owner, and a node that polls it now and then and is sent what
// changed since. The reports that the owner does not pass on make a difference of at most a third of the slowness, and
// a runner that the owner knows to have recovered counts as recovered.
func TestPolledNodesAgreeWithTheOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var owner, node pace.Estimate
		var answered time.Time
		now := start
		recovered := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "heard") {
				report := pace.Report{Pace: work.Pace(rapid.SampledFrom([]float64{1, 1.1, 2.9, 3}).Draw(t, "pace")), At: now}
				recovered = report.Pace < pace.Slow
				owner.Update(report, true, now)
			}
			if rapid.Bool().Draw(t, "asked") {
				if report, needed := owner.ChangedSince(answered, now); needed {
					node.Update(report, false, now)
				}
				answered = now
				known, estimated := float64(owner.Current(now)), float64(node.Current(now))
				assert.Assert(t, !recovered || estimated < float64(pace.Slow), "runner recovered with pace %v, estimated %v", known,
					estimated)
				assert.Assert(t, recovered || math.Abs(known-estimated) <= (known-1)/3, "owner has pace %v, node estimates %v", known,
					estimated)
			}
		}
	})
}

// TestReportIsSentToEachNodeOnce makes a runner slow for a second, with a report every 100 ms and a node that polls
// every 50 ms: it is sent a report at the start, every 200 ms, and at the end.
func TestReportIsSentToEachNodeOnce(t *testing.T) {
	var owner pace.Estimate
	sent := 0
	answered := start
	for elapsed := 10 * time.Millisecond; elapsed < 5*time.Second; elapsed += 50 * time.Millisecond {
		if (elapsed-10*time.Millisecond)%(100*time.Millisecond) == 0 {
			reported := work.Pace(1)
			if elapsed > time.Second && elapsed < 2*time.Second {
				reported = 2.5
			}
			owner.Update(pace.Report{Pace: reported, At: at(elapsed)}, true, at(elapsed))
		}
		now := at(elapsed + 25*time.Millisecond)
		if _, needed := owner.ChangedSince(answered, now); needed {
			sent++
		}
		answered = now
	}
	assert.Equal(t, sent, 1+4+1)
}

// TestFasterRunnerIsNotPreferred reports a runner that takes half of the typical time. If nodes preferred it, all of
// them would fill it.
func TestFasterRunnerIsNotPreferred(t *testing.T) {
	var estimate pace.Estimate
	estimate.Update(pace.Report{Pace: .5, At: start}, true, start)
	assert.Equal(t, estimate.Current(start), work.Pace(1))
}

// TestAgeCountsFromWhenTheQuestionWasSent applies an answer that was received three seconds after its poll was sent.
func TestAgeCountsFromWhenTheQuestionWasSent(t *testing.T) {
	var estimate pace.Estimate
	estimate.Update(pace.ReportFromAge(2.5, 100, start), false, start)
	assert.Equal(t, estimate.Current(at(3*time.Second)), work.Pace(1))
	estimate.Update(pace.ReportFromAge(4, 200, start), false, start)
	report, direct := estimate.Latest()
	assert.Equal(t, report.Pace, work.Pace(2.5), "an older report was used")
	assert.Assert(t, !direct)
}

// TestMedianIgnoresOutliers adds a second, as for a queue or a slow caller, to one in five times, and observes half of
// all times at slow runners.
func TestMedianIgnoresOutliers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var median pace.Median
	assert.Equal(t, median.Or(time.Second), time.Second)
	for range 500 {
		took := time.Duration(50+random.IntN(20)) * time.Millisecond
		paced := work.Pace(1)
		if random.IntN(2) == 0 {
			paced = 3
			took *= 3
		}
		if random.IntN(5) == 0 {
			took += time.Second
		}
		median.Observe(took, paced)
	}
	found := median.Or(0)
	assert.Assert(t, found > 45*time.Millisecond && found < 80*time.Millisecond, "%v", found)
}

func TestMeetsPause(t *testing.T) {
	const gap = 35 * time.Millisecond
	assert.Assert(t, pace.MeetsPause(gap, 250*time.Millisecond, 7))
	assert.Assert(t, !pace.MeetsPause(gap, 250*time.Millisecond, 7.5))
	assert.Assert(t, pace.MeetsPause(gap, 0, 100), "no pause is set")
	assert.Assert(t, pace.MeetsPause(0, 250*time.Millisecond, 100), "no gap was observed")
	assert.Assert(t, pace.MeetsPause(time.Second, 250*time.Millisecond, 1), "a runner of the typical pace always meets the pause")
}
