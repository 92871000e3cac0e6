package dispatch

import (
	"context"
	"time"
)

// stallWatch cancels the context of a stream when no chunk arrives within the time-out.
type stallWatch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	stall  time.Duration
}

func newStallWatch(ctx context.Context, limits Limits) *stallWatch {
	watched, cancel := context.WithCancelCause(ctx)
	watch := &stallWatch{ctx: watched, cancel: cancel, stall: limits.Stall}
	watch.timer = time.AfterFunc(limits.FirstChunk, func() { cancel(errStalled) })
	return watch
}

// progress restarts the time-out after a chunk arrived.
func (w *stallWatch) progress() { w.timer.Reset(w.stall) }

// explain returns errStalled in place of an error that was caused by the time-out.
func (w *stallWatch) explain(err error) error {
	if context.Cause(w.ctx) == errStalled {
		return errStalled
	}
	return err
}

// stop releases the timer and the context.
func (w *stallWatch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
