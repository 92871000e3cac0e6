package labcli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gopkg.in/tomb.v2"
)

// shutdownTimeout bounds how long a stand-in waits for open calls when it stops.
const shutdownTimeout = 2 * time.Second

// standInListener is one listener of a stand-in process.
type standInListener struct {
	// name is printed with the address: "service" or "faults".
	name    string
	address string
	handler http.Handler
}

// serveStandIn serves the listeners until ctx ends or an interrupt arrives, and prints their addresses on out.
func serveStandIn(ctx context.Context, out io.Writer, listeners ...standInListener) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	supervisor, serving := tomb.WithContext(ctx)
	for _, listener := range listeners {
		bound, err := net.Listen("tcp", listener.address)
		if err != nil {
			supervisor.Kill(nil)
			return fmt.Errorf("listen for %s: %w", listener.name, err)
		}
		fmt.Fprintf(out, "%s listening on %s\n", listener.name, bound.Addr())
		server := &http.Server{Handler: listener.handler, ReadHeaderTimeout: 5 * time.Second}
		supervisor.Go(func() error { return serveUntil(serving, server, bound) })
	}
	if err := supervisor.Wait(); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// serveUntil serves one listener until ctx ends.
func serveUntil(ctx context.Context, server *http.Server, bound net.Listener) error {
	stopped := context.AfterFunc(ctx, func() {
		limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(limit) != nil {
			server.Close()
		}
	})
	defer stopped()
	if err := server.Serve(bound); err != http.ErrServerClosed {
		return fmt.Errorf("serve %s: %w", bound.Addr(), err)
	}
	return nil
}
