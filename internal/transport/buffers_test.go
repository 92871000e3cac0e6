package transport_test

import (
	"context"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/transport"
)

// heapBytes returns the bytes allocated on the heap after garbage collection.
func heapBytes() int64 {
	// Objects in a sync.Pool survive one collection, so two are needed.
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// TestIdleConnectionsRetainLittleOfLargeMessages checks that each end of a connection retains at most 32 KiB of buffers after
// a large message. 60 nodes read a 250 kB page of results from one node and then continue with small calls. The limit follows
// from up to 330 nodes calling each worker and a memory budget of 32 MB per node for all control traffic.
func TestIdleConnectionsRetainLittleOfLargeMessages(t *testing.T) {
	const (
		nodes               = 60
		page                = 250_000
		small               = 30
		maxRetainedBothEnds = 2 * 32 << 10
	)
	service := &echo{say: func(_ context.Context, text string) (string, error) {
		if text == "page" {
			return strings.Repeat("r", page), nil
		}
		return text, nil
	}}
	_, address := serve(t, service, transport.ServerOptions{})
	var connections []drpc.Conn
	callAll := func(text string) {
		for _, connection := range connections {
			_, err := say(timeoutContext(t), connection, text)
			assert.NilError(t, err)
		}
	}
	for range nodes {
		connections = append(connections, connect(t, address, transport.PoolOptions{}))
	}
	callAll("small")
	before := heapBytes()
	callAll("page")
	for range small {
		callAll("small")
	}
	retained := (heapBytes() - before) / nodes
	t.Logf("%d bytes retained per connection", retained)
	assert.Assert(t, retained <= maxRetainedBothEnds, "%d bytes retained per connection", retained)
}
