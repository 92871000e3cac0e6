package runnertable

import (
	"math"
	"time"
)

// Failure is the way in which an attempt at a runner failed.
type Failure uint8

const (
	// Unreachable means that no connection could be established.
	Unreachable Failure = iota
	// NoAnswer means that the request was sent and no response was received, or that the response broke off.
	NoAnswer
	// FirstByteTimeout means that the runner did not start to respond in time.
	FirstByteTimeout
	// Refused means that the runner refused the request because it is full.
	Refused
	// ErrorResponse means that the runner responded with an error.
	ErrorResponse
	// Replaced means that another incarnation, or another service, answers at the address.
	Replaced
)

const (
	// firstEjection is the duration of the first ejection. It doubles with each further failure, up to
	// longestEjection.
	firstEjection   = 300 * time.Millisecond
	longestEjection = 3 * time.Second
	// failuresBeforeEjection is the number of consecutive lost responses after which the runner is ejected: fewer may
	// be faults of single responses.
	failuresBeforeEjection = 3
	// rateWeight is the weight of one outcome in the failure rate. rateHalfLife is the half-life of the rate, which
	// decays so that a runner that gets no requests is tried again.
	rateWeight   = 0.2
	rateHalfLife = 3 * time.Second
	// replacedFor is how long a runner gets nothing after something else answered at its address. By then the registry has dropped the entry of
	// one that is gone (three heartbeats); one that is still listed is tried again, because a single answer may be wrong.
	replacedFor = 5 * time.Second
	// refusalBackoff is how long a runner that refused a request is avoided.
	refusalBackoff = 60 * time.Millisecond
)

// health tracks the failures of a runner. After repeated failures the runner is ejected for a while; then a single
// success clears it, and a single failure ejects it for longer.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	fullUntil    time.Time
	// replacedUntil is until when the runner gets nothing because something else answered at its address.
	replacedUntil time.Time
	// rate is the share of failures among recent outcomes, as of rateAt.
	rate   float64
	rateAt time.Time
}

func (h *health) failed(failure Failure, now time.Time) {
	switch failure {
	case Refused:
		h.fullUntil = now.Add(refusalBackoff)
	case Replaced:
		h.replacedUntil = now.Add(replacedFor)
	case Unreachable, FirstByteTimeout:
		h.failures = max(h.failures, failuresBeforeEjection-1)
		h.addFailure(now)
	case NoAnswer, ErrorResponse:
		h.addFailure(now)
	}
	if failure != Refused && failure != Replaced {
		h.recordOutcome(1, now)
	}
}

// recordOutcome adds an outcome to the failure rate: 1 for a failure, 0 for a success.
func (h *health) recordOutcome(outcome float64, now time.Time) {
	rate := h.failureRate(now)
	h.rate, h.rateAt = rate+rateWeight*(outcome-rate), now
}

// failureRate returns the share of failures, decayed to the current time.
func (h *health) failureRate(now time.Time) float64 {
	if h.rate == 0 {
		return 0
	}
	return h.rate * math.Exp2(-float64(now.Sub(h.rateAt))/float64(rateHalfLife))
}

// addFailure counts a failure and ejects the runner if the limit is reached.
func (h *health) addFailure(now time.Time) {
	h.failures++
	if h.failures < failuresBeforeEjection || now.Before(h.ejectedUntil) {
		return
	}
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 6), longestEjection))
	h.ejections++
}

func (h *health) succeeded(now time.Time) {
	h.recordOutcome(0, now)
	h.failures = 0
	h.ejections = 0
	h.ejectedUntil = time.Time{}
}

// reset clears the failures, but not that something else answers at the address.
func (h *health) reset() { *h = health{replacedUntil: h.replacedUntil} }

// replaced says whether something else answered at the address lately.
func (h *health) replaced(now time.Time) bool { return now.Before(h.replacedUntil) }

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) full(now time.Time) bool { return now.Before(h.fullUntil) }
