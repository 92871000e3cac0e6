package online

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/waitline"
)

// heldUpPart of the shortest objective is how long a caller may hold its runner up, in all, where others want the place: with the looks
// before and after it, half of an objective of 200 ms is left for the answer to begin.
const heldUpPart = 1.0 / 4

// vacantFor is how long the place of a caller that was cut off is kept for a request that waits here: until the other nodes have heard that
// it is free, which takes 50 ms and the way, twice.
const vacantFor = 150 * time.Millisecond

// vacancy is the place at a runner of a caller that was cut off.
type vacancy struct {
	runner ident.Incarnation
	until  time.Time
}

// heldUp is a runner that waits for its caller.
type heldUp struct {
	// since is when it would have begun to wait if it had done so in one go.
	since time.Time
	// cut is closed when the caller is to be cut off.
	cut chan struct{}
}

// laggards is what the room of a service knows of callers that read slowly.
type laggards struct {
	// streams are the answers that are passed on event by event.
	streams map[*ahead]struct{}
	// heldUp are the runners that wait for their callers now.
	heldUp map[*heldUp]struct{}
	// vacant are the places of callers that were cut off, the oldest first.
	vacant []vacancy
	// objective is the shortest of the requests that came here; zero is none.
	objective time.Duration
}

func newLaggards() laggards {
	return laggards{streams: map[*ahead]struct{}{}, heldUp: map[*heldUp]struct{}{}}
}

// noteObjective keeps the shortest objective.
func (l *laggards) noteObjective(objective time.Duration) {
	if objective > 0 && (l.objective == 0 || objective < l.objective) {
		l.objective = objective
	}
}

// borne is how long a caller may hold its runner up where others want the place.
func (l *laggards) borne() time.Duration {
	if l.objective == 0 {
		return heldUpMost
	}
	return min(time.Duration(heldUpPart*float64(l.objective)), heldUpMost)
}

// cut has the callers cut off that have held their runners up the longest and for longer than others bear, so many at most.
func (l *laggards) cut(most int, now time.Time) {
	overdue := l.overdue(now)
	for _, held := range overdue[:min(most, len(overdue))] {
		close(held.cut)
		delete(l.heldUp, held)
	}
}

// overdue returns those that have been held up for longer than others bear, the longest first.
func (l *laggards) overdue(now time.Time) []*heldUp {
	var overdue []*heldUp
	for held := range l.heldUp {
		if now.Sub(held.since) >= l.borne() {
			overdue = append(overdue, held)
		}
	}
	slices.SortFunc(overdue, func(first, second *heldUp) int { return first.since.Compare(second.since) })
	return overdue
}

// takeVacant returns the runner of the oldest place that is kept.
func (l *laggards) takeVacant(now time.Time) (ident.Incarnation, bool) {
	l.vacant = slices.DeleteFunc(l.vacant, func(place vacancy) bool { return now.After(place.until) })
	if len(l.vacant) == 0 {
		return "", false
	}
	first := l.vacant[0]
	l.vacant = l.vacant[1:]
	return first.runner, true
}

// fill notes that a request was sent to a runner that was not full: a place that is kept there is taken.
func (l *laggards) fill(runner ident.Incarnation) {
	if at := slices.IndexFunc(l.vacant, func(place vacancy) bool { return place.runner == runner }); at >= 0 {
		l.vacant = slices.Delete(l.vacant, at, at+1)
	}
}

// vacated notes that a caller was cut off, and has the first request that waits take its place at the runner. How long it had it tells
// nothing of runs.
func (r *room) vacated(waiter *waitline.Waiter, runner ident.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.laggards.vacant = append(r.laggards.vacant, vacancy{runner: runner, until: r.now().Add(vacantFor)})
	r.line.Unused()
	r.gavePlace(waiter)
	r.wake()
}

func (r *room) takeVacant() (ident.Incarnation, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.laggards.takeVacant(r.now())
}

// follow has the room look at a stream while requests wait.
func (r *room) follow(stream *ahead) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.laggards.streams[stream] = struct{}{}
}

func (r *room) unfollow(stream *ahead) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.laggards.streams, stream)
}

// holdUp notes that a runner waits for its caller until goOn is called.
func (r *room) holdUp(since time.Time) *heldUp {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held := &heldUp{since: since, cut: make(chan struct{})}
	r.laggards.heldUp[held] = struct{}{}
	r.lookSoon()
	return held
}

func (r *room) goOn(held *heldUp) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.laggards.heldUp, held)
}

// lookAtLaggards has callers that lag take nothing of the places that others want: one that waits here, or where none does the next that
// comes anywhere while all places are taken. The caller holds the mutex.
func (r *room) lookAtLaggards(now time.Time) {
	wanted := r.line.Len()
	if wanted > 0 {
		for stream := range r.laggards.streams {
			stream.lookSooner()
		}
	}
	if len(r.laggards.overdue(now)) == 0 {
		return
	}
	if wanted == 0 && r.free() == 0 {
		wanted = 1
	}
	r.laggards.cut(wanted, now)
}
