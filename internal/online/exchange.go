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
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/waitqueue"
	"mallowlatch.example/mallowlatch/internal/work"
)

// exchange is the state of serving one request.
type exchange struct {
	forwarder *Forwarder
	ctx       context.Context
	route     *work.Route
	request   *work.Request
	writer    work.AnswerWriter
	deadline  time.Time
	service   string
	// tried contains the runners that were sent the request, full those that refused it since it last waited.
	tried, full map[ident.Incarnation]bool
	// paused are the runners of tried that were given up because of a pause within a stream. These runners are assumed to work.
	paused []ident.Incarnation
	// queue is where the request waits for a slot, waiter its entry there.
	queue  *queue
	waiter *waitqueue.Waiter
	// runs counts the attempts that a runner may have executed.
	runs int
	// headSent is set once the head was sent to the caller. After that an error can only be signalled by breaking the answer
	// off.
	headSent bool
	// lastEvent is the id of the last event sent to the caller.
	lastEvent int64
	// stream is the id of the client attempt that brought the first event, origin where that event came from; nil before it.
	stream ident.Request
	origin *work.Origin
	// slot is that of the last attempt; began means that its runner has begun to answer.
	slot  *slot
	began bool
	// sent is when the last attempt was sent.
	sent    time.Time
	outcome outcome.Outcome
	// cachedFingerprint is the request's fingerprint, empty until first needed.
	cachedFingerprint poison.Fingerprint
	// cachedParts are the fingerprints of the parts of its prompt that others may share; nil until first needed.
	cachedParts []poison.Fingerprint
}

// errTryAgain means that the request may be sent to another runner.
const errTryAgain = failure.Kind("online: request may be sent to another runner")

// run tries runners until one answers or no further attempt is allowed.
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

// attempt sends the request to one runner. It returns errTryAgain if the request may be sent to another one.
func (e *exchange) attempt() error {
	now := e.forwarder.Now()
	budget := e.deadline.Sub(now)
	if budget < minBudget {
		return e.refusal(failure.CodeDeadlineExceeded, "the time of the request is over", nil)
	}
	if e.isPoison() {
		return e.refusePoison()
	}
	if e.endsTooLate() {
		return e.refuseStopping()
	}
	if err := e.awaitVerified(); err != nil {
		return e.refuseResumption(err)
	}
	e.awaitList()
	flight, err := e.pick()
	if err != nil {
		return e.pickFailed(err)
	}
	// Other nodes may have reported the request as poison while it waited for a slot.
	if e.isPoison() {
		flight.End()
		e.queue.slotUnused(e.waiter)
		return e.refusePoison()
	}
	if e.endsTooLate() {
		return e.withdrawStopping(flight)
	}
	e.sent = e.forwarder.Now()
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	e.slot = &slot{flight: flight, queue: e.queue, waiter: e.waiter, now: e.forwarder.Now, sent: e.sent, ctx: ctx, abort: cancel}
	defer e.slot.release()
	e.began = false
	e.tried[flight.Runner.ID] = true
	if err := e.confirmRunner(ctx, flight); err != nil {
		return fmt.Errorf("%w: %w", errTryAgain, err)
	}
	e.sent = e.forwarder.Now()
	e.slot.sent = e.sent
	if budget = e.deadline.Sub(e.sent); budget < minBudget {
		return e.refusal(failure.CodeDeadlineExceeded, "the time of the request is over", nil)
	}
	guard := e.guardSilence(cancel)
	reply, err := e.forwarder.Caller.Send(ctx, work.Attempt{Request: e.request, Runner: flight.Runner, Budget: budget, ResumeAfter: e.lastEvent, BeforeSend: func() error { return e.beforeSend(flight) }})
	if err != nil {
		return e.sendFailed(flight, err, guard)
	}
	defer func() { _ = reply.Body.Close() }()
	flight.HeadReceived(reply.Head.Load, e.forwarder.Now())
	return e.handleReply(flight, reply, guard)
}

const (
	// listWait is how long a request waits at most for a list that is overdue: by then a reading has been answered or has failed.
	listWait = 800 * time.Millisecond
	// listPoll is the time between two looks meanwhile.
	listPoll = 10 * time.Millisecond
)

// awaitList waits while the list of runners is overdue, as after the process stood still, so that no runner is chosen that has left meanwhile.
func (e *exchange) awaitList() {
	f := e.forwarder
	for end := f.Now().Add(listWait); f.Runners.Overdue(f.Now()) && f.Now().Before(end); {
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(listPoll):
		}
	}
}

// beforeSend is called when a request is about to be sent to a runner that was chosen before. Its error means that another one is to be chosen.
func (e *exchange) beforeSend(flight *runnertable.Flight) error {
	sending := flight.BeforeSend(e.forwarder.Now())
	if sending.Waited > runnertable.LongHold {
		event.RequestHeldLong.Log(e.forwarder.Logger).Str("request", string(e.request.ID)).Str("runner", string(flight.Runner.ID)).
			EmbedObject(sending).Send()
	}
	return sending.Check()
}

// pickFailed returns the final error of a request for which no runner was chosen.
func (e *exchange) pickFailed(err error) error {
	switch {
	case errors.Is(err, runnertable.ErrNoRunner) && e.origin != nil:
		return e.refuseResumption(err)
	case errors.Is(err, errStopping):
		return e.refuseStopping()
	case errors.Is(err, errNoSlotInTime):
		e.queue.recordHeldBack(e.waiter)
		return e.refusal(failure.CodeOverloaded, "no runner has a place in time", err)
	case e.ctx.Err() != nil:
		return e.refusal(failure.CodeDeadlineExceeded, "the time of the request is over", err)
	}
	return e.refusal(failure.CodeNoBackend, "no runner may take the request", err)
}

// late reports whether the request can no longer be answered within its objective.
func (e *exchange) late() bool { return e.forwarder.Now().After(e.waiter.OnTime) }

// pickRequest returns the criteria for choosing a runner. If waits is set, the request waits here rather than at a runner
// without a free slot.
func (e *exchange) pickRequest(waits bool) runnertable.PickRequest {
	pickRequest := runnertable.PickRequest{
		Service: e.service, Class: runnertable.Online, Prefix: e.request.Prefix,
		PromptTokens: e.request.PromptTokens, Tokens: e.request.PromptTokens + e.request.MaximumTokens, Bytes: len(e.request.Body),
		Objective: e.route.Objective, Pause: e.route.Pause, Exclude: e.tried, Origin: e.origin,
	}
	if waits {
		pickRequest.RefusedBy, pickRequest.NoQueueing, pickRequest.Late = e.full, e.queue.isYielding(e.waiter), e.late()
		pickRequest.Scarce = e.request.Tenant != "" && e.queue.scarce()
	}
	return pickRequest
}

// guardSilence returns a guard that ends the attempt if no first event comes in time. It is nil if no further attempt is
// allowed.
func (e *exchange) guardSilence(cancel context.CancelFunc) *silenceGuard {
	if !e.route.Repeatable() || e.runs+1 >= e.route.MaximumAttempts {
		return nil
	}
	allowed := min(max(silenceFactor*e.route.Objective, minSilence), maxSilence)
	return newSilenceGuard(allowed, pauseFactor*e.route.Pause, cancel)
}

// sendFailed handles an attempt that got no answer.
func (e *exchange) sendFailed(flight *runnertable.Flight, err error, guard *silenceGuard) error {
	if errors.Is(err, runnertable.ErrWithdrawn) {
		guard.stop()
		if !errors.Is(err, runnertable.ErrLeaves) {
			delete(e.tried, flight.Runner.ID)
		}
		return fmt.Errorf("%w: %w", errTryAgain, err)
	}
	if errors.Is(err, connpool.ErrMalformed) {
		guard.stop()
		return failure.New(failure.CodeInvalidRequest, "the request cannot be passed on").WithOutcome(e.outcome).WithCause(err)
	}
	result, cause := classify(err)
	if guard.fired() {
		cause = runnertable.FirstByteTimeout
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
	e.recordBroken(flight)
	e.runs++
	return e.retryOrFail(err)
}

// retryOrFail wraps the error in errTryAgain if a request that may have run may be run again.
func (e *exchange) retryOrFail(err error) error {
	if e.ctx.Err() == nil && e.route.Repeatable() && e.runs < e.route.MaximumAttempts {
		return fmt.Errorf("%w: %w", errTryAgain, err)
	}
	return err
}

// handleReply relays a runner's answer to the caller, or decides that another runner is tried.
func (e *exchange) handleReply(flight *runnertable.Flight, reply *work.Reply, guard *silenceGuard) error {
	switch {
	case reply.Replaced:
		guard.stop()
		flight.Failed(runnertable.Replaced, e.forwarder.Now())
		e.forwarder.Caller.Forget(flight.Runner)
		return fmt.Errorf("%w: runner %s was replaced", errTryAgain, flight.Runner.ID)
	case reply.OtherWeights:
		guard.stop()
		return fmt.Errorf("%w: runner %s has other weights", errTryAgain, flight.Runner.ID)
	case reply.NotRun:
		guard.stop()
		delete(e.tried, flight.Runner.ID)
		e.full[flight.Runner.ID] = true
		flight.Failed(runnertable.Refused, e.forwarder.Now())
		return fmt.Errorf("%w: runner %s refused the request", errTryAgain, flight.Runner.ID)
	}
	e.runs++
	e.outcome = outcome.Ran
	if !acceptable(reply) {
		guard.stop()
		flight.Failed(runnertable.NoAnswer, e.forwarder.Now())
		return e.retryOrFail(fmt.Errorf("%w: success without the runner's signature or with modified bytes", errUnverified))
	}
	if erred(reply) {
		flight.Failed(runnertable.ErrorResponse, e.forwarder.Now())
	}
	if e.headSent && !isStream(reply) {
		guard.stop()
		return e.retryOrFail(fmt.Errorf("%w: status %d", errNotResumed, reply.Head.Status))
	}
	if erred(reply) && e.mayRetry() {
		guard.stop()
		return fmt.Errorf("%w: status %d", errTryAgain, reply.Head.Status)
	}
	// The runner may have been started again, as another version, between its confirmation and the request.
	if err := e.confirmRunner(e.slot.ctx, flight); err != nil {
		guard.stop()
		return e.retryOrFail(err)
	}
	before := e.lastEvent
	if e.request.ResumeAfter > 0 && !e.headSent {
		e.logTakenUp(flight)
	}
	err := e.relay(flight, reply, guard)
	if err == nil && !erred(reply) {
		e.recordCompleted()
		e.forwarder.runTimes.add(e.route.Name, e.forwarder.Now().Sub(e.sent))
	}
	// None of these is a fault of the runner.
	if err == nil || errors.Is(err, errCallerGone) || errors.Is(err, memorybudget.ErrBudgetExceeded) {
		return err
	}
	e.recordBroken(flight)
	if e.ctx.Err() == nil {
		cause := runnertable.NoAnswer
		if guard.fired() {
			e.forwarder.Caller.Forget(flight.Runner)
		}
		switch {
		case guard.fired() && e.lastEvent == before:
			cause = runnertable.FirstByteTimeout
		case guard.fired():
			e.paused = append(e.paused, flight.Runner.ID)
		}
		flight.Failed(cause, e.forwarder.Now())
		e.logAttempt(flight, err)
	}
	return e.retryOrFail(err)
}

// erred reports whether the answer shows a failure of the runner. A gateway time-out at the request's deadline is not one.
func erred(reply *work.Reply) bool {
	return reply.Head.Status >= http.StatusInternalServerError && reply.Head.Status != http.StatusGatewayTimeout
}

func (e *exchange) mayRetry() bool {
	return !e.headSent && e.route.Repeatable() && e.runs < e.route.MaximumAttempts
}

// errNotResumed means that a runner asked to resume a stream sent something else. What it sent is not part of the stream.
const errNotResumed = failure.Kind("online: stream was not resumed")

// errUnverified means that an answer cannot be attributed to the runner, or exceeds the size limit, and so is not relayed.
const errUnverified = failure.Kind("online: answer not verified as the runner's")

// acceptable reports whether a success carries the runner's signature and its unmodified bytes. Other statuses are always
// acceptable.
func acceptable(reply *work.Reply) bool {
	success := reply.Head.Status >= http.StatusOK && reply.Head.Status < http.StatusMultipleChoices
	return !success || (reply.Sealed && !reply.Encoded)
}

// finish turns the last error into the one that is reported to the caller.
func (e *exchange) finish(err error) error {
	if err == nil {
		return nil
	}
	if e.headSent {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	var final *failure.Error
	if errors.As(err, &final) {
		return err
	}
	if e.forwarder.Now().Add(minBudget).After(e.deadline) {
		return e.refusal(failure.CodeDeadlineExceeded, "the time of the request is over", err)
	}
	if e.outcome == outcome.NotRun {
		return e.refusal(failure.CodeOverloaded, "no runner took the request", err)
	}
	return e.refusal(failure.CodeBackendFailed, "the runner's answer was lost", err)
}

// refusal returns the final error of a request that is given up. It carries a retry delay only if the request has not run.
func (e *exchange) refusal(code failure.Code, message string, cause error) error {
	refused := failure.New(code, "%s", message).WithOutcome(e.outcome).WithCause(cause)
	switch {
	case e.outcome != outcome.NotRun:
		return refused
	case errors.Is(cause, connpool.ErrNotSent), errors.Is(cause, runnertable.ErrNoRunner):
		return refused.WithRetryAfter(retryAfterOutage)
	}
	return refused.WithRetryAfter(e.queue.retryDelay(e.waiter))
}

func (e *exchange) logAttempt(flight *runnertable.Flight, err error) {
	event.AttemptFailed.Log(e.forwarder.Logger).
		Str("request", string(e.request.ID)).
		Str("print", string(e.fingerprint())).
		Interface("parts", e.parts()).
		Str("runner", string(flight.Runner.ID)).
		Str("version", string(flight.Runner.Version)).
		Int("runs", e.runs).
		Int64("last_event", e.lastEvent).
		Err(err).
		Send()
}

// logTakenUp logs that a runner goes on with a stream that the client took up again.
func (e *exchange) logTakenUp(flight *runnertable.Flight) {
	event.StreamTakenUp.Log(e.forwarder.Logger).
		Str("request", string(e.request.ID)).
		Str("first", string(e.request.Resumes)).
		Str("runner", string(flight.Runner.ID)).
		Str("version", string(flight.Runner.Version)).
		Int64("last_event", e.lastEvent).
		Send()
}
