package queuecapacity

import "time"

// Verdict is the decision on whether a job may be accepted.
type Verdict uint8

const (
	// NoAnswer means that no account holder answered.
	NoAnswer Verdict = iota
	// Uncertain means that too few account holders gave a definite answer. The tokens that they know of are still counted.
	Uncertain
	// Unsupported means that the account holders run a build without queue accounts.
	Unsupported
	// Fits means that capacity is reserved for the job.
	Fits
	// Full means that the queue lacks the capacity for the job.
	Full
)

// Reservation is the queue capacity reserved for one attempt to submit a job.
type Reservation struct {
	Verdict Verdict
	Count   Count
	// Release releases the capacity without blocking. It must be called only if the job was definitely not accepted.
	Release func()
}

// Decide returns whether a job with the given tokens fits next to the counted tokens, given the number of account holders and
// the bound.
func Decide(count Count, holders, tokens, bound int) Verdict {
	switch {
	case count.Answers == 0:
		return NoAnswer
	case count.Sure < Majority(holders):
		return Uncertain
	case count.Taken, count.Waiting+tokens <= bound:
		return Fits
	}
	return Full
}

const (
	// minRetryDelay and maxRetryDelay limit the retry delay of a job that does not fit: its caller usually has a few seconds left.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// defaultRetryDelay is the retry delay if no tokens were finished recently.
	defaultRetryDelay = time.Second
	// jitterFraction is the maximum jitter as a fraction of the delay, so that refused callers do not retry all at once.
	jitterFraction = 0.5
)

// RetryAfter returns the retry delay for the caller of a job that does not fit: the time until the missing capacity is free
// at the recent rate of finished tokens. spread is a random number from zero to one, drawn for each caller.
func RetryAfter(count Count, tokens, bound int, spread float64) time.Duration {
	after := defaultRetryDelay
	if lacking := count.Waiting + tokens - bound; count.Freed > 0 {
		after = time.Duration(float64(lacking) / float64(count.Freed) * float64(time.Second))
	}
	after = min(max(after, minRetryDelay), maxRetryDelay)
	return after + time.Duration(jitterFraction*spread*float64(after))
}
