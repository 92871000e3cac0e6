package runnertable

import (
	"math"
	"time"
)

// Failure says how an attempt at a runner failed.
type Failure uint8

const (
	// Unreachable means that no connection came up.
	Unreachable Failure = iota
	// NoAnswer means that the request was sent and its answer did not come, or broke off.
	NoAnswer
	// Silent means that the runner did not begin to answer in time.
	Silent
	// Refused means that the runner is full and said so.
	Refused
	// Erred means that the runner answered with a failure of its own.
	Erred
	// Replaced means that another incarnation, or another service, has the address.
	Replaced
)

const (
	// firstEjection doubles with each further failure up to longestEjection.
	firstEjection   = 300 * time.Millisecond
	longestEjection = 3 * time.Second
	// failuresBeforeEjection is how many lost answers in a row show that the runner, and not one answer, is bad.
	failuresBeforeEjection = 3
	// rateWeight is the part of one outcome in the rate of failures, rateHalfLife how fast the rate is forgotten, so that a
	// runner that is passed over gets another chance.
	rateWeight   = 0.2
	rateHalfLife = 3 * time.Second
	// fullPause is how long a runner that refused a request is passed over.
	fullPause = 60 * time.Millisecond
)

// health decides whether a runner may take work after failures: an outlier is ejected for a while, then one success
// brings it back and one failure ejects it for longer.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	fullUntil    time.Time
	// replaced is set once something else answered at the runner's address: no probe brings it back.
	replaced bool
	// rate is the share of failures among the last outcomes, as of rateAt.
	rate   float64
	rateAt time.Time
}

func (h *health) failed(failure Failure, now time.Time) {
	switch failure {
	case Refused:
		h.fullUntil = now.Add(fullPause)
	case Replaced:
		h.replaced = true
	case Unreachable, Silent:
		h.failures = max(h.failures, failuresBeforeEjection-1)
		h.count(now)
	case NoAnswer, Erred:
		h.count(now)
	}
	if failure != Refused && failure != Replaced {
		h.noteRate(1, now)
	}
}

// noteRate takes one outcome into the rate: one for a failure, zero for a success.
func (h *health) noteRate(outcome float64, now time.Time) {
	rate := h.failureRate(now)
	h.rate, h.rateAt = rate+rateWeight*(outcome-rate), now
}

// failureRate is the share of failures, fading with time.
func (h *health) failureRate(now time.Time) float64 {
	if h.rate == 0 {
		return 0
	}
	return h.rate * math.Exp2(-float64(now.Sub(h.rateAt))/float64(rateHalfLife))
}

// count adds one failure and ejects the runner when they are enough.
func (h *health) count(now time.Time) {
	h.failures++
	if h.failures < failuresBeforeEjection || now.Before(h.ejectedUntil) {
		return
	}
	h.ejectedUntil = now.Add(min(firstEjection<<min(h.ejections, 6), longestEjection))
	h.ejections++
}

func (h *health) succeeded(now time.Time) {
	h.noteRate(0, now)
	h.failures = 0
	h.ejections = 0
	h.ejectedUntil = time.Time{}
}

// forgive forgets the failures, but not that something else has the address.
func (h *health) forgive() { *h = health{replaced: h.replaced} }

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) full(now time.Time) bool { return now.Before(h.fullUntil) }
