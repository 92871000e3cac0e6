package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// farDistance is the one-way delay, in milliseconds, at which a zone scores half of the dispatcher's own.
const farDistance = 10.0

// scoreZone rates a runner by the network distance of its zone.
// Inputs: the two zones, the distance table. Range: 1 in the own zone, 1/(1+d/farDistance) elsewhere, 0 for a zone of
// unknown distance. It abstains when the dispatcher has no zone.
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
	return 1 / (1 + max(0, distance)/farDistance), true
}
