package orphans

import "time"

const (
	// MaxStartSkew is the largest difference between the start times of nodes that lost power together: machines come up
	// within a second or two of each other.
	MaxStartSkew = 3 * time.Second
	// watchPeriod is how long orphaned runs are looked for: longer than the longest run of an item at a runner that works
	// at half its usual pace.
	watchPeriod = 10 * time.Second
	// settlePeriod is how long it takes until nodes have reported their work: they start within half a second, and the
	// callers affected by the outage return within the second after.
	settlePeriod = time.Second
	// PressedReadInterval is the time between two readings of a runner with orphaned runs while requests wait for its slots.
	// A slot is seen to be free after two readings that agree, and each slot that is idle that long makes a request late.
	PressedReadInterval = 15 * time.Millisecond
)

// Watch decides whether a node looks for orphaned runs. It does so after a simultaneous restart of all nodes: the node
// started, not for the first time in its deployment, and no node that reports its work has been up longer. If one has,
// the node restarted alone, and the others account for their work. The zero Watch is closed.
type Watch struct {
	// startedAt is when the node started; zero if it does not look for orphaned runs.
	startedAt time.Time
}

// Begin opens the watch at the start of the node.
func (w *Watch) Begin(now time.Time) { w.startedAt = now }

// End closes the watch.
func (w *Watch) End() { w.startedAt = time.Time{} }

// RecordUptime records the uptime reported by a node that reports its work, zero if it does not say. If this shows that the node
// did not start together with the others, RecordUptime ends the watch and returns false.
func (w *Watch) RecordUptime(age time.Duration, now time.Time) bool {
	if w.startedAt.IsZero() {
		return true
	}
	if age > 0 && age <= now.Sub(w.startedAt)+MaxStartSkew {
		return true
	}
	w.End()
	return false
}

// Open reports whether orphaned runs are looked for.
func (w *Watch) Open(now time.Time) bool {
	return !w.startedAt.IsZero() && now.Sub(w.startedAt) < watchPeriod
}

// ReadInterval returns the time between two readings of a runner that may have orphaned runs, given the usual one: half of
// it at first, while requests left by dead nodes end. They end within a second, and their slots stay idle until the end
// is seen.
func (w *Watch) ReadInterval(usual time.Duration, now time.Time) time.Duration {
	if w.Settling(now) {
		return usual / 2
	}
	return usual
}

// Settling reports whether nodes may not have had the time to report their work.
func (w *Watch) Settling(now time.Time) bool {
	return w.Open(now) && now.Sub(w.startedAt) < settlePeriod
}
