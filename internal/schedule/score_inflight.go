package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// scoreInFlight rates a runner by the online requests that this dispatcher and its peers know they have there.
// Inputs: own in-flight, peers' hints, capacity. Range: 1 with none, falling to 0 at capacity; with an unknown
// capacity 1/(1+n). It never abstains: it is the only figure without lag.
func scoreInFlight(_ *Snapshot, runner *Runner, _ *inference.Request, _ time.Time) (float64, bool) {
	known := runner.knownOnline()
	capacity := runner.capacity()
	if capacity == 0 {
		return 1 / (1 + known), true
	}
	return clamp(1 - known/capacity), true
}
