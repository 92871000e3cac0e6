package jobworker

import (
	"cmp"
	"slices"
	"time"
)

// minRemainingFraction is the least fraction of its estimated run that an item is assumed to need.
const minRemainingFraction = 0.1

// minRelativeSize and maxRelativeSize bound an item's size as a multiple of the mean, because the token counts come from the client.
const (
	minRelativeSize = 0.3
	maxRelativeSize = 3
)

// Runs are preempted for online work and resumed later, so an item takes longer than one uninterrupted run.
const (
	// startedSlowdown is the factor by which an item with output takes longer, unstartedSlowdown that of an item without:
	// an item is started only if it is likely to be done in time.
	startedSlowdown   = 1.0
	unstartedSlowdown = 1.25
)

// urgency is what the order of an item depends on.
type urgency struct {
	item *itemRun
	// plannedStart is the latest start of the whole item for it to be done in time. It does not move as the item
	// progresses: otherwise each item would fall behind those with less output, and all would finish late together.
	plannedStart time.Time
	// latestStart is the latest time to start or resume the item for it to be likely done in time.
	latestStart time.Time
	// remaining is the time that the item still needs.
	remaining time.Duration
	// tooLate is set if the item can no longer be done in time.
	tooLate bool
}

// byUrgency returns the items in dispatch order. Items that can still be done in time come first, ordered by planned
// start, so that large items start early and started items are finished. The others follow, those with the least remaining
// time first. The caller must hold the mutex.
func (w *Worker) byUrgency(items []*itemRun, now time.Time) []urgency {
	ordered := make([]urgency, 0, len(items))
	for _, item := range items {
		ordered = append(ordered, w.urgency(item, now))
	}
	slices.SortFunc(ordered, compareUrgency)
	return ordered
}

func (w *Worker) urgency(item *itemRun, now time.Time) urgency {
	due, estimatedRun, remaining := w.due(item), w.estimatedRun(item), w.remaining(item)
	slowdown := unstartedSlowdown
	if item.lastEvent > 0 {
		slowdown = startedSlowdown
	}
	latestStart := due.Add(-time.Duration(slowdown * float64(remaining)))
	return urgency{
		item: item, plannedStart: due.Add(-estimatedRun), latestStart: latestStart, remaining: remaining, tooLate: now.After(latestStart),
	}
}

func compareUrgency(first, second urgency) int {
	if first.tooLate != second.tooLate {
		if first.tooLate {
			return 1
		}
		return -1
	}
	byTime := first.plannedStart.Compare(second.plannedStart)
	if first.tooLate {
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
	route, _ := w.routeInForce(item)
	if route == nil {
		return submitted
	}
	return submitted.Add(route.CompletionObjective)
}

// relativeSize returns the item's size as a multiple of the mean.
func (w *Worker) relativeSize(item *itemRun) float64 {
	if w.tokens <= 0 || item.item.Tokens <= 0 {
		return 1
	}
	return min(max(float64(item.item.Tokens)/w.tokens, minRelativeSize), maxRelativeSize)
}

// estimatedRun estimates the duration of a run of the whole item.
func (w *Worker) estimatedRun(item *itemRun) time.Duration {
	return time.Duration(w.relativeSize(item) * float64(w.duration))
}

// remaining estimates the time that the item still needs at a runner, from its size and its output so far.
func (w *Worker) remaining(item *itemRun) time.Duration {
	left := 1.0
	if w.events > 0 {
		left = max(minRemainingFraction, 1-float64(item.lastEvent)/(w.relativeSize(item)*w.events))
	}
	return time.Duration(left * float64(w.estimatedRun(item)))
}
