package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// scoreMemory rates a runner by the KV cache memory left after it has taken the request.
// Inputs: load report, prompt and answer tokens. Range: share of the cache left free, 0 to 1. It abstains without a
// report of the cache's size or with one older than maxReportAge.
func scoreMemory(_ *Snapshot, runner *Runner, request *inference.Request, now time.Time) (float64, bool) {
	age, reported := runner.reportAge(now)
	if !reported || age > maxReportAge || runner.Report.MemoryTokens <= 0 {
		return 0, false
	}
	needed := float64(request.PromptTokens+request.MaxTokens) / float64(runner.Report.MemoryTokens)
	return clamp(1 - runner.Report.MemoryUsed - needed), true
}
