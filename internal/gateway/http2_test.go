package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// TestAnswerMayTakeLongerThanAWrite proves that the write deadline bounds writes and not the time between them:
// over HTTP/2 a deadline that passes resets the stream also while nothing is written.
func TestAnswerMayTakeLongerThanAWrite(t *testing.T) {
	for protocol, marked := range map[int]testing.TB{1: t, 2: http2Test{t}} {
		answerSlowly(t, marked, protocol)
	}
}

func answerSlowly(t *testing.T, marked testing.TB, protocol int) {
	for _, body := range []string{chatBody, streamBody} {
		site := newSite(marked, func(_ context.Context, request *inference.Request, sink Sink) error {
			for index := range 3 {
				time.Sleep(250 * time.Millisecond)
				if err := sink.Chunk(chunkOf(request.Endpoint, index, "w", index == 2)); err != nil {
					return failure.New(failure.CodeCancelled, "gone").WithCause(err)
				}
			}
			time.Sleep(250 * time.Millisecond)
			return nil
		}, func(options *Options) { options.Limits.WriteTimeout = 100 * time.Millisecond })
		response, answer := site.post(t, chatPath, body)
		assert.Equal(t, response.ProtoMajor, protocol)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, strings.HasSuffix(answer, "data: [DONE]\n\n"), body == streamBody, answer)
	}
}

func TestHTTP2SlowReaderIsCutOff(t *testing.T) {
	ended := make(chan error, 1)
	site := newSite(http2Test{t}, func(_ context.Context, request *inference.Request, sink Sink) error {
		large := chunkOf(request.Endpoint, 0, strings.Repeat("x", 1<<20), false)
		for {
			if err := sink.Chunk(large); err != nil {
				ended <- err
				return failure.New(failure.CodeCancelled, "gone").WithCause(err)
			}
		}
	}, func(options *Options) { options.Limits.WriteTimeout = 300 * time.Millisecond })
	response := site.openHTTP2(t, t.Context())
	assert.Assert(t, await(t, ended, "the write deadline") != nil)
	_, err := io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil, "a part must not look like the whole")
}

func TestHTTP2CallerGoneCancelsItsRequest(t *testing.T) {
	cancelled := make(chan error, 1)
	site := newSite(http2Test{t}, func(ctx context.Context, request *inference.Request, sink Sink) error {
		// The caller may go as soon as the header of the answer is out, before this returns: either way is right.
		_ = sink.Chunk(chunkOf(request.Endpoint, 0, "first", false))
		select {
		case <-ctx.Done():
			cancelled <- context.Cause(ctx)
		case <-t.Context().Done():
		}
		return failure.New(failure.CodeCancelled, "gone")
	}, nil)
	ctx, cancel := context.WithCancel(t.Context())
	site.openHTTP2(t, ctx)
	cancel()
	assert.ErrorIs(t, await(t, cancelled, "cancellation"), context.Canceled)
}

// openHTTP2 sends a streamed request and returns once its answer has begun.
func (s *site) openHTTP2(t testing.TB, ctx context.Context) *http.Response {
	t.Helper()
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+chatPath, strings.NewReader(streamBody))
	assert.NilError(t, err)
	call.Header.Set("Authorization", "Bearer "+testKey)
	// No client timeout: only the server may end the answer.
	client := http.Client{Transport: s.server.Client().Transport}
	response, err := client.Do(call)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}
