// Package gateway is the caller API: the OpenAI HTTP dialect over the dispatcher and the job store.
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uptrace/bunrouter"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
)

const (
	errTimeUp   = failure.Kind("gateway: the request's time is up")
	errDrainCut = failure.Kind("gateway: the drain's time is up")
	errPanic    = failure.Kind("gateway: panic")
)

// drainingRetryAfter is the advice of a stopping node: another node can take the request at once.
const drainingRetryAfter = 100 * time.Millisecond

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	options Options
	limits  Limits
	router  *bunrouter.Router
	metrics *metrics

	draining drainGate
	// leaving says that a drain is about to begin.
	leaving   atomic.Bool
	requests  slots
	transfers slots
	calls     slots
	buffered  byteBudget

	// cut ends every request in progress once a drain's time is up.
	cut    context.Context
	cutNow context.CancelCauseFunc
}

// New returns a gateway over the options.
func New(options Options) *Gateway {
	if options.Now == nil {
		options.Now = time.Now
	}
	limits := options.Limits.withDefaults()
	gateway := &Gateway{
		options:   options,
		limits:    limits,
		draining:  newDrainGate(),
		requests:  newSlots(limits.Requests),
		transfers: newSlots(limits.Transfers),
		calls:     newSlots(limits.Calls),
		buffered:  byteBudget{limit: limits.BufferedBytes},
	}
	gateway.cut, gateway.cutNow = context.WithCancelCause(context.Background())
	gateway.metrics = newMetrics(options.Registerer, gateway)
	gateway.router = gateway.routes()
	return gateway
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	g.router.ServeHTTP(response, request)
}

func (g *Gateway) routes() *bunrouter.Router {
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(g.public("not_found", routeNotFound)),
		bunrouter.WithMethodNotAllowedHandler(g.public("method_not_allowed", methodNotAllowed)),
	)
	router.GET("/healthz", g.public("healthz", g.health))
	router.GET("/readyz", g.public("readyz", g.ready))
	router.POST("/v1/chat/completions", g.work("chat_completions", &g.requests, g.infer(inference.ChatCompletions)))
	router.POST("/v1/completions", g.work("completions", &g.requests, g.infer(inference.Completions)))
	router.GET("/v1/models", g.work("models_list", &g.calls, g.listModels))
	router.GET("/v1/models/:id", g.work("models_get", &g.calls, g.getModel))
	router.POST("/v1/files", g.work("files_create", &g.transfers, g.createFile))
	router.GET("/v1/files", g.work("files_list", &g.calls, g.listFiles))
	router.GET("/v1/files/:id", g.work("files_get", &g.calls, g.getFile))
	router.DELETE("/v1/files/:id", g.work("files_delete", &g.calls, g.deleteFile))
	router.GET("/v1/files/:id/content", g.work("files_content", &g.transfers, g.fileContent))
	router.POST("/v1/batches", g.work("batches_create", &g.calls, g.createBatch))
	router.GET("/v1/batches", g.work("batches_list", &g.calls, g.listBatches))
	router.GET("/v1/batches/:id", g.work("batches_get", &g.calls, g.getBatch))
	router.POST("/v1/batches/:id/cancel", g.work("batches_cancel", &g.calls, g.cancelBatch))
	return router
}

func routeNotFound(exchange *exchange) error {
	return failure.New(failure.CodeNotFound, "there is no %s", exchange.request.URL.Path)
}

func methodNotAllowed(exchange *exchange) error {
	return failure.New(failure.CodeMethodNotAllowed, "%s does not take %s", exchange.request.URL.Path, exchange.request.Method)
}

// handler serves one exchange. An error it returns before an answer began becomes the answer.
type handler func(exchange *exchange) error

// public serves a route without a key and also while draining.
func (g *Gateway) public(route string, serve handler) bunrouter.HandlerFunc {
	return func(response http.ResponseWriter, request bunrouter.Request) error {
		if g.leaving.Load() {
			// The caller opens its next connection to another node, so that none is idle here when the listener closes.
			response.Header().Set("Connection", "close")
		}
		g.serve(newExchange(g, route, response, request), serve)
		return nil
	}
}

// work serves a route that needs a key, counts towards the drain and takes one of the slots.
func (g *Gateway) work(route string, slots *slots, serve handler) bunrouter.HandlerFunc {
	return g.public(route, func(exchange *exchange) error {
		if !g.draining.enter() {
			exchange.Header().Set("Connection", "close")
			return failure.New(failure.CodeDraining, "this node is stopping; send the request to another").WithRetryAfter(drainingRetryAfter)
		}
		defer g.draining.leave()
		if err := exchange.authenticate(); err != nil {
			return err
		}
		if !slots.take() {
			return failure.New(failure.CodeOverloaded, "this node serves as many requests as it may; try another or wait").WithRetryAfter(time.Second)
		}
		defer slots.give()
		return serve(exchange)
	})
}

// AnnounceDrain makes Ready fail and each answer the last of its connection, while requests are still served, so that load
// balancers and callers look elsewhere before Drain refuses new work.
func (g *Gateway) AnnounceDrain() { g.leaving.Store(true) }

// Drain refuses new work and waits until what is in progress has ended. When ctx is done first, every request in
// progress is ended with an error and Drain returns the cause.
func (g *Gateway) Drain(ctx context.Context) error {
	event.CallerDraining.Log(g.options.Logger).Int("in_progress", g.draining.count()).Send()
	idle := g.draining.close()
	select {
	case <-idle:
		event.CallerDrained.Log(g.options.Logger).Send()
		return nil
	case <-ctx.Done():
	}
	event.CallerDrainCut.Log(g.options.Logger).Int("in_progress", g.draining.count()).Send()
	g.cutNow(errDrainCut)
	return context.Cause(ctx)
}

// InProgress returns the number of caller requests in progress.
func (g *Gateway) InProgress() int { return g.draining.count() }
