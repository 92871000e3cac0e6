package jobpeer

import (
	"sync"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/event"
)

// orphanNews has the log told as workers begin and end to tell of runs of nodes that are gone. The zero orphanNews has told nothing.
type orphanNews struct {
	mutex sync.Mutex
	// runs holds what the worker at an address tells of, where that is any; most is the most of all together since there were none.
	runs map[string]int
	most int
}

// take notes what a worker told of its runners.
func (o *orphanNews) take(address string, shares []demand.Share, logger zerolog.Logger) {
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
	o.note(address, runs, logger)
}

// note keeps what one worker told. The caller holds the mutex.
func (o *orphanNews) note(address string, runs int, logger zerolog.Logger) {
	o.runs[address] = runs
	if runs == 0 {
		delete(o.runs, address)
	}
	sum := 0
	for _, told := range o.runs {
		sum += told
	}
	if o.most == 0 {
		event.OrphansHeard.Log(logger).Int("runs", sum).Str("worker", address).Send()
	}
	o.most = max(o.most, sum)
	if sum == 0 {
		event.OrphansOver.Log(logger).Int("most", o.most).Send()
		o.most = 0
	}
}
