package follower

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// entriesBack is how long after its return the registry lists all living runners again, as the platform states it.
	entriesBack = 2 * time.Second
	// heartbeatsKept is how many heartbeats of silence an entry outlives, as the platform states it.
	heartbeatsKept = 3
)

// absence judges what it means that a list lacks a runner. Usually the runner has left. After an outage of the registry it
// may live: it could not renew its entry. A gap in this node's own readings does not tell an outage from a cut of this node,
// in which the others renewed all along; the entries themselves do. Its decisions depend on nothing but their arguments.
//
// It bounds how long a node that is back uses a runner that left: 2.8 s in drawn plays, where 3.0 are allowed. Dropping what
// the first list after an outage lacks would cost up to all living runners for one to two seconds; keeping what answers, for
// 2.5 s from whichever reading comes first until whichever comes after, used those that left for up to 5.2 s.
type absence struct {
	// outageAfter is the least time between two lists in which an entry may have run out: one that was due to be renewed
	// when an outage began has a heartbeat less than its whole life. Connections that fall silent cost less (2.0 s measured),
	// and must not count as an outage: the time of grace after it would end too late.
	outageAfter time.Duration
	// mixedGap is the longest gap in which some entries may have run out and others not.
	mixedGap time.Duration

	// asOf is when the reading of the newest list began. It never goes back.
	asOf time.Time
	// registered holds the registrations of the newest list.
	registered map[ident.Incarnation]int64
	// proofFrom is from when on a list proves again who has left.
	proofFrom time.Time
}

// take notes a list whose reading began at asOf and ended now, and says whether a runner that it lacks has left. A reading that began in an
// outage and was answered at its end does not tell when the registry was back, only that it is.
func (a *absence) take(listed []work.Runner, asOf, now time.Time) (proof bool) {
	gap := asOf.Sub(a.asOf)
	if !a.asOf.IsZero() && gap > a.outageAfter && !a.renewedThrough(listed, gap) {
		a.proofFrom = now.Add(entriesBack)
	}
	if gap > 0 {
		a.asOf = asOf
	}
	a.registered = make(map[ident.Incarnation]int64, len(listed))
	for _, runner := range listed {
		a.registered[runner.ID] = runner.Registered
	}
	return !asOf.Before(a.proofFrom)
}

// renewedThrough says whether the list shows that runners renewed their entries through the gap: most of the entries that
// were known before it never ran out. After a short gap that may be chance.
func (a *absence) renewedThrough(listed []work.Runner, gap time.Duration) bool {
	if gap <= a.mixedGap {
		return false
	}
	kept := 0
	for _, runner := range listed {
		if before, known := a.registered[runner.ID]; known && before == runner.Registered {
			kept++
		}
	}
	return 2*kept > len(a.registered)
}
