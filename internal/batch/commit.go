package batch

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
)

const (
	// commitCount is the number of results that are committed without waiting for more.
	commitCount = 256
	// commitDelay is how long the first result of a group waits for others.
	commitDelay = 50 * time.Millisecond
	// commitTimeout bounds one commit.
	commitTimeout = 5 * time.Second
	// commitRetry is the wait after a commit that failed.
	commitRetry = 250 * time.Millisecond
	// renewShare is the part of the lease time after which leases are renewed.
	renewShare = 3
	// leastRenew is the shortest time between renewals.
	leastRenew = 50 * time.Millisecond
)

// commit gathers the results of one lease.
type commit struct {
	results []job.Result
	// due is when the group is committed at the latest.
	due  time.Time
	busy bool
}

// result adds a result to its lease's group.
func (w *Worker) result(ended *item, result job.Result) {
	w.book.end(ended)
	if ended.lease.lost {
		return
	}
	group, known := w.commits[ended.lease]
	if !known {
		group = &commit{}
		w.commits[ended.lease] = group
	}
	if len(group.results) == 0 {
		group.due = w.config.Now().Add(commitDelay)
	}
	group.results = append(group.results, result)
}

// commitDue commits the groups that are full, due, or the last of their lease.
func (w *Worker) commitDue(now time.Time) {
	for held, group := range w.commits {
		waiting := len(group.results)
		if group.busy || waiting == 0 {
			continue
		}
		if waiting < commitCount && waiting < held.unfinished && now.Before(group.due) {
			continue
		}
		w.commitGroup(held, group)
	}
}

func (w *Worker) commitGroup(held *heldLease, group *commit) {
	results := group.results
	group.results = nil
	group.busy = true
	w.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), commitTimeout)
		defer cancel()
		err := w.config.Work.Complete(ctx, held.lease, results)
		w.post(func() { w.committed(held, group, results, err) })
		return nil
	})
}

// committed takes the answer to a commit. A failed one is repeated: committing a result twice does no harm, since the
// first wins.
func (w *Worker) committed(held *heldLease, group *commit, results []job.Result, err error) {
	group.busy = false
	if held.lost {
		return
	}
	if err != nil {
		w.metrics.storeFailed()
		event.BatchCommitFailed.Log(w.config.Logger).Err(err).Str("job", string(held.lease.Job)).Int("results", len(results)).Send()
		group.results = append(results, group.results...)
		group.due = w.config.Now().Add(commitRetry)
		return
	}
	w.book.settle(held, len(results))
	if held.unfinished <= 0 {
		delete(w.commits, held)
	}
}

// renew extends all leases once a third of the shortest lease time has passed.
func (w *Worker) renew(now time.Time) {
	if now.Before(w.renewAt) || len(w.book.leases) == 0 {
		return
	}
	w.renewAt = now.Add(w.renewEvery())
	for shard, leases := range w.book.byShard() {
		w.tomb.Go(func() error {
			w.renewShard(shard, leases)
			return nil
		})
	}
}

func (w *Worker) renewEvery() time.Duration {
	shortest := time.Duration(0)
	for _, held := range w.book.leases {
		if shortest == 0 || held.lease.TTL < shortest {
			shortest = held.lease.TTL
		}
	}
	return max(leastRenew, shortest/renewShare)
}

func (w *Worker) renewShard(shard ident.Shard, leases []string) {
	sent := w.config.Now()
	ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), leaseTimeout)
	defer cancel()
	lost, err := w.config.Work.Renew(ctx, shard, w.config.Node, leases)
	w.post(func() {
		if err != nil {
			w.metrics.storeFailed()
			return
		}
		for _, ended := range w.book.renewed(leases, lost, sent) {
			w.cancelLease(ended)
		}
	})
}
