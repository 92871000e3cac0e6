package runnertable

import "time"

// unheardFor is how long a node that has just started takes a runner for full until it hears of it: the runner may be busy with runs of
// nodes that are gone. Owners answer within some milliseconds of their own start; longer than a third of a usual objective helps
// nobody.
const unheardFor = 100 * time.Millisecond

// StartsAgain has the runners of the first list count as full for a moment, until their owners told of them or they answered. It is
// called before the table is used, by a node whose deployment had started before.
func (t *Table) StartsAgain() { t.unheardFor = unheardFor }

// unheardSinceStart says whether the node has just started and knows nothing of the work at the runner.
func (e *entry) unheardSinceStart(now time.Time) bool {
	return now.Before(e.unheardUntil) && !e.share.Within(shareMemory, now) && !e.load.Within(loadMemory, now)
}

// orphans is how many runs of nodes that are gone the runner has, as far as its owner told lately. Their places come free more
// rarely than those of requests.
func (e *entry) orphans(now time.Time) int {
	if !e.share.Within(shareMemory, now) {
		return 0
	}
	return e.share.Value().orphans
}
