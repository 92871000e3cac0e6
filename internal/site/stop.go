package site

import (
	"context"
	"net/http"
	"time"

	"mallowlatch.example/mallowlatch/internal/clock"
)

const (
	// maxStopDelay is how long a stopping node still accepts connections: the platform checks readiness once a second
	// and removes a node after two failed checks.
	maxStopDelay = 2600 * time.Millisecond
	// stopReserve is the part of the grace period reserved for the exit of the process.
	stopReserve = 500 * time.Millisecond
	// finalAnswerTime is how long before connections are closed callers without an answer get a final one.
	finalAnswerTime = 200 * time.Millisecond
)

// Lifecycle records whether a node is stopping, and when it ends. It implements online.Stop.
type Lifecycle struct {
	begun, over           context.Context
	recordBegun, callOver context.CancelFunc
	// end is when answers are broken off. It is set before begun is done.
	end time.Time
}

// NewLifecycle returns the lifecycle of a node that is not stopping.
func NewLifecycle() *Lifecycle {
	l := &Lifecycle{}
	l.begun, l.recordBegun = context.WithCancel(context.Background())
	l.over, l.callOver = context.WithCancel(context.Background())
	return l
}

// Stopping reports whether the node was asked to stop.
func (l *Lifecycle) Stopping() bool { return l.begun.Err() != nil }

// Begun implements online.Stop.
func (l *Lifecycle) Begun() context.Context { return l.begun }

// Over implements online.Stop.
func (l *Lifecycle) Over() context.Context { return l.over }

// End implements online.Stop.
func (l *Lifecycle) End() time.Time { return l.end }

// StopServer stops a server gracefully: the node reports that it is not ready, answers on open connections announce
// the stop during the delay, and the remaining requests may finish until shortly before the end of the grace period. Those that have not
// are given a final answer before their connections are closed.
func (l *Lifecycle) StopServer(server *http.Server, grace time.Duration) {
	remaining := grace - stopReserve
	l.end = clock.Now().Add(remaining)
	l.recordBegun()
	time.AfterFunc(remaining-finalAnswerTime, l.callOver)
	delay := min(maxStopDelay, grace/3)
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), remaining-delay)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
