// Package orphans counts the runs at runners that no living node tells of: work that runners go on with after the nodes which sent it
// lost their power. It also decides when to look for them. The package does no I/O; times are arguments.
package orphans

import "time"

const (
	// reportDelay is how old a runner's report is when it is read: it is held against what was known of the runner's work then, not
	// against what nodes told since.
	reportDelay = 100 * time.Millisecond
	// toldWithin is how late a node may tell of the end of a request: it does within some milliseconds, or when it has the processor again.
	toldWithin = 50 * time.Millisecond
	// wholeFor is how long a reading counts in full: two of them may fail. A count that fell from the moment of a reading would show
	// a free place at each full runner all the time.
	wholeFor = 500 * time.Millisecond
	// fadeFor is how long the count takes to fall to nothing then, so that a runner which cannot be read any more is not passed over
	// for long.
	fadeFor = time.Second
)

// known is the work at a runner that was known of at a moment.
type known struct {
	work int
	at   time.Time
}

// Count follows the orphans at one runner. Nobody sends any more, so that they never grow. The zero Count was never read.
type Count struct {
	// known is what was known of the runner's work, the newest last; the first one is as old as a report may be, or older.
	known []known
	// most is the most that there can be, by all readings until now; excess is what the last one showed beyond the known work.
	most, excess int
	// readAt is when the runner was last read; zero before.
	readAt time.Time
}

// Know notes how much work at the runner is known of: what nodes told, and the own items.
func (c *Count) Know(work int, now time.Time) {
	c.known = append(c.known, known{work: work, at: now})
	for len(c.known) > 1 && now.Sub(c.known[1].at) >= reportDelay {
		c.known = c.known[1:]
	}
}

// Learn notes work that was there at all readings until now though nobody told of it: a node that lives tells for the first time of requests
// that it sent long before.
func (c *Count) Learn(work int, now time.Time) {
	if len(c.known) == 0 {
		c.known = []known{{at: now.Add(-reportDelay)}}
	}
	for position := range c.known {
		c.known[position].work += work
	}
	c.most, c.excess = max(c.most-work, 0), max(c.excess-work, 0)
}

// knownThen is the work that was known of when a report read now was made: the least until its ends were told. An end that is told late
// would look like the end of an orphan, for good.
func (c *Count) knownThen(now time.Time) int {
	then := 0
	for _, noted := range c.known {
		age := now.Sub(noted.at)
		switch {
		case age >= reportDelay:
			then = noted.work
		case age >= reportDelay-toldWithin:
			then = min(then, noted.work)
		}
	}
	return then
}

// Read takes in the runner's own count of its work, running and waiting. What it shows beyond the known work are orphans. A single
// report proves little, because work is told and counted at different moments: the count falls as far as the last two agree.
func (c *Count) Read(total int, now time.Time) {
	excess := max(total-c.knownThen(now), 0)
	if c.readAt.IsZero() {
		c.most = excess
	}
	c.most = min(c.most, max(excess, c.excess))
	c.excess, c.readAt = excess, now
}

// WasRead says whether the runner was read at all.
func (c *Count) WasRead() bool { return !c.readAt.IsZero() }

// Gone says that the runner was read and has no orphans. It will have none.
func (c *Count) Gone() bool { return c.WasRead() && c.most == 0 }

// Runs is how many orphans the runner has.
func (c *Count) Runs(now time.Time) int {
	overdue := max(now.Sub(c.readAt)-wholeFor, 0)
	if c.most == 0 || overdue >= fadeFor {
		return 0
	}
	faded := 1 - float64(overdue)/float64(fadeFor)
	return int(float64(c.most)*faded + 0.5)
}
