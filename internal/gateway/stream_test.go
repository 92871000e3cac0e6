package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// patience bounds a wait for something that must happen; no verdict depends on how long it took.
const patience = 20 * time.Second

func await[T any](t testing.TB, from <-chan T, what string) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(patience):
		t.Fatalf("timed out: %s", what)
		panic("unreachable")
	}
}

// dial opens a connection of its own.
func (s *site) dial(t testing.TB) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", s.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { connection.Close() })
	assert.NilError(t, connection.SetDeadline(time.Now().Add(patience)))
	return connection
}

// open sends a streamed request over a connection of its own and leaves the answer unread.
func (s *site) open(t testing.TB) net.Conn {
	t.Helper()
	connection := s.dial(t)
	call, err := http.NewRequest(http.MethodPost, s.server.URL+chatPath, strings.NewReader(streamBody))
	assert.NilError(t, err)
	call.Header.Set("Authorization", "Bearer "+testKey)
	assert.NilError(t, call.Write(connection))
	return connection
}

func TestEachChunkIsFlushed(t *testing.T) {
	proceed := make(chan struct{})
	site := newSite(t, func(_ context.Context, request *inference.Request, sink Sink) error {
		for index := range 3 {
			if err := sink.Chunk(chunkOf(request.Endpoint, index, "w", index == 2)); err != nil {
				return err
			}
			select {
			case <-proceed:
			case <-t.Context().Done():
			}
		}
		return nil
	}, nil)
	reader := bufio.NewReader(site.open(t))
	for range 3 {
		line := ""
		for !strings.HasPrefix(line, "data: {") {
			var err error
			line, err = reader.ReadString('\n')
			assert.NilError(t, err)
		}
		proceed <- struct{}{}
	}
}

// readEvent returns the data of the next event with data.
func readEvent(t testing.TB, reader *bufio.Reader) string {
	t.Helper()
	for {
		line, err := reader.ReadString('\n')
		assert.NilError(t, err)
		if data, found := strings.CutPrefix(line, "data: "); found {
			return strings.TrimSuffix(data, "\n")
		}
	}
}

// The first chunk goes out at once, whatever follows it; those buffered after it go out with the flush, in order, also
// where the answer then breaks off.
func TestBufferedChunks(t *testing.T) {
	proceed := make(chan struct{})
	chunk := func(request *inference.Request, index int) inference.Chunk {
		return chunkOf(request.Endpoint, index, fmt.Sprint("word", index), false)
	}
	site := newSite(t, func(_ context.Context, request *inference.Request, sink Sink) error {
		buffered := sink.(answer.BufferedSink)
		assert.Check(t, buffered.Buffer(chunk(request, 0)))
		await(t, proceed, "first event")
		assert.Check(t, buffered.Buffer(chunk(request, 1)))
		assert.Check(t, buffered.Buffer(chunk(request, 2)))
		assert.Check(t, buffered.Flush())
		await(t, proceed, "flushed events")
		assert.Check(t, buffered.Buffer(chunk(request, 3)))
		return failure.New(failure.CodeStreamInterrupted, "broken").WithOutcome(outcome.Ran)
	}, nil)
	reader := bufio.NewReader(site.open(t))
	assert.Equal(t, textOf(readEvent(t, reader)), "word0")
	proceed <- struct{}{}
	assert.Equal(t, textOf(readEvent(t, reader)), "word1")
	assert.Equal(t, textOf(readEvent(t, reader)), "word2")
	proceed <- struct{}{}
	assert.Equal(t, textOf(readEvent(t, reader)), "word3")
	assert.Equal(t, textOf(readEvent(t, reader)), string(failure.CodeStreamInterrupted))
}

func TestLineBreaksOfAChunkStayInItsEvent(t *testing.T) {
	site := newSite(t, func(_ context.Context, request *inference.Request, sink Sink) error {
		chunk := chunkOf(request.Endpoint, 0, "w", true)
		chunk.Data = []byte("{\n\"id\":1,\r\n\"choices\":[]}")
		return sink.Chunk(chunk)
	}, nil)
	_, body := site.post(t, chatPath, streamBody)
	assert.Equal(t, body, "data: { \"id\":1,  \"choices\":[]}\n\ndata: [DONE]\n\n")
}

// TestCallerGoneCancelsItsRequest proves that a caller who hangs up frees the engine.
func TestCallerGoneCancelsItsRequest(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan error, 1)
	site := newSite(t, func(ctx context.Context, _ *inference.Request, _ Sink) error {
		close(started)
		select {
		case <-ctx.Done():
			cancelled <- context.Cause(ctx)
		case <-t.Context().Done():
		}
		return failure.New(failure.CodeCancelled, "gone")
	}, nil)
	connection := site.open(t)
	await(t, started, "dispatch")
	assert.NilError(t, connection.Close())
	assert.ErrorIs(t, await(t, cancelled, "cancellation"), context.Canceled)
}

// TestSlowReaderIsCutOff proves that a caller who stops reading holds nothing beyond the write timeout.
func TestSlowReaderIsCutOff(t *testing.T) {
	ended := make(chan error, 1)
	site := newSite(t, func(_ context.Context, request *inference.Request, sink Sink) error {
		large := chunkOf(request.Endpoint, 0, strings.Repeat("x", 1<<20), false)
		for {
			if err := sink.Chunk(large); err != nil {
				ended <- err
				return failure.New(failure.CodeCancelled, "gone").WithCause(err)
			}
		}
	}, func(options *Options) { options.Limits.WriteTimeout = 300 * time.Millisecond })
	site.open(t)
	assert.ErrorContains(t, await(t, ended, "the write deadline"), "timeout")
}

// TestSlowBodyIsCutOff proves that a caller who trickles a body is answered and holds no memory.
func TestSlowBodyIsCutOff(t *testing.T) {
	for path, kind := range map[string]string{chatPath: "application/json", "/v1/files": formType} {
		site := newSite(t, greet, func(options *Options) { options.Limits.BodyTimeout = 50 * time.Millisecond })
		connection := site.dial(t)
		_, err := io.WriteString(connection, "POST "+path+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
			"\r\nContent-Type: "+kind+"\r\nContent-Length: 1000\r\n\r\n--b\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusBadRequest)
		_, err = io.ReadAll(connection)
		assert.NilError(t, err, "the server must close the connection")
		assert.Equal(t, site.gateway.buffered.held.Load(), int64(0))
	}
}

// TestBodyTimeoutEndsWithTheBody pins what net/http does for us: the read that watches for the caller's going does not
// inherit the body's deadline, so a request may take longer than its body.
func TestBodyTimeoutEndsWithTheBody(t *testing.T) {
	for _, marked := range []testing.TB{t, http2Test{t}} {
		site := newSite(marked, func(ctx context.Context, request *inference.Request, sink Sink) error {
			select {
			case <-ctx.Done():
				return failure.New(failure.CodeCancelled, "gone")
			case <-time.After(300 * time.Millisecond):
				return sendWords(request, sink, "late")
			}
		}, func(options *Options) { options.Limits.BodyTimeout = 100 * time.Millisecond })
		response, body := site.post(t, chatPath, chatBody)
		assert.Equal(t, response.StatusCode, http.StatusOK, body)
	}
}

// TestRequestGivenUpOnGetsItsAnswer proves that a stuck dispatcher cannot keep a caller waiting, before or after the
// first token, and that nothing is written after the final answer.
func TestRequestGivenUpOnGetsItsAnswer(t *testing.T) {
	for name, row := range map[string]struct {
		body  string
		begun bool
	}{"whole": {chatBody, false}, "streamed": {streamBody, false}, "streamed and begun": {streamBody, true}} {
		t.Run(name, func(t *testing.T) {
			blocked, late := make(chan struct{}), make(chan error, 1)
			release := sync.OnceFunc(func() { close(blocked) })
			defer release()
			site := newSite(t, func(_ context.Context, request *inference.Request, sink Sink) error {
				if row.begun {
					assert.Check(t, sink.Chunk(chunkOf(request.Endpoint, 0, "first", false)) == nil)
				}
				<-blocked
				late <- sink.Chunk(chunkOf(request.Endpoint, 1, "late", true))
				return nil
			}, func(options *Options) { options.Limits.GiveUpGrace = time.Millisecond })
			response, content := site.post(t, chatPath, row.body, headerRequestDeadline, "50")
			assert.Equal(t, response.StatusCode == http.StatusOK, row.begun)
			events := strings.Split(strings.TrimSpace(content), "\n\n")
			failed := envelopeOf(t, strings.TrimPrefix(events[len(events)-1], "data: "))
			assert.Equal(t, failed.Code, failure.CodeDeadlineExceeded)
			assert.Equal(t, failed.NotRun, "unknown")
			release()
			assert.ErrorIs(t, await(t, late, "late chunk"), errAnswered)
		})
	}
}

func TestDrainFinishesStreamsAndRefusesNewWork(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(proceed) })
	defer release()
	site := newSite(t, func(_ context.Context, request *inference.Request, sink Sink) error {
		assert.Check(t, sink.Chunk(chunkOf(request.Endpoint, 0, "first", false)) == nil)
		close(started)
		<-proceed
		return sink.Chunk(chunkOf(request.Endpoint, 1, "last", true))
	}, nil)
	connection := site.open(t)
	await(t, started, "the stream")
	drained := make(chan error, 1)
	go func() { drained <- site.gateway.Drain(context.Background()) }()
	for !site.gateway.draining.isClosed() {
		time.Sleep(time.Millisecond)
	}
	response, body := site.post(t, chatPath, chatBody)
	assert.Equal(t, envelopeOf(t, body).Code, failure.CodeDraining)
	assert.Equal(t, response.Header.Get(headerNotRun), "true")
	assert.Assert(t, response.Header.Get(headerRetryAfterMilliseconds) != "")
	response, _ = site.send(t, "GET", "/readyz", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	response, _ = site.send(t, "GET", "/healthz", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	select {
	case <-drained:
		t.Fatal("the drain ended before the stream")
	default:
	}
	release()
	assert.NilError(t, await(t, drained, "drain"))
	rest, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	content, err := io.ReadAll(rest.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(content), "data: [DONE]\n\n"), "%s", content)
}

func TestAnnouncedDrainStillServes(t *testing.T) {
	site := newSite(t, func(_ context.Context, request *inference.Request, sink Sink) error {
		return sink.Chunk(chunkOf(request.Endpoint, 0, "all", true))
	}, nil)
	response, _ := site.send(t, "GET", "/readyz", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	site.gateway.AnnounceDrain()
	response, body := site.send(t, "GET", "/readyz", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, envelopeOf(t, body).Code, failure.CodeDraining)
	response, body = site.post(t, chatPath, chatBody)
	assert.Equal(t, response.StatusCode, http.StatusOK, "%s", body)
	assert.Assert(t, response.Close, "the connection stays open for another request")
}

func TestCutDrainEndsStreamsWithAnError(t *testing.T) {
	started := make(chan struct{})
	site := newSite(t, func(ctx context.Context, request *inference.Request, sink Sink) error {
		assert.Check(t, sink.Chunk(chunkOf(request.Endpoint, 0, "first", false)) == nil)
		close(started)
		select {
		case <-ctx.Done():
		case <-t.Context().Done():
		}
		return failure.New(failure.CodeCancelled, "gone").WithOutcome(outcome.Ran)
	}, nil)
	connection := site.open(t)
	await(t, started, "the stream")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, site.gateway.Drain(ctx), context.Canceled)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(content), `"code":"node_draining","not_run":"false"`), "%s", content)
}

func TestPanicStaysInItsRequest(t *testing.T) {
	registry := prometheus.NewRegistry()
	site := newSite(t, func(_ context.Context, request *inference.Request, sink Sink) error {
		if request.Stream {
			assert.Check(t, sink.Chunk(chunkOf(request.Endpoint, 0, "first", false)) == nil)
		}
		panic("seeded")
	}, func(options *Options) { options.Registerer = registry })
	response, body := site.post(t, chatPath, chatBody)
	assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, envelopeOf(t, body).NotRun, "unknown")
	connection := site.open(t)
	broken, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(broken.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "a part must not look like the whole")
	assert.Equal(t, counterValue(t, registry, "mallowlatch_gateway_panics_total"), 2.0)
	assert.Equal(t, site.gateway.InProgress(), 0)
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	site := newSite(t, func(_ context.Context, request *inference.Request, sink Sink) error {
		return sink.Chunk(chunkOf(request.Endpoint, 0, "first", false))
	}, nil)
	for _, body := range []string{chatBody, streamBody} {
		_, answer := site.post(t, chatPath, body)
		assert.Assert(t, strings.Contains(answer, string(failure.CodeStreamInterrupted)), answer)
		assert.Assert(t, !strings.Contains(answer, "[DONE]"), answer)
	}
}

func counterValue(t testing.TB, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}
