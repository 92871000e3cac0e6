package jobpeer

import (
	"sync"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/event"
)

// orphanTracker logs when workers start and stop reporting orphaned runs, which are runs of nodes that are gone. The zero value
// has no reports.
type orphanTracker struct {
	mutex sync.Mutex
	// runs is the number of orphaned runs that each worker reports, by address, without zeros. peak is the maximum of their
	// sum since it was last zero.
	runs map[string]int
	peak int
}

// record records the orphaned runs in the shares that a worker reported.
func (o *orphanTracker) record(address string, shares []demand.Share, logger zerolog.Logger) {
	runs := 0
	for _, share := range shares {
		runs += share.Orphans
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if runs == 0 && len(o.runs) == 0 {
		return
	}
	if o.runs == nil {
		o.runs = map[string]int{}
	}
	o.update(address, runs, logger)
}

// update updates the count of one worker and logs the transitions. The caller holds the mutex.
func (o *orphanTracker) update(address string, runs int, logger zerolog.Logger) {
	o.runs[address] = runs
	if runs == 0 {
		delete(o.runs, address)
	}
	sum := 0
	for _, reported := range o.runs {
		sum += reported
	}
	if o.peak == 0 {
		event.OrphansReported.Log(logger).Int("runs", sum).Str("worker", address).Send()
	}
	o.peak = max(o.peak, sum)
	if sum == 0 {
		event.OrphansOver.Log(logger).Int("most", o.peak).Send()
		o.peak = 0
	}
}
