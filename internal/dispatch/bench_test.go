package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/engine/openaihttp"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// benchmarkTokens is the length of an answer in the benchmarks.
const benchmarkTokens = 1000

// tokenData is a chunk of typical size.
var tokenData = []byte(`{"id":"chatcmpl-0123456789abcdef","object":"chat.completion.chunk","created":1800000000,"model":"base","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}`)

// memoryEngine returns an answer of benchmarkTokens chunks without delay.
type memoryEngine struct{ engine.Engine }

func (memoryEngine) Generate(context.Context, engine.Call) (engine.Stream, error) {
	return &memoryStream{}, nil
}

type memoryStream struct{ next int }

func (s *memoryStream) Next() (inference.Chunk, error) {
	if s.next > benchmarkTokens {
		return inference.Chunk{}, io.EOF
	}
	chunk := inference.Chunk{Offset: s.next, Tokens: 1, Data: tokenData}
	if s.next == benchmarkTokens {
		chunk.Tokens, chunk.Final = 0, true
	}
	s.next++
	return chunk, nil
}

func (s *memoryStream) Close() error { return nil }

// singleEngine returns the same engine for every runner.
type singleEngine struct{ target engine.Engine }

func (s singleEngine) Engine(ident.Runner) (engine.Engine, bool) { return s.target, true }

// countSink counts the bytes it receives.
type countSink struct{ bytes int }

func (s *countSink) Chunk(chunk inference.Chunk) error {
	s.bytes += len(chunk.Data)
	return nil
}

// processorTime returns the CPU time (user and system) of the process. Unlike wall-clock time it is independent of other
// load on the machine.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkRelay(b *testing.B, target engine.Engine) {
	at := newClock()
	dispatcher := newDispatcher(newTable(runnerNames(1), at), singleEngine{target}, nil, at)
	request := &inference.Request{ID: "r", Model: "m", Endpoint: inference.ChatCompletions, Body: []byte(`{"model":"m","messages":[]}`), Repeatable: true, Stream: true}
	sink := &countSink{}
	b.ReportAllocs()
	before := processorTime()
	for b.Loop() {
		assert.NilError(b, dispatcher.Dispatch(context.Background(), request, sink))
	}
	tokens := float64(b.N) * benchmarkTokens
	b.ReportMetric(float64(processorTime()-before)/tokens, "cpu-ns/token")
	b.ReportMetric(float64(sink.bytes)/tokens, "bytes/token")
	assert.NilError(b, dispatcher.Close())
}

// BenchmarkRelayDispatcher measures the dispatcher's cost per token without a network.
func BenchmarkRelayDispatcher(b *testing.B) { benchmarkRelay(b, memoryEngine{}) }

// BenchmarkRelayHTTP adds the engine adapter and a connection with one write per token. The result includes the cost of the
// server.
func BenchmarkRelayHTTP(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(writeAnswer))
	defer server.Close()
	benchmarkRelay(b, openaihttp.New(server.URL, nil))
}

func writeAnswer(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(writer)
	for token := range benchmarkTokens {
		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", token, tokenData)
		_ = flusher.Flush()
	}
	fmt.Fprintf(writer, "id: %d+0\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", benchmarkTokens, benchmarkTokens)
}

// BenchmarkSnapshot880 measures a snapshot of 880 runners (the design size) that all have the model loaded.
func BenchmarkSnapshot880(b *testing.B) {
	at := newClock()
	table := newTable(runnerNames(880), at)
	b.ReportAllocs()
	before := processorTime()
	for b.Loop() {
		table.Snapshot("a", nil, "m", nil, at.Now())
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

var _ dispatch.Sink = (*countSink)(nil)
