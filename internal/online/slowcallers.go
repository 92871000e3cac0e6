package online

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/waitqueue"
)

// maxBlockedFraction of the shortest objective is the total time for which a caller may block its runner while other requests
// want the slot. With the checks before and after it, half of an objective of 200 ms is left for the answer to begin.
const maxBlockedFraction = 1.0 / 4

// vacancyTTL is how long the slot of a caller that was cut off stays reserved for a request that waits here. It covers the
// time until the other nodes know that the slot is free: two report intervals of 50 ms and two transits.
const vacancyTTL = 150 * time.Millisecond

// vacancy is the slot at a runner that became free because its caller was cut off.
type vacancy struct {
	runner ident.Incarnation
	until  time.Time
}

// blocked is a runner that waits for its caller.
type blocked struct {
	// since is the start of the waiting, moved back by the time for which the runner has waited before.
	since time.Time
	// cut is closed when the caller is to be cut off.
	cut chan struct{}
}

// slowCallers is the state that a service's queue keeps of callers that read slowly.
type slowCallers struct {
	// streams are the answers that are being relayed event by event.
	streams map[*bufferedStream]struct{}
	// blocked are the runners that wait for their callers now.
	blocked map[*blocked]struct{}
	// vacant are the slots of callers that were cut off, the oldest first.
	vacant []vacancy
	// objective is the shortest one of the requests that arrived here; zero if none has one.
	objective time.Duration
}

func newSlowCallers() slowCallers {
	return slowCallers{streams: map[*bufferedStream]struct{}{}, blocked: map[*blocked]struct{}{}}
}

// recordObjective updates the shortest objective.
func (c *slowCallers) recordObjective(objective time.Duration) {
	if objective > 0 && (c.objective == 0 || objective < c.objective) {
		c.objective = objective
	}
}

// maxBlocked returns how long a caller may block its runner while other requests want the slot.
func (c *slowCallers) maxBlocked() time.Duration {
	if c.objective == 0 {
		return maxRunnerBlocked
	}
	return min(time.Duration(maxBlockedFraction*float64(c.objective)), maxRunnerBlocked)
}

// cut cuts off the callers that have blocked their runners for the longest and for maxBlocked at least, up to a number.
func (c *slowCallers) cut(most int, now time.Time) {
	overdue := c.overdue(now)
	for _, runner := range overdue[:min(most, len(overdue))] {
		close(runner.cut)
		delete(c.blocked, runner)
	}
}

// overdue returns the runners that have been blocked for maxBlocked or longer, the longest first.
func (c *slowCallers) overdue(now time.Time) []*blocked {
	var overdue []*blocked
	for runner := range c.blocked {
		if now.Sub(runner.since) >= c.maxBlocked() {
			overdue = append(overdue, runner)
		}
	}
	slices.SortFunc(overdue, func(first, second *blocked) int { return first.since.Compare(second.since) })
	return overdue
}

// takeVacancy removes the oldest vacancy and returns its runner.
func (c *slowCallers) takeVacancy(now time.Time) (ident.Incarnation, bool) {
	c.vacant = slices.DeleteFunc(c.vacant, func(slot vacancy) bool { return now.After(slot.until) })
	if len(c.vacant) == 0 {
		return "", false
	}
	first := c.vacant[0]
	c.vacant = c.vacant[1:]
	return first.runner, true
}

// removeVacancy drops the vacancy at a runner, if there is one, because a request was sent there while the runner was not
// full.
func (c *slowCallers) removeVacancy(runner ident.Incarnation) {
	if at := slices.IndexFunc(c.vacant, func(slot vacancy) bool { return slot.runner == runner }); at >= 0 {
		c.vacant = slices.Delete(c.vacant, at, at+1)
	}
}

// slotVacated records that a caller was cut off, and wakes the first waiting request to take its slot at the runner. The time
// for which the caller used the slot is not counted as a run.
func (q *queue) slotVacated(waiter *waitqueue.Waiter, runner ident.Incarnation) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.slowCallers.vacant = append(q.slowCallers.vacant, vacancy{runner: runner, until: q.now().Add(vacancyTTL)})
	q.pending.FreedUnused()
	q.recordSlotReleased(waiter)
	q.wakeNext()
}

func (q *queue) takeVacancy() (ident.Incarnation, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.slowCallers.takeVacancy(q.now())
}

// addStream registers a stream, so that the queue checks it while requests wait.
func (q *queue) addStream(stream *bufferedStream) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.slowCallers.streams[stream] = struct{}{}
}

func (q *queue) removeStream(stream *bufferedStream) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.slowCallers.streams, stream)
}

// beginBlocked records that a runner waits for its caller until endBlocked is called.
func (q *queue) beginBlocked(since time.Time) *blocked {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	runner := &blocked{since: since, cut: make(chan struct{})}
	q.slowCallers.blocked[runner] = struct{}{}
	q.scheduleCheck()
	return runner
}

func (q *queue) endBlocked(runner *blocked) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.slowCallers.blocked, runner)
}

// checkSlowCallers frees slots that slow callers occupy and others want: by reading on for slow callers while requests wait
// here, and by cutting off the callers that have blocked their runners for too long, one for each waiting request. If none
// waits here but no slot is free, one caller is cut off for the next request at any node. The caller holds the mutex.
func (q *queue) checkSlowCallers(now time.Time) {
	wanted := q.pending.Len()
	if wanted > 0 {
		for stream := range q.slowCallers.streams {
			stream.checkLagNow()
		}
	}
	if len(q.slowCallers.overdue(now)) == 0 {
		return
	}
	if wanted == 0 && q.freeSlots() == 0 {
		wanted = 1
	}
	q.slowCallers.cut(wanted, now)
}
