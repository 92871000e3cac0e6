package site

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxStopDelay is how long a stopping node still accepts connections: the platform checks readiness once a second
	// and removes a node after two failed checks.
	maxStopDelay = 2600 * time.Millisecond
	// stopReserve is the part of the grace period reserved for the exit of the process.
	stopReserve = 500 * time.Millisecond
)

// Lifecycle records whether a node is stopping.
type Lifecycle struct {
	stopping atomic.Bool
}

// Stopping reports whether the node was asked to stop.
func (l *Lifecycle) Stopping() bool { return l.stopping.Load() }

// StopServer stops a server gracefully: the node reports that it is not ready, answers on open connections announce
// the stop during the delay, and the remaining requests may finish until shortly before the end of the grace period.
func (l *Lifecycle) StopServer(server *http.Server, grace time.Duration) {
	l.stopping.Store(true)
	delay := min(maxStopDelay, grace/3)
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), grace-delay-stopReserve)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
