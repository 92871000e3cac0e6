// Package orphans counts the orphaned runs at runners: work that runners still execute for nodes that lost power, and
// that no living node accounts for. It also decides when to look for orphaned runs, and rations the slots that they leave
// free among the nodes. The package does no I/O; times are arguments.
package orphans

import "time"

const (
	// reportDelay is the age of a runner's report when it is read: it is compared with the work known at that time, not
	// with what nodes have reported since.
	reportDelay = 100 * time.Millisecond
	// maxArrivalDelay is how long after its node has reported a request the runner may receive it, plus how late a report of
	// the runner may be read.
	maxArrivalDelay = 50 * time.Millisecond
	// fullCountPeriod is how long a reading counts in full, long enough for two readings to fail. A count that decayed
	// from the moment of a reading would always show a free slot at each full runner.
	fullCountPeriod = 500 * time.Millisecond
	// decayPeriod is how long the count then takes to decay to zero, so that a runner that can no longer be read is not
	// avoided for long.
	decayPeriod = time.Second
)

// knownWork is the work at a runner that was accounted for at a time.
type knownWork struct {
	work int
	at   time.Time
}

// Count tracks the orphaned runs at one runner. Their senders are gone, so the number never grows. The zero Count has no
// reading.
type Count struct {
	// knownWork is the accounted work over time, newest last. Each entry differs from the one before it and holds until
	// the next; the first one is at least as old as a report may be.
	knownWork []knownWork
	// upperBound is the largest number that all readings so far allow; excess is what the last reading showed beyond the
	// accounted work.
	upperBound, excess int
	// readAt is when the runner was last read; zero if never.
	readAt time.Time
}

// RecordAccounted records how much work at the runner is accounted for: what nodes reported, and the owner's items. It must
// be called at each change: a slot that was idle between two calls would look like an orphaned run that ended.
func (c *Count) RecordAccounted(work int, now time.Time) {
	if last := len(c.knownWork) - 1; last < 0 || c.knownWork[last].work != work {
		c.knownWork = append(c.knownWork, knownWork{work: work, at: now})
	}
	for len(c.knownWork) > 1 && now.Sub(c.knownWork[1].at) >= reportDelay+maxArrivalDelay {
		c.knownWork = c.knownWork[1:]
	}
}

// AddLateReported records work that was there at all readings so far although no node had reported it: a living node reports for
// the first time requests that it sent long before.
func (c *Count) AddLateReported(work int, now time.Time) {
	if len(c.knownWork) == 0 {
		c.knownWork = []knownWork{{at: now.Add(-reportDelay - maxArrivalDelay)}}
	}
	for position := range c.knownWork {
		c.knownWork[position].work += work
	}
	c.upperBound, c.excess = max(c.upperBound-work, 0), max(c.excess-work, 0)
}

// knownAtReport returns the least work that was accounted for from maxArrivalDelay before the moment that a report read now
// shows. More than the runner had at that moment would look like the end of an orphaned run, permanently, and a node may
// report the end of a request at any time after it.
func (c *Count) knownAtReport(now time.Time) int {
	least := 0
	for _, entry := range c.knownWork {
		if now.Sub(entry.at) >= reportDelay+maxArrivalDelay {
			least = entry.work
			continue
		}
		least = min(least, entry.work)
	}
	return least
}

// RecordReading records the runner's own count of its work, running and waiting. What it shows beyond the accounted work is
// orphaned. A single report is not conclusive, because nodes and the runner count at different moments: the count falls
// only as far as the last two readings agree.
func (c *Count) RecordReading(total int, now time.Time) {
	excess := max(total-c.knownAtReport(now), 0)
	if c.readAt.IsZero() {
		c.upperBound = excess
	}
	c.upperBound = min(c.upperBound, max(excess, c.excess))
	c.excess, c.readAt = excess, now
}

// WasRead reports whether the runner was read at least once.
func (c *Count) WasRead() bool { return !c.readAt.IsZero() }

// Ended reports whether the runner was read and has no orphaned runs. It will not get any again.
func (c *Count) Ended() bool { return c.WasRead() && c.upperBound == 0 }

// Runs returns the number of orphaned runs at the runner.
func (c *Count) Runs(now time.Time) int {
	overdue := max(now.Sub(c.readAt)-fullCountPeriod, 0)
	if c.upperBound == 0 || overdue >= decayPeriod {
		return 0
	}
	remaining := 1 - float64(overdue)/float64(decayPeriod)
	return int(float64(c.upperBound)*remaining + 0.5)
}
