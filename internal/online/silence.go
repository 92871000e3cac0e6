package online

import (
	"context"
	"sync/atomic"
	"time"
)

// silenceGuard ends an attempt that shows no first event in time. A nil guard never fires.
type silenceGuard struct {
	timer *time.Timer
	over  atomic.Bool
}

func newSilenceGuard(allowed time.Duration, cancel context.CancelFunc) *silenceGuard {
	guard := &silenceGuard{}
	guard.timer = time.AfterFunc(allowed, func() {
		guard.over.Store(true)
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

// fired says whether the guard ended the attempt.
func (g *silenceGuard) fired() bool { return g != nil && g.over.Load() }
