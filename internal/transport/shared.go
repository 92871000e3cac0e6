package transport

import (
	"context"
	"errors"
	"fmt"
	"io"

	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// neverClosed is the Closed channel of shared connections, which reconnect automatically.
var neverClosed = make(chan struct{})

// sharedConn is a drpc.Conn that makes each call on a separate connection from the pool.
type sharedConn struct {
	pool   *Pool
	target target
}

var _ drpc.Conn = (*sharedConn)(nil)

// Close does nothing: the pool owns the connections.
func (c *sharedConn) Close() error { return nil }

// Closed returns a channel that is never closed.
func (c *sharedConn) Closed() <-chan struct{} { return neverClosed }

// Unblocked returns a closed channel, since calls do not wait for earlier calls on the same connection.
func (c *sharedConn) Unblocked() <-chan struct{} {
	unblocked := make(chan struct{})
	close(unblocked)
	return unblocked
}

// Invoke makes a unary call.
func (c *sharedConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	known, err := c.acquireSlot(ctx)
	if err != nil {
		return err
	}
	defer known.releaseSlot()
	err = c.callWithRetry(ctx, false, func(connection *clientConn) error {
		reply := &replyTracker{Encoding: encoding}
		failed := connection.Invoke(ctx, rpc, reply, in, out)
		c.pool.options.Metrics.account(connection.meter, serviceOf(rpc), sideClient)
		if failed != nil && reply.decoded {
			_ = connection.Close()
			return nil
		}
		c.pool.release(c.target, connection)
		return failed
	})
	return callError(ctx, rpc, err)
}

// replyTracker records whether the reply of a call was decoded. drpc closes the call after that, and reports a failure to
// close, for example when the peer stops right after sending its last reply, as a failure of the call.
type replyTracker struct {
	drpc.Encoding
	decoded bool
}

// MarshalAppend appends the encoded request to buffer, without an intermediate copy if the encoding supports it.
func (w *replyTracker) MarshalAppend(buffer []byte, message drpc.Message) ([]byte, error) {
	return drpcenc.MarshalAppend(message, w.Encoding, buffer)
}

// Unmarshal decodes the reply.
func (w *replyTracker) Unmarshal(data []byte, message drpc.Message) error {
	err := w.Encoding.Unmarshal(data, message)
	w.decoded = err == nil
	return err
}

// NewStream opens a streaming call. The stream's connection returns to the pool when the stream ends, so callers must read
// it to its end, close it, or cancel ctx.
func (c *sharedConn) NewStream(ctx context.Context, rpc string, encoding drpc.Encoding) (drpc.Stream, error) {
	known, err := c.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	var opened *sharedStream
	err = c.callWithRetry(ctx, false, func(connection *clientConn) error {
		stream, failed := connection.NewStream(ctx, rpc, encoding)
		if failed != nil {
			c.pool.release(c.target, connection)
			return failed
		}
		opened = &sharedStream{Stream: stream, caller: ctx, rpc: rpc}
		go c.releaseWhenDone(opened, known, connection)
		return nil
	})
	if err != nil {
		known.releaseSlot()
		return nil, callError(ctx, rpc, err)
	}
	return opened, nil
}

// releaseWhenDone returns the stream's connection to the pool and releases the slot when the stream's context ends.
func (c *sharedConn) releaseWhenDone(stream *sharedStream, known *peer, connection *clientConn) {
	<-stream.Context().Done()
	c.pool.options.Metrics.account(connection.meter, serviceOf(stream.rpc), sideClient)
	c.pool.release(c.target, connection)
	known.releaseSlot()
}

// acquireSlot waits for one of the target's call slots.
func (c *sharedConn) acquireSlot(ctx context.Context) (*peer, error) {
	known := c.pool.peerOf(c.target)
	select {
	case known.slots <- struct{}{}:
		return known, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w: all connections in use: %w", c.target.address, ErrUnreachable, ctx.Err())
	}
}

func (p *peer) releaseSlot() { <-p.slots }

// notSentError marks a failure before the first byte of the call was written.
type notSentError struct{ cause error }

// Error returns the text of the cause.
func (e *notSentError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// callWithRetry runs call on a connection. An idle connection may turn out to be closed; if nothing was written to it, the
// call is retried on a new connection.
func (c *sharedConn) callWithRetry(ctx context.Context, fresh bool, call func(*clientConn) error) error {
	connection, err := c.pool.acquire(ctx, c.target, fresh)
	if err != nil {
		return &notSentError{cause: err}
	}
	before := connection.meter.writes.Load()
	err = call(connection)
	if err == nil || connection.meter.writes.Load() != before {
		return err
	}
	if !fresh && ctx.Err() == nil {
		return c.callWithRetry(ctx, true, call)
	}
	return &notSentError{cause: fmt.Errorf("connect to %s: %w: %s", c.target.address, ErrUnreachable, err.Error())}
}

func callError(ctx context.Context, rpc string, err error) error {
	if err == nil {
		return nil
	}
	var unsent *notSentError
	if errors.As(err, &unsent) {
		return fmt.Errorf("call %s: %w", rpc, unsent.cause)
	}
	if err == io.EOF {
		return fmt.Errorf("call %s: %w: the answer is missing", rpc, ErrBroken)
	}
	return fmt.Errorf("call %s: %w", rpc, classify(ctx, err))
}

// sharedStream wraps the errors of a stream in their failure kinds.
type sharedStream struct {
	drpc.Stream
	caller context.Context
	rpc    string
}

// MsgSend sends a message. The error is io.EOF if the peer has ended the call; MsgRecv then returns the reason.
func (s *sharedStream) MsgSend(message drpc.Message, encoding drpc.Encoding) error {
	return classify(s.caller, s.Stream.MsgSend(message, encoding))
}

// MsgRecv receives a message. It returns io.EOF only at the regular end of the call.
func (s *sharedStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	return classify(s.caller, s.Stream.MsgRecv(message, encoding))
}

// CloseSend signals to the peer that no more messages will be sent.
func (s *sharedStream) CloseSend() error { return classify(s.caller, s.Stream.CloseSend()) }

// Close ends the call.
func (s *sharedStream) Close() error { return classify(s.caller, s.Stream.Close()) }
