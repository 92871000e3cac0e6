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
	// errPreempted is the cause of an item's context ended to make way for online work.
	errPreempted = failure.Kind("batch: preempted")
	// errLeaseLost is the cause of an item's context ended because its lease is.
	errLeaseLost = failure.Kind("batch: lease lost")
	// errStopping is the cause of an item's context ended because the worker stops.
	errStopping = failure.Kind("batch: worker stops")
	// errStalled means that an engine sent nothing for too long.
	errStalled = failure.Kind("batch: stream stalled")
)

const (
	// maxResumes bounds the resumptions of a broken stream without progress between them.
	maxResumes = 3
	// stallTime is the longest wait for a chunk; batch items may wait long behind online work.
	stallTime = 2 * time.Minute
	// abortTime bounds the wait for an engine to confirm an abort.
	abortTime = 2 * time.Second
)

// execution is one run of an item on a runner.
type execution struct {
	item   *item
	runner ident.Runner
	engine engine.Engine
	epoch  uint64
	cancel context.CancelCauseFunc
	// stall ends the run when no chunk comes in time.
	stall *time.Timer
	// started is called once the first chunk came: the prompt has been taken in.
	started func()
	// token is called at every chunk.
	token func()
	// begun is set once started was called.
	begun bool
	// order numbers the runs of the worker; preempted and prefilling are marks of the worker's loop.
	order                 uint64
	preempted, prefilling bool

	position answer.Position
	whole    *answer.Aggregate
	// err is how it ended, nil for a whole answer.
	err error
	// outcome says whether the item may have run, when err is set.
	outcome outcome.Outcome
	// keptTokens is true if the engine confirmed that it keeps the tokens of a preempted item.
	keptTokens bool
}

// newExecution begins where the item's kept answer ends, if this runner keeps it.
func newExecution(leased *item, runner ident.Runner, target engine.Engine, epoch uint64) *execution {
	created := &execution{item: leased, runner: runner, engine: target, epoch: epoch}
	if leased.kept != nil && leased.kept.runner == runner {
		created.position = leased.kept.position
		created.whole = leased.kept.whole
		return created
	}
	created.whole = answer.NewAggregate(leased.request.Endpoint)
	return created
}

// run calls the engine until the answer is whole, the context ends or the stream cannot be resumed. It leaves no work
// behind on the engine that it knows of: whatever else happened, the request is aborted there.
func (e *execution) run(ctx context.Context) {
	e.stall = time.AfterFunc(stallTime, func() { e.cancel(errStalled) })
	defer e.stall.Stop()
	e.err = e.generate(ctx)
	if e.err == nil || e.outcome == outcome.NotRun {
		return
	}
	keep := errors.Is(context.Cause(ctx), errPreempted) && e.position.Next() > 0
	abortContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTime)
	defer cancel()
	confirmed := e.engine.Abort(abortContext, e.item.request.ID, keep) == nil
	e.keptTokens = keep && confirmed
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

// statedOutcome reads the outcome of an error; one that states none is Unknown.
func statedOutcome(err error) outcome.Outcome {
	var stated *engine.AttemptError
	if errors.As(err, &stated) {
		return stated.Outcome
	}
	return outcome.Unknown
}

// resume reads on from the stream the engine still holds.
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

// relay adds the chunks of a stream to the answer until it is whole.
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
		e.stall.Reset(stallTime)
		e.signalStart()
		e.token()
		verdict, err := e.position.Accept(&chunk)
		if err != nil {
			return fmt.Errorf("chunk at token %d: %w", chunk.Offset, err)
		}
		if verdict == answer.Drop {
			continue
		}
		if err := e.whole.Chunk(chunk); err != nil {
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
