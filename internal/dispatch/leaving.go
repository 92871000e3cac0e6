package dispatch

import "time"

// hearsayTime is how long a refusal or a peer's word that a runner is leaving counts without the runner's own report
// saying so. It must be longer than a report takes to arrive.
const hearsayTime = 15 * time.Second

// leaving joins the four sources that a runner takes no new work: machine list, engine report, operator drain, and
// refusal by the engine, the last also as told by peers. Any one of them is enough.
type leaving struct {
	listed   bool
	reported bool
	drained  bool
	// toldUntil is the end of the time a peer's word counts. No report overrules it: the peer may have it from the
	// machine list or an operator, of which the engine knows nothing.
	toldUntil time.Time
	// refusedUntil is the end of the time the engine's refusal counts, and refusedAt when it refused last; a report
	// measured later overrules it.
	refusedUntil, refusedAt time.Time
}

// is reports whether the runner takes no new work.
func (l *leaving) is(now time.Time) bool {
	return l.listed || l.reported || l.drained || now.Before(l.toldUntil) || now.Before(l.refusedUntil)
}

// told records a peer's word.
func (l *leaving) told(now time.Time) { l.toldUntil = now.Add(hearsayTime) }

// refused records a refusal by the engine.
func (l *leaving) refused(now time.Time) {
	l.refusedAt = now
	l.refusedUntil = now.Add(hearsayTime)
}

// report records the engine's own word. One measured after its refusal ends that, so that a runner that stays after
// all is used again.
func (l *leaving) report(isLeaving bool, measured time.Time) {
	l.reported = isLeaving
	if measured.After(l.refusedAt) {
		l.refusedUntil = time.Time{}
	}
}
