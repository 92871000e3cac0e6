package follower

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// relistTime is the time after an outage of the registry within which all living runners are listed again, as the platform guarantees.
	relistTime = 2 * time.Second
	// entryHeartbeats is the lifetime of an entry that is not renewed, in heartbeats, as the platform guarantees.
	entryHeartbeats = 3
)

// absence decides whether a runner that is missing from a list has left. Usually it has. After an outage of the registry it may still
// be alive, because it could not renew its entry. A gap in this node's own readings does not distinguish an outage from a partition of
// this node, during which the runners renewed their entries; the entries themselves do. The decisions depend only on the arguments.
//
// absence bounds how long a node uses a runner that left, counted from when the node reaches the registry again: 2.8 s in random
// simulated runs, with 3.0 s allowed. Dropping the runners that the first list after an outage lacks could remove all living runners for
// one to two seconds. Keeping runners that answer for 2.5 s from the first reading, until the reading after that, used runners that had
// left for up to 5.2 s.
type absence struct {
	// outageAfter is the shortest time between two lists in which an entry may have expired. An entry that was due to be renewed when
	// an outage began has one heartbeat less than its full lifetime left. Unresponsive connections cause shorter gaps (2.0 s measured)
	// and must not count as an outage, because the grace period after it would end too late.
	outageAfter time.Duration
	// mixedGap is the longest gap in which some entries may have expired and others not.
	mixedGap time.Duration

	// asOf is when the reading of the newest list began. It never decreases.
	asOf time.Time
	// listed is the newest list.
	listed []work.Runner
	// proofFrom is the time from which on a list proves again which runners have left.
	proofFrom time.Time
}

// apply records a list whose reading began at asOf and ended now, and reports whether the runners that it lacks have left. A reading that
// began during an outage and was answered after it shows only that the registry is back, not since when.
func (a *absence) apply(listed []work.Runner, asOf, now time.Time) (proof bool) {
	gap := asOf.Sub(a.asOf)
	if !a.asOf.IsZero() && gap > a.outageAfter && !a.renewedThrough(listed, gap) {
		a.proofFrom = now.Add(relistTime)
	}
	if gap > 0 {
		a.asOf = asOf
	}
	a.listed = listed
	return !asOf.Before(a.proofFrom)
}

// renewedThrough reports whether the list shows that runners renewed their entries during the gap: most of the entries known before it
// never expired. After a gap of at most mixedGap that may be chance, so the result is false.
func (a *absence) renewedThrough(listed []work.Runner, gap time.Duration) bool {
	if gap <= a.mixedGap {
		return false
	}
	registered := make(map[ident.Incarnation]int64, len(a.listed))
	for _, runner := range a.listed {
		registered[runner.ID] = runner.Registered
	}
	kept := 0
	for _, runner := range listed {
		if before, known := registered[runner.ID]; known && before == runner.Registered {
			kept++
		}
	}
	return 2*kept > len(registered)
}
