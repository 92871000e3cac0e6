package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestStopEndsWithinItsBound adds up steps that all take as long as they may, by a clock of numbers: whatever the drain
// time and however many steps hang, the stop keeps to limits.drain_timeout and stopAllowance. It failed when each step
// had the drain time for itself.
func TestStopEndsWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drainTimeout := time.Duration(rapid.Int64Range(1, 86400).Draw(t, "seconds")) * time.Second
		steps := rapid.IntRange(1, maximumSteps).Draw(t, "steps")
		closing := rapid.IntRange(0, steps).Draw(t, "closing")
		began := time.Unix(0, 0)
		now, phaseEnd := began, began.Add(drainTimeout)
		for number := range steps {
			if number == steps-closing {
				phaseEnd = now.Add(closeBound)
			}
			bound := rapid.SampledFrom([]time.Duration{stopBound, drainTimeout}).Draw(t, "bound")
			now = stopStep{bound: bound}.end(now, phaseEnd).Add(abandonAfter)
		}
		assert.Assert(t, now.Sub(began) <= drainTimeout+stopAllowance, "%v", now.Sub(began))
	})
}

// TestStepThatIgnoresItsEndIsAbandoned waits for a step that never ends. It hung when steps ran in the stop's own
// goroutine.
func TestStepThatIgnoresItsEndIsAbandoned(t *testing.T) {
	n := &Node{logger: zerolog.Nop()}
	forever := make(chan struct{})
	defer close(forever)
	hanging := stopStep{"hang", time.Millisecond, ignoreContext(func() error { <-forever; return nil })}
	assert.ErrorIs(t, n.runStep(hanging, time.Now()), ErrStepAbandoned)
	patient := stopStep{"wait", time.Millisecond, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }}
	assert.Assert(t, errors.Is(n.runStep(patient, time.Now()), context.DeadlineExceeded))
}
