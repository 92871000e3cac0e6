package site

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// stopLinger is how long a stopping node still takes connections: the platform asks once a second and takes a node
	// out after two misses.
	stopLinger = 2600 * time.Millisecond
	// stopReserve is kept of the grace for the end of the process itself.
	stopReserve = 500 * time.Millisecond
)

// Lifecycle says whether a node takes new connections.
type Lifecycle struct {
	stopping atomic.Bool
}

// Stopping says that the node was asked to stop.
func (l *Lifecycle) Stopping() bool { return l.stopping.Load() }

// StopServer ends a server in order: the node is no longer ready, connections get their notice with the answers of the
// linger, then the rest may finish until shortly before the grace is over.
func (l *Lifecycle) StopServer(server *http.Server, grace time.Duration) {
	l.stopping.Store(true)
	linger := min(stopLinger, grace/3)
	time.Sleep(linger)
	ctx, cancel := context.WithTimeout(context.Background(), grace-linger-stopReserve)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
