package batch

import (
	"sync/atomic"
	"time"
)

// stepDetector detects the steps of an engine. All sequences get a token at the end of a step, so the first token after a gap
// marks a new step. It is safe for concurrent use, since each run reads its tokens in its own goroutine.
type stepDetector struct {
	// gap is the time within which tokens belong to one step, in nanoseconds; zero means unknown.
	gap atomic.Int64
	// last is the time of the first token of the latest step, in nanoseconds since the Unix epoch.
	last atomic.Int64
}

func (s *stepDetector) setGap(gap time.Duration) { s.gap.Store(int64(gap)) }

// token records a token and reports whether it is the first of a step. It is true for exactly one token of each step.
func (s *stepDetector) token(now time.Time) bool {
	gap, last := s.gap.Load(), s.last.Load()
	return gap > 0 && now.UnixNano()-last >= gap && s.last.CompareAndSwap(last, now.UnixNano())
}

// detectStep notifies the runner's controller of a new step. It is called from the goroutines of the runs.
func (w *Worker) detectStep(state *runnerState) {
	now := w.config.Now()
	if state.steps.token(now) {
		w.post(func() { state.controller.RecordStep(now) })
	}
}

// schedulePrefillCheck sets the timer to the earliest time at which a controller may allow prefill.
func (w *Worker) schedulePrefillCheck(at, now time.Time) {
	if at.IsZero() || !w.prefillCheckAt.IsZero() && !at.Before(w.prefillCheckAt) {
		return
	}
	w.prefillCheckAt = at
	w.prefillTimer.Reset(at.Sub(now))
}
