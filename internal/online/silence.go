package online

import (
	"context"
	"sync/atomic"
	"time"
)

// silenceGuard ends an attempt that sends no event in time: the first one and, if a pause is set, each further one.
// Connections may become silent without a reset, and a stream that hangs between two events would otherwise wait for its
// deadline. A nil guard never fires.
type silenceGuard struct {
	timer *time.Timer
	// pause is the time allowed between two events; zero disables the check.
	pause   time.Duration
	expired atomic.Bool
}

func newSilenceGuard(allowed, pause time.Duration, cancel context.CancelFunc) *silenceGuard {
	guard := &silenceGuard{pause: pause}
	guard.timer = time.AfterFunc(allowed, func() {
		guard.expired.Store(true)
		cancel()
	})
	return guard
}

// stop keeps the guard from firing.
func (g *silenceGuard) stop() {
	if g != nil {
		g.timer.Stop()
	}
}

// watchPause starts the timer for a further event. It is called when the node resumes reading, so that the time a caller takes
// to read does not count as silence of the runner.
func (g *silenceGuard) watchPause() {
	if g != nil && g.pause > 0 {
		g.timer.Reset(g.pause)
	}
}

// fired reports whether the guard ended the attempt.
func (g *silenceGuard) fired() bool { return g != nil && g.expired.Load() }
