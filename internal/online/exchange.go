package online

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/waitline"
	"mallowlatch.example/mallowlatch/internal/work"
)

// exchange is the serving of one request.
type exchange struct {
	forwarder *Forwarder
	ctx       context.Context
	route     *work.Route
	request   *work.Request
	writer    work.AnswerWriter
	deadline  time.Time
	service   string
	// tried holds the runners that had the request, full those that refused it since it last waited.
	tried, full map[ident.Incarnation]bool
	// paused are those of tried that were given up for a pause within a stream: they work.
	paused []ident.Incarnation
	// room is where the request waits for a place, waiter its place in the line there.
	room   *room
	waiter *waitline.Waiter
	// runs counts the attempts that a runner may have run.
	runs int
	// begun is set once the head went to the caller; after that no error can be told but by breaking off.
	begun bool
	// lastEvent is the id of the last event the caller has.
	lastEvent int64
	// place is that of the last attempt.
	place *place
	// sent is when the last attempt was sent.
	sent    time.Time
	outcome outcome.Outcome
	// printed is the request's print once it was needed.
	printed poison.Print
}

// errTryAgain means that another runner may have the request.
const errTryAgain = failure.Kind("online: another runner may have the request")

// run tries runners until one answers or nothing more is allowed.
func (e *exchange) run() error {
	var last error
	for range maximumTries {
		err := e.attempt()
		if err == nil || !errors.Is(err, errTryAgain) {
			return e.finish(err)
		}
		last = err
		if e.runs >= max(e.route.MaximumAttempts, 1) {
			break
		}
	}
	return e.finish(last)
}

// attempt sends the request to one runner. It returns errTryAgain where another runner may have it.
func (e *exchange) attempt() error {
	now := e.forwarder.Now()
	budget := e.deadline.Sub(now)
	if budget < leastBudget {
		return e.refusal(failure.CodeDeadlineExceeded, "the time of the request is over", nil)
	}
	if e.endsRunners() {
		return e.turnedAway()
	}
	flight, err := e.pick()
	if err != nil {
		return e.notPicked(err)
	}
	// Other nodes may have told of it while the request waited for its place.
	if e.endsRunners() {
		flight.End()
		e.room.unused(e.waiter)
		return e.turnedAway()
	}
	e.sent = e.forwarder.Now()
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	e.place = &place{flight: flight, room: e.room, waiter: e.waiter, now: e.forwarder.Now, sent: e.sent, ctx: ctx, end: cancel}
	defer e.place.free()
	e.tried[flight.Runner.ID] = true
	budget = e.deadline.Sub(e.sent)
	guard := e.guardSilence(cancel)
	reply, err := e.forwarder.Caller.Send(ctx, work.Attempt{Request: e.request, Runner: flight.Runner, Budget: budget, ResumeAfter: e.lastEvent})
	if err != nil {
		return e.sendFailed(flight, err, guard)
	}
	defer func() { _ = reply.Body.Close() }()
	flight.Answered(reply.Head.Load, e.forwarder.Now())
	return e.take(flight, reply, guard)
}

// notPicked is the final answer of a request for which no runner was chosen.
func (e *exchange) notPicked(err error) error {
	switch {
	case errors.Is(err, errHopeless):
		e.room.turnedAway(e.waiter)
		return e.refusal(failure.CodeOverloaded, "no runner has a place in time", err)
	case e.ctx.Err() != nil:
		return e.refusal(failure.CodeDeadlineExceeded, "the time of the request is over", err)
	}
	return e.refusal(failure.CodeNoBackend, "no runner may take the request", err)
}

// late says that the request can't be answered within its objective any more.
func (e *exchange) late() bool { return e.forwarder.Now().After(e.waiter.OnTime) }

// wish is what the choice of a runner depends on. One that waits is not sent where it would have to wait at the runner.
func (e *exchange) wish(waits bool) runnertable.Wish {
	wish := runnertable.Wish{
		Service: e.service, Class: runnertable.Online, Prefix: e.request.Prefix,
		PromptTokens: e.request.PromptTokens, Tokens: e.request.PromptTokens + e.request.MaximumTokens, Bytes: len(e.request.Body),
		Objective: e.route.Objective, Pause: e.route.Pause, Exclude: e.tried,
	}
	if waits {
		wish.Full, wish.Yields, wish.Late = e.full, e.room.yieldsNow(e.waiter), e.late()
		wish.Scarce = e.request.Tenant != "" && e.room.scarce()
	}
	return wish
}

// guardSilence ends the attempt when no first event comes in time, where a further attempt is allowed.
func (e *exchange) guardSilence(cancel context.CancelFunc) *silenceGuard {
	if !e.route.Repeatable() || e.runs+1 >= e.route.MaximumAttempts {
		return nil
	}
	allowed := min(max(silenceFactor*e.route.Objective, shortestSilence), longestSilence)
	return newSilenceGuard(allowed, pauseFactor*e.route.Pause, cancel)
}

// sendFailed notes an attempt without an answer.
func (e *exchange) sendFailed(flight *runnertable.Flight, err error, guard *silenceGuard) error {
	result, cause := classify(err)
	if guard.fired() {
		cause = runnertable.Silent
		e.forwarder.Caller.Forget(flight.Runner)
	}
	e.outcome = outcome.Join(e.outcome, result)
	if e.ctx.Err() == nil {
		flight.Failed(cause, e.forwarder.Now())
		e.logAttempt(flight, err)
	}
	if result == outcome.NotRun {
		return fmt.Errorf("%w: %w", errTryAgain, err)
	}
	e.brokeOff(flight)
	e.runs++
	return e.afterRun(err)
}

// afterRun decides whether a request that may have run may run again.
func (e *exchange) afterRun(err error) error {
	if e.ctx.Err() == nil && e.route.Repeatable() && e.runs < e.route.MaximumAttempts {
		return fmt.Errorf("%w: %w", errTryAgain, err)
	}
	return err
}

// take passes a runner's answer on, or decides to ask another runner.
func (e *exchange) take(flight *runnertable.Flight, reply *work.Reply, guard *silenceGuard) error {
	switch {
	case reply.Replaced:
		guard.stop()
		flight.Failed(runnertable.Replaced, e.forwarder.Now())
		e.forwarder.Caller.Forget(flight.Runner)
		return fmt.Errorf("%w: runner %s is replaced", errTryAgain, flight.Runner.ID)
	case reply.NotRun:
		guard.stop()
		delete(e.tried, flight.Runner.ID)
		e.full[flight.Runner.ID] = true
		flight.Failed(runnertable.Refused, e.forwarder.Now())
		return fmt.Errorf("%w: runner %s refused", errTryAgain, flight.Runner.ID)
	}
	e.runs++
	e.outcome = outcome.Ran
	if !acceptable(reply) {
		guard.stop()
		flight.Failed(runnertable.NoAnswer, e.forwarder.Now())
		return e.afterRun(fmt.Errorf("%w: success without the runner's signature or bytes", errUnsound))
	}
	if erred(reply) {
		flight.Failed(runnertable.Erred, e.forwarder.Now())
	}
	if e.begun && !isStream(reply) {
		guard.stop()
		return e.afterRun(fmt.Errorf("%w: status %d", errNotResumed, reply.Head.Status))
	}
	if erred(reply) && e.mayRunAgain() {
		guard.stop()
		return fmt.Errorf("%w: status %d", errTryAgain, reply.Head.Status)
	}
	before := e.lastEvent
	err := e.relay(flight, reply, guard)
	if err == nil && !erred(reply) {
		e.cameToItsEnd()
	}
	// None of these is a failure of the runner.
	if err == nil || errors.Is(err, errCallerGone) || errors.Is(err, heldbytes.ErrOver) {
		return err
	}
	e.brokeOff(flight)
	if e.ctx.Err() == nil {
		cause := runnertable.NoAnswer
		if guard.fired() {
			e.forwarder.Caller.Forget(flight.Runner)
		}
		switch {
		case guard.fired() && e.lastEvent == before:
			cause = runnertable.Silent
		case guard.fired():
			e.paused = append(e.paused, flight.Runner.ID)
		}
		flight.Failed(cause, e.forwarder.Now())
		e.logAttempt(flight, err)
	}
	return e.afterRun(err)
}

// erred says whether the runner failed; its answer at the request's deadline is no failure of the runner.
func erred(reply *work.Reply) bool {
	return reply.Head.Status >= http.StatusInternalServerError && reply.Head.Status != http.StatusGatewayTimeout
}

func (e *exchange) mayRunAgain() bool {
	return !e.begun && e.route.Repeatable() && e.runs < e.route.MaximumAttempts
}

// errNotResumed means that a runner which was to go on with a stream answered otherwise. What it sent is no part of the
// stream.
const errNotResumed = failure.Kind("online: stream was not gone on with")

// errUnsound means that a success cannot be passed on as the runner's.
const errUnsound = failure.Kind("online: answer is not the runner's own")

// acceptable says whether a success carries the signature and the runner's own bytes.
func acceptable(reply *work.Reply) bool {
	success := reply.Head.Status >= http.StatusOK && reply.Head.Status < http.StatusMultipleChoices
	return !success || (reply.Sealed && !reply.Encoded)
}

// finish turns the last error into what the caller is told.
func (e *exchange) finish(err error) error {
	if err == nil {
		return nil
	}
	if e.begun {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	var told *failure.Error
	if errors.As(err, &told) {
		return err
	}
	if e.forwarder.Now().Add(leastBudget).After(e.deadline) {
		return e.refusal(failure.CodeDeadlineExceeded, "the time of the request is over", err)
	}
	if e.outcome == outcome.NotRun {
		return e.refusal(failure.CodeOverloaded, "no runner took the request", err)
	}
	return e.refusal(failure.CodeBackendFailed, "the runner's answer was lost", err)
}

// refusal is the final answer of a request that is given up. Only one that has not run is told when to come back.
func (e *exchange) refusal(code failure.Code, message string, cause error) error {
	refused := failure.New(code, "%s", message).WithOutcome(e.outcome).WithCause(cause)
	switch {
	case e.outcome != outcome.NotRun:
		return refused
	case errors.Is(cause, connpool.ErrNotSent), errors.Is(cause, runnertable.ErrNoRunner):
		return refused.WithRetryAfter(retryAfterOutage)
	}
	return refused.WithRetryAfter(e.room.returnAfter(e.waiter))
}

func (e *exchange) logAttempt(flight *runnertable.Flight, err error) {
	event.AttemptFailed.Log(e.forwarder.Logger).
		Str("request", string(e.request.ID)).
		Str("print", string(e.print())).
		Str("runner", string(flight.Runner.ID)).
		Int("runs", e.runs).
		Int64("last_event", e.lastEvent).
		Err(err).
		Send()
}
