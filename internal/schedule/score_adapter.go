package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// scoreAdapter rates a runner by whether its last report lists the request's adapter as loaded.
// Inputs: the request's adapter, the load report. Range: 0 or 1. It abstains for requests without an adapter.
func scoreAdapter(_ *Snapshot, runner *Runner, request *inference.Request, _ time.Time) (float64, bool) {
	if request.Adapter == "" {
		return 0, false
	}
	if runner.hasAdapter(request.Adapter) {
		return 1, true
	}
	return 0, true
}
