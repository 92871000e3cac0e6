package schedule

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/inference"
)

const (
	// maxReportAge is the age above which a load report is ignored.
	maxReportAge = 10 * time.Second
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife = 2 * time.Second
	// batchLoadWeight is the load of a running batch sequence relative to an online one. It is low because batch sequences
	// are preempted for online work.
	batchLoadWeight = 0.1
	// waitingLoadWeight is the load of a waiting online sequence relative to a running one. It is high because a waiting
	// sequence shows that the engine is full.
	waitingLoadWeight = 2.0
)

// scoreReport rates a runner by its last load report. The score moves towards neutralScore as the report ages.
// Inputs: load report, its age, and the in-flight count as a lower bound of the reported online work. Range: 1 when idle
// to 0 when full, towards 0.5 with age. It abstains without a report, with one older than maxReportAge, and if the
// capacity is unknown.
func scoreReport(_ *Snapshot, runner *Runner, _ *inference.Request, now time.Time) (float64, bool) {
	age, reported := runner.reportAge(now)
	capacity := runner.capacity()
	if !reported || age > maxReportAge || capacity == 0 {
		return 0, false
	}
	report := runner.Report
	load := float64(report.RunningOnline) + waitingLoadWeight*float64(report.WaitingOnline)
	load = max(load, runner.knownOnline())
	load += batchLoadWeight * float64(report.RunningBatch)
	freshness := math.Exp2(-age.Seconds() / reportHalfLife.Seconds())
	return freshness*clamp(1-load/capacity) + (1-freshness)*neutralScore, true
}
