package dispatch

import "time"

// countMemory is how long counts of online requests are kept: longer than a load report lags.
const countMemory = time.Second

// countHistory keeps the known online requests of a runner over the last while. The zero value is empty.
type countHistory struct {
	changes []countChange
}

// countChange is a count that held from a moment on.
type countChange struct {
	since time.Time
	count int
}

// add records the count now.
func (h *countHistory) add(now time.Time, count int) {
	if last := len(h.changes) - 1; last >= 0 && h.changes[last].count == count {
		return
	}
	h.changes = append(h.changes, countChange{since: now, count: count})
	keep := 0
	for keep+1 < len(h.changes) && now.Sub(h.changes[keep+1].since) > countMemory {
		keep++
	}
	h.changes = h.changes[keep:]
}

// at returns the count at a moment, or the oldest one kept.
func (h *countHistory) at(moment time.Time) int {
	for index := len(h.changes) - 1; index >= 0; index-- {
		if !h.changes[index].since.After(moment) || index == 0 {
			return h.changes[index].count
		}
	}
	return 0
}
