package demand

import (
	"slices"
	"time"
)

// waitingReportInterval is the least time between two reports to a worker that grants slots, if only the waiting
// requests changed. It equals the interval at which waiting requests retry.
const waitingReportInterval = 20 * time.Millisecond

// waitingDue reports whether the worker has to be called now, to request slots for the waiting requests or to
// report that none wait any more.
func (c *workerState) waitingDue(waiting []Waiting, now time.Time) bool {
	if now.Before(c.notBefore) {
		return false
	}
	if !slices.EqualFunc(waiting, c.waiting, Waiting.sameCounts) {
		return now.Sub(c.calledAt) >= waitingReportInterval
	}
	return len(waiting) > 0 && now.Sub(c.calledAt) >= RefreshInterval
}

// waitingChanged reports whether the waiting requests changed since the last report, so that the worker has to be
// called once waitingReportInterval is over.
func (c *workerState) waitingChanged(waiting []Waiting, now time.Time) bool {
	return !now.Before(c.notBefore) && !slices.EqualFunc(waiting, c.waiting, Waiting.sameCounts)
}

// sameCounts reports whether the numbers of waiting requests are equal. LeftMs is ignored, because the passing of
// time alone makes no report due.
func (w Waiting) sameCounts(other Waiting) bool {
	return w.Service == other.Service && w.OnTime == other.OnTime && w.Late == other.Late
}
