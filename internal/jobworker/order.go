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

// Runs step aside for online work and go on later, so that an item takes longer than one run without a break.
const (
	// begunSlowdown is how many times longer an item with output takes, unbegunSlowdown one without: an item is begun only
	// where it is likely to be done in time.
	begunSlowdown   = 1.0
	unbegunSlowdown = 1.25
)

// prospect is what the order of an item depends on.
type prospect struct {
	item *itemRun
	// start is when the item had to start at the latest to be done in time. It does not move as the item progresses:
	// otherwise each item would fall behind those with less output, and all would be finished late together.
	start time.Time
	// latest is when the item has to go on at the latest to be likely done in time.
	latest time.Time
	// remaining is the time the item still needs.
	remaining time.Duration
	// hopeless says that the item cannot be done in time any more.
	hopeless bool
}

// prospects returns the items in the order in which they are to be given out. Items that can still be done in time come
// first, those that had to start first before the others, so that large items start early and what is begun is finished.
// The others follow, those with the least left to do first. The caller holds the mutex.
func (w *Worker) prospects(items []*itemRun, now time.Time) []prospect {
	ordered := make([]prospect, 0, len(items))
	for _, item := range items {
		ordered = append(ordered, w.prospect(item, now))
	}
	slices.SortFunc(ordered, compareProspects)
	return ordered
}

func (w *Worker) prospect(item *itemRun, now time.Time) prospect {
	due, whole, remaining := w.due(item), w.whole(item), w.remaining(item)
	slowdown := unbegunSlowdown
	if item.lastEvent > 0 {
		slowdown = begunSlowdown
	}
	latest := due.Add(-time.Duration(slowdown * float64(remaining)))
	return prospect{item: item, start: due.Add(-whole), latest: latest, remaining: remaining, hopeless: now.After(latest)}
}

func compareProspects(first, second prospect) int {
	if first.hopeless != second.hopeless {
		if first.hopeless {
			return 1
		}
		return -1
	}
	byTime := first.start.Compare(second.start)
	if first.hopeless {
		byTime = cmp.Compare(first.remaining, second.remaining)
	}
	return cmp.Or(
		byTime,
		cmp.Compare(first.item.job.header.ID, second.item.job.header.ID),
		cmp.Compare(first.item.index, second.item.index),
	)
}

// due returns when the item's job is due. Without a route it is due when it was submitted.
func (w *Worker) due(item *itemRun) time.Time {
	submitted := item.job.submitted
	route, _ := w.Routes.Match(item.job.header.Host, item.item.Path)
	if route == nil {
		return submitted
	}
	return submitted.Add(route.CompletionObjective)
}

// size is the item's size as a multiple of the mean.
func (w *Worker) size(item *itemRun) float64 {
	if w.tokens <= 0 || item.item.Tokens <= 0 {
		return 1
	}
	return min(max(float64(item.item.Tokens)/w.tokens, smallestSize), largestSize)
}

// whole estimates the time of a run of the whole item.
func (w *Worker) whole(item *itemRun) time.Duration {
	return time.Duration(w.size(item) * float64(w.duration))
}

// remaining estimates the time the item still needs at a runner, from its size and from what it has already.
func (w *Worker) remaining(item *itemRun) time.Duration {
	left := 1.0
	if w.events > 0 {
		left = max(leastRemaining, 1-float64(item.lastEvent)/(w.size(item)*w.events))
	}
	return time.Duration(left * float64(w.whole(item)))
}
