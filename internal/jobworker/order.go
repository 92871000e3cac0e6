package jobworker

import (
	"cmp"
	"slices"
	"time"
)

// leastRemaining is the part of a run's mean time that an item is thought to need at least.
const leastRemaining = 0.1

// prospect is what the order of an item depends on.
type prospect struct {
	item *itemRun
	// due is when the job's results are due.
	due time.Time
	// hopeless says that the item cannot be done in time any more.
	hopeless bool
}

// prospects returns the items in the order in which they are to be given out. Items that can still be done in time come
// first, the earliest due before the others: where not all can be in time, working through them by age would make all
// of them late. The caller holds the mutex.
func (w *Worker) prospects(items []*itemRun, now time.Time) []prospect {
	ordered := make([]prospect, 0, len(items))
	for _, item := range items {
		due := w.due(item)
		ordered = append(ordered, prospect{item: item, due: due, hopeless: now.Add(w.remaining(item)).After(due)})
	}
	slices.SortFunc(ordered, compareProspects)
	return ordered
}

func compareProspects(first, second prospect) int {
	if first.hopeless != second.hopeless {
		if first.hopeless {
			return 1
		}
		return -1
	}
	return cmp.Or(
		first.due.Compare(second.due),
		cmp.Compare(first.item.job.header.ID, second.item.job.header.ID),
		cmp.Compare(first.item.index, second.item.index),
	)
}

// due returns when the item's job is due. Without a route it is due when it was submitted.
func (w *Worker) due(item *itemRun) time.Time {
	submitted := item.job.header.Submitted()
	route, _ := w.Routes.Match(item.job.header.Host, item.item.Path)
	if route == nil {
		return submitted
	}
	return submitted.Add(route.CompletionObjective)
}

// remaining estimates the time the item still needs at a runner, from what it has already.
func (w *Worker) remaining(item *itemRun) time.Duration {
	left := leastRemaining
	if w.events > 0 {
		left = max(left, 1-float64(item.lastEvent)/w.events)
	}
	return time.Duration(left * float64(w.duration))
}
