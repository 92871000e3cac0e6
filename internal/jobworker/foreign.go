package jobworker

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
)

// foreign lists the work at runners that a node tells of and that this one does not own: their nodes do not agree who does while workers
// come and go, and what nodes told here is known to nobody else. A worker that has just started with all others tells nothing of them:
// their runners may be busy with runs of nodes that are gone. The caller holds the mutex.
func (w *Worker) foreign(report *demand.Report, now time.Time) []demand.Share {
	if w.loss.watch.Settling(now) {
		return nil
	}
	var shares []demand.Share
	for _, count := range report.Counts {
		runner, known := w.Runners.Runner(count.Runner)
		if known && !w.owns(runner) {
			shares = append(shares, demand.Share{
				Runner: runner.ID, Others: w.demand.Online(runner.ID, report.Node, now), Batch: w.batchAt(runner.ID, now),
			})
		}
	}
	return shares
}
