package gateway

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/settings"
)

// Sink receives an answer chunk by chunk, in order, without gap or duplicate.
type Sink = answer.Sink

// Dispatcher runs a request and passes its answer to the sink. The error is a *failure.Error that states whether the
// request ran. A sink that got chunks before an error has a truncated answer.
type Dispatcher interface {
	Dispatch(ctx context.Context, request *inference.Request, sink Sink) error
}

// DispatchFunc is a function that is a Dispatcher.
type DispatchFunc func(ctx context.Context, request *inference.Request, sink Sink) error

// Dispatch calls the function.
func (f DispatchFunc) Dispatch(ctx context.Context, request *inference.Request, sink Sink) error {
	return f(ctx, request, sink)
}

// Limits bounds what callers can make the node hold and wait for. Zero values take the defaults of the settings.
type Limits struct {
	// BodyBytes bounds a body other than a file; FileBytes bounds a file.
	BodyBytes, FileBytes int64
	// BufferedBytes bounds the request bodies held at once.
	BufferedBytes int64
	// Requests bounds online requests in progress; Transfers bounds uploads and downloads; Calls bounds all else.
	Requests, Transfers, Calls int
	// RequestTimeout bounds one online request.
	RequestTimeout time.Duration
	// BodyTimeout bounds the wait for a body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the wait for a caller to take one piece of its answer.
	WriteTimeout time.Duration
	// GiveUpGrace is how long after a request's time is up the dispatcher may take to end it.
	GiveUpGrace time.Duration
}

// Defaults of Limits.
const (
	defaultBodyBytes      = 4 << 20
	defaultFileBytes      = 512 << 20
	defaultBufferedBytes  = 256 << 20
	defaultRequests       = 4096
	defaultTransfers      = 16
	defaultCalls          = 256
	defaultRequestTimeout = 10 * time.Minute
	defaultBodyTimeout    = time.Minute
	defaultWriteTimeout   = 20 * time.Second
	defaultGiveUpGrace    = 500 * time.Millisecond
)

func (l Limits) withDefaults() Limits {
	fill(&l.BodyBytes, defaultBodyBytes)
	fill(&l.FileBytes, defaultFileBytes)
	fill(&l.BufferedBytes, defaultBufferedBytes)
	fill(&l.Requests, defaultRequests)
	fill(&l.Transfers, defaultTransfers)
	fill(&l.Calls, defaultCalls)
	fill(&l.RequestTimeout, defaultRequestTimeout)
	fill(&l.BodyTimeout, defaultBodyTimeout)
	fill(&l.WriteTimeout, defaultWriteTimeout)
	fill(&l.GiveUpGrace, defaultGiveUpGrace)
	return l
}

func fill[Number int | int64 | time.Duration](value *Number, byDefault Number) {
	if *value <= 0 {
		*value = byDefault
	}
}

// Options is what a Gateway needs.
type Options struct {
	// Source is the configuration.
	Source catalog.Source
	// Dispatcher runs online requests.
	Dispatcher Dispatcher
	// Jobs is the job store.
	Jobs job.Service
	// Ready returns nil while the node can serve; nil means always.
	Ready func() error
	// Limits bound the callers.
	Limits Limits
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Logger gets the events.
	Logger zerolog.Logger
	// Registerer gets the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// LimitsOf returns the limits that the node's settings give.
func LimitsOf(limits settings.Limits) Limits {
	return Limits{
		BodyBytes:      int64(limits.BodyBytes),
		FileBytes:      int64(limits.BatchFileBytes),
		BufferedBytes:  int64(limits.BufferedBodyBytes),
		Requests:       limits.ConcurrentRequests,
		Transfers:      limits.ConcurrentUploads,
		RequestTimeout: limits.RequestTimeout,
		BodyTimeout:    limits.BodyTimeout,
		WriteTimeout:   limits.WriteTimeout,
	}
}
