package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// scoreMemory rates a runner by the share of its KV cache that stays free with the request's tokens added.
// Inputs: load report, prompt tokens, maximum answer tokens. Range: 0 to 1. It abstains if no report states the size of
// the cache or the report is older than maxReportAge.
func scoreMemory(_ *Snapshot, runner *Runner, request *inference.Request, now time.Time) (float64, bool) {
	age, reported := runner.reportAge(now)
	if !reported || age > maxReportAge || runner.Report.MemoryTokens <= 0 {
		return 0, false
	}
	needed := float64(request.PromptTokens+request.MaxTokens) / float64(runner.Report.MemoryTokens)
	return clamp(1 - runner.Report.MemoryUsed - needed), true
}
