package batch

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOneTokenOfAStepIsItsFirst lets many runs read the tokens of some steps at once.
func TestOneTokenOfAStepIsItsFirst(t *testing.T) {
	var watch stepWatch
	moment := time.Unix(1_800_000_000, 0)
	assert.Assert(t, !watch.token(moment), "a step is noticed while its time is not known")
	watch.setGap(10 * time.Millisecond)
	var noticed atomic.Int64
	const steps = 2000
	for range steps {
		moment = moment.Add(20 * time.Millisecond)
		var runs sync.WaitGroup
		start := make(chan struct{})
		for run := range 8 {
			runs.Go(func() {
				<-start
				if watch.token(moment.Add(time.Duration(run) * time.Millisecond)) {
					noticed.Add(1)
				}
			})
		}
		close(start)
		runs.Wait()
	}
	assert.Equal(t, noticed.Load(), int64(steps))
}
