package jobpeer

import (
	"context"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/work"
)

// maxWorkerListAge is the maximum age of a worker's read of the registry for its worker list to be used: a worker that is
// partitioned from the store does not see workers register or leave.
const maxWorkerListAge = 3 * time.Second

// WorkerFeed polls a worker, preferably of this zone, for the state it read from the registry, and updates the list of workers
// from the answer. It implements follower.Source.
type WorkerFeed struct {
	Client *WorkerClient
	// Index selects the worker to poll, so that nodes spread over the workers.
	Index uint64
	// failed counts consecutive failed calls, so that each retry goes to the next worker or seed. passedOver counts the workers that
	// were passed over.
	failed, passedOver uint64
	// passWindow is the start of the current window for passing workers over, passedInWindow the number passed over in it.
	passWindow     time.Time
	passedInWindow int
	// workers is the most recently received list, workersFingerprint its fingerprint.
	workers            []fleetfeed.Worker
	workersFingerprint uint64
}

// maxPassedOver is how many workers may be passed over per skipDuration. During an outage of the store for all nodes every worker
// answers with stale state, and a newly polled worker sends the whole list. Two are allowed because the next worker may be the
// one that the store refuses, or may be about to receive the update.
const maxPassedOver = 2

// SwitchNode implements follower.SwitchableSource.
func (w *WorkerFeed) SwitchNode() {
	if now := w.Client.Now(); now.Sub(w.passWindow) >= skipDuration {
		w.passWindow, w.passedInWindow = now, 0
	}
	if w.passedInWindow < maxPassedOver {
		w.passedInWindow++
		w.passedOver++
	}
}

// Next implements follower.Source.
func (w *WorkerFeed) Next(ctx context.Context, known *fleetfeed.SnapshotRequest) (*fleetfeed.Snapshot, error) {
	w.Client.readWorkers(ctx)
	if w.Client.lacksStartWorkers() {
		if err := w.Client.fetchStartWorkers(ctx, w.index()); err != nil {
			w.failed++
			return nil, err
		}
	}
	address, connection, err := w.Client.Nearest(ctx, w.index())
	if err != nil {
		w.failed++
		return nil, err
	}
	sent := w.Client.Now()
	known.WorkersFingerprint = w.workersFingerprint
	snapshot, err := fleetfeed.FetchSnapshot(ctx, connection, known)
	if err != nil {
		w.failed++
		w.Client.skip(address)
		w.Client.forgetStartWorkers()
		return nil, err
	}
	w.failed = 0
	w.Client.recordAnswer()
	w.Client.Reach.Answered()
	// The polled worker follows the other workers itself. Its list is no older than this time, even if the answer was read
	// late.
	answeredAt := sent.Add(time.Duration(snapshot.HeldMs) * time.Millisecond)
	read := answeredAt.Add(-time.Duration(snapshot.RunnersAgeMs) * time.Millisecond)
	if workers := w.snapshotWorkers(snapshot); len(workers) > 0 && w.Client.Now().Sub(read) < maxWorkerListAge {
		w.Client.UpdateWorkers(workersOf(workers), answeredAt)
	} else {
		w.Client.seedAnswered()
	}
	return snapshot, nil
}

// index selects the worker or seed to ask next.
func (w *WorkerFeed) index() uint64 { return w.Index + w.failed + w.passedOver }

// snapshotWorkers returns the workers of a snapshot. A snapshot without workers but with the fingerprint of the previous list
// stands for that list.
func (w *WorkerFeed) snapshotWorkers(snapshot *fleetfeed.Snapshot) []fleetfeed.Worker {
	if len(snapshot.Workers) > 0 || snapshot.WorkersFingerprint == 0 || snapshot.WorkersFingerprint != w.workersFingerprint {
		w.workers, w.workersFingerprint = snapshot.Workers, snapshot.WorkersFingerprint
	}
	return w.workers
}

func workersOf(listed []fleetfeed.Worker) []jobrecord.Worker {
	workers := make([]jobrecord.Worker, 0, len(listed))
	for _, worker := range listed {
		workers = append(workers, jobrecord.Worker{Node: worker.Node, Zone: worker.Zone, Address: worker.Address})
	}
	return workers
}

// FeedWorkers returns a function that lists the workers known to a worker, for its feed. It returns the same list until they change.
func FeedWorkers(worker *jobworker.Worker) func() []fleetfeed.Worker {
	var mutex sync.Mutex
	var listed []jobrecord.Worker
	var named []fleetfeed.Worker
	return func() []fleetfeed.Worker {
		registered := worker.Registered()
		mutex.Lock()
		defer mutex.Unlock()
		if work.SameList(listed, registered) {
			return named
		}
		listed, named = registered, make([]fleetfeed.Worker, 0, len(registered))
		for _, registered := range registered {
			named = append(named, fleetfeed.Worker{Node: registered.Node, Zone: registered.Zone, Address: registered.Address})
		}
		return named
	}
}
