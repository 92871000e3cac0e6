package queueroom

import "time"

// Verdict says whether a job may be taken.
type Verdict uint8

const (
	// Unheard means that no keeper answered.
	Unheard Verdict = iota
	// Unsure means that too few of them answered for certain. What they know of is known.
	Unsure
	// Unkept means that the keepers are of a build that keeps no account.
	Unkept
	// Fits means that the job's room is reserved.
	Fits
	// Full means that there is no room for it.
	Full
)

// Reservation is the room of one attempt to take a job.
type Reservation struct {
	Verdict Verdict
	Count   Count
	// Release gives the room back; it is to be called where the job was certainly not taken. It does not wait.
	Release func()
}

// Decide says whether a job of some tokens fits beside what a count has, given the number of keepers and the bound.
func Decide(count Count, keepers, tokens, bound int) Verdict {
	switch {
	case count.Answers == 0:
		return Unheard
	case count.Sure < Majority(keepers):
		return Unsure
	case count.Taken, count.Waiting+tokens <= bound:
		return Fits
	}
	return Full
}

const (
	// soonest and latest bound when the caller of a job that does not fit may come back: it has a few seconds left, as a rule.
	soonest = 300 * time.Millisecond
	latest  = 1500 * time.Millisecond
	// unknownReturn is when it may where nothing was finished lately.
	unknownReturn = time.Second
	// spreadOver is the part of the time over which those who were sent away come back.
	spreadOver = 0.5
)

// ReturnAfter is when the caller of a job that does not fit may come back: once so much is finished as it lacks, at the pace of late. spread,
// from zero to one, is drawn for each caller.
func ReturnAfter(count Count, tokens, bound int, spread float64) time.Duration {
	after := unknownReturn
	if lacking := count.Waiting + tokens - bound; count.Freed > 0 {
		after = time.Duration(float64(lacking) / float64(count.Freed) * float64(time.Second))
	}
	after = min(max(after, soonest), latest)
	return after + time.Duration(spreadOver*spread*float64(after))
}
