package gateway

import (
	"net/http"
	"net/url"
	"runtime/debug"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// exchange is one caller request and its answer. It is the http.ResponseWriter of its handler and knows whether an
// answer has begun.
type exchange struct {
	gateway  *Gateway
	route    string
	request  *http.Request
	params   bunrouter.Params
	response http.ResponseWriter
	control  *http.ResponseController
	arrived  time.Time
	// id is unique in the fleet; callerID is the caller's own name of the request, or empty.
	id       ident.Request
	callerID string
	snapshot *catalog.Snapshot
	key      catalog.Key
	// began says that the status line was handed to the server.
	began bool
	// writeDeadline is the deadline last set for writes, zero for none.
	writeDeadline time.Time
	// eager says that a write deadline that passes ends the answer also while nothing is written: HTTP/2 does so.
	eager bool
	// code is the failure the exchange ended with, or empty.
	code failure.Code
}

// http2 is the major version of HTTP from which one connection carries many requests.
const http2 = 2

func newExchange(gateway *Gateway, route string, response http.ResponseWriter, request bunrouter.Request) *exchange {
	created := &exchange{
		gateway:  gateway,
		route:    route,
		request:  request.Request,
		params:   request.Params(),
		response: response,
		control:  http.NewResponseController(response),
		arrived:  gateway.options.Now(),
		eager:    request.ProtoMajor >= http2,
	}
	return created
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.response.Header() }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	e.began = true
	e.response.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(content []byte) (int, error) {
	e.began = true
	return e.response.Write(content)
}

// serve runs the handler, contains its panic and answers its error.
func (g *Gateway) serve(exchange *exchange, serve handler) {
	defer g.metrics.served(exchange)
	defer exchange.containPanic()
	exchange.identify()
	if !exchange.eager {
		// A connection that was used before still has the deadline of its last answer.
		exchange.extendWriteDeadline()
	}
	if err := serve(exchange); err != nil {
		exchange.fail(err)
	}
}

// containPanic ends the exchange whose handler panicked; other exchanges go on.
func (e *exchange) containPanic() {
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered == http.ErrAbortHandler {
		panic(recovered)
	}
	e.gateway.metrics.panics.Inc()
	event.CallerPanic.Log(e.gateway.options.Logger).Str("request", string(e.id)).Str("route", e.route).
		Any("panic", recovered).Bytes("stack", debug.Stack()).Send()
	if e.began {
		// The answer cannot be ended well: break the connection so that the caller sees it is not whole.
		e.code = failure.CodeInternal
		panic(http.ErrAbortHandler)
	}
	e.fail(failure.New(failure.CodeInternal, "internal error").WithCause(errPanic).WithOutcome(outcome.Unknown))
}

const bearerPrefix = "Bearer "

// unconfiguredRetryAfter is when callers of a node without a configuration should come back.
const unconfiguredRetryAfter = 2 * time.Second

// unconfigured reports whether the node has not got a configuration yet: a node that restarts without a disk while the
// key-value service is away knows no key, and must not call a good one wrong.
func unconfigured(snapshot *catalog.Snapshot) bool {
	return snapshot.Revision == 0 && len(snapshot.Keys) == 0
}

// authenticate finds the caller's key in the newest snapshot, which then serves the whole exchange.
func (e *exchange) authenticate() error {
	e.snapshot = e.gateway.options.Source.Current()
	header := e.request.Header.Get("Authorization")
	if len(header) < len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return failure.New(failure.CodeInvalidKey, "an API key is required: Authorization: Bearer KEY")
	}
	key, err := auth.Authenticate(e.snapshot, strings.TrimSpace(header[len(bearerPrefix):]))
	if err != nil && unconfigured(e.snapshot) {
		return failure.New(failure.CodeConfigUnavailable, "this node has no configuration yet").WithRetryAfter(unconfiguredRetryAfter)
	}
	if err != nil {
		return failure.New(failure.CodeInvalidKey, "the API key is not known").WithCause(err)
	}
	if err := auth.Require(key, auth.PermissionInfer); err != nil {
		return failure.New(failure.CodeForbidden, "the API key has the role %s, which may not use the caller API", key.Role).WithCause(err)
	}
	if _, known := e.snapshot.Tenants[key.Tenant]; !known {
		return failure.New(failure.CodeForbidden, "the tenant of the API key does not exist")
	}
	e.key = key
	return nil
}

// objectID returns the name of the object in the path.
func (e *exchange) objectID() string {
	escaped := e.params.ByName("id")
	plain, err := url.PathUnescape(escaped)
	if err != nil {
		return escaped
	}
	return plain
}

// extendWriteDeadline gives the caller the write timeout, or a little less, to take what is written next. Setting the
// deadline for every token would cost more than the tolerance is worth.
func (e *exchange) extendWriteDeadline() {
	const tolerance = 8
	timeout := e.gateway.limits.WriteTimeout
	now := time.Now()
	if e.writeDeadline.Sub(now) > timeout-timeout/tolerance {
		return
	}
	e.writeDeadline = now.Add(timeout)
	_ = e.control.SetWriteDeadline(e.writeDeadline)
}

// flush hands what was written to the connection, under the write deadline.
//
// Invariant: an eager exchange has a write deadline only while it writes.
func (e *exchange) flush() error {
	err := e.control.Flush()
	if e.eager {
		e.writeDeadline = time.Time{}
		_ = e.control.SetWriteDeadline(time.Time{})
	}
	return err
}
