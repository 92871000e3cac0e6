// Package listener builds the HTTP servers of the node: the caller API and the admin API share its limits, timeouts
// and TLS.
package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/connlimit"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrListen means that the address could not be listened on.
const ErrListen = failure.Kind("listener: cannot listen")

// ErrServe means that the server stopped on its own.
const ErrServe = failure.Kind("listener: server failed")

// Options shapes one server. Zero limits take the defaults.
type Options struct {
	// Name is "caller" or "admin", for logs and metrics.
	Name string
	// Address is the IP address and port.
	Address string
	Handler http.Handler
	// TLS turns on TLS; nil means plain TCP.
	TLS *tls.Config
	// HeaderBytes bounds a request's header.
	HeaderBytes int
	// HeaderTimeout bounds the TLS handshake and the header of a request; IdleTimeout bounds an idle connection.
	HeaderTimeout, IdleTimeout time.Duration
	// Connections bounds the open connections; more wait in the system's backlog.
	Connections int
	// HeaderMemory bounds the memory of all headers beyond 16 KiB each, in bytes; beyond it the largest one that has not arrived whole gives up its
	// connection. It does not bound those of connections with TLS.
	HeaderMemory int64
	// Linger is how long Shutdown goes on serving while callers hold connections that they have used; the handler must end the connection
	// with each answer by then. A caller that sends a request just as its idle connection is closed can't tell whether the
	// request ran.
	Linger time.Duration
	Logger zerolog.Logger
	// Registerer gets the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Defaults of Options.
const (
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultConnections   = 16384
	defaultHeaderMemory  = 64 << 20
)

// Server is an HTTP server on its address.
type Server struct {
	options  Options
	listener net.Listener
	server   *http.Server
	open     connections
}

// New listens on the address. Serve must be called to take connections, or Close to free the address.
func New(options Options) (*Server, error) {
	options = options.withDefaults()
	listening, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrListen, err)
	}
	server := &Server{options: options, listener: newLimited(listening, options.Connections), open: newConnections()}
	if options.TLS == nil {
		headers := connlimit.Limits{Connections: options.Connections, HeadBytes: options.HeaderMemory}
		server.listener = connlimit.New(headers, noHeadLimit, time.Now).Listen(server.listener)
	}
	server.server = &http.Server{
		Handler:           connlimit.Handler(options.Handler),
		ConnContext:       connlimit.ConnContext,
		MaxHeaderBytes:    options.HeaderBytes,
		ReadHeaderTimeout: options.HeaderTimeout,
		IdleTimeout:       options.IdleTimeout,
		TLSConfig:         options.TLS,
		ErrorLog:          FaultLog(options.Logger, options.Name),
		ConnState:         server.noteState,
	}
	server.register(options)
	return server, nil
}

// noHeadLimit leaves the limit of one header to the HTTP server.
func noHeadLimit() int64 { return 0 }

// noteState is the ConnState hook of the HTTP server.
func (s *Server) noteState(connection net.Conn, state http.ConnState) {
	s.open.note(connection, state)
	connlimit.ConnState(connection, state)
}

func (o Options) withDefaults() Options {
	if o.HeaderBytes <= 0 {
		o.HeaderBytes = defaultHeaderBytes
	}
	if o.HeaderTimeout <= 0 {
		o.HeaderTimeout = defaultHeaderTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.HeaderMemory <= 0 {
		o.HeaderMemory = defaultHeaderMemory
	}
	return o
}

func (s *Server) register(options Options) {
	if options.Registerer == nil {
		return
	}
	options.Registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name:        "mallowlatch_listener_connections_count",
		Help:        "Open connections of a listener.",
		ConstLabels: prometheus.Labels{"listener": options.Name},
	}, func() float64 { return float64(s.open.count()) }))
}

// Address returns the address listened on, with the port the system picked if none was given.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve takes connections until Shutdown or Close. It returns nil after either.
func (s *Server) Serve() error {
	event.ListenerServing.Log(s.options.Logger).Str("listener", s.options.Name).Str("address", s.Address()).Bool("tls", s.options.TLS != nil).Send()
	err := s.serve()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrServe, err)
}

func (s *Server) serve() error {
	if s.options.TLS == nil {
		return s.server.Serve(s.listener)
	}
	return s.server.ServeTLS(s.listener, "", "")
}

// Shutdown lingers, stops taking connections and waits until those with a request in progress have answered, or ctx is done;
// then it closes the rest.
func (s *Server) Shutdown(ctx context.Context) error {
	s.open.awaitNoneUsed(ctx, s.options.Linger)
	var idle tomb.Tomb
	idle.Go(func() error { return s.open.closeIdle(idle.Dying()) })
	err := s.server.Shutdown(ctx)
	idle.Kill(nil)
	_ = idle.Wait()
	if err != nil {
		_ = s.server.Close()
		return fmt.Errorf("%w: %w", ErrServe, err)
	}
	return nil
}

// Close breaks every connection and frees the address, also if Serve was never called.
func (s *Server) Close() error {
	// The server goes first: it must know that the listener is closed on purpose.
	_ = s.server.Close()
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("%w: %w", ErrServe, err)
	}
	return nil
}
