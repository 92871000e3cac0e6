package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/schedule"
)

// errDeadline is the cause of a context that ended at the request's deadline.
const errDeadline = failure.Kind("dispatch: deadline passed")

// flight is the state of one request across its attempts. It is not safe for concurrent use.
type flight struct {
	dispatcher *Dispatcher
	request    *inference.Request
	sink       Sink
	position   answer.Position
	// sent is true once the sink has received a chunk that it cannot discard.
	sent     bool
	attempts int
	// attemptStart is when the current attempt started; zero once its first chunk has arrived.
	attemptStart time.Time
	tried        []ident.Runner
	// outcome combines the outcomes of all attempts so far.
	outcome outcome.Outcome
}

// run tries runners until one returns the whole answer or no further attempt is allowed.
func (f *flight) run(ctx context.Context) *failure.Error {
	var failed *attemptFailure
	for {
		runner, refusal := f.choose()
		if refusal != nil && failed == nil {
			return refusal.Failure()
		}
		if refusal != nil {
			return f.final(failed)
		}
		failed = f.attempt(ctx, runner)
		if failed == nil {
			return nil
		}
		f.outcome = outcome.Join(f.outcome, failed.outcome)
		if ended := f.contextFailure(ctx); ended != nil {
			return ended
		}
		if !f.mayRetry(failed) {
			return f.final(failed)
		}
		if !f.dispatcher.budget.Spend() {
			f.dispatcher.metrics.budgetSpent()
			return f.final(failed)
		}
		f.dispatcher.metrics.retried()
	}
}

// choose returns a runner that was not tried yet, or a refusal.
func (f *flight) choose() (ident.Runner, *schedule.Refusal) {
	d := f.dispatcher
	now := d.config.Now()
	configuration := d.config.Catalog.Current()
	distance := configuration.Zones[d.config.Zone].Distance
	snapshot := d.config.Table.Snapshot(d.config.Zone, distance, f.request.Model, f.request.PrefixBlocks, now)
	options := schedule.Options{AllowedZones: allowedZones(configuration, f.request.Service), Exclude: f.wasTried}
	d.randomMutex.Lock()
	decision, refusal := schedule.Decide(snapshot, f.request, now, d.random, options)
	d.randomMutex.Unlock()
	if refusal != nil {
		return "", refusal
	}
	return decision.Candidates[0].Runner, nil
}

func allowedZones(configuration *catalog.Snapshot, service string) []ident.Zone {
	return configuration.Services[service].Zones
}

func (f *flight) wasTried(runner ident.Runner) bool { return slices.Contains(f.tried, runner) }

// contextFailure returns the failure if the request's context ended, or nil if it did not.
func (f *flight) contextFailure(ctx context.Context) *failure.Error {
	if ctx.Err() == nil {
		return nil
	}
	if errors.Is(context.Cause(ctx), errDeadline) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.New(failure.CodeDeadlineExceeded, "the deadline passed").WithOutcome(f.outcome)
	}
	return failure.New(failure.CodeCancelled, "the caller has gone").WithOutcome(f.outcome)
}

// mayRetry reports whether the request may be sent to another runner.
//
// Invariant: a request that may have run is sent to another runner only if it is repeatable and the caller cannot notice it:
// nothing was sent to the caller, or a second run returns the same tokens.
func (f *flight) mayRetry(failed *attemptFailure) bool {
	if failed.final || f.attempts >= f.dispatcher.config.Limits.Attempts {
		return false
	}
	if failed.outcome == outcome.NotRun && f.outcome == outcome.NotRun {
		return true
	}
	if !f.request.Repeatable {
		return false
	}
	if f.restart() {
		return true
	}
	return f.request.Deterministic
}

// restart resets the position to the start of the answer if the sink can discard what it received. It reports whether
// nothing was sent to the caller.
func (f *flight) restart() bool {
	resetter, able := f.sink.(answer.Resetter)
	if able && resetter.Reset() {
		f.position = answer.Position{}
		f.sent = false
	}
	return !f.sent
}

// final converts the failure of the last attempt to the error for the caller, with the combined outcome of all attempts.
func (f *flight) final(failed *attemptFailure) *failure.Error {
	result := f.describe(failed).WithCause(failed.cause).WithOutcome(f.outcome)
	if result.RetryAfter == 0 && failed.retryAfter > 0 {
		result = result.WithRetryAfter(failed.retryAfter)
	}
	return result
}

// giveUpRetryAfter is the retry delay sent when every attempt failed.
const giveUpRetryAfter = time.Second

// describe returns the error code and message for the failure of the last attempt.
func (f *flight) describe(failed *attemptFailure) *failure.Error {
	switch {
	case errors.Is(failed.cause, engine.ErrRejected):
		return failure.New(failure.CodeInvalidRequest, "the model engine rejected the request")
	case errors.Is(failed.cause, answer.ErrMalformed), errors.Is(failed.cause, answer.ErrTooLarge):
		return failure.New(failure.CodeBackendFailed, "the runner's answer cannot be read")
	case errors.Is(failed.cause, errSink):
		return failure.New(failure.CodeCancelled, "the caller has gone")
	case f.sent:
		return failure.New(failure.CodeStreamInterrupted, "the answer broke off and could not be continued")
	case errors.Is(failed.cause, engine.ErrBusy):
		return failure.New(failure.CodeOverloaded, "the runners are at their limit").WithRetryAfter(giveUpRetryAfter)
	case f.outcome == outcome.NotRun:
		return failure.New(failure.CodeNoBackend, "no runner took the request").WithRetryAfter(giveUpRetryAfter)
	default:
		return failure.New(failure.CodeBackendFailed, "the runner failed").WithRetryAfter(giveUpRetryAfter)
	}
}
