package dispatch_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// failingEngines returns the same failing engine for every runner.
type failingEngines struct{ all failingEngine }

// failingEngine counts calls and returns a drawn error for each.
type failingEngine struct {
	engine.Engine
	calls int
	draw  func() error
}

func (f *failingEngines) Engine(ident.Runner) (engine.Engine, bool) { return &f.all, true }

func (f *failingEngine) Generate(context.Context, engine.Call) (engine.Stream, error) {
	f.calls++
	return nil, f.draw()
}

func (f *failingEngine) Abort(context.Context, ident.Request, bool) error { return nil }

// TestRetriesAreAShareUnderAnyFailures sends requests to runners that fail in any pattern and recover immediately, which is
// the worst case for the retry budget. It checks that retries never exceed the reserve plus a fifth of the requests, and
// that every caller gets a typed refusal with a retry delay.
func TestRetriesAreAShareUnderAnyFailures(t *testing.T) {
	const reserve, share = 20, 0.2
	rapid.Check(t, func(t *rapid.T) {
		at := newClock()
		runners := runnerNames(rapid.IntRange(1, 8).Draw(t, "runners"))
		causes := []failure.Kind{engine.ErrBusy, engine.ErrUnreachable, engine.ErrModelNotLoaded}
		failing := rapid.IntRange(1, len(causes)).Draw(t, "causes")
		engines := &failingEngines{failingEngine{draw: func() error {
			cause := causes[rapid.IntRange(0, failing-1).Draw(t, "cause")]
			return &engine.AttemptError{Outcome: outcome.NotRun, Cause: cause}
		}}}
		table := newTable(runners, at)
		dispatcher := newDispatcher(table, engines, nil, at)
		requests := rapid.IntRange(1, 200).Draw(t, "requests")
		for sent := 1; sent <= requests; sent++ {
			at.Advance(2 * time.Second)
			for _, runner := range runners {
				table.ObserveProbe(runner, at.Now(), true)
				table.ObserveReport(runner, report(at), at.Now())
			}
			err := dispatcher.Dispatch(context.Background(), &inference.Request{Model: "m", Repeatable: true}, dispatch.NewAggregate(inference.Completions))
			failed := failure.As(err)
			assert.Equal(t, failed.Outcome, outcome.NotRun)
			assert.Assert(t, failed.RetryAfter > 0, "%v", failed)
			retries := engines.all.calls - sent
			assert.Assert(t, float64(retries) <= reserve+share*float64(sent), "%d retries of %d requests", retries, sent)
		}
		assert.NilError(t, dispatcher.Close())
	})
}

// TestAttemptsAreBounded checks that a request that every runner refuses is attempted Limits.Attempts times, although the
// retry budget would allow more.
func TestAttemptsAreBounded(t *testing.T) {
	for attempts := 1; attempts <= 3; attempts++ {
		at := newClock()
		engines := &failingEngines{failingEngine{draw: func() error {
			return &engine.AttemptError{Outcome: outcome.NotRun, Cause: engine.ErrUnreachable}
		}}}
		dispatcher := dispatch.New(dispatch.Config{
			Table: newTable(runnerNames(8), at), Engines: engines, Now: at.Now, Seed: 1,
			Catalog: staticCatalog{catalog.Empty()}, Limits: dispatch.Limits{Attempts: attempts},
		})
		err := dispatcher.Dispatch(context.Background(), &inference.Request{Model: "m", Repeatable: true}, dispatch.NewAggregate(inference.Completions))
		assert.Equal(t, failure.As(err).Outcome, outcome.NotRun)
		assert.Equal(t, engines.all.calls, attempts)
		assert.NilError(t, dispatcher.Close())
	}
}
