package credit

import "time"

// historyRetention is how long known online counts are stored. It exceeds the maximum age of a load report.
const historyRetention = maxReportAge + time.Second

// reportTimeError is the maximum error of the time at which a report was measured.
const reportTimeError = 250 * time.Millisecond

// history stores the known online counts of the last historyRetention as a list of changes.
type history struct {
	changes []change
}

// change is a count and the time from which it was valid.
type change struct {
	since time.Time
	count int
}

// add records the current count.
func (h *history) add(now time.Time, count int) {
	if len(h.changes) == 0 || h.last() != count {
		h.changes = append(h.changes, change{since: now, count: count})
	}
	h.evict(now.Add(-historyRetention))
}

// evict removes the changes that were superseded by the given time.
func (h *history) evict(before time.Time) {
	first := 0
	for first+1 < len(h.changes) && !h.changes[first+1].since.After(before) {
		first++
	}
	h.changes = h.changes[first:]
}

// last returns the newest count.
func (h *history) last() int {
	if len(h.changes) == 0 {
		return 0
	}
	return h.changes[len(h.changes)-1].count
}

// maxAround returns the largest count that was valid within reportTimeError of the given time.
func (h *history) maxAround(moment time.Time) int {
	from, until := moment.Add(-reportTimeError), moment.Add(reportTimeError)
	largest := 0
	for index, entry := range h.changes {
		endsBefore := index+1 < len(h.changes) && h.changes[index+1].since.Before(from)
		if endsBefore || entry.since.After(until) {
			continue
		}
		largest = max(largest, entry.count)
	}
	return largest
}

// riseWithin returns the difference between the newest count and the smallest one in the window before it.
func (h *history) riseWithin(window time.Duration) int {
	if len(h.changes) == 0 {
		return 0
	}
	newest := h.changes[len(h.changes)-1]
	from := newest.since.Add(-window)
	smallest := newest.count
	for index := len(h.changes) - 2; index >= 0; index-- {
		smallest = min(smallest, h.changes[index].count)
		if h.changes[index].since.Before(from) {
			break
		}
	}
	return newest.count - smallest
}
