package openaihttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

func newCall(body string) engine.Call {
	return engine.Call{Attempt: 1, Request: &inference.Request{
		ID:             "r1",
		Model:          "base",
		Endpoint:       inference.ChatCompletions,
		Body:           []byte(body),
		IdempotencyKey: "key",
	}}
}

const smallBody = `{"model":"service","messages":[{"role":"user","content":"hi"}],"max_tokens":5}`

// refusalHandler answers with a status and, if there is a code, the not-run marking.
func refusalHandler(status int, code string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if code != "" {
			w.Header().Set(dialect.HeaderCode, code)
			w.Header().Set(dialect.HeaderNotRun, "true")
		}
		w.WriteHeader(status)
	}
}

func abortHandler(read bool) http.HandlerFunc {
	return func(_ http.ResponseWriter, request *http.Request) {
		if read {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		panic(http.ErrAbortHandler)
	}
}

// TestGenerateOutcomes goes through every point at which a generation call can fail.
func TestGenerateOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		outcome outcome.Outcome
		kind    error
	}{
		{"busy", refusalHandler(429, dialect.CodeBusy), outcome.NotRun, engine.ErrBusy},
		{"leaving", refusalHandler(503, dialect.CodeLeaving), outcome.NotRun, engine.ErrLeaving},
		{"fenced", refusalHandler(409, dialect.CodeFenced), outcome.NotRun, engine.ErrFenced},
		{"model missing", refusalHandler(404, dialect.CodeModelNotLoaded), outcome.NotRun, engine.ErrModelNotLoaded},
		{"kept request gone", refusalHandler(410, dialect.CodeGone), outcome.NotRun, engine.ErrGone},
		{"bad request", refusalHandler(400, ""), outcome.NotRun, engine.ErrRejected},
		{"unmarked 429", refusalHandler(429, ""), outcome.Unknown, engine.ErrBusy},
		{"unmarked 503", refusalHandler(503, ""), outcome.Unknown, engine.ErrBroken},
		{"unmarked 409", refusalHandler(409, ""), outcome.Unknown, engine.ErrBroken},
		{"server error", refusalHandler(500, ""), outcome.Unknown, engine.ErrBroken},
		{"success without a stream", refusalHandler(200, ""), outcome.Unknown, engine.ErrBroken},
		{"redirect", refusalHandler(307, ""), outcome.Unknown, engine.ErrBroken},
		{"closed before the body is read", abortHandler(false), outcome.Unknown, engine.ErrBroken},
		{"closed after the body is read", abortHandler(true), outcome.Unknown, engine.ErrBroken},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			_, err := openaihttp.New(server.URL, nil).Generate(t.Context(), newCall(smallBody))
			assertAttempt(t, err, test.outcome, test.kind)
		})
	}
}

func assertAttempt(t *testing.T, err error, result outcome.Outcome, kind error) {
	t.Helper()
	var attempt *engine.AttemptError
	assert.Assert(t, errors.As(err, &attempt), "%v", err)
	assert.Equal(t, attempt.Outcome, result)
	assert.ErrorIs(t, err, kind)
}

func TestGenerateOutcomesWithoutAnswer(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		_, err = openaihttp.New(address, nil).Generate(t.Context(), newCall(smallBody))
		assertAttempt(t, err, outcome.NotRun, engine.ErrUnreachable)
	})
	t.Run("cancelled before it is sent", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := openaihttp.New("127.0.0.1:1", nil).Generate(ctx, newCall(smallBody))
		assertAttempt(t, err, outcome.NotRun, engine.ErrUnreachable)
	})
	t.Run("cancelled after it is sent", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			cancel()
			<-request.Context().Done()
		}))
		defer server.Close()
		_, err := openaihttp.New(server.URL, nil).Generate(ctx, newCall(smallBody))
		assertAttempt(t, err, outcome.Unknown, engine.ErrBroken)
	})
	t.Run("body that is no object", func(t *testing.T) {
		_, err := openaihttp.New("127.0.0.1:1", nil).Generate(t.Context(), newCall(`[]`))
		assertAttempt(t, err, outcome.NotRun, engine.ErrRejected)
	})
}

// TestRequestIsNeverReplayed closes a kept-alive connection on the second call. The transport must not send that call
// again by itself: the engine may have run it.
func TestRequestIsNeverReplayed(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if calls.Add(1) == 1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	client := openaihttp.New(server.URL, nil)
	_, err := client.Generate(t.Context(), newCall(smallBody))
	assertAttempt(t, err, outcome.NotRun, engine.ErrRejected)
	_, err = client.Generate(t.Context(), newCall(smallBody))
	assertAttempt(t, err, outcome.Unknown, engine.ErrBroken)
	assert.Equal(t, calls.Load(), int32(2))
}

// TestRedirectIsNotFollowed: the engine that redirects may have run the request, so that a second must not get it.
func TestRedirectIsNotFollowed(t *testing.T) {
	var followed atomic.Int32
	second := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { followed.Add(1) }))
	defer second.Close()
	first := httptest.NewServer(http.RedirectHandler(second.URL, http.StatusTemporaryRedirect))
	defer first.Close()
	_, err := openaihttp.New(first.URL, nil).Generate(t.Context(), newCall(smallBody))
	assertAttempt(t, err, outcome.Unknown, engine.ErrBroken)
	assert.Equal(t, followed.Load(), int32(0))
}

// TestStreamFailures feeds streams that end or go wrong in the middle.
func TestStreamFailures(t *testing.T) {
	first := "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n"
	for name, content := range map[string]string{
		"nothing":             "",
		"end between chunks":  first,
		"end within a line":   first + "data: {\"choi",
		"done without final":  first + "data: [DONE]\n\n",
		"error in the stream": first + "data: {\"error\":{\"message\":\"x\"}}\n\n",
		"bad id":              first + "id: x\ndata: {}\n\n",
		"bad final":           first + "id: 1\ndata: {\"finish_reason\":\"stop\"\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = fmt.Fprint(w, content)
			}))
			defer server.Close()
			stream, err := openaihttp.New(server.URL, nil).Generate(t.Context(), newCall(smallBody))
			assert.NilError(t, err)
			defer stream.Close()
			for err == nil {
				_, err = stream.Next()
			}
			assert.ErrorIs(t, err, engine.ErrBroken)
			assert.Assert(t, !errors.Is(err, io.EOF))
		})
	}
}
