package pace

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/work"
)

// usualStep is the part by which a usual time follows one that was seen, firstStep that of the first: what was seen first may be
// far from the middle, which is found within some tens of requests.
const usualStep, firstStep = 0.05, 0.5

// leastSeen is the shortest time that says anything: what was read in one piece came at one moment.
const leastSeen = time.Millisecond

// Usual is the time in the middle that something takes at the usual pace, as far as this node saw. Single times that are far
// longer, of queues or of callers that read slowly, move it no more than others. The zero Usual knows none.
type Usual struct {
	middle time.Duration
	// seen counts the times that were taken in.
	seen int
}

// See takes in a time that something took at a pace.
func (u *Usual) See(took time.Duration, at work.Pace) {
	took = time.Duration(float64(took) / max(float64(at), 1))
	if took < leastSeen {
		return
	}
	u.seen++
	step := time.Duration(max(usualStep, firstStep/float64(u.seen)) * float64(u.middle))
	switch {
	case u.middle == 0:
		u.middle = took
	case took > u.middle:
		u.middle = min(u.middle+step, took)
	default:
		u.middle = max(u.middle-step, took)
	}
}

// Or returns the time, or another one where none was seen.
func (u *Usual) Or(unseen time.Duration) time.Duration {
	if u.middle == 0 {
		return unseen
	}
	return u.middle
}

// Cost is by how much longer the first event takes at a pace that usually takes a time. A delay that leaves the answer well within
// its objective costs less than it lasts, for it earns as much: what counts is that it may grow beyond, by the square of the part
// of the objective that it takes. Waiting behind others is less certain than slow work of a known pace: of the requests at runners
// three times slower with a free place 1 in 300 was late, of the first in a queue at one of the usual pace 1 in 30. Zero names no
// objective.
func Cost(usual, objective time.Duration, at work.Pace) time.Duration {
	delay := float64(usual) * max(float64(at)-1, 0)
	if objective <= 0 {
		return time.Duration(delay)
	}
	part := min(float64(usual)*float64(at)/float64(objective), 1)
	return time.Duration(delay * part * part)
}

// Keeps says whether a runner at a pace keeps to the longest pause between two events. It does where no pause is named, or
// where nobody saw the usual one.
func Keeps(usualGap, pause time.Duration, at work.Pace) bool {
	return pause <= 0 || at <= 1 || time.Duration(float64(usualGap)*float64(at)) <= pause
}
