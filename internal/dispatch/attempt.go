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
	// errSink means that the sink refused a chunk: the caller is gone.
	errSink = failure.Kind("dispatch: caller gone")
	// errNoEngine means that the runner left the machine list since it was chosen.
	errNoEngine = failure.Kind("dispatch: runner no longer listed")
	// errStalled means that no chunk came in time.
	errStalled = failure.Kind("dispatch: stream stalled")
)

// maxResumes bounds the resumptions of one attempt on its runner without any progress between them.
const maxResumes = 3

// attemptFailure is the failure of one attempt on one runner.
type attemptFailure struct {
	outcome    outcome.Outcome
	retryAfter time.Duration
	// final says that no other runner could do better.
	final bool
	cause error
}

// attempt runs the request on one runner, resuming there after a broken stream.
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
	f.begun = f.dispatcher.config.Now()
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
		// The engine may have received the request: if so, its stream can be read from where this answer stands.
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

// resume reads on from the engine's kept stream until the answer is whole or resuming makes no progress.
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
		if ctx.Err() != nil || !worthResuming(err) {
			break
		}
		tries++
		if f.position.Next() > before {
			tries = 0
		}
	}
	return failed
}

// worthResuming reports whether another resumption on the same runner may get further.
func worthResuming(err error) bool {
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

// relay passes chunks of a stream on until the answer is whole. Whatever ends it, the sink has been told to send all
// that it took.
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
		f.firstChunk()
		f.sent = true
		if err := out.chunk(chunk); err != nil {
			return fmt.Errorf("%w: %w", errSink, err)
		}
	}
	return nil
}

// firstChunk tells how long the runner took to the first chunk of the running attempt.
func (f *flight) firstChunk() {
	if f.begun.IsZero() {
		return
	}
	f.dispatcher.config.FirstToken(f.request, f.dispatcher.config.Now().Sub(f.begun))
	f.begun = time.Time{}
}

// generateFailure reads the outcome of a call that gave no stream. An error that states none is Unknown.
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

// relayFailure describes a stream that broke: the engine had begun the request.
func relayFailure(err error) *attemptFailure {
	return &attemptFailure{outcome: outcome.Ran, cause: err, final: errors.Is(err, errSink)}
}

// observe tells the table what the attempt showed of the runner.
func (f *flight) observe(runner ident.Runner, failed *attemptFailure) {
	table, now := f.dispatcher.config.Table, f.dispatcher.config.Now()
	f.dispatcher.metrics.attempted(failed)
	switch {
	case failed == nil:
		table.ObserveSuccess(runner)
	case errors.Is(failed.cause, engine.ErrLeaving):
		table.ObserveLeaving(runner, true, now)
	case errors.Is(failed.cause, engine.ErrBusy):
		table.ObserveBusy(runner, now.Add(max(failed.retryAfter, shortestBusyPause)))
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

// shortestBusyPause is how long a full runner is left alone if it gave no advice.
const shortestBusyPause = 100 * time.Millisecond
