package orphans

import "time"

const (
	// Together is how far apart the starts of nodes are that lost their power together: machines come up within a second or two of
	// each other.
	Together = 3 * time.Second
	// watchFor is how long orphans are looked for: longer than the longest run of an item at a runner that works at half its pace.
	watchFor = 10 * time.Second
	// settleFor is how long it takes until nodes have told of their work: they come up over half a second, and the callers of the outage
	// come back within the second after.
	settleFor = time.Second
	// PressedReadEvery is the time between two readings of a runner with orphans while requests wait for its places. A place is seen to be
	// free after two readings that agree, and each that stands idle for so long is a request late.
	PressedReadEvery = 15 * time.Millisecond
)

// Watch decides whether a node looks for orphans. It does after a common loss of power: the node started, not for the first time with
// its deployment, and no node that tells of its work has lived longer. Where one has, the node started alone, and the others know
// their work. The zero Watch looks for none.
type Watch struct {
	// began is when the node started; zero where it looks for none any more.
	began time.Time
}

// Begin has the node look for orphans, as of its start.
func (w *Watch) Begin(now time.Time) { w.began = now }

// End has it look for none.
func (w *Watch) End() { w.began = time.Time{} }

// Heard notes that a node which tells of its work has lived for an age, zero where it does not say. It returns false where this
// shows that the node did not start with the others, and ends the watch.
func (w *Watch) Heard(age time.Duration, now time.Time) bool {
	if w.began.IsZero() {
		return true
	}
	if age > 0 && age <= now.Sub(w.began)+Together {
		return true
	}
	w.End()
	return false
}

// Open says whether orphans are looked for.
func (w *Watch) Open(now time.Time) bool { return !w.began.IsZero() && now.Sub(w.began) < watchFor }

// ReadEvery is the time between two readings of a runner that may have orphans, given the usual one: half of it in the beginning, when
// requests end that dead nodes left. They do within a second, and their places would stand idle for as long as nobody sees it.
func (w *Watch) ReadEvery(usual time.Duration, now time.Time) time.Duration {
	if w.Settling(now) {
		return usual / 2
	}
	return usual
}

// Settling says that nodes have not had the time to tell of their work.
func (w *Watch) Settling(now time.Time) bool { return w.Open(now) && now.Sub(w.began) < settleFor }
