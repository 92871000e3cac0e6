package batch

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
)

const (
	// commitCount is the number of results at which a group is committed immediately.
	commitCount = 256
	// commitDelay is the longest time that the first result of a group waits for more results.
	commitDelay = 50 * time.Millisecond
	// commitTimeout bounds one commit call to the job store.
	commitTimeout = 5 * time.Second
	// commitRetry is the delay before a failed commit or release is retried.
	commitRetry = 250 * time.Millisecond
	// renewDivisor divides the shortest lease time to give the renewal interval.
	renewDivisor = 3
	// minRenewInterval is the lower bound of the renewal interval.
	minRenewInterval = 50 * time.Millisecond
)

// commit collects the uncommitted results of one lease.
type commit struct {
	results []job.Result
	// due is the latest time at which the group is committed.
	due  time.Time
	busy bool
}

// addResult adds a result to the group of its lease. Results of a lost lease are dropped.
func (w *Worker) addResult(ended *item, result job.Result) {
	w.registry.end(ended)
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

// commitDue commits the groups that are full, due, or contain all remaining results of their lease.
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

// committed handles the response to a commit. A failed commit is retried: committing a result twice is safe because the
// store retains the first one.
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
	w.registry.markFinished(held, len(results))
	if held.unfinished <= 0 {
		delete(w.commits, held)
	}
}

// renew renews all leases, one call per shard, when a third of the shortest lease time has passed since the last renewal.
func (w *Worker) renew(now time.Time) {
	if now.Before(w.renewAt) || len(w.registry.leases) == 0 {
		return
	}
	w.renewAt = now.Add(w.renewEvery())
	for shard, leases := range w.registry.byShard() {
		w.tomb.Go(func() error {
			w.renewShard(shard, leases)
			return nil
		})
	}
}

func (w *Worker) renewEvery() time.Duration {
	shortest := time.Duration(0)
	for _, held := range w.registry.leases {
		if shortest == 0 || held.lease.TTL < shortest {
			shortest = held.lease.TTL
		}
	}
	return max(minRenewInterval, shortest/renewDivisor)
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
		for _, ended := range w.registry.renewed(leases, lost, sent) {
			w.cancelLease(ended)
		}
	})
}
