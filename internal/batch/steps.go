package batch

import (
	"sync/atomic"
	"time"
)

// stepWatch notices that an engine began a step: all sequences get a token at the end of each, so the first token for a
// while shows it. It is safe for concurrent use, since every run's own goroutine reads its tokens.
type stepWatch struct {
	// gap is the time within which tokens belong to one step, in nanoseconds; zero means that it is not known.
	gap atomic.Int64
	// last is the moment of the first token of the newest step, in nanoseconds since the epoch.
	last atomic.Int64
}

func (s *stepWatch) setGap(gap time.Duration) { s.gap.Store(int64(gap)) }

// token takes a token and reports whether it is the first of a step. Exactly one of the tokens of a step is.
func (s *stepWatch) token(now time.Time) bool {
	gap, last := s.gap.Load(), s.last.Load()
	return gap > 0 && now.UnixNano()-last >= gap && s.last.CompareAndSwap(last, now.UnixNano())
}

// watchSteps tells the runner's controller of a new step. It is called from the goroutines of the runs.
func (w *Worker) watchSteps(state *runnerState) {
	now := w.config.Now()
	if state.steps.token(now) {
		w.post(func() { state.controller.RecordStep(now) })
	}
}

// lookAgain sets the timer for the earliest moment at which a controller may allow prefill.
func (w *Worker) lookAgain(at, now time.Time) {
	if at.IsZero() || !w.lookAt.IsZero() && !at.Before(w.lookAt) {
		return
	}
	w.lookAt = at
	w.look.Reset(at.Sub(now))
}
