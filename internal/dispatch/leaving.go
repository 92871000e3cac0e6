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
	// hearsayUntil is the end of the time a refusal or a peer's word counts.
	hearsayUntil time.Time
	// hearsayAt is when it was last renewed; a report measured later overrules it.
	hearsayAt time.Time
}

// now reports whether the runner takes no new work.
func (l *leaving) is(now time.Time) bool {
	return l.listed || l.reported || l.drained || now.Before(l.hearsayUntil)
}

// hear records a refusal or a peer's word.
func (l *leaving) hear(now time.Time) {
	l.hearsayAt = now
	l.hearsayUntil = now.Add(hearsayTime)
}

// report records the engine's own word. One measured after the hearsay ends it, so that a runner that stays after all
// is used again at once.
func (l *leaving) report(isLeaving bool, measured time.Time) {
	l.reported = isLeaving
	if measured.After(l.hearsayAt) {
		l.hearsayUntil = time.Time{}
	}
}
