package dispatch

import (
	"context"
	"time"
)

// stallWatch ends a stream's context when no chunk comes in time.
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

// progress records that a chunk came.
func (w *stallWatch) progress() { w.timer.Reset(w.stall) }

// explain returns errStalled in place of an error that the watch itself brought about.
func (w *stallWatch) explain(err error) error {
	if context.Cause(w.ctx) == errStalled {
		return errStalled
	}
	return err
}

// stop frees the timer and the context.
func (w *stallWatch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
