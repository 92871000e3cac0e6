// Package openaihttp speaks the OpenAI HTTP API, with the headers and control calls of package dialect, to one engine.
package openaihttp

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

const (
	dialTimeout = 2 * time.Second
	// idleConnections bounds the idle connections kept to one engine.
	idleConnections = 256
	idleTimeout     = 60 * time.Second
	eventStream     = "text/event-stream"
)

// client implements engine.Engine.
type client struct {
	base string
	http http.Client
}

var _ engine.Engine = (*client)(nil)

// New returns the engine at an address, "IP:port" or a URL. A nil client means one made for streams: without an overall
// timeout, since the caller's context bounds a call. The client's redirect policy is replaced: a redirect is never
// followed, since it could run a request a second time.
func New(address string, httpClient *http.Client) engine.Engine {
	if httpClient == nil {
		httpClient = NewHTTPClient()
	}
	created := &client{base: strings.TrimSuffix(address, "/"), http: *httpClient}
	if !strings.Contains(created.base, "://") {
		created.base = "http://" + created.base
	}
	created.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return created
}

// NewHTTPClient returns a client that many engines can share.
func NewHTTPClient() *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Generate starts a request; see engine.Engine.
func (c *client) Generate(ctx context.Context, call engine.Call) (engine.Stream, error) {
	body, err := engineBody(call.Request)
	if err != nil {
		return nil, attemptError(outcome.NotRun, 0, fmt.Errorf("%w: %w", engine.ErrRejected, err))
	}
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, http.MethodPost, string(call.Request.Endpoint), body, callHeader(call))
	if err != nil {
		cancel()
		return nil, err
	}
	if err := generateFailure(response); err != nil {
		discard(response)
		cancel()
		return nil, err
	}
	return newStream(response.Body, cancel, call.ResumeOffset), nil
}

func callHeader(call engine.Call) http.Header {
	request := call.Request
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", eventStream)
	header.Set(dialect.HeaderRequest, string(request.ID))
	header.Set(dialect.HeaderAttempt, strconv.Itoa(call.Attempt))
	header.Set(dialect.HeaderPriority, priority(request.Class))
	if call.OwnerEpoch > 0 {
		header.Set(dialect.HeaderOwnerEpoch, strconv.FormatUint(call.OwnerEpoch, 10))
	}
	if call.ResumeOffset > 0 {
		header.Set(dialect.HeaderResumeOffset, strconv.Itoa(call.ResumeOffset))
	}
	if request.Adapter != "" {
		header.Set(dialect.HeaderAdapter, request.Adapter)
	}
	if request.IdempotencyKey != "" {
		header.Set(dialect.HeaderIdempotency, request.IdempotencyKey)
	}
	return header
}

func priority(class inference.Class) string {
	if class == inference.Batch {
		return dialect.PriorityBatch
	}
	return dialect.PriorityOnline
}

// send makes one HTTP call. Its error wraps *engine.AttemptError: NotRun while no connection was had, since then no
// byte was sent; Unknown after that.
func (c *client) send(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(traced, method, c.base+path, body)
	if err != nil {
		return nil, attemptError(outcome.NotRun, 0, fmt.Errorf("%w: %w", engine.ErrRejected, err))
	}
	request.Header = header
	response, err := c.http.Do(request)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, attemptError(outcome.NotRun, 0, fmt.Errorf("%w: %w", engine.ErrUnreachable, err))
	}
	return nil, attemptError(outcome.Unknown, 0, fmt.Errorf("%w: %w", engine.ErrBroken, err))
}

// generateFailure returns nil for the start of a stream, and otherwise what the answer means.
func generateFailure(response *http.Response) error {
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), eventStream) {
		return nil
	}
	return attemptError(outcomeOf(response), retryAfter(response.Header), answerFailure(response))
}

// outcomeOf says whether a request that got this answer ran. A redirect, a success that is no stream and a server error
// say nothing; neither do 429 and 503, which something in between may have sent, without the engine's own marking.
func outcomeOf(response *http.Response) outcome.Outcome {
	if response.Header.Get(dialect.HeaderNotRun) == "true" {
		return outcome.NotRun
	}
	status := response.StatusCode
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError && !ambiguousStatus(status) {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// ambiguousStatus names the 4xx statuses that do not mean that the request was refused before it ran.
func ambiguousStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusConflict ||
		status == http.StatusGone
}

// answerFailure returns the kind of a failed answer, with its status.
func answerFailure(response *http.Response) error {
	return fmt.Errorf("%w: answer %d %s", kindOf(response), response.StatusCode, response.Header.Get(dialect.HeaderCode))
}

func kindOf(response *http.Response) error {
	switch response.Header.Get(dialect.HeaderCode) {
	case dialect.CodeBusy:
		return engine.ErrBusy
	case dialect.CodeLeaving:
		return engine.ErrLeaving
	case dialect.CodeFenced:
		return engine.ErrFenced
	case dialect.CodeModelNotLoaded:
		return engine.ErrModelNotLoaded
	case dialect.CodeGone:
		return engine.ErrGone
	}
	status := response.StatusCode
	switch {
	case status == http.StatusTooManyRequests:
		return engine.ErrBusy
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError && !ambiguousStatus(status):
		return engine.ErrRejected
	default:
		return engine.ErrBroken
	}
}

// retryAfter reads the header in its form of whole seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func attemptError(result outcome.Outcome, retryAfter time.Duration, cause error) error {
	return &engine.AttemptError{Outcome: result, RetryAfter: retryAfter, Cause: cause}
}

// Resume reads on from a held stream; see engine.Engine.
func (c *client) Resume(ctx context.Context, request ident.Request, offset int) (engine.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	path := dialect.PathStreams + pathEscape(request) + "?offset=" + strconv.Itoa(offset)
	response, err := c.send(ctx, http.MethodGet, path, nil, http.Header{"Accept": {eventStream}})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("resuming %s: %w", request, err)
	}
	if response.StatusCode != http.StatusOK {
		err := resumeFailure(response)
		discard(response)
		cancel()
		return nil, fmt.Errorf("resuming %s: %w", request, err)
	}
	return newStream(response.Body, cancel, offset), nil
}

func resumeFailure(response *http.Response) error {
	if response.StatusCode == http.StatusGone || response.StatusCode == http.StatusNotFound {
		return engine.ErrGone
	}
	return fmt.Errorf("%w: answer %d", engine.ErrBroken, response.StatusCode)
}
