package dispatch

import "time"

// leavingHintTime is how long a refusal, or a peer's notification that a runner is leaving, is valid without confirmation by
// the runner's own report. It must be longer than a report takes to arrive.
const leavingHintTime = 15 * time.Second

// leaving combines the sources that report that a runner accepts no new work: machine list, engine report, operator drain,
// refusal by the engine, and notification by a peer. Any one of them is sufficient.
type leaving struct {
	listed   bool
	reported bool
	drained  bool
	// notifiedUntil is when a peer's notification expires. A report does not override it, because its source may be the
	// machine list or an operator, which the engine does not know.
	notifiedUntil time.Time
	// refusedUntil is when the engine's refusal expires, and refusedAt the time of its last refusal. A report measured
	// later overrides it.
	refusedUntil, refusedAt time.Time
}

// active reports whether the runner accepts no new work.
func (l *leaving) active(now time.Time) bool {
	return l.listed || l.reported || l.drained || now.Before(l.notifiedUntil) || now.Before(l.refusedUntil)
}

// notified records a peer's notification.
func (l *leaving) notified(now time.Time) { l.notifiedUntil = now.Add(leavingHintTime) }

// refused records a refusal by the engine.
func (l *leaving) refused(now time.Time) {
	l.refusedAt = now
	l.refusedUntil = now.Add(leavingHintTime)
}

// report records whether the engine reports that it is leaving. A report measured after its refusal cancels the refusal, so
// that a runner that does not leave after all is used again.
func (l *leaving) report(isLeaving bool, measured time.Time) {
	l.reported = isLeaving
	if measured.After(l.refusedAt) {
		l.refusedUntil = time.Time{}
	}
}
