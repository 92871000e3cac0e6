package transport

import (
	"context"
	"errors"
	"fmt"
	"io"

	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// neverClosed is the Closed channel of shared connections, which reconnect by themselves.
var neverClosed = make(chan struct{})

// sharedConn makes each call on a connection of its own from the pool.
type sharedConn struct {
	pool   *Pool
	target target
}

var _ drpc.Conn = (*sharedConn)(nil)

// Close does nothing: the connections are the pool's.
func (c *sharedConn) Close() error { return nil }

// Closed returns a channel that is never closed.
func (c *sharedConn) Closed() <-chan struct{} { return neverClosed }

// Unblocked returns a channel that is closed, since calls never wait for an earlier one.
func (c *sharedConn) Unblocked() <-chan struct{} {
	unblocked := make(chan struct{})
	close(unblocked)
	return unblocked
}

// Invoke makes a call with one request and one answer.
func (c *sharedConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	known, err := c.enter(ctx)
	if err != nil {
		return err
	}
	defer known.leave()
	err = c.try(ctx, false, func(connection *clientConn) error {
		answer := &answerWatch{Encoding: encoding}
		failed := connection.Invoke(ctx, rpc, answer, in, out)
		c.pool.options.Metrics.account(connection.meter, serviceOf(rpc), sideClient)
		if failed != nil && answer.decoded {
			_ = connection.Close()
			return nil
		}
		c.pool.release(c.target, connection)
		return failed
	})
	return classified(ctx, rpc, err)
}

// answerWatch notes that the answer of a call was decoded. The library closes the call after that, and reports a failure
// to close, as when the peer stops right after its last answer, as a failure of the call.
type answerWatch struct {
	drpc.Encoding
	decoded bool
}

// MarshalAppend encodes the request behind what buffer holds, in place where the encoding can.
func (w *answerWatch) MarshalAppend(buffer []byte, message drpc.Message) ([]byte, error) {
	return drpcenc.MarshalAppend(message, w.Encoding, buffer)
}

// Unmarshal decodes the answer.
func (w *answerWatch) Unmarshal(data []byte, message drpc.Message) error {
	err := w.Encoding.Unmarshal(data, message)
	w.decoded = err == nil
	return err
}

// NewStream opens a streaming call. The stream's connection returns to the pool when the stream ends: callers read it
// to its end, close it, or cancel ctx.
func (c *sharedConn) NewStream(ctx context.Context, rpc string, encoding drpc.Encoding) (drpc.Stream, error) {
	known, err := c.enter(ctx)
	if err != nil {
		return nil, err
	}
	var opened *sharedStream
	err = c.try(ctx, false, func(connection *clientConn) error {
		stream, failed := connection.NewStream(ctx, rpc, encoding)
		if failed != nil {
			c.pool.release(c.target, connection)
			return failed
		}
		opened = &sharedStream{Stream: stream, caller: ctx, rpc: rpc}
		go c.await(opened, known, connection)
		return nil
	})
	if err != nil {
		known.leave()
		return nil, classified(ctx, rpc, err)
	}
	return opened, nil
}

// await returns the stream's connection to the pool once the library has finished with it.
func (c *sharedConn) await(stream *sharedStream, known *peer, connection *clientConn) {
	<-stream.Context().Done()
	c.pool.options.Metrics.account(connection.meter, serviceOf(stream.rpc), sideClient)
	c.pool.release(c.target, connection)
	known.leave()
}

// enter waits for one of the target's slots.
func (c *sharedConn) enter(ctx context.Context) (*peer, error) {
	known := c.pool.peerOf(c.target)
	select {
	case known.slots <- struct{}{}:
		return known, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("connect to %s: %w: all connections in use: %w", c.target.address, ErrUnreachable, ctx.Err())
	}
}

func (p *peer) leave() { <-p.slots }

// notSentError marks a failure before the first byte of the call was written.
type notSentError struct{ cause error }

// Error returns the text of the cause.
func (e *notSentError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// try runs call on a connection. An idle connection may turn out to be dead; if not a byte was written to it, the call
// is made again on a fresh one.
func (c *sharedConn) try(ctx context.Context, fresh bool, call func(*clientConn) error) error {
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
		return c.try(ctx, true, call)
	}
	return &notSentError{cause: fmt.Errorf("connect to %s: %w: %s", c.target.address, ErrUnreachable, err.Error())}
}

func classified(ctx context.Context, rpc string, err error) error {
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

// sharedStream gives the errors of a stream their kinds.
type sharedStream struct {
	drpc.Stream
	caller context.Context
	rpc    string
}

// MsgSend sends a message. The error is io.EOF if the peer has ended the call; MsgRecv then tells why.
func (s *sharedStream) MsgSend(message drpc.Message, encoding drpc.Encoding) error {
	return classify(s.caller, s.Stream.MsgSend(message, encoding))
}

// MsgRecv receives a message, or returns io.EOF at the end of the call and only then.
func (s *sharedStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	return classify(s.caller, s.Stream.MsgRecv(message, encoding))
}

// CloseSend tells the peer that no more messages come.
func (s *sharedStream) CloseSend() error { return classify(s.caller, s.Stream.CloseSend()) }

// Close ends the call.
func (s *sharedStream) Close() error { return classify(s.caller, s.Stream.Close()) }
