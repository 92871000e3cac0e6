package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
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

	"mallowlatch.example/mallowlatch/internal/event"
)

// Defaults of a server.
const (
	// DefaultMaxMessageBytes bounds one message of a call.
	DefaultMaxMessageBytes = 4 << 20
	// DefaultMaxConnections bounds the accepted connections.
	DefaultMaxConnections = 4096

	handshakeTimeout = 5 * time.Second
	// serverIdleTimeout closes accepted connections nobody uses; it is longer than the pool's own idle time, so that
	// as a rule the client, which knows that no call is under way, closes first.
	serverIdleTimeout = 10 * time.Minute
)

// ServerOptions sets up a server. The zero value serves plain TCP on loopback.
type ServerOptions struct {
	// Credentials turn on mutual TLS; without them only loopback listeners are served, unless PrivateNetwork says that
	// nobody else can reach the network between the nodes.
	Credentials    *Credentials
	PrivateNetwork bool
	// MaxMessageBytes and MaxConnections default to the constants of this package.
	MaxMessageBytes int
	MaxConnections  int
	Metrics         *Metrics
	Logger          zerolog.Logger
}

// Server serves the drpc services of a node to other nodes. It is a drpc.Mux: pass it to the generated DRPCRegister
// functions before Serve.
type Server struct {
	options  ServerOptions
	mux      *drpcmux.Mux
	services map[string]bool
	drpc     *drpcserver.Server
	tomb     tomb.Tomb

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
		open:     map[net.Conn]struct{}{},
		idle:     make(chan struct{}),
	}
	server.drpc = drpcserver.NewWithOptions(handlerFunc(server.handle), drpcserver.Options{
		Manager: managerOptions(options.MaxMessageBytes, serverIdleTimeout),
	})
	return server
}

const (
	// frameBytes is the size of the frames that a message is sent in. Either end of a connection keeps a buffer for the largest frame that
	// passed, for as long as the connection lives.
	frameBytes = 8 << 10
	// keptMessageBytes is the largest message whose buffer is kept for the next one of its call.
	keptMessageBytes = 16 << 10
)

// managerOptions are those of either end of a connection.
func managerOptions(maxMessageBytes int, inactivity time.Duration) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:            drpcstream.Options{SplitSize: frameBytes, MaximumBufferSize: keptMessageBytes},
		InactivityTimeout: inactivity,
	}
}

type handlerFunc func(stream drpc.Stream, rpc string) error

// HandleRPC implements drpc.Handler.
func (f handlerFunc) HandleRPC(stream drpc.Stream, rpc string) error { return f(stream, rpc) }

// Register adds a service. It must not be called after Serve.
func (s *Server) Register(implementation any, description drpc.Description) error {
	for index := range description.NumMethods() {
		rpc, _, _, _, known := description.Method(index)
		if known {
			s.services[serviceOf(rpc)] = true
		}
	}
	if err := s.mux.Register(implementation, description); err != nil {
		return fmt.Errorf("register service: %w", err)
	}
	return nil
}

// Serve accepts connections until Stop. It returns nil after Stop, ErrInsecure for a plain listener off loopback, or
// the listener's error.
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
			return fmt.Errorf("accept: %w", err)
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
	if s.options.Credentials != nil {
		secure := tls.Server(meter, s.options.Credentials.serverConfig())
		if err := s.handshake(secure); err != nil {
			event.TransportPeerRefused.Log(s.options.Logger).Err(err).Str("remote", connection.RemoteAddr().String()).Send()
			return
		}
		accepted.Conn = secure
		accepted.peer = peerName(secure.ConnectionState())
	}
	// The error is the end of the connection, as a rule its close by the client; calls report their own errors.
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

// handle runs one call, or refuses it while the server stops.
func (s *Server) handle(stream drpc.Stream, rpc string) error {
	if !s.begin() {
		return drpcerr.WithCode(ErrRefused, codeRefused)
	}
	// The answer must have left before the call counts as ended, or Stop could close the connection before it.
	defer s.end()
	err := answer(stream, withCode(s.mux.HandleRPC(stream, rpc)))
	if carrier, found := drpcctx.Transport(stream.Context()); found {
		if accepted, ours := carrier.(*serverConn); ours {
			s.options.Metrics.account(accepted.meter, s.label(rpc), sideServer)
		}
	}
	return err
}

// answer sends the end of a call.
func answer(stream drpc.Stream, failed error) error {
	if failed == nil {
		return stream.CloseSend()
	}
	if sender, able := stream.(interface{ SendError(error) error }); able {
		return sender.SendError(failed)
	}
	return failed
}

// label keeps names a client made up out of the metrics.
func (s *Server) label(rpc string) string {
	if service := serviceOf(rpc); s.services[service] {
		return service
	}
	return serviceUnknown
}

// Stop closes the listener, refuses new calls as not run, and waits for running calls until ctx ends; then it closes
// the connections. It returns the context's error if calls were cut.
func (s *Server) Stop(ctx context.Context) error {
	s.beginStop()
	var cut error
	select {
	case <-s.idle:
	case <-ctx.Done():
		cut = fmt.Errorf("stop transport: %w", ctx.Err())
	}
	s.tomb.Kill(nil)
	if s.closeAll() {
		_ = s.tomb.Wait()
	}
	event.TransportStopped.Log(s.options.Logger).Send()
	return cut
}
