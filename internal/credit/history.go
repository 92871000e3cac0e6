package credit

import "time"

// historyTime is how long known online counts are kept: longer than a load report lags.
const historyTime = maxReportAge + time.Second

// reportSlack is how exactly the moment of a report is known.
const reportSlack = 250 * time.Millisecond

// history keeps the known online counts of the last while, as changes.
type history struct {
	changes []change
}

// change is a count that held from a moment on.
type change struct {
	since time.Time
	count int
}

// add records the count now.
func (h *history) add(now time.Time, count int) {
	if len(h.changes) == 0 || h.last() != count {
		h.changes = append(h.changes, change{since: now, count: count})
	}
	h.forget(now.Add(-historyTime))
}

// forget drops changes that no longer held at the given time.
func (h *history) forget(before time.Time) {
	keep := 0
	for keep+1 < len(h.changes) && !h.changes[keep+1].since.After(before) {
		keep++
	}
	h.changes = h.changes[keep:]
}

// last returns the newest count.
func (h *history) last() int {
	if len(h.changes) == 0 {
		return 0
	}
	return h.changes[len(h.changes)-1].count
}

// mostAround returns the largest count that held within reportSlack of the moment.
func (h *history) mostAround(moment time.Time) int {
	from, until := moment.Add(-reportSlack), moment.Add(reportSlack)
	most := 0
	for index, held := range h.changes {
		endsBefore := index+1 < len(h.changes) && h.changes[index+1].since.Before(from)
		if endsBefore || held.since.After(until) {
			continue
		}
		most = max(most, held.count)
	}
	return most
}

// riseWithin returns how much the newest count lies above the least of the window before it.
func (h *history) riseWithin(window time.Duration) int {
	if len(h.changes) == 0 {
		return 0
	}
	newest := h.changes[len(h.changes)-1]
	from := newest.since.Add(-window)
	least := newest.count
	for index := len(h.changes) - 2; index >= 0; index-- {
		least = min(least, h.changes[index].count)
		if h.changes[index].since.Before(from) {
			break
		}
	}
	return newest.count - least
}
