package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// scoreInFlight rates a runner by the online requests that this dispatcher and its peers have in flight on it.
// Inputs: own in-flight count, counts reported by peers, capacity. Range: 1 with no request, falling to 0 at capacity;
// 1/(1+n) for n requests if the capacity is unknown. It never abstains, because its own count has no lag.
func scoreInFlight(_ *Snapshot, runner *Runner, _ *inference.Request, _ time.Time) (float64, bool) {
	known := runner.knownOnline()
	capacity := runner.capacity()
	if capacity == 0 {
		return 1 / (1 + known), true
	}
	return clamp(1 - known/capacity), true
}
