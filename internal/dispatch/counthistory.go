package dispatch

import "time"

// countRetention is how long counts of online requests are stored. It exceeds the lag of a load report.
const countRetention = time.Second

// countHistory stores the known online requests of a runner during the last countRetention. The zero value is empty.
type countHistory struct {
	changes []countChange
}

// countChange is a count and the time from which it was valid.
type countChange struct {
	since time.Time
	count int
}

// add records the current count.
func (h *countHistory) add(now time.Time, count int) {
	if last := len(h.changes) - 1; last >= 0 && h.changes[last].count == count {
		return
	}
	h.changes = append(h.changes, countChange{since: now, count: count})
	first := 0
	for first+1 < len(h.changes) && now.Sub(h.changes[first+1].since) > countRetention {
		first++
	}
	h.changes = h.changes[first:]
}

// at returns the count at the given time, or the oldest one stored.
func (h *countHistory) at(moment time.Time) int {
	for index := len(h.changes) - 1; index >= 0; index-- {
		if !h.changes[index].since.After(moment) || index == 0 {
			return h.changes[index].count
		}
	}
	return 0
}
