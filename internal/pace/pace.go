// Package pace decides what a node believes of how long work takes at a runner now, and what that means for a request. Runners
// that share their machines turn slow with their neighbours and back, within a second in most cases and after many in some. A
// word of it is a runner's own, on the head of an answer to this node or to another one. It is pure: times are arguments.
package pace

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// half is the time in which half of a runner's slowness is over where nothing more is heard: slow phases last .7 s in the
	// middle.
	half = 700 * time.Millisecond
	// renewAfter is how much newer a word is that says the same and is worth telling: other nodes know the rest of the slowness within
	// a fifth meanwhile.
	renewAfter = 200 * time.Millisecond
	// Kept is how long a word counts, the time of a long phase. An eighth of the slowness is left then.
	Kept = 3 * half
)

// Slow is the pace from which on a runner counts as slow in phases and figures. Smaller differences are the noise of a machine
// in use.
const Slow work.Pace = 1.25

// Word is what a runner told of its pace, and when. The moment is by the clock of the node that keeps it.
type Word struct {
	Pace work.Pace
	At   time.Time
}

// Told is the word of another node, whose age counts from a moment that is known here.
func Told(pace work.Pace, ageMs int64, asOf time.Time) Word {
	return Word{Pace: pace, At: asOf.Add(-time.Duration(max(ageMs, 0)) * time.Millisecond)}
}

// Belief is what a node believes of one runner. The zero Belief knows nothing, and has the runner at its usual pace.
type Belief struct {
	word Word
	// own says that this node heard the word from the runner itself.
	own bool
	// doubted is until when some node may believe in a slow phase that is over.
	doubted time.Time
	// told is the newest word that is worth telling, and came when it came.
	told Word
	came time.Time
}

// Hear takes over a word that came now, and says whether a slow phase began or ended with it. The newest counts, whoever heard it;
// of two of the same moment the slower one, so that nodes that hear both in any order believe the same.
func (b *Belief) Hear(word Word, own bool, now time.Time) (changed bool) {
	if !word.Pace.Known() || !b.olderThan(word) {
		return false
	}
	wasSlow := b.slowAt(word.At)
	if b.slow() {
		b.doubted = b.ends()
	}
	b.word, b.own = word, own
	changed = wasSlow != b.slow()
	if changed || b.worthTelling() {
		b.told, b.came = word, now
	}
	return changed
}

// worthTelling says whether a node that knows the word told last would do with the newest one: not where both are of the usual pace.
func (b *Belief) worthTelling() bool {
	differs := math.Abs(float64(b.word.Pace-b.told.Pace)) > float64(b.told.Pace)*sameWithin
	return differs || b.slow() && b.word.At.Sub(b.told.At) >= renewAfter
}

// overlap is how long before a moment a word may have come that an answer of that moment lacks, because both were worked on at once.
const overlap = 20 * time.Millisecond

// sameWithin is the part of a pace by which another one is told as the same.
const sameWithin = 0.2

func (b *Belief) olderThan(word Word) bool {
	return word.At.After(b.word.At) || word.At.Equal(b.word.At) && word.Pace > b.word.Pace
}

// ends is when the word counts no more.
func (b *Belief) ends() time.Time { return b.word.At.Add(Kept) }

func (b *Belief) slow() bool { return b.word.Pace >= Slow }

// slowAt says whether the runner counts as in a slow phase.
func (b *Belief) slowAt(now time.Time) bool { return b.slow() && now.Before(b.ends()) }

// Now returns the pace that is expected: the usual one, 1, where nothing fresh is known or the runner is faster than usual. A
// slow one comes nearer to the usual as its word grows older, so that there is no moment at which all nodes turn to the runner.
func (b *Belief) Now(now time.Time) work.Pace {
	excess := float64(b.word.Pace) - 1
	if excess <= 0 || !now.Before(b.ends()) {
		return 1
	}
	age := max(now.Sub(b.word.At), 0)
	return work.Pace(1 + excess*math.Exp2(-age.Seconds()/half.Seconds()))
}

// Word returns the newest word, and whether this node heard it from the runner itself.
func (b *Belief) Word() (word Word, own bool) { return b.word, b.own }

// News returns the word where another node may do with it that was told all before a moment: a slow one as long as it counts, and the
// usual one as long as somebody may believe in the slow phase before it.
func (b *Belief) News(since, now time.Time) (word Word, news bool) {
	if b.told.Pace.Known() && b.came.After(since.Add(-overlap)) && (b.slowAt(now) || now.Before(b.doubted)) {
		return b.word, true
	}
	return Word{}, false
}
