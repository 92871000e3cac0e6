package online

import (
	"context"
	"sync/atomic"
	"time"
)

// silenceGuard ends an attempt that shows no event in time: the first one, and where a pause is given each further one.
// Connections may fall silent without a reset; a stream that hangs between two events would wait for its deadline. A nil
// guard never fires.
type silenceGuard struct {
	timer *time.Timer
	// pause is the time allowed between two events; zero does not guard it.
	pause time.Duration
	over  atomic.Bool
}

func newSilenceGuard(allowed, pause time.Duration, cancel context.CancelFunc) *silenceGuard {
	guard := &silenceGuard{pause: pause}
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

// await guards the pause before a further event. It begins when the node reads on: the time that a caller takes to read is
// no silence of the runner.
func (g *silenceGuard) await() {
	if g != nil && g.pause > 0 {
		g.timer.Reset(g.pause)
	}
}

// fired says whether the guard ended the attempt.
func (g *silenceGuard) fired() bool { return g != nil && g.over.Load() }
