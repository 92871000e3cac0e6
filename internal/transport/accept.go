package transport

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcerr"

	"mallowlatch.example/mallowlatch/internal/connlimit"
)

// acceptRetryInterval is the time until a listener accepts again after an error that passes.
const acceptRetryInterval = 50 * time.Millisecond

// isTemporary reports whether accepting a connection may succeed later: a resource of the process or the machine is short, or the connection was
// closed before it was accepted.
func isTemporary(err error) bool {
	passing := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	return slices.ContainsFunc(passing, func(kind error) bool { return errors.Is(err, kind) })
}

// pauseAccepting waits until connections may be accepted again, or the server stops.
func (s *Server) pauseAccepting() {
	timer := time.NewTimer(acceptRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.tomb.Dying():
	}
}

// serverConnOf returns the connection of a call, or nil if it is not one of a server.
func serverConnOf(stream drpc.Stream) *serverConn {
	carrier, found := drpcctx.Transport(stream.Context())
	if !found {
		return nil
	}
	accepted, _ := carrier.(*serverConn)
	return accepted
}

// arrivingStream is the stream of a call whose request may not have arrived whole.
type arrivingStream struct {
	drpc.Stream
	limited *connlimit.Conn
}

// arriving returns a stream that tells the limiter of its connection, if there is one, that a message has arrived.
func arriving(stream drpc.Stream, accepted *serverConn) drpc.Stream {
	if accepted == nil || accepted.limited == nil {
		return stream
	}
	return &arrivingStream{Stream: stream, limited: accepted.limited}
}

// MsgRecv implements drpc.Stream. It refuses a message whose connection was closed.
func (s *arrivingStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	if err := s.Stream.MsgRecv(message, encoding); err != nil {
		return err
	}
	if !s.limited.Begin() {
		return drpcerr.WithCode(ErrRefused, codeRefused)
	}
	return nil
}

// endCall tells the limiter, if there is one, that a call on the connection was answered.
func (c *serverConn) endCall() {
	if c.limited != nil {
		c.limited.End()
	}
}
