package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// scorePrefix rates a runner by the share of the prompt it probably has in its prefix cache.
// Inputs: the request's prefix blocks, the runner's matched blocks, whether the runner is imbalanced. Range: matched
// share, 0 to 1; 0 for an imbalanced runner. It abstains for a prompt shorter than one block.
func scorePrefix(_ *Snapshot, runner *Runner, request *inference.Request, _ time.Time) (float64, bool) {
	if len(request.PrefixBlocks) == 0 {
		return 0, false
	}
	if runner.imbalanced {
		return 0, true
	}
	return clamp(float64(runner.PrefixBlocks) / float64(len(request.PrefixBlocks))), true
}
