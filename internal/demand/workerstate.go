package demand

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/poison"
)

// workerState is the state of the reports to one worker. The reporter's mutex guards it.
type workerState struct {
	// changedDuringCall means that something may have changed since the call in flight was sent.
	changedDuringCall bool
	// reported is the work in the last report, calledAt the time of that report.
	reported map[ident.Incarnation]Count
	calledAt time.Time
	// ackedPaces holds, by runner, when this node received the newest pace that the worker has acknowledged.
	ackedPaces map[ident.Incarnation]time.Time
	// far means that the worker is in another zone.
	far bool
	// answerAsOf is when the work in the report with the newest answer was counted.
	answerAsOf time.Time
	// quiet means that the newest answer was quiet.
	quiet bool
	// callDone is closed when the call in flight ends; nil if there is none.
	callDone chan struct{}
	// notBefore is when the worker may be called again after a failure.
	notBefore time.Time
	// endsRead is this node's read position in the worker's list of requests that terminate their runners.
	endsRead poison.Cursor
	// waiting is what the last report said about waiting requests.
	waiting []Waiting
	// usesSentAt is when tenants' uses were last reported to the worker.
	usesSentAt time.Time
}

// idle reports whether there is nothing to report to the worker and no reported work to withdraw.
func (c *workerState) idle(counts []Count) bool { return len(counts) == 0 && len(c.reported) == 0 }

// unpolledSince reports whether the worker was not called since its zone became unresponsive.
func (c *workerState) unpolledSince(since time.Time) bool { return c.calledAt.Before(since) }

// reportDue reports whether the worker has to be called now. idle is the time between two reports without work.
func (c *workerState) reportDue(counts []Count, idle time.Duration, now time.Time) bool {
	if now.Before(c.notBefore) {
		return false
	}
	working := 0
	for _, count := range counts {
		if c.hasUnsentPace(count) {
			return true
		}
		if !count.HasWork() {
			continue
		}
		working++
		if c.reported[count.Runner] != count.withoutPace() {
			return true
		}
	}
	if working != len(c.reported) {
		return true
	}
	if working == 0 {
		return now.Sub(c.calledAt) >= idle
	}
	return now.Sub(c.calledAt) >= RefreshInterval
}

// hasUnsentPace reports whether a count has a pace that the worker has not acknowledged. Each pace is sent once,
// so that its age makes no report due.
func (c *workerState) hasUnsentPace(count Count) bool {
	return count.Pace.Known() && count.PaceReceivedAt.After(c.ackedPaces[count.Runner])
}

// nextReport builds the next report from the counts, without its sequence number, and records it as sent.
func (c *workerState) nextReport(counts []Count, now time.Time) *Report {
	c.callDone, c.calledAt = make(chan struct{}), now
	c.reported = make(map[ident.Incarnation]Count, len(counts))
	ackedPaces := make(map[ident.Incarnation]time.Time, len(c.ackedPaces))
	report := &Report{EndsRead: c.endsRead}
	for _, count := range counts {
		sent := count.withoutPace()
		if count.HasWork() {
			c.reported[count.Runner] = sent
		}
		if c.hasUnsentPace(count) {
			sent.Pace, sent.PaceReceivedAt, sent.PaceAgeMs = count.Pace, count.PaceReceivedAt, max(now.Sub(count.PaceReceivedAt).Milliseconds(), 0)
		} else if receivedAt, answered := c.ackedPaces[count.Runner]; answered {
			ackedPaces[count.Runner] = receivedAt
		}
		if c.answerAsOf.IsZero() {
			sent.Old = count.Old
		}
		if sent.HasWork() || sent.Pace.Known() {
			report.Counts = append(report.Counts, sent)
		}
	}
	c.ackedPaces = ackedPaces
	return report
}

// acknowledge records that the worker received a report.
func (c *workerState) acknowledge(report *Report, countedAt time.Time) {
	c.answerAsOf = countedAt
	if c.ackedPaces == nil {
		c.ackedPaces = map[ident.Incarnation]time.Time{}
	}
	for _, count := range report.Counts {
		if count.Pace.Known() {
			c.ackedPaces[count.Runner] = count.PaceReceivedAt
		}
	}
}

// inFlight reports whether a call is in flight.
func (c *workerState) inFlight() bool { return c.callDone != nil }
