package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

const (
	// errPreempted cancels a run that is preempted by online work or by a change of ownership.
	errPreempted = failure.Kind("batch: preempted")
	// errLeaseLost cancels a run whose lease expired or was cancelled.
	errLeaseLost = failure.Kind("batch: lease lost")
	// errStopping cancels a run because the worker is stopping.
	errStopping = failure.Kind("batch: worker stops")
	// errStalled cancels a run whose engine sent no chunk within stallTimeout.
	errStalled = failure.Kind("batch: stream stalled")
)

const (
	// maxResumes bounds consecutive attempts to resume a broken stream without progress.
	maxResumes = 3
	// stallTimeout bounds the wait for a chunk. It is long because the engine may queue batch items behind online work.
	stallTimeout = 2 * time.Minute
	// abortTimeout bounds the wait for an engine to confirm an abort.
	abortTimeout = 2 * time.Second
)

// execution is one run of an item on a runner.
type execution struct {
	item   *item
	runner ident.Runner
	engine engine.Engine
	epoch  uint64
	cancel context.CancelCauseFunc
	// stall cancels the run when no chunk arrives within stallTimeout.
	stall *time.Timer
	// started is called when the first chunk arrives, that is, when prefill is complete.
	started func()
	// token is called for every chunk.
	token func()
	// begun is set once started was called.
	begun bool
	// order is the sequence number of the run; preempted and prefilling are used by the worker's loop only.
	order                 uint64
	preempted, prefilling bool

	position  answer.Position
	aggregate *answer.Aggregate
	// err is the reason why the run failed, or nil if the answer is complete.
	err error
	// outcome states whether the item may have run; it is valid when err is set.
	outcome outcome.Outcome
	// retainedTokens is set if the engine confirmed that it retains the tokens of a preempted item.
	retainedTokens bool
}

// newExecution returns a run that continues the item's partial answer if this runner retains its tokens, and otherwise
// starts from the beginning.
func newExecution(leased *item, runner ident.Runner, target engine.Engine, epoch uint64) *execution {
	created := &execution{item: leased, runner: runner, engine: target, epoch: epoch}
	if leased.partial != nil && leased.partial.runner == runner {
		created.position = leased.partial.position
		created.aggregate = leased.partial.aggregate
		return created
	}
	created.aggregate = answer.NewAggregate(leased.request.Endpoint)
	return created
}

// run calls the engine until the answer is complete, the context is cancelled or the stream cannot be resumed. After a
// failure the request is aborted on the engine, unless it was not run, so that no work remains there.
func (e *execution) run(ctx context.Context) {
	e.stall = time.AfterFunc(stallTimeout, func() { e.cancel(errStalled) })
	defer e.stall.Stop()
	e.err = e.generate(ctx)
	if e.err == nil || e.outcome == outcome.NotRun {
		return
	}
	keep := errors.Is(context.Cause(ctx), errPreempted) && e.position.Next() > 0
	abortContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
	defer cancel()
	confirmed := e.engine.Abort(abortContext, e.item.request.ID, keep) == nil
	e.retainedTokens = keep && confirmed
}

func (e *execution) generate(ctx context.Context) error {
	call := engine.Call{
		Request: e.item.request, Attempt: e.item.attempts + 1,
		OwnerEpoch: e.epoch, ResumeOffset: e.position.Next(),
	}
	stream, err := e.engine.Generate(ctx, call)
	if err != nil {
		e.outcome = statedOutcome(err)
		if e.outcome != outcome.Unknown || ctx.Err() != nil {
			return err
		}
		return e.resume(ctx, err)
	}
	e.outcome = outcome.Ran
	err = e.relay(stream)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return e.resume(ctx, err)
}

// statedOutcome returns the outcome that an error states, or Unknown.
func statedOutcome(err error) outcome.Outcome {
	var stated *engine.AttemptError
	if errors.As(err, &stated) {
		return stated.Outcome
	}
	return outcome.Unknown
}

// resume continues reading a broken stream that the engine retains. It returns the original error if it cannot.
func (e *execution) resume(ctx context.Context, broken error) error {
	for tries := 0; tries < maxResumes; tries++ {
		before := e.position.Next()
		err := e.resumeOnce(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || errors.Is(err, engine.ErrGone) {
			return broken
		}
		if e.position.Next() > before {
			tries = -1
		}
	}
	return broken
}

func (e *execution) resumeOnce(ctx context.Context) error {
	stream, err := e.engine.Resume(ctx, e.item.request.ID, e.position.Next())
	if err != nil {
		return fmt.Errorf("resuming: %w", err)
	}
	e.outcome = outcome.Ran
	return e.relay(stream)
}

// relay adds the chunks of a stream to the answer until it is complete.
func (e *execution) relay(stream engine.Stream) error {
	defer stream.Close()
	for !e.position.Final() {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return answer.ErrTruncated
		}
		if err != nil {
			return fmt.Errorf("reading the stream: %w", err)
		}
		e.stall.Reset(stallTimeout)
		e.signalStart()
		e.token()
		verdict, err := e.position.Accept(&chunk)
		if err != nil {
			return fmt.Errorf("chunk at token %d: %w", chunk.Offset, err)
		}
		if verdict == answer.Drop {
			continue
		}
		if err := e.aggregate.Chunk(chunk); err != nil {
			return fmt.Errorf("chunk at token %d: %w", chunk.Offset, err)
		}
	}
	return nil
}

func (e *execution) signalStart() {
	if e.begun {
		return
	}
	e.begun = true
	e.started()
}
