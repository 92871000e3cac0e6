package batch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
)

const (
	// waitingLimit bounds the waiting jobs that one call to the job store returns.
	waitingLimit = 16
	// waitingMaxAge is how long a list of waiting jobs is used before it is fetched again.
	waitingMaxAge = time.Second
	// emptyPause and maxEmptyPause are the first and the longest delay after a list without jobs.
	emptyPause    = 50 * time.Millisecond
	maxEmptyPause = time.Second
	// maxLeaseItems bounds the items of one lease.
	maxLeaseItems = 512
	// leaseTimeout bounds one call to the job store other than a commit.
	leaseTimeout = 5 * time.Second
	// prefetchPerSequence is the number of items prefetched per sequence that the node may fill.
	prefetchPerSequence = 0.5
	// minPrefetch is the minimum number of items prefetched.
	minPrefetch = 16
)

// feeder leases items before credits become free, so that no runner is idle while a lease is fetched.
type feeder struct {
	busy     bool
	list     []job.Priority
	listed   time.Time
	pauseFor time.Duration
	// resumeAt is the end of the delay after a list without jobs, a failed call or a release of stranded items.
	resumeAt time.Time
}

// DefaultOrder sorts jobs by deadline, then by creation time.
func DefaultOrder(_ time.Time, waiting []job.Priority) []job.Priority {
	slices.SortStableFunc(waiting, func(a, b job.Priority) int {
		if order := a.Deadline.Compare(b.Deadline); order != 0 {
			return order
		}
		return cmp.Or(a.Created.Compare(b.Created), cmp.Compare(a.Job, b.Job))
	})
	return waiting
}

// feed leases more items if the queue runs low.
func (w *Worker) feed(now time.Time) {
	wanted := w.wanted() - w.registry.queued()
	if w.feeder.busy || wanted <= 0 || now.Before(w.feeder.resumeAt) {
		return
	}
	services := w.services(now)
	if len(services) == 0 {
		return
	}
	w.feeder.busy = true
	if len(w.feeder.list) == 0 || now.Sub(w.feeder.listed) > waitingMaxAge {
		w.callStore(func(ctx context.Context) { w.fetchWaiting(ctx) })
		return
	}
	next := w.feeder.list[0]
	request := job.LeaseRequest{Worker: w.config.Node, Services: services, Max: min(wanted, maxLeaseItems)}
	w.callStore(func(ctx context.Context) { w.fetchLease(ctx, next, request) })
}

// wanted returns the target length of the queue: enough items to fill the free credits, plus a share to replace runs that
// end while a lease is fetched.
func (w *Worker) wanted() int {
	free, used := 0, 0
	for _, state := range w.runners {
		if !state.owned {
			continue
		}
		used += len(state.running)
		free += max(0, state.granted.MaxWhenStarting-len(state.running))
	}
	if free+used == 0 {
		return 0
	}
	return free + max(minPrefetch, int(prefetchPerSequence*float64(free+used)))
}

// services returns the sorted names of the services whose model is loaded on a usable runner.
func (w *Worker) services(now time.Time) []string {
	var services []string
	for name, service := range w.config.Catalog.Current().Services {
		if w.anyHolds(service.Model, service.Adapter, now) {
			services = append(services, name)
		}
	}
	slices.Sort(services)
	return services
}

// callStore runs a call to the job store with a timeout outside the worker's loop.
func (w *Worker) callStore(call func(ctx context.Context)) {
	w.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(w.tomb.Context(context.Background()), leaseTimeout)
		defer cancel()
		call(ctx)
		return nil
	})
}

func (w *Worker) fetchWaiting(ctx context.Context) {
	waiting, err := w.config.Work.Waiting(ctx, waitingLimit)
	w.post(func() {
		w.feeder.busy = false
		now := w.config.Now()
		if err != nil {
			w.metrics.storeFailed()
			w.feeder.pause(now)
			return
		}
		services := w.services(now)
		servable := slices.DeleteFunc(waiting, func(waiting job.Priority) bool {
			return waiting.Service != "" && !slices.Contains(services, waiting.Service)
		})
		w.feeder.list = w.config.Order(now, servable)
		w.feeder.listed = now
		if len(w.feeder.list) == 0 {
			w.feeder.pause(now)
		}
	})
}

// pause delays the next call to the job store, doubling the delay each time up to maxEmptyPause.
func (f *feeder) pause(now time.Time) {
	f.pauseFor = min(maxEmptyPause, max(emptyPause, 2*f.pauseFor))
	f.resumeAt = now.Add(f.pauseFor)
}

func (w *Worker) fetchLease(ctx context.Context, from job.Priority, request job.LeaseRequest) {
	// The lease time counts from before the request is sent, so that the lease never expires later here than at the store.
	sent := w.config.Now()
	lease, err := w.config.Work.Lease(ctx, from.Shard, from.Job, request)
	w.post(func() {
		w.feeder.busy = false
		if err != nil {
			w.metrics.storeFailed()
			w.feeder.drop(from.Job)
			w.feeder.pause(w.config.Now())
			return
		}
		if len(lease.Items) < request.Max {
			w.feeder.drop(from.Job)
		}
		if len(lease.Items) > 0 {
			w.feeder.pauseFor = 0
			w.accept(lease, sent)
		}
	})
}

// drop removes a job from the list.
func (f *feeder) drop(finished ident.Job) {
	f.list = slices.DeleteFunc(f.list, func(listed job.Priority) bool { return listed.Job == finished })
}

// accept adds a lease. Items that cannot be resolved against the configuration fail immediately, each with its own error.
func (w *Worker) accept(lease job.Lease, sent time.Time) {
	configuration := w.config.Catalog.Current()
	requests := make([]*inference.Request, len(lease.Items))
	held := w.registry.add(lease, sent, requests)
	w.metrics.leased(len(lease.Items))
	for index, added := range held.items {
		request, failed := newRequest(&lease.Items[index], lease.ID, configuration, sent)
		if failed != nil {
			w.registry.withdraw(added)
			w.fail(added, failed)
			continue
		}
		added.request = request
	}
}
