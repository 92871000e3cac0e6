package jobpeer

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
)

// oldestLearned is how old a worker's reading of the registry may be for its list of the workers to be taken over: one
// that is cut off from the store does not see who comes and goes.
const oldestLearned = 3 * time.Second

// WorkerFeed asks a near worker for what it read of the registry, and learns from it which workers there are. It
// implements follower.Source.
type WorkerFeed struct {
	Holders *Holders
	// Index chooses among the near workers, so that nodes spread over them.
	Index uint64
	// failed counts the questions in vain, so that another seed is asked next; turn counts the workers that were passed over.
	failed, turn uint64
	// passing is since when the last workers were passed over for what they told, passed how many.
	passing time.Time
	passed  int
	// workers are those that were told last, print is their print.
	workers []fleetfeed.Worker
	print   uint64
}

// mostPassed is how many workers are passed over each avoidFor. While the store is away from all, each tells what is old, the whole list
// each time. The next one may be the one that the store turns away, or be about to hear of it.
const mostPassed = 2

// PassOver implements follower.Passing.
func (w *WorkerFeed) PassOver() {
	if now := w.Holders.Now(); now.Sub(w.passing) >= avoidFor {
		w.passing, w.passed = now, 0
	}
	if w.passed < mostPassed {
		w.passed++
		w.turn++
	}
}

// Next implements follower.Source.
func (w *WorkerFeed) Next(ctx context.Context, known *fleetfeed.Known) (*fleetfeed.Snapshot, error) {
	address, connection, err := w.Holders.Nearest(ctx, w.Index+w.failed+w.turn)
	if err != nil {
		w.failed++
		return nil, err
	}
	sent := w.Holders.Now()
	known.WorkersPrint = w.print
	snapshot, err := fleetfeed.Ask(ctx, connection, known)
	if err != nil {
		w.failed++
		w.Holders.avoid(address)
		return nil, err
	}
	w.failed = 0
	w.Holders.Heard.Answered()
	// A worker that reads the registry also follows the other workers, and told of them no earlier than this, however long its
	// answer lay unread.
	told := sent.Add(time.Duration(snapshot.HeldMs) * time.Millisecond)
	read := told.Add(-time.Duration(snapshot.RunnersAgeMs) * time.Millisecond)
	if workers := w.toldWorkers(snapshot); len(workers) > 0 && w.Holders.Now().Sub(read) < oldestLearned {
		w.Holders.Learn(workersOf(workers), told)
	}
	return snapshot, nil
}

// toldWorkers returns the workers of a snapshot. One without them that has the print of those told last means these.
func (w *WorkerFeed) toldWorkers(snapshot *fleetfeed.Snapshot) []fleetfeed.Worker {
	if len(snapshot.Workers) > 0 || snapshot.WorkersPrint == 0 || snapshot.WorkersPrint != w.print {
		w.workers, w.print = snapshot.Workers, snapshot.WorkersPrint
	}
	return w.workers
}

func workersOf(told []fleetfeed.Worker) []jobrecord.Worker {
	workers := make([]jobrecord.Worker, 0, len(told))
	for _, worker := range told {
		workers = append(workers, jobrecord.Worker{Node: worker.Node, Zone: worker.Zone, Address: worker.Address})
	}
	return workers
}

// FeedWorkers returns the workers that a worker knows, for its feed.
func FeedWorkers(worker *jobworker.Worker) func() []fleetfeed.Worker {
	return func() []fleetfeed.Worker {
		var workers []fleetfeed.Worker
		for _, registered := range worker.Registered() {
			workers = append(workers, fleetfeed.Worker{Node: registered.Node, Zone: registered.Zone, Address: registered.Address})
		}
		return workers
	}
}
