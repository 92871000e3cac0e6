package transport_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/transport"
)

// countingListener counts the reads that return bytes, and the writes, of all accepted connections.
type countingListener struct {
	net.Listener
	reads, writes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return &countingConn{Conn: accepted, counts: l}, err
}

type countingConn struct {
	net.Conn
	counts *countingListener
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.counts.reads.Add(1)
	}
	return count, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	c.counts.writes.Add(1)
	return c.Conn.Write(buffer)
}

// countedServer returns the address of a server of the echo service whose reads and writes are counted.
func countedServer(t *testing.T, service *echo) (string, *countingListener) {
	t.Helper()
	service.say = func(_ context.Context, text string) (string, error) { return text, nil }
	server := transport.NewServer(transport.ServerOptions{})
	assert.NilError(t, server.Register(service, description{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counts := &countingListener{Listener: listener}
	done := make(chan error, 1)
	go func() { done <- server.Serve(counts) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Stop(ctx)
		assert.NilError(t, <-done)
	})
	return listener.Addr().String(), counts
}

// TestUnaryCallWakesTheServerOnce makes calls one after the other, as a node at rest does. Each must cost the server one read
// and one write, whatever the number of calls.
func TestUnaryCallWakesTheServerOnce(t *testing.T) {
	for _, calls := range []int64{10, 50} {
		address, counts := countedServer(t, &echo{})
		conn := connect(t, address, transport.PoolOptions{})
		for range calls {
			text, err := say(timeoutContext(t), conn, "text")
			assert.NilError(t, err)
			assert.Equal(t, text, "text")
			time.Sleep(2 * time.Millisecond)
		}
		assert.Check(t, counts.reads.Load() <= calls+1, "%d reads for %d calls", counts.reads.Load(), calls)
		assert.Check(t, counts.writes.Load() <= calls+1, "%d writes for %d calls", counts.writes.Load(), calls)
	}
}

// TestHeldBackEndOfACallIsSentWithTheNext alternates calls of small and large answers with streams on one connection.
func TestHeldBackEndOfACallIsSentWithTheNext(t *testing.T) {
	address, _ := countedServer(t, &echo{count: func(stream drpc.Stream) error {
		return stream.MsgSend(wrapperspb.String("one"), encoding{})
	}})
	conn := connect(t, address, transport.PoolOptions{MaxPerNode: 1})
	large := strings.Repeat("x", 100_000)
	for range 20 {
		for _, sent := range []string{"text", large, "text"} {
			text, err := say(timeoutContext(t), conn, sent)
			assert.NilError(t, err)
			assert.Assert(t, text == sent)
		}
		stream, err := conn.NewStream(timeoutContext(t), streamCall, encoding{})
		assert.NilError(t, err)
		assert.NilError(t, stream.MsgSend(wrapperspb.String(""), encoding{}))
		assert.NilError(t, stream.MsgRecv(new(wrapperspb.StringValue), encoding{}))
		assert.NilError(t, stream.Close())
	}
}
