package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

const (
	// errSink means that the sink returned an error, which usually means that the caller has disconnected.
	errSink = failure.Kind("dispatch: caller gone")
	// errNoEngine means that the runner was removed from the machine list after it was chosen.
	errNoEngine = failure.Kind("dispatch: runner no longer listed")
	// errStalled means that no chunk arrived within the time-out.
	errStalled = failure.Kind("dispatch: stream stalled")
)

// maxResumes limits consecutive resumptions of one attempt without progress.
const maxResumes = 3

// attemptFailure is the failure of one attempt on one runner.
type attemptFailure struct {
	outcome    outcome.Outcome
	retryAfter time.Duration
	// final is true if a retry on another runner cannot succeed.
	final bool
	cause error
}

// attempt runs the request on one runner and resumes it there after a broken stream.
func (f *flight) attempt(ctx context.Context, runner ident.Runner) *attemptFailure {
	f.attempts++
	f.tried = append(f.tried, runner)
	target, found := f.dispatcher.config.Engines.Engine(runner)
	if !found {
		return &attemptFailure{outcome: outcome.NotRun, cause: errNoEngine}
	}
	table := f.dispatcher.config.Table
	table.Start(runner, f.request.PrefixBlocks)
	defer table.End(runner)
	f.attemptStart = f.dispatcher.config.Now()
	failed := f.runOn(ctx, target)
	f.observe(runner, failed)
	if failed != nil && failed.outcome != outcome.NotRun {
		f.dispatcher.abortLater(target, f.request.ID)
	}
	return failed
}

// runOn starts the request on an engine and relays its answer.
func (f *flight) runOn(ctx context.Context, target engine.Engine) *attemptFailure {
	watch := newStallWatch(ctx, f.dispatcher.config.Limits)
	defer watch.stop()
	call := engine.Call{Request: f.request, Attempt: f.attempts}
	stream, err := target.Generate(watch.ctx, call)
	if err != nil {
		failed := generateFailure(err)
		if failed.outcome != outcome.Unknown || ctx.Err() != nil {
			return failed
		}
		// The engine may have received the request. If so, its stream can be read from the current position.
		return f.resume(ctx, target, failed)
	}
	err = f.relay(stream, watch)
	if err == nil {
		return nil
	}
	failed := relayFailure(err)
	if failed.final || ctx.Err() != nil {
		return failed
	}
	return f.resume(ctx, target, failed)
}

// resume reads the stream buffered by the engine from the current position, until the answer is complete or repeated
// resumptions make no progress. It returns the original failure if it does not succeed.
func (f *flight) resume(ctx context.Context, target engine.Engine, failed *attemptFailure) *attemptFailure {
	for tries := 0; tries < maxResumes; {
		before := f.position.Next()
		err := f.resumeOnce(ctx, target)
		if err == nil {
			f.dispatcher.metrics.resumed()
			return nil
		}
		if errors.Is(err, errSink) {
			return relayFailure(err)
		}
		if ctx.Err() != nil || !mayResume(err) {
			break
		}
		tries++
		if f.position.Next() > before {
			tries = 0
		}
	}
	return failed
}

// mayResume reports whether another resumption on the same runner can succeed after the error.
func mayResume(err error) bool {
	return !errors.Is(err, engine.ErrGone) && !errors.Is(err, engine.ErrUnreachable) && !errors.Is(err, errStalled)
}

func (f *flight) resumeOnce(ctx context.Context, target engine.Engine) error {
	watch := newStallWatch(ctx, f.dispatcher.config.Limits)
	defer watch.stop()
	stream, err := target.Resume(watch.ctx, f.request.ID, f.position.Next())
	if err != nil {
		return fmt.Errorf("resuming: %w", err)
	}
	return f.relay(stream, watch)
}

// relay passes the chunks of a stream to the sink until the answer is complete. In every case it flushes the sink before it
// returns.
func (f *flight) relay(stream engine.Stream, watch *stallWatch) error {
	defer stream.Close()
	out := newRelayOutput(f.sink, stream)
	failed := f.relayTo(out, stream, watch)
	if err := out.flush(); err != nil && failed == nil {
		return fmt.Errorf("%w: %w", errSink, err)
	}
	return failed
}

func (f *flight) relayTo(out *relayOutput, stream engine.Stream, watch *stallWatch) error {
	for !f.position.Final() {
		if err := out.beforeNext(); err != nil {
			return fmt.Errorf("%w: %w", errSink, err)
		}
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return answer.ErrTruncated
		}
		if err != nil {
			return fmt.Errorf("reading the stream: %w", watch.explain(err))
		}
		watch.progress()
		verdict, err := f.position.Accept(&chunk)
		if err != nil {
			return fmt.Errorf("chunk at token %d: %w", chunk.Offset, err)
		}
		if verdict == answer.Drop {
			continue
		}
		f.reportFirstChunk()
		f.sent = true
		if err := out.chunk(chunk); err != nil {
			return fmt.Errorf("%w: %w", errSink, err)
		}
	}
	return nil
}

// reportFirstChunk reports the time to the first chunk of the current attempt, once.
func (f *flight) reportFirstChunk() {
	if f.attemptStart.IsZero() {
		return
	}
	f.dispatcher.config.FirstToken(f.request, f.dispatcher.config.Now().Sub(f.attemptStart))
	f.attemptStart = time.Time{}
}

// generateFailure describes a call that returned no stream. The outcome is Unknown if the error does not state one.
func generateFailure(err error) *attemptFailure {
	failed := &attemptFailure{outcome: outcome.Unknown, cause: err}
	var stated *engine.AttemptError
	if errors.As(err, &stated) {
		failed.outcome = stated.Outcome
		failed.retryAfter = stated.RetryAfter
	}
	failed.final = errors.Is(err, engine.ErrRejected)
	return failed
}

// relayFailure describes a broken stream. The outcome is Ran because the engine had started the request.
func relayFailure(err error) *attemptFailure {
	return &attemptFailure{outcome: outcome.Ran, cause: err, final: errors.Is(err, errSink)}
}

// observe updates the table with the result of the attempt.
func (f *flight) observe(runner ident.Runner, failed *attemptFailure) {
	table, now := f.dispatcher.config.Table, f.dispatcher.config.Now()
	f.dispatcher.metrics.attempted(failed)
	switch {
	case failed == nil:
		table.ObserveSuccess(runner)
	case errors.Is(failed.cause, engine.ErrLeaving):
		table.ObserveLeaving(runner, true, now)
	case errors.Is(failed.cause, engine.ErrBusy):
		table.ObserveBusy(runner, now.Add(max(failed.retryAfter, minBusyPause)))
	case errors.Is(failed.cause, engine.ErrModelNotLoaded):
		table.ObserveNotLoaded(runner, f.request.Model, f.request.Adapter)
	case errors.Is(failed.cause, engine.ErrRejected), errors.Is(failed.cause, errSink), errors.Is(failed.cause, context.Canceled):
		return
	default:
		if table.ObserveFailure(runner, now) {
			event.RunnerEjected.Log(f.dispatcher.config.Logger).Str("runner", string(runner)).Err(failed.cause).Send()
		}
	}
}

// minBusyPause is the minimum time for which a runner that refused work as busy gets no requests.
const minBusyPause = 100 * time.Millisecond
