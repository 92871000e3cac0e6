package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
)

// unownedShares lists the work at runners that a node reports and that this node does not own. While workers come and go,
// nodes disagree about the owner, and nobody else has what was reported here. A worker that has just started together with
// all other nodes returns nothing, because these runners may be busy with runs of nodes that are gone. The caller must
// hold the mutex.
func (w *Worker) unownedShares(report *demand.Report, now time.Time) []demand.Share {
	if w.orphanRuns.watch.Settling(now) {
		return nil
	}
	var shares []demand.Share
	for _, count := range report.Counts {
		runner, known := w.Runners.Runner(count.Runner)
		if known && !w.owns(runner) {
			shares = append(shares, demand.Share{
				Runner: runner.ID, Others: w.demand.Online(runner.ID, report.Node, now), Batch: w.batchRunsAt(runner.ID, now),
			})
		}
	}
	return shares
}
