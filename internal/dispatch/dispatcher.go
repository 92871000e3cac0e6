// Package dispatch sends online requests to runners and relays their answers, with retries, resumption of broken streams and
// outlier ejection. It guarantees that a request reported as not run was not run, that a non-repeatable request runs at most
// once, with an idempotency key also across resends, and that a caller receives the complete answer to its own request or a
// typed error. The package also holds the node's table of runners: load reports, in-flight counts, health and cached prompts.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/ledger"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// Sink receives an answer chunk by chunk.
type Sink = answer.Sink

// Aggregate is a Sink that joins chunks into a whole answer.
type Aggregate = answer.Aggregate

// NewAggregate returns an empty aggregate for the endpoint.
func NewAggregate(endpoint inference.Endpoint) *Aggregate { return answer.NewAggregate(endpoint) }

// Engines finds the engine of a runner. Implementations are safe for concurrent use.
type Engines interface {
	// Engine returns the adapter for the runner at the address of its machine, or false if the runner is unknown.
	Engine(runner ident.Runner) (engine.Engine, bool)
}

// Limits are the time-outs and retry limits of requests. Zero values select the defaults.
type Limits struct {
	// FirstChunk is the maximum wait for the first chunk of an attempt.
	FirstChunk time.Duration
	// Stall is the maximum wait between chunks.
	Stall time.Duration
	// OnceDuration is the maximum duration of a non-repeatable request with an idempotency key, which continues if its
	// caller disconnects.
	OnceDuration time.Duration
	// Abort is the maximum wait for an engine to confirm an abort.
	Abort time.Duration
	// Attempts is the maximum number of runners tried for one request.
	Attempts int
	// RetryShare is the number of retries that the node may make per request.
	RetryShare float64
}

// Defaults of Limits.
const (
	defaultAttempts     = 4
	defaultFirstChunk   = 30 * time.Second
	defaultStall        = 5 * time.Second
	defaultOnceDuration = 10 * time.Minute
	defaultAbort        = 2 * time.Second
)

func (l Limits) withDefaults() Limits {
	fill := func(value *time.Duration, byDefault time.Duration) {
		if *value <= 0 {
			*value = byDefault
		}
	}
	fill(&l.FirstChunk, defaultFirstChunk)
	fill(&l.Stall, defaultStall)
	fill(&l.OnceDuration, defaultOnceDuration)
	fill(&l.Abort, defaultAbort)
	if l.Attempts <= 0 {
		l.Attempts = defaultAttempts
	}
	if l.RetryShare <= 0 {
		l.RetryShare = DefaultRetryShare
	}
	return l
}

// Config configures a Dispatcher.
type Config struct {
	// Node and Zone identify this node.
	Node ident.Node
	Zone ident.Zone
	// Table is the node's table of runners.
	Table *Table
	// Engines finds the engine of a runner.
	Engines Engines
	// Catalog is the source of the configuration.
	Catalog catalog.Source
	// Ledger records non-repeatable requests with an idempotency key.
	Ledger ledger.Ledger
	// Limits are the time-outs and retry limits.
	Limits Limits
	// FirstToken is called with the time that a runner took to the first chunk of a request, if it is not nil. It must not
	// block.
	FirstToken func(request *inference.Request, took time.Duration)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Seed makes decisions reproducible in tests; zero selects a random seed.
	Seed uint64
	// Logger logs the node's events.
	Logger zerolog.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Dispatcher sends requests to runners. It is safe for concurrent use.
type Dispatcher struct {
	config  Config
	budget  *RetryBudget
	metrics *metrics

	randomMutex sync.Mutex
	random      *rand.Rand

	// background runs aborts that may take longer than their request.
	background *Background
	running    inFlight
}

// New returns a dispatcher. Close stops it.
func New(config Config) *Dispatcher {
	config.Limits = config.Limits.withDefaults()
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.FirstToken == nil {
		config.FirstToken = func(*inference.Request, time.Duration) {}
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	return &Dispatcher{
		config:     config,
		budget:     NewRetryBudget(config.Limits.RetryShare),
		metrics:    newMetrics(config.Registerer),
		random:     rand.New(rand.NewPCG(config.Seed, config.Seed)),
		background: NewBackground(),
	}
}

// Dispatch runs a request and passes its answer to the sink. The error is a *failure.Error that states whether the
// request ran. A sink that received chunks before an error has a truncated answer and must report that to its caller.
func (d *Dispatcher) Dispatch(ctx context.Context, request *inference.Request, sink Sink) error {
	if !d.running.enter() {
		return failure.New(failure.CodeDraining, "this node is stopping; send the request to another").WithRetryAfter(drainRetryAfter)
	}
	defer d.running.leave()
	d.budget.Earn()
	if request.Repeatable {
		return asError(d.run(ctx, request, sink))
	}
	return asError(d.runOnce(ctx, request, sink))
}

// drainRetryAfter is the retry delay sent by a stopping node. It is short because another node can take the request.
const drainRetryAfter = 100 * time.Millisecond

// asError converts a nil pointer to a nil interface.
func asError(failed *failure.Error) error {
	if failed == nil {
		return nil
	}
	return failed
}

// run dispatches the request within its deadline.
func (d *Dispatcher) run(ctx context.Context, request *inference.Request, sink Sink) *failure.Error {
	if !request.Deadline.IsZero() {
		deadlineContext, cancel := context.WithDeadlineCause(ctx, request.Deadline, errDeadline)
		defer cancel()
		ctx = deadlineContext
	}
	current := flight{dispatcher: d, request: request, sink: sink, outcome: outcome.NotRun}
	failed := current.run(ctx)
	d.metrics.finished(failed)
	return failed
}

// Drain refuses new requests and waits until those in flight have ended or ctx is done.
func (d *Dispatcher) Drain(ctx context.Context) error { return d.running.drain(ctx) }

// InFlight returns the number of requests in flight.
func (d *Dispatcher) InFlight() int { return d.running.count() }

// Close waits for background aborts to end. Requests in flight should be drained before.
func (d *Dispatcher) Close() error { return d.background.Close() }

// abortLater aborts a request on a runner in the background, so that the caller need not wait.
func (d *Dispatcher) abortLater(target engine.Engine, request ident.Request) {
	d.background.Go(func() { d.abort(target, request) })
}

func (d *Dispatcher) abort(target engine.Engine, request ident.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), d.config.Limits.Abort)
	defer cancel()
	if err := target.Abort(ctx, request, false); err != nil {
		d.metrics.abortFailed()
	}
}
