package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"mallowlatch.example/mallowlatch/internal/connlimit"
	"mallowlatch.example/mallowlatch/internal/event"
)

// Default options of a server.
const (
	// DefaultMaxMessageBytes is the maximum size of one message of a call.
	DefaultMaxMessageBytes = 4 << 20
	// DefaultMaxConnections is the maximum number of accepted connections.
	DefaultMaxConnections = 4096

	handshakeTimeout = 5 * time.Second
	// serverIdleTimeout is how long an accepted connection may be idle before it is closed. It is longer than the pool's
	// DefaultIdleTimeout, so that normally the client closes first: only the client knows that no call is in flight.
	serverIdleTimeout = 10 * time.Minute
)

// ServerOptions configures a server. The zero value serves plain TCP on loopback.
type ServerOptions struct {
	// Credentials enable mutual TLS. Without them only loopback listeners are served, unless PrivateNetwork states that no
	// other party can reach the network between the nodes.
	Credentials    *Credentials
	PrivateNetwork bool
	// MaxMessageBytes and MaxConnections default to the constants of this package.
	MaxMessageBytes int
	MaxConnections  int
	// Limiter limits the connections and the messages that have not arrived whole; nil means that only MaxConnections limits them.
	Limiter *connlimit.Limiter
	Metrics *Metrics
	Logger  zerolog.Logger
}

// Server serves the drpc services of a node to other nodes. It is a drpc.Mux: pass it to the generated DRPCRegister
// functions before Serve.
type Server struct {
	options  ServerOptions
	mux      *drpcmux.Mux
	services map[string]bool
	// unary contains the calls that have one answer.
	unary map[string]bool
	drpc  *drpcserver.Server
	tomb  tomb.Tomb

	mutex    sync.Mutex
	stopping bool
	listener net.Listener
	open     map[net.Conn]struct{}
	running  int
	idle     chan struct{}
}

var _ drpc.Mux = (*Server)(nil)

// NewServer returns a server without services.
func NewServer(options ServerOptions) *Server {
	if options.MaxMessageBytes == 0 {
		options.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if options.MaxConnections == 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	server := &Server{
		options:  options,
		mux:      drpcmux.New(),
		services: map[string]bool{},
		unary:    map[string]bool{},
		open:     map[net.Conn]struct{}{},
		idle:     make(chan struct{}),
	}
	server.drpc = drpcserver.NewWithOptions(handlerFunc(server.handle), drpcserver.Options{
		Manager: managerOptions(options.MaxMessageBytes, serverIdleTimeout),
	})
	return server
}

const (
	// frameBytes is the maximum size of the frames into which a message is split. Each end of a connection retains a buffer
	// for the largest frame so far until the connection closes.
	frameBytes = 8 << 10
	// retainedBufferBytes is the maximum size of a message buffer that is reused for the next message of the same call.
	retainedBufferBytes = 16 << 10
)

// managerOptions returns the drpc options used at both ends of a connection.
func managerOptions(maxMessageBytes int, inactivity time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:            drpcstream.Options{SplitSize: frameBytes, MaximumBufferSize: retainedBufferBytes},
		InactivityTimeout: inactivity,
	}
}

type handlerFunc func(stream drpc.Stream, rpc string) error

// HandleRPC implements drpc.Handler.
func (f handlerFunc) HandleRPC(stream drpc.Stream, rpc string) error { return f(stream, rpc) }

// Register adds a service. It must not be called after Serve.
func (s *Server) Register(implementation any, description drpc.Description) error {
	for index := range description.NumMethods() {
		rpc, _, _, method, known := description.Method(index)
		if known {
			s.services[serviceOf(rpc)] = true
			s.unary[rpc] = isUnary(method)
		}
	}
	if err := s.mux.Register(implementation, description); err != nil {
		return fmt.Errorf("register service: %w", err)
	}
	return nil
}

// isUnary reports whether a method of a service returns its answer, rather than sending answers on a stream.
func isUnary(method any) bool { return reflect.TypeOf(method).NumOut() == 2 }

// Serve accepts connections until Stop. It returns nil after Stop, ErrInsecure for a plain listener on an address other than
// loopback (unless PrivateNetwork is set), ErrClosed if Stop was called before, or the listener's error.
func (s *Server) Serve(listener net.Listener) error {
	if s.options.Credentials == nil && !s.options.PrivateNetwork && !isLoopback(listener.Addr().String()) {
		return fmt.Errorf("serve %s: %w", listener.Addr(), ErrInsecure)
	}
	s.mutex.Lock()
	if s.stopping {
		s.mutex.Unlock()
		return fmt.Errorf("serve: %w", ErrClosed)
	}
	s.listener = listener
	s.mutex.Unlock()
	if s.options.Limiter != nil {
		listener = s.options.Limiter.Listen(listener)
	}
	event.TransportServing.Log(s.options.Logger).Str("address", listener.Addr().String()).Send()
	s.tomb.Go(func() error { return s.accept(listener) })
	return s.tomb.Wait()
}

func (s *Server) accept(listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			if s.isStopping() {
				return nil
			}
			if !isTemporary(err) {
				return fmt.Errorf("accept: %w", err)
			}
			event.TransportAcceptFailed.Log(s.options.Logger).Err(err).Send()
			s.pauseAccepting()
			continue
		}
		if !s.track(connection) {
			_ = connection.Close()
			continue
		}
		s.tomb.Go(func() error {
			defer s.untrack(connection)
			s.serveConnection(connection)
			return nil
		})
	}
}

func (s *Server) serveConnection(connection net.Conn) {
	meter := &meteredConn{Conn: connection}
	accepted := &serverConn{Conn: meter, meter: meter}
	accepted.limited, _ = connection.(*connlimit.Conn)
	if s.options.Credentials != nil {
		secure := tls.Server(meter, s.options.Credentials.serverConfig())
		if err := s.handshake(secure); err != nil {
			event.TransportPeerRefused.Log(s.options.Logger).Err(err).Str("remote", connection.RemoteAddr().String()).Send()
			return
		}
		accepted.Conn = secure
		accepted.peer = peerName(secure.ConnectionState())
	}
	// The error only reports why the connection ended, usually that the client closed it; calls return their own errors.
	_ = s.drpc.ServeOne(s.tomb.Context(drpcctx.WithTransport(context.Background(), accepted)), accepted)
}

func (s *Server) handshake(secure *tls.Conn) error {
	ctx, cancel := context.WithTimeout(s.tomb.Context(context.Background()), handshakeTimeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	return nil
}

// handle runs one call, or refuses it if the server is stopping.
func (s *Server) handle(stream drpc.Stream, rpc string) error {
	if !s.beginCall() {
		return drpcerr.WithCode(ErrRefused, codeRefused)
	}
	// The result must be sent before the call is counted as ended, or Stop could close the connection before the result is
	// sent.
	defer s.endCall()
	if flusher, supported := stream.(interface{ SetManualFlush(bool) }); supported {
		// The answer of a unary call is sent together with the end of the call.
		flusher.SetManualFlush(s.unary[rpc])
	}
	accepted := serverConnOf(stream)
	err := sendResult(stream, withCode(s.mux.HandleRPC(arriving(stream, accepted), rpc)))
	if accepted != nil {
		accepted.endCall()
		s.options.Metrics.account(accepted.meter, s.label(rpc), sideServer)
	}
	return err
}

// sendResult ends a call on the wire, with an error if it failed.
func sendResult(stream drpc.Stream, failed error) error {
	if failed == nil {
		return stream.CloseSend()
	}
	if sender, supported := stream.(interface{ SendError(error) error }); supported {
		return sender.SendError(failed)
	}
	return failed
}

// label returns the service of a call as a metric label. Services that are not registered are replaced by a constant, so that
// clients cannot create labels.
func (s *Server) label(rpc string) string {
	if service := serviceOf(rpc); s.services[service] {
		return service
	}
	return serviceUnknown
}

// Stop closes the listener, refuses new calls with ErrRefused, and waits for running calls until ctx ends; then it closes
// the connections. It returns the context's error if calls were still running.
func (s *Server) Stop(ctx context.Context) error {
	s.beginStop()
	var timeoutErr error
	select {
	case <-s.idle:
	case <-ctx.Done():
		timeoutErr = fmt.Errorf("stop transport: %w", ctx.Err())
	}
	s.tomb.Kill(nil)
	if s.closeAll() {
		_ = s.tomb.Wait()
	}
	event.TransportStopped.Log(s.options.Logger).Send()
	return timeoutErr
}
