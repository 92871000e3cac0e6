package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// discard is a response writer that keeps nothing but the count of bytes.
type discard struct {
	header http.Header
	bytes  int64
}

func (d *discard) Header() http.Header { return d.header }
func (d *discard) WriteHeader(int)     {}
func (d *discard) FlushError() error   { return nil }
func (d *discard) Write(content []byte) (int, error) {
	d.bytes += int64(len(content))
	return len(content), nil
}

// promptBody is a chat of about the given bytes of prompt.
func promptBody(bytes int, stream bool) string {
	return fmt.Sprintf(`{"model":"assistant","stream":%t,"messages":[{"role":"system","content":%q},{"role":"user","content":"When may I give blood again?"}]}`,
		stream, strings.Repeat("Donors may give again after ninety days. ", bytes/41))
}

// BenchmarkRequest gives the cost of one whole request without its tokens and without the network.
func BenchmarkRequest(b *testing.B) {
	for _, bytes := range []int{410, 4100, 41000} {
		b.Run(fmt.Sprintf("prompt=%dB", bytes), func(b *testing.B) {
			gateway := New(Options{Source: staticSource{testSnapshot()}, Dispatcher: DispatchFunc(greet)})
			body := promptBody(bytes, true)
			b.ReportAllocs()
			for b.Loop() {
				call := httptest.NewRequest(http.MethodPost, chatPath, strings.NewReader(body))
				call.Header.Set("Authorization", "Bearer "+testKey)
				response := &discard{header: http.Header{}}
				gateway.ServeHTTP(response, call)
				assert.Assert(b, response.bytes > 0)
			}
		})
	}
}

// BenchmarkToken gives the cost of relaying one token of a stream, without the network and over loopback.
func BenchmarkToken(b *testing.B) {
	var chunk inference.Chunk
	tokens := func(count int) DispatchFunc {
		return func(_ context.Context, request *inference.Request, sink Sink) error {
			chunk = chunkOf(request.Endpoint, 0, " donor", false)
			for index := range count {
				chunk.Offset, chunk.Final = index, index == count-1
				if err := sink.Chunk(chunk); err != nil {
					return err
				}
			}
			return nil
		}
	}
	b.Run("handler", func(b *testing.B) {
		gateway := New(Options{Source: staticSource{testSnapshot()}, Dispatcher: tokens(b.N)})
		call := httptest.NewRequest(http.MethodPost, chatPath, strings.NewReader(streamBody))
		call.Header.Set("Authorization", "Bearer "+testKey)
		response := &discard{header: http.Header{}}
		b.ReportAllocs()
		b.ResetTimer()
		gateway.ServeHTTP(response, call)
		b.ReportMetric(float64(response.bytes)/float64(b.N), "written-B/op")
		b.ReportMetric(float64(len(chunk.Data)), "chunk-B/op")
	})
	b.Run("loopback", func(b *testing.B) {
		site := newSite(b, tokens(b.N), nil)
		connection := site.open(b)
		b.ReportAllocs()
		b.ResetTimer()
		_, err := io.CopyN(io.Discard, connection, int64(b.N*len(chunkOf(inference.ChatCompletions, 0, " donor", false).Data)))
		assert.NilError(b, err)
	})
}

// BenchmarkTokensAtHand gives the cost of one token over loopback where so many at a time are at hand together.
func BenchmarkTokensAtHand(b *testing.B) {
	for _, together := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("together=%d", together), func(b *testing.B) {
			site := newSite(b, func(_ context.Context, request *inference.Request, sink Sink) error {
				buffered := sink.(answer.BufferedSink)
				chunk := chunkOf(request.Endpoint, 0, " donor", false)
				for index := range b.N {
					chunk.Offset = index
					take := buffered.Buffer
					if index%together == together-1 {
						take = buffered.Chunk
					}
					if err := take(chunk); err != nil {
						return err
					}
				}
				return nil
			}, nil)
			connection := site.open(b)
			b.ResetTimer()
			_, err := io.CopyN(io.Discard, connection, int64(b.N*len(chunkOf(inference.ChatCompletions, 0, " donor", false).Data)))
			assert.NilError(b, err)
		})
	}
}

// BenchmarkOpenStream gives the memory of one open stream: the server's and the dispatcher's goroutine included, the
// caller's socket excluded.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 1000
	for b.Loop() {
		started, proceed := make(chan struct{}, streams), make(chan struct{})
		site := newSite(b, func(_ context.Context, request *inference.Request, sink Sink) error {
			assert.Check(b, sink.Chunk(chunkOf(request.Endpoint, 0, "first", false)) == nil)
			started <- struct{}{}
			<-proceed
			return nil
		}, nil)
		before := heldBytes()
		connections := make([]net.Conn, streams)
		for index := range connections {
			connections[index] = site.open(b)
		}
		for range streams {
			<-started
		}
		b.ReportMetric(float64(heldBytes()-before)/streams, "B/stream")
		close(proceed)
		for _, connection := range connections {
			_ = connection.Close()
		}
	}
}

func heldBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
