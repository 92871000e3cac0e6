package transport_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"google.golang.org/protobuf/types/known/wrapperspb"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/transport"
)

func TestConcurrentCallsToOneNode(t *testing.T) {
	var gate sync.WaitGroup
	gate.Add(8)
	service := &echo{say: func(_ context.Context, text string) (string, error) {
		gate.Done()
		gate.Wait()
		return text, nil
	}}
	_, address := serve(t, service, transport.ServerOptions{})
	conn := connect(t, address, transport.PoolOptions{})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			answer, err := say(timeoutContext(t), conn, "hello")
			assert.Check(t, err)
			assert.Check(t, answer == "hello")
		})
	}
	callers.Wait()
}

func TestCallLimitReportsNothingSent(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	service := &echo{say: func(context.Context, string) (string, error) {
		close(entered)
		<-release
		return "", nil
	}}
	_, address := serve(t, service, transport.ServerOptions{})
	conn := connect(t, address, transport.PoolOptions{MaxPerNode: 1})
	done := make(chan error, 1)
	go func() {
		_, err := say(timeoutContext(t), conn, "")
		done <- err
	}()
	<-entered
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := say(ctx, conn, "")
	assert.Check(t, transport.NothingSent(err), "%v", err)
	close(release)
	assert.NilError(t, <-done)
}

func TestErrorKinds(t *testing.T) {
	_, address := serve(t, &echo{say: failing(nil)}, transport.ServerOptions{MaxMessageBytes: 1 << 10})
	conn := connect(t, address, transport.PoolOptions{})
	_, err := say(timeoutContext(t), conn, "hello")
	assert.Check(t, errors.Is(err, transport.ErrRemote), "%v", err)
	assert.Check(t, !transport.NothingSent(err))

	_, err = say(timeoutContext(t), conn, strings.Repeat("long", 1<<12))
	assert.Check(t, errors.Is(err, transport.ErrBroken), "%v", err)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	_, err = say(timeoutContext(t), connect(t, listener.Addr().String(), transport.PoolOptions{}), "hello")
	assert.Check(t, errors.Is(err, transport.ErrUnreachable), "%v", err)
	assert.Check(t, transport.NothingSent(err))
}

// TestBrokenStreamIsNotReportedAsItsEnd checks that a connection closed in the middle of a stream is reported neither as the
// end of the stream nor as a cancellation by the caller.
func TestBrokenStreamIsNotReportedAsItsEnd(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	service := &echo{count: func(stream drpc.Stream) error {
		if err := stream.MsgSend(wrapperspb.String("one"), encoding{}); err != nil {
			return err
		}
		select {
		case <-hold:
		case <-stream.Context().Done():
		}
		return nil
	}}
	server, address := serve(t, service, transport.ServerOptions{})
	conn := connect(t, address, transport.PoolOptions{})
	stream, err := conn.NewStream(timeoutContext(t), streamCall, encoding{})
	assert.NilError(t, err)
	assert.NilError(t, stream.MsgSend(wrapperspb.String(""), encoding{}))
	assert.NilError(t, stream.CloseSend())
	message := new(wrapperspb.StringValue)
	assert.NilError(t, stream.MsgRecv(message, encoding{}))
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Check(t, errors.Is(server.Stop(expired), context.Canceled))
	err = stream.MsgRecv(message, encoding{})
	assert.Check(t, errors.Is(err, transport.ErrBroken), "%v", err)
	assert.Check(t, !errors.Is(err, io.EOF), "%v", err)
	assert.Check(t, !errors.Is(err, context.Canceled), "%v", err)
}

func TestStopFinishesCallsAndRefusesNewOnes(t *testing.T) {
	entered := make(chan struct{}, 2)
	release := map[string]chan struct{}{"slow": make(chan struct{}), "quick": make(chan struct{})}
	service := &echo{say: func(_ context.Context, text string) (string, error) {
		if gate, gated := release[text]; gated {
			entered <- struct{}{}
			<-gate
		}
		return text, nil
	}}
	server, address := serve(t, service, transport.ServerOptions{})
	conn := connect(t, address, transport.PoolOptions{})
	// Two concurrent calls open two connections, so that a new call can reach the stopping server on the connection that
	// is idle again.
	ended := map[string]chan error{"slow": make(chan error, 1), "quick": make(chan error, 1)}
	for name, end := range ended {
		go func() {
			_, failed := say(timeoutContext(t), conn, name)
			end <- failed
		}()
		<-entered
	}
	close(release["quick"])
	assert.NilError(t, <-ended["quick"])
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(timeoutContext(t)) }()
	var err error
	for err == nil {
		_, err = say(timeoutContext(t), conn, "new")
	}
	assert.Check(t, errors.Is(err, transport.ErrRefused), "%v", err)
	close(release["slow"])
	assert.NilError(t, <-ended["slow"])
	assert.NilError(t, <-stopped)
}

func TestDeadIdleConnectionIsReplaced(t *testing.T) {
	authority := newAuthority(t)
	for name, credentials := range map[string]*transport.Credentials{"plain": nil, "tls": authority.credentials(t, "b")} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				checkDeadIdleConnectionReplaced(t, credentials)
			}
		})
	}
}

// checkDeadIdleConnectionReplaced calls a server that was stopped and restarted while the connection to it was idle.
func checkDeadIdleConnectionReplaced(t *testing.T, credentials *transport.Credentials) {
	options := transport.ServerOptions{Credentials: credentials}
	server, address := serve(t, &echo{}, options)
	conn := connect(t, address, transport.PoolOptions{Credentials: credentials})
	_, err := say(timeoutContext(t), conn, "one")
	assert.NilError(t, err)
	assert.NilError(t, server.Stop(timeoutContext(t)))
	again := transport.NewServer(options)
	assert.NilError(t, again.Register(&echo{say: func(context.Context, string) (string, error) { return "again", nil }}, description{}))
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	go func() { _ = again.Serve(listener) }()
	defer func() { _ = again.Stop(timeoutContext(t)) }()
	answer, err := say(timeoutContext(t), conn, "two")
	assert.NilError(t, err)
	assert.Equal(t, answer, "again")
}

func TestUnknownNode(t *testing.T) {
	pool := transport.NewPool(transport.PoolOptions{Lookup: noAddress})
	_, err := pool.Conn(context.Background(), "nobody")
	assert.Check(t, errors.Is(err, transport.ErrUnknownNode))
}

// TestConnectionOfClosedStreamIsReused checks that after a stream is closed before its end, its connection can be used for the
// next call.
func TestConnectionOfClosedStreamIsReused(t *testing.T) {
	service := &echo{count: func(stream drpc.Stream) error {
		return stream.MsgSend(wrapperspb.String("one"), encoding{})
	}}
	_, address := serve(t, service, transport.ServerOptions{})
	conn := connect(t, address, transport.PoolOptions{MaxPerNode: 1})
	for range 200 {
		stream, err := conn.NewStream(timeoutContext(t), streamCall, encoding{})
		assert.NilError(t, err)
		assert.NilError(t, stream.MsgSend(wrapperspb.String(""), encoding{}))
		assert.NilError(t, stream.MsgRecv(new(wrapperspb.StringValue), encoding{}))
		assert.NilError(t, stream.Close())
		answer, err := say(timeoutContext(t), conn, "next")
		assert.NilError(t, err)
		assert.Equal(t, answer, "next")
	}
}
