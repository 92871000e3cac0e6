package enginesim

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/engine/openaihttp/dialect"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// loadSample is a load report as it stood at a moment.
type loadSample struct {
	taken  time.Time
	report dialect.Load
}

// sampleHistory bounds how long samples are held, and so the lag.
const sampleHistory = 30 * time.Second

// sample records the present load. The lock is held.
func (e *Engine) sample(now time.Time) {
	e.samples = append(e.samples, loadSample{taken: now, report: e.measure()})
	old := 0
	for now.Sub(e.samples[old].taken) > sampleHistory {
		old++
	}
	e.samples = slices.Delete(e.samples, 0, old)
}

// measure returns the present load. The lock is held.
func (e *Engine) measure() dialect.Load {
	runningOnline, waitingOnline := e.scheduler.counts(inference.Online)
	runningBatch, waitingBatch := e.scheduler.counts(inference.Batch)
	reply := e.orders.reply()
	return dialect.Load{
		RunningOnline:        runningOnline,
		RunningBatch:         runningBatch,
		WaitingOnline:        waitingOnline,
		WaitingBatch:         waitingBatch,
		MaxSequences:         e.options.MaxSequences,
		MemoryUsed:           float64(e.scheduler.memory()) / float64(e.options.MemoryTokens),
		MemoryTokens:         e.options.MemoryTokens,
		StepTimeMilliseconds: float64(e.stepTime) / float64(time.Millisecond),
		Models:               slices.Clone(e.orders.models),
		Adapters:             slices.Clone(e.orders.adapters),
		Role:                 e.orders.role,
		Leaving:              e.orders.leaving,
		OwnerEpoch:           reply.Epoch,
		Owner:                reply.Owner,
		Incarnation:          e.incarnation,
	}
}

// load returns the newest report that is at least the lag old; before that, a fresh one.
func (e *Engine) load(now time.Time) dialect.Load {
	lag := e.options.LoadLag
	if milliseconds := e.faults.get().LoadLagMilliseconds; milliseconds != 0 {
		lag = time.Duration(milliseconds * float64(time.Millisecond))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for index := len(e.samples) - 1; index >= 0; index-- {
		age := now.Sub(e.samples[index].taken)
		if age >= lag {
			report := e.samples[index].report
			report.AgeMilliseconds = float64(age) / float64(time.Millisecond)
			return report
		}
	}
	return e.measure()
}
