package demand

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
)

func farFleet(idle, used int) map[string]OwnerDemand {
	online := map[string]OwnerDemand{"near": {}}
	for index := range idle {
		online[fmt.Sprint("idle-", index)] = OwnerDemand{Far: true}
	}
	for index := range used {
		online[fmt.Sprint("used-", index)] = OwnerDemand{Far: true, Counts: []Count{{Runner: "r", Online: 1}}}
	}
	return online
}

// TestCallsToIdleWorkersOfOtherZonesAreBounded draws fleets. However many workers there are, a node without work
// makes no more calls a second than its bound; with few workers it polls them as often as those of its own zone.
func TestCallsToIdleWorkersOfOtherZonesAreBounded(t *testing.T) {
	assert.Equal(t, idleFarInterval(farFleet(0, 3)), IdleRefreshInterval)
	assert.Equal(t, idleFarInterval(farFleet(2, 40)), IdleRefreshInterval)
	assert.Equal(t, idleFarInterval(farFleet(38, 0)), 9500*time.Millisecond)
	rapid.Check(t, func(t *rapid.T) {
		idle := rapid.IntRange(1, 400).Draw(t, "idle")
		every := idleFarInterval(farFleet(idle, rapid.IntRange(0, 20).Draw(t, "used")))
		assert.Assert(t, every >= IdleRefreshInterval)
		assert.Assert(t, float64(idle)/every.Seconds() <= farCallsPerSecond)
	})
}

// TestWorkAtAFarWorkerIsReportedAtOnce has a node start work at a far worker that is not due for an idle report
// yet.
func TestWorkAtAFarWorkerIsReportedAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	state := &workerState{calledAt: now}
	assert.Assert(t, !state.reportDue(nil, 9*time.Second, now.Add(8*time.Second)))
	assert.Assert(t, state.reportDue(nil, 9*time.Second, now.Add(9*time.Second)))
	assert.Assert(t, state.reportDue([]Count{{Runner: "r", Online: 1}}, 9*time.Second, now))
}

// answerTimes records the time as of which answers were applied.
type answerTimes struct {
	Work
	asOf time.Time
}

func (w *answerTimes) Take(_ string, _ *Answer, asOf time.Time) { w.asOf = asOf }

// TestAnswerReadAfterAFreezeCountsFromItsReport freezes the process for longer than Lifetime between sending a
// report and reading the answer. The answer must not count as fresh.
func TestAnswerReadAfterAFreezeCountsFromItsReport(t *testing.T) {
	now := time.Unix(100, 0)
	work := &answerTimes{}
	reporter := NewReporter(ident.Node("front"), work, func() time.Time { return now })
	reporter.Send = func(context.Context, string, *Report) (*Answer, error) {
		now = now.Add(2 * Lifetime)
		return &Answer{}, nil
	}
	reporter.send(t.Context(), "w", &workerState{}, &Report{}, now)
	assert.Assert(t, now.Sub(work.asOf) >= 2*Lifetime, "the answer counts for another %v", Lifetime-now.Sub(work.asOf))
}

// slowCount takes some time from the moment at which it counts the work.
type slowCount struct {
	answerTimes
	pass func()
	// countedAt is when the work was counted.
	countedAt time.Time
	now       func() time.Time
}

func (w *slowCount) Online([]string) map[string]OwnerDemand {
	w.countedAt = w.now()
	w.pass()
	return map[string]OwnerDemand{"w": {Counts: []Count{{Runner: "r", Online: 1}}}}
}

// TestAnswerCountsFromTheTimeOfTheCounts guards against an answer that claims to know of requests which started while the
// report was made. The grant that such a request had used was then used by another one.
func TestAnswerCountsFromTheTimeOfTheCounts(t *testing.T) {
	now := time.Unix(100, 0)
	work := &slowCount{now: func() time.Time { return now }, pass: func() { now = now.Add(20 * time.Millisecond) }}
	supervisor := new(tomb.Tomb)
	reporter := NewReporter(ident.Node("front"), work, work.now)
	reporter.tomb = supervisor
	reporter.Send = func(context.Context, string, *Report) (*Answer, error) { return &Answer{}, nil }
	reporter.reportAll(t.Context())
	assert.NilError(t, supervisor.Wait())
	assert.Assert(t, !work.asOf.After(work.countedAt), "%v after the work was counted", work.asOf.Sub(work.countedAt))
	supervisor = new(tomb.Tomb)
	reporter.tomb = supervisor
	now = now.Add(time.Second)
	reporter.startPolls(t.Context(), &pollRequest{addresses: []string{"w"}})
	assert.NilError(t, supervisor.Wait())
	assert.Assert(t, !work.asOf.After(work.countedAt), "%v after the work was counted", work.asOf.Sub(work.countedAt))
}

// TestAgeIsReportedOnlyAfterStart checks that the age is reported while an owner that started with this node may
// need it, and omitted later to save bytes.
func TestAgeIsReportedOnlyAfterStart(t *testing.T) {
	began := time.Unix(100, 0)
	reporter := NewReporter(ident.Node("front"), &answerTimes{}, func() time.Time { return began })
	assert.Equal(t, reporter.age(began), int64(1))
	assert.Equal(t, reporter.age(began.Add(13*time.Second)), int64(13_000))
	assert.Equal(t, reporter.age(began.Add(16*time.Second)), int64(0))
}

// TestOldRequestsAreReportedUntilTheOwnerAnswers has a node report three times. The number of old requests grows
// with time alone; it makes no report due, and is sent until the first answer.
func TestOldRequestsAreReportedUntilTheOwnerAnswers(t *testing.T) {
	now := time.Unix(100, 0)
	state := &workerState{}
	counts := []Count{{Runner: "r", Online: 3, Old: 1}}
	assert.Equal(t, state.nextReport(counts, now).Counts[0].Old, 1)
	counts[0].Old = 2
	assert.Assert(t, !state.reportDue(counts, IdleRefreshInterval, now), "a change of the number of old requests made a report due")
	second := state.nextReport(counts, now.Add(time.Second))
	assert.Equal(t, second.Counts[0].Old, 2)
	state.acknowledge(second, now.Add(time.Second))
	assert.Equal(t, state.nextReport(counts, now.Add(2*time.Second)).Counts[0].Old, 0)
}

// TestWorkerThatRationsIsAskedBeforeItCountsAsGone guards against nodes that take granted slots for free because one answer
// was 100 ms late: two answers in a row must be missing.
func TestWorkerThatRationsIsAskedBeforeItCountsAsGone(t *testing.T) {
	const countsAsGone = IdleRefreshInterval + 100*time.Millisecond
	rationed := OwnerDemand{Rationed: true}
	assert.Assert(t, 2*(rationed.IdleInterval(IdleRefreshInterval, true)+RefreshInterval) <= countsAsGone)
	assert.Equal(t, OwnerDemand{}.IdleInterval(time.Minute, true), IdleRefreshInterval)
	far := OwnerDemand{Far: true, Rationed: true}
	assert.Equal(t, far.IdleInterval(time.Minute, true), time.Minute, "calls to other zones stay bounded")
}

// TestQuietWorkersOfASubsetAreAskedLessOften states when a node asks less often: only where it works with some of many workers, and
// only while these have hardly any work, so that a choice among scarce slots is never made by an older report than before.
func TestQuietWorkersOfASubsetAreAskedLessOften(t *testing.T) {
	subset := OwnerDemand{Subset: true}
	assert.Equal(t, subset.IdleInterval(time.Minute, true), quietRefreshInterval)
	assert.Equal(t, subset.IdleInterval(time.Minute, false), IdleRefreshInterval)
	assert.Equal(t, OwnerDemand{}.IdleInterval(time.Minute, true), IdleRefreshInterval)
	subset.Rationed = true
	assert.Equal(t, subset.IdleInterval(time.Minute, true), rationedRefreshInterval)

	answer := &Answer{Shares: make([]Share, 16)}
	assert.Assert(t, answer.Quiet())
	answer.Shares[3] = Share{Others: 1, Batch: 1}
	assert.Assert(t, answer.Quiet())
	answer.Shares[4] = Share{Orphans: 1}
	assert.Assert(t, !answer.Quiet())
}
