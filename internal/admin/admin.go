// Package admin serves the administration API: operators read and change configuration, look into its history, roll it
// back, and see the state of nodes and runners. docs/openapi-admin.yaml describes it.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uptrace/bunrouter"
	"golang.org/x/time/rate"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
)

// Writer accepts changes. *confsync.Writer implements it; the errors are those it documents.
type Writer interface {
	Apply(ctx context.Context, proposal confsync.Proposal) (confsync.Change, error)
	DryRun(ctx context.Context, proposal confsync.Proposal) (confsync.Change, error)
	History(ctx context.Context, before int64, limit int) ([]confsync.Change, error)
	Rollback(ctx context.Context, revision int64) (confsync.Proposal, error)
}

// Status tells where a configuration revision is in force. *confsync.Replica implements it.
type Status interface {
	Status(ctx context.Context, revision int64) confsync.Status
	WaitInForce(ctx context.Context, revision int64) (confsync.Status, error)
}

// Fleet tells the state of nodes and runners as this node knows it. Errors are *failure.Error.
type Fleet interface {
	Nodes(ctx context.Context) ([]NodeStatus, error)
	Runners(ctx context.Context) ([]RunnerStatus, error)
}

// Options make the handler. Source, Writer, Status and Logger are required.
type Options struct {
	Source catalog.Source
	Writer Writer
	Status Status
	// Fleet may be nil: then the routes of nodes and runners answer not_found.
	Fleet Fleet
	// BootstrapDigest is the digest of the key that counts while the configuration holds no admin key; empty means none.
	BootstrapDigest string
	Logger          zerolog.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// New returns the handler of the administration API. The listener's server bounds headers and times.
func New(options Options) (http.Handler, error) {
	metrics, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, err
	}
	server := newServer(options, metrics)
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(server.refuse(errNoRoute)),
		bunrouter.WithMethodNotAllowedHandler(server.refuse(errMethod)),
	)
	for _, route := range server.routes() {
		router.Handle(route.method, route.path, server.serve(route))
	}
	return router, nil
}

// unauthenticatedLogPeriod bounds the log lines that somebody without a key can cause; the metrics count every request.
const unauthenticatedLogPeriod = time.Second

type server struct {
	Options
	metrics *metrics
	// sometimes lets a log line through once in a while.
	sometimes *rate.Sometimes
}

func newServer(options Options, metrics *metrics) *server {
	return &server{Options: options, metrics: metrics, sometimes: &rate.Sometimes{Interval: unauthenticatedLogPeriod}}
}
