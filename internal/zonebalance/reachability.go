// Package zonebalance balances requests between zones: it tracks which other zones are reachable, and decides which share
// of the requests leaves a zone that is short of slots, and to which zones. The package does no I/O; times and random
// numbers are arguments.
package zonebalance

import (
	"maps"
	"time"
)

// State is the reachability of a zone.
type State uint8

const (
	// Reachable is a zone that answers, or to which no request was sent yet.
	Reachable State = iota
	// Suspected is a zone in which a single worker or runner left a request unanswered, and none has answered a later
	// one.
	Suspected
	// Unreachable is a zone in which unreachablePeers workers or runners left requests unanswered, or which has been
	// suspected for unreachableAfter.
	Unreachable
)

const (
	// unreachablePeers is the number of workers or runners that have to leave requests unanswered: with one, a single
	// dead machine would make its zone unreachable.
	unreachablePeers = 2
	// unreachableAfter is how long a zone stays suspected if no other peer answers: twice as long as a report may
	// take.
	unreachableAfter = 600 * time.Millisecond
)

// Reachability is a node's view of whether another zone answers it. The zero value is reachable. It is not safe for
// concurrent use.
type Reachability struct {
	// answered is when the latest request that got an answer was sent.
	answered time.Time
	// unanswered holds the requests without an answer, by peer. All were sent after answered.
	unanswered map[string]unansweredRequest
	// firstUnanswered is when the first unanswered request was sent since the zone was last reachable; zero while it is
	// reachable.
	firstUnanswered time.Time
}

// unansweredRequest is a request without an answer.
type unansweredRequest struct{ sent, timedOut time.Time }

// Answered records that a peer in the zone answered a request that was sent at a time. If this makes the zone
// reachable again, it returns when the first unanswered request was sent.
func (r *Reachability) Answered(sent time.Time) (since time.Time, back bool) {
	if !sent.After(r.answered) {
		return time.Time{}, false
	}
	r.answered = sent
	maps.DeleteFunc(r.unanswered, func(_ string, request unansweredRequest) bool { return !request.sent.After(sent) })
	if r.firstUnanswered.IsZero() || len(r.unanswered) > 0 {
		return time.Time{}, false
	}
	since, r.firstUnanswered = r.firstUnanswered, time.Time{}
	return since, true
}

// TimedOut records that a peer in the zone left a request unanswered. A request sent before another one that was
// answered proves nothing about the zone.
func (r *Reachability) TimedOut(peer string, sent, now time.Time) {
	if !sent.After(r.answered) {
		return
	}
	if r.unanswered == nil {
		r.unanswered = map[string]unansweredRequest{}
	}
	if _, again := r.unanswered[peer]; !again {
		r.unanswered[peer] = unansweredRequest{sent: sent, timedOut: now}
	}
	if r.firstUnanswered.IsZero() || sent.Before(r.firstUnanswered) {
		r.firstUnanswered = sent
	}
}

// State returns the reachability of the zone.
func (r *Reachability) State(now time.Time) State {
	switch {
	case len(r.unanswered) == 0:
		return Reachable
	case len(r.unanswered) >= unreachablePeers, now.Sub(r.SuspectedSince()) >= unreachableAfter:
		return Unreachable
	}
	return Suspected
}

// SuspectedSince returns when the first request timed out that is still unanswered, or zero if the zone is reachable.
func (r *Reachability) SuspectedSince() time.Time {
	var first time.Time
	for _, request := range r.unanswered {
		if first.IsZero() || request.timedOut.Before(first) {
			first = request.timedOut
		}
	}
	return first
}
