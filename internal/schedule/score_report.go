package schedule

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

const (
	// maxReportAge is the age at which a load report says nothing more about load.
	maxReportAge = 10 * time.Second
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 2 * time.Second
	// batchLoadShare is what a running batch sequence counts against an online one, since it yields to it.
	batchLoadShare = 0.1
	// waitingLoadShare is what a waiting online sequence counts: it says that the engine is already full.
	waitingLoadShare = 2.0
)

// scoreReport rates a runner by its last load report, drawn towards neutral as the report ages.
// Inputs: load report, its age, and the online work known without it, which the report never talks down. Range: 1 when idle to 0 when full, 0.5 when old. It abstains without a report, with
// one older than maxReportAge, and while the capacity is not known.
func scoreReport(_ *Snapshot, runner *Runner, _ *inference.Request, now time.Time) (float64, bool) {
	age, reported := runner.reportAge(now)
	capacity := runner.capacity()
	if !reported || age > maxReportAge || capacity == 0 {
		return 0, false
	}
	report := runner.Report
	load := float64(report.RunningOnline) + waitingLoadShare*float64(report.WaitingOnline)
	load = max(load, runner.knownOnline())
	load += batchLoadShare * float64(report.RunningBatch)
	trust := math.Exp2(-age.Seconds() / reportHalfLife.Seconds())
	return trust*clamp(1-load/capacity) + (1-trust)*neutral, true
}
