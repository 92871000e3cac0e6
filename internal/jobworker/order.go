package jobworker

import (
	"cmp"
	"slices"
	"time"
)

// leastRemaining is the part of a run's mean time that an item is thought to need at least.
const leastRemaining = 0.1

// An item's size, as a multiple of the mean, is believed within these bounds: the counts are those of the client.
const (
	smallestSize = 0.3
	largestSize  = 3
)

// prospect is what the order of an item depends on.
type prospect struct {
	item *itemRun
	// start is when the item must start at the latest to be done in time.
	start time.Time
	// hopeless says that the item cannot be done in time any more.
	hopeless bool
}

// prospects returns the items in the order in which they are to be given out. Items that can still be done in time come
// first, those with the least time to spare before the others, so that large items start early: where not all can be in
// time, working through them by age would make all of them late. The caller holds the mutex.
func (w *Worker) prospects(items []*itemRun, now time.Time) []prospect {
	ordered := make([]prospect, 0, len(items))
	for _, item := range items {
		start := w.due(item).Add(-w.remaining(item))
		ordered = append(ordered, prospect{item: item, start: start, hopeless: now.After(start)})
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
		first.start.Compare(second.start),
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

// remaining estimates the time the item still needs at a runner, from its size and from what it has already.
func (w *Worker) remaining(item *itemRun) time.Duration {
	size := 1.0
	if w.tokens > 0 && item.item.Tokens > 0 {
		size = min(max(float64(item.item.Tokens)/w.tokens, smallestSize), largestSize)
	}
	left := leastRemaining
	if w.events > 0 {
		left = max(left, 1-float64(item.lastEvent)/(size*w.events))
	}
	return time.Duration(left * size * float64(w.duration))
}
