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

// TestNodesThatHearTheSameBelieveTheSame draws words, and two orders in which they come. The newest counts in both, the slower one of
// two of the same moment.
func TestNodesThatHearTheSameBelieveTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pace.Word {
			return pace.Word{
				Pace: work.Pace(rapid.SampledFrom([]float64{0, .9, 1, 1.1, 2.5, 7.5}).Draw(t, "pace")),
				At:   at(time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * time.Millisecond),
			}
		}), 1, 12).Draw(t, "words")
		var first, second pace.Belief
		for _, word := range words {
			first.Hear(word, true, start)
		}
		for _, word := range rapid.Permutation(words).Draw(t, "order") {
			second.Hear(word, false, start)
		}
		known, _ := first.Word()
		other, _ := second.Word()
		assert.DeepEqual(t, known, other)
		for _, word := range words {
			assert.Assert(t, !word.Pace.Known() || !word.At.After(known.At))
		}
	})
}

// TestSlownessIsForgottenWithinTheTimeOfAPhase states the bound of docs/design/beliefs.md. A slow phase lasts 2.2 s at the most and .7 s in the middle:
// a word is half forgotten after that, and counts for nothing after three times as long.
func TestSlownessIsForgottenWithinTheTimeOfAPhase(t *testing.T) {
	var belief pace.Belief
	belief.Hear(pace.Word{Pace: 3, At: start}, true, start)
	assert.Equal(t, belief.Now(start), work.Pace(3))
	assert.Equal(t, belief.Now(at(700*time.Millisecond)), work.Pace(2))
	assert.Assert(t, belief.Now(at(2*time.Second)) > 1)
	assert.Equal(t, belief.Now(at(2100*time.Millisecond)), work.Pace(1))
}

// TestSlownessFadesWithoutAnEdge draws words and looks at the belief each 10 ms while nothing more is heard: it never rises, and never
// falls by more than a sixth of the slowness. An edge would turn all nodes to the runner at one moment.
func TestSlownessFadesWithoutAnEdge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var belief pace.Belief
		now := start
		told := 1.0
		for range rapid.IntRange(1, 10).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			told = rapid.Float64Range(.5, 10).Draw(t, "pace")
			belief.Hear(pace.Word{Pace: work.Pace(told), At: now}, true, now)
		}
		before := belief.Now(now)
		assert.Equal(t, before, work.Pace(max(told, 1)))
		for end := now.Add(pace.Kept); now.Before(end); {
			now = now.Add(10 * time.Millisecond)
			next := belief.Now(now)
			assert.Assert(t, next >= 1 && next <= before && float64(before-next) <= (max(told, 1)-1)/6+1e-9, "%v after %v", next, before)
			before = next
		}
		assert.Equal(t, before, work.Pace(1))
	})
}

// TestNodesThatAreAnsweredBelieveWhatTheOwnerDoes draws what an owner hears, and a node that asks now and then and is told what came since.
// What the owner keeps to itself makes no difference of more than a third of the slowness; a runner that it knows to be back is back.
func TestNodesThatAreAnsweredBelieveWhatTheOwnerDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var owner, node pace.Belief
		var answered time.Time
		now := start
		back := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "heard") {
				word := pace.Word{Pace: work.Pace(rapid.SampledFrom([]float64{1, 1.1, 2.9, 3}).Draw(t, "pace")), At: now}
				back = word.Pace < pace.Slow
				owner.Hear(word, true, now)
			}
			if rapid.Bool().Draw(t, "asked") {
				if word, news := owner.News(answered, now); news {
					node.Hear(word, false, now)
				}
				answered = now
				known, believed := float64(owner.Now(now)), float64(node.Now(now))
				assert.Assert(t, !back || believed < float64(pace.Slow), "%v is known to be back, %v believed", known, believed)
				assert.Assert(t, back || math.Abs(known-believed) <= (known-1)/3, "%v is known, %v believed", known, believed)
			}
		}
	})
}

// TestWordIsToldToEachNodeOnce has a runner be slow for a second, with a word each 100 ms and a node that asks each 50 ms: it is told at the
// begin, each 200 ms, and at the end.
func TestWordIsToldToEachNodeOnce(t *testing.T) {
	var owner pace.Belief
	told := 0
	answered := start
	for elapsed := 10 * time.Millisecond; elapsed < 5*time.Second; elapsed += 50 * time.Millisecond {
		if (elapsed-10*time.Millisecond)%(100*time.Millisecond) == 0 {
			said := work.Pace(1)
			if elapsed > time.Second && elapsed < 2*time.Second {
				said = 2.5
			}
			owner.Hear(pace.Word{Pace: said, At: at(elapsed)}, true, at(elapsed))
		}
		now := at(elapsed + 25*time.Millisecond)
		if _, news := owner.News(answered, now); news {
			told++
		}
		answered = now
	}
	assert.Equal(t, told, 1+4+1)
}

// TestRunnerFasterThanUsualIsNotSought has a runner tell that it takes half of the time: nodes that all sought it would fill it.
func TestRunnerFasterThanUsualIsNotSought(t *testing.T) {
	var belief pace.Belief
	belief.Hear(pace.Word{Pace: .5, At: start}, true, start)
	assert.Equal(t, belief.Now(start), work.Pace(1))
}

// TestAgeCountsFromWhenTheQuestionWasSent reads an answer that lay unread for three seconds.
func TestAgeCountsFromWhenTheQuestionWasSent(t *testing.T) {
	var belief pace.Belief
	belief.Hear(pace.Told(2.5, 100, start), false, start)
	assert.Equal(t, belief.Now(at(3*time.Second)), work.Pace(1))
	belief.Hear(pace.Told(4, 200, start), false, start)
	word, own := belief.Word()
	assert.Equal(t, word.Pace, work.Pace(2.5), "an older word counts")
	assert.Assert(t, !own)
}

// TestUsualTimeIsThatInTheMiddle has one in five times be of a queue or of a caller that reads slowly, and half of the others be
// seen at slow runners.
func TestUsualTimeIsThatInTheMiddle(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var usual pace.Usual
	assert.Equal(t, usual.Or(time.Second), time.Second)
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
		usual.See(took, paced)
	}
	found := usual.Or(0)
	assert.Assert(t, found > 45*time.Millisecond && found < 80*time.Millisecond, "%v", found)
}

func TestPauseIsKeptWhereNothingSpeaksAgainstIt(t *testing.T) {
	const gap = 35 * time.Millisecond
	assert.Assert(t, pace.Keeps(gap, 250*time.Millisecond, 7))
	assert.Assert(t, !pace.Keeps(gap, 250*time.Millisecond, 7.5))
	assert.Assert(t, pace.Keeps(gap, 0, 100), "no pause is named")
	assert.Assert(t, pace.Keeps(0, 250*time.Millisecond, 100), "the usual gap is not known")
	assert.Assert(t, pace.Keeps(time.Second, 250*time.Millisecond, 1), "a runner at its usual pace is as slow as all")
}
