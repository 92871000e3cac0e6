package online

import (
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// A poison request, which ends the runners that run it, is repeated under other ids and at other nodes, so the attempts of a
// route do not limit how many runners it ends: it was 43 in one storm on a site of 18 runners. The record under its
// fingerprint, which all nodes share, limits them.

// fingerprint returns the request's fingerprint. It is computed when first needed, since reading the body takes some
// microseconds.
func (e *exchange) fingerprint() poison.Fingerprint {
	if e.cachedFingerprint == "" {
		e.cachedFingerprint = e.forwarder.Key.Of(e.request)
	}
	return e.cachedFingerprint
}

// parts returns the fingerprints of the parts of the prompt that other requests may share.
func (e *exchange) parts() []poison.Fingerprint {
	if e.cachedParts == nil {
		e.cachedParts = e.forwarder.Key.OfParts(e.request.Prefix)
	}
	return e.cachedParts
}

// isPoison reports whether enough runners have ended under the request, or under others with a part of its prompt, for it to be refused.
func (e *exchange) isPoison() bool {
	watch := e.forwarder.PoisonWatch
	return !watch.Idle() && (watch.Refused(e.fingerprint()) || watch.Withheld(e.parts(), e.service))
}

// recordBroken records that a runner's answer to the request broke off. A caller that left or a passed deadline is no sign of
// a fault of the runner, and is not recorded.
func (e *exchange) recordBroken(flight *runnertable.Flight) {
	if e.forwarder.PoisonWatch != nil && e.ctx.Err() == nil {
		e.forwarder.PoisonWatch.RecordBroken(flight.Runner, e.suspects()...)
	}
}

// suspects returns the fingerprints that may be to blame if the runner has ended: that of the request, and those of the parts of its prompt
// if the runner had not begun to answer.
func (e *exchange) suspects() []poison.Fingerprint {
	suspects := []poison.Fingerprint{e.fingerprint()}
	if !e.began {
		suspects = append(suspects, e.parts()...)
	}
	return suspects
}

// recordCompleted records that a runner completed the request.
func (e *exchange) recordCompleted() {
	if e.forwarder.PoisonWatch != nil {
		e.forwarder.PoisonWatch.RecordCompleted(e.fingerprint())
	}
}

// refusePoison returns the final error for a poison request, which carries no retry delay. If the request itself was repeated, its outcome is that
// it ran, though perhaps under another id.
func (e *exchange) refusePoison() error {
	event.RequestTurnedAway.Log(e.forwarder.Logger).Str("request", string(e.request.ID)).Str("print", string(e.fingerprint())).
		Interface("parts", e.parts()).Send()
	if e.forwarder.PoisonWatch.Refused(e.fingerprint()) {
		return failure.New(failure.CodeEndsRunners, "runners ended while they ran this request").WithOutcome(outcome.Ran)
	}
	return failure.New(failure.CodeEndsRunners, "runners ended while they ran requests with a part of this prompt").WithOutcome(e.outcome)
}
