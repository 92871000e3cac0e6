package demand

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
)

func far(idle, used int) map[string]Owned {
	online := map[string]Owned{"near": {}}
	for index := range idle {
		online[fmt.Sprint("idle-", index)] = Owned{Far: true}
	}
	for index := range used {
		online[fmt.Sprint("used-", index)] = Owned{Far: true, Counts: []Count{{Runner: "r", Online: 1}}}
	}
	return online
}

// TestCallsToIdleWorkersOfOtherZonesAreBounded draws fleets: however many workers there are, a node without work makes no
// more calls a second than its bound, and with few workers it hears of them as often as of near ones.
func TestCallsToIdleWorkersOfOtherZonesAreBounded(t *testing.T) {
	assert.Equal(t, idleFarEvery(far(0, 3)), IdleRefreshEvery)
	assert.Equal(t, idleFarEvery(far(2, 40)), IdleRefreshEvery)
	assert.Equal(t, idleFarEvery(far(38, 0)), 9500*time.Millisecond)
	rapid.Check(t, func(t *rapid.T) {
		idle := rapid.IntRange(1, 400).Draw(t, "idle")
		every := idleFarEvery(far(idle, rapid.IntRange(0, 20).Draw(t, "used")))
		assert.Assert(t, every >= IdleRefreshEvery)
		assert.Assert(t, float64(idle)/every.Seconds() <= farCallsEach)
	})
}

// TestWorkAtAFarWorkerIsToldAtOnce has a node that was silent towards a far worker have work there.
func TestWorkAtAFarWorkerIsToldAtOnce(t *testing.T) {
	now := time.Unix(100, 0)
	known := &correspondent{lastAt: now}
	assert.Assert(t, !known.lacks(nil, 9*time.Second, now.Add(8*time.Second)))
	assert.Assert(t, known.lacks(nil, 9*time.Second, now.Add(9*time.Second)))
	assert.Assert(t, known.lacks([]Count{{Runner: "r", Online: 1}}, 9*time.Second, now))
}

// takenWork notes as of when answers were taken over.
type takenWork struct {
	Work
	asOf time.Time
}

func (w *takenWork) Take(_ string, _ *Answer, asOf time.Time) { w.asOf = asOf }

// TestAnswerReadAfterAFreezeIsAsOldAsItsQuestion stands still for longer than an answer is believed, between the question and
// the reading of its answer. What the worker knew before counts no more.
func TestAnswerReadAfterAFreezeIsAsOldAsItsQuestion(t *testing.T) {
	now := time.Unix(100, 0)
	work := &takenWork{}
	teller := NewTeller(ident.Node("front"), work, func() time.Time { return now })
	teller.Tell = func(context.Context, string, *Report) (*Answer, error) {
		now = now.Add(2 * Lifetime)
		return &Answer{}, nil
	}
	teller.tell(t.Context(), "w", &correspondent{}, &Report{})
	assert.Assert(t, now.Sub(work.asOf) >= 2*Lifetime, "the answer is believed for another %v", Lifetime-now.Sub(work.asOf))
}

// TestAgeIsToldWhileAnOwnerMayAskForIt: an owner that started with this node goes by the age; later it would be bytes in each report.
func TestAgeIsToldWhileAnOwnerMayAskForIt(t *testing.T) {
	began := time.Unix(100, 0)
	teller := NewTeller(ident.Node("front"), &takenWork{}, func() time.Time { return began })
	assert.Equal(t, teller.age(began), int64(1))
	assert.Equal(t, teller.age(began.Add(13*time.Second)), int64(13_000))
	assert.Equal(t, teller.age(began.Add(16*time.Second)), int64(0))
}

// TestOldRequestsAreToldUntilTheOwnerAnswers has a node report three times: what is old grows with time alone, is no news, and is told until
// an answer came.
func TestOldRequestsAreToldUntilTheOwnerAnswers(t *testing.T) {
	now := time.Unix(100, 0)
	known := &correspondent{}
	counts := []Count{{Runner: "r", Online: 3, Old: 1}}
	assert.Equal(t, known.next(counts, now).Counts[0].Old, 1)
	counts[0].Old = 2
	assert.Assert(t, !known.lacks(counts, IdleRefreshEvery, now), "a request that grew old makes a report due")
	second := known.next(counts, now.Add(time.Second))
	assert.Equal(t, second.Counts[0].Old, 2)
	known.answered(second, now.Add(time.Second))
	assert.Equal(t, known.next(counts, now.Add(2*time.Second)).Counts[0].Old, 0)
}
