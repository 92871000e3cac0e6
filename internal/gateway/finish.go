package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// errAnswered tells the dispatcher that the caller has its final answer.
const errAnswered = failure.Kind("gateway: the caller has its final answer")

// finisher lets exactly one of the dispatcher and the give-up timer end an answer.
//
// Invariant: everything written to the caller is written under the mutex, and nothing after final is set.
type finisher struct {
	mutex sync.Mutex
	final bool
}

// dispatch runs the request into the sink. If its context ends and the dispatcher does not return within the grace,
// giveUp answers the caller at once while the dispatcher is still waited for: a non-repeatable request may go on.
// It returns errAnswered in that case.
func (e *exchange) dispatch(ctx context.Context, decoded *inference.Request, sink Sink, finish *finisher, giveUp func(*failure.Error)) error {
	var timer *time.Timer
	stop := context.AfterFunc(ctx, func() {
		finish.mutex.Lock()
		defer finish.mutex.Unlock()
		timer = time.AfterFunc(e.gateway.limits.GiveUpGrace, func() { e.giveUp(ctx, finish, giveUp) })
	})
	// Also on a panic of the dispatcher nothing may be written once this returns.
	defer func() {
		stop()
		finish.mutex.Lock()
		defer finish.mutex.Unlock()
		finish.final = true
		if timer != nil {
			timer.Stop()
		}
	}()
	err := e.gateway.options.Dispatcher.Dispatch(ctx, decoded, sink)
	finish.mutex.Lock()
	defer finish.mutex.Unlock()
	if finish.final {
		return errAnswered
	}
	finish.final = true
	return e.explain(ctx, err)
}

func (e *exchange) giveUp(ctx context.Context, finish *finisher, answer func(*failure.Error)) {
	finish.mutex.Lock()
	defer finish.mutex.Unlock()
	if finish.final {
		return
	}
	finish.final = true
	event.CallerGivenUp.Log(e.gateway.options.Logger).Str("request", string(e.id)).Err(context.Cause(ctx)).Send()
	failed := contextFailure(ctx).WithOutcome(outcome.Unknown)
	e.note(failed)
	answer(failed)
	e.endNow()
}

// lastChunk ends an HTTP/1.1 body of unstated length.
var lastChunk = []byte("0\r\n\r\n")

// endNow ends the answer on the wire while its handler still waits for the dispatcher. Over HTTP/1 the server would end
// it only after the handler, and the connection could carry nothing else until then, so it is closed. Over HTTP/2 the
// error event or the stated length has to do; other requests of the connection go on.
func (e *exchange) endNow() {
	if e.eager {
		return
	}
	chunked := e.Header().Get("Content-Length") == "" && e.request.ProtoAtLeast(1, 1)
	connection, _, err := e.control.Hijack()
	if err != nil {
		return
	}
	if chunked {
		_, _ = connection.Write(lastChunk)
	}
	_ = connection.Close()
}

// explain returns the dispatcher's error, with the reason the gateway knows where it ended the request itself.
func (e *exchange) explain(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	failed := failure.As(err)
	if ctx.Err() == nil || failed.Code != failure.CodeCancelled && failed.Code != failure.CodeInternal {
		return failed
	}
	return contextFailure(ctx).WithOutcome(failed.Outcome).WithCause(err)
}

// contextFailure says why the context ended.
func contextFailure(ctx context.Context) *failure.Error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errTimeUp):
		return failure.New(failure.CodeDeadlineExceeded, "the request's time is up").WithCause(cause)
	case errors.Is(cause, errDrainCut):
		return failure.New(failure.CodeDraining, "this node stopped before the answer was whole").WithCause(cause).WithRetryAfter(drainingRetryAfter)
	default:
		return failure.New(failure.CodeCancelled, "the caller has gone").WithCause(cause)
	}
}
