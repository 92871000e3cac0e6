package online

import (
	"cmp"
	"slices"

	"mallowlatch.example/mallowlatch/internal/demand"
)

// WaitingReport returns the report for the owners of runners whose slots are rationed: the waiting requests of each service, ordered
// by service.
func (f *Forwarder) WaitingReport() []demand.Waiting {
	var waiting []demand.Waiting
	for _, queue := range f.queues.all() {
		if report := queue.waiting(); report.OnTime+report.Late > 0 {
			waiting = append(waiting, report)
		}
	}
	slices.SortFunc(waiting, func(first, second demand.Waiting) int { return cmp.Compare(first.Service, second.Service) })
	return waiting
}

// SlotsGranted wakes requests to use the slots that owners have just granted.
func (f *Forwarder) SlotsGranted() {
	for _, queue := range f.queues.all() {
		queue.granted()
	}
}

func (q *queue) waiting() demand.Waiting {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	onTime, until, late := q.pending.Waiting(now)
	waiting := demand.Waiting{Service: q.service, OnTime: onTime, Late: late}
	if onTime > 0 {
		waiting.LeftMs = until.Sub(now).Milliseconds()
	}
	return waiting
}

// granted wakes a request if slots are rationed. Each request that gets a slot wakes the next one.
func (q *queue) granted() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.rationed() {
		q.wakeNext()
	}
}
