package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// halfScoreDistanceMs is the one-way delay, in milliseconds, at which a zone has half the score of the own zone.
const halfScoreDistanceMs = 10.0

// scoreZone rates a runner by the network distance to its zone.
// Inputs: the zones of dispatcher and runner, the distance table. Range: 1 in the own zone, 1/(1+d/halfScoreDistanceMs) at
// distance d, 0 at unknown distance. It abstains if the dispatcher has no zone.
func scoreZone(snapshot *Snapshot, runner *Runner, _ *inference.Request, _ time.Time) (float64, bool) {
	if snapshot.Zone == "" {
		return 0, false
	}
	if runner.Zone == snapshot.Zone {
		return 1, true
	}
	distance, known := snapshot.Distance[runner.Zone]
	if !known {
		return 0, true
	}
	return 1 / (1 + max(0, distance)/halfScoreDistanceMs), true
}
