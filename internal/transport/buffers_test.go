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

// liveBytes is what the heap holds once all garbage is gone.
func liveBytes() int64 {
	// What a pool holds outlives one collection.
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// TestConnectionsAtRestKeepLittleOfALargeMessage has 60 nodes read a page of 250 kB of results from one that they go on calling: each end of
// a connection keeps no more than 32 KiB of it. 330 nodes may call each worker, with 32 MB a node for all control.
func TestConnectionsAtRestKeepLittleOfALargeMessage(t *testing.T) {
	const (
		nodes      = 60
		page       = 250_000
		small      = 30
		keptByEnds = 2 * 32 << 10
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
			_, err := say(limited(t), connection, text)
			assert.NilError(t, err)
		}
	}
	for range nodes {
		connections = append(connections, connect(t, address, transport.PoolOptions{}))
	}
	callAll("small")
	before := liveBytes()
	callAll("page")
	for range small {
		callAll("small")
	}
	kept := (liveBytes() - before) / nodes
	t.Logf("%d bytes are kept for each connection", kept)
	assert.Assert(t, kept <= keptByEnds, "%d bytes are kept for each connection", kept)
}
