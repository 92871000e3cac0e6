package runnertable

import "time"

// assumeFullFor is how long a node that has just started treats a runner as full until it gets information about it:
// the runner may be busy with orphaned runs. Owners answer within a few milliseconds of their own start, and waiting
// longer than a third of a typical objective would make requests late.
const assumeFullFor = 100 * time.Millisecond

// AssumeFullUntilReported makes the runners of the first list count as full for assumeFullFor, unless their owners report them or
// they respond earlier. It must be called before the table is used, by a node of a deployment that ran before.
func (t *Table) AssumeFullUntilReported() { t.assumeFullFor = assumeFullFor }

// assumedFull says whether the node has just started and has no information about the work at the runner.
func (e *entry) assumedFull(now time.Time) bool {
	return now.Before(e.assumeFullUntil) && !e.share.Within(shareLifetime, now) && !e.load.Within(loadLifetime, now)
}

// orphans returns the number of orphaned runs at the runner, according to its owner's recent report. Their slots
// become free less often than those of requests.
func (e *entry) orphans(now time.Time) int {
	if !e.share.Within(shareLifetime, now) {
		return 0
	}
	return e.share.Value().orphans
}
