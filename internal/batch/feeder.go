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
	// waitingLimit bounds the jobs one look at a shard returns.
	waitingLimit = 16
	// waitingAge is how long a list of waiting jobs is used.
	waitingAge = time.Second
	// emptyPause and longestEmptyPause are the first and the longest wait after a list without jobs.
	emptyPause        = 50 * time.Millisecond
	longestEmptyPause = time.Second
	// largestLease bounds the items of one lease.
	largestLease = 512
	// leaseTimeout bounds one call of the job store.
	leaseTimeout = 5 * time.Second
	// prefetchShare is how many items are kept ready for each sequence the node may fill.
	prefetchShare = 0.5
	// leastPrefetch is the least number of items kept ready.
	leastPrefetch = 16
)

// feeder keeps the queue filled ahead of the credits, so that no runner waits for a lease.
type feeder struct {
	busy     bool
	list     []job.Priority
	listed   time.Time
	pauseFor time.Duration
	// resumeAt is the end of the wait after a list without jobs.
	resumeAt time.Time
}

// DefaultOrder puts jobs that are due first, then the oldest.
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
	wanted := w.wanted() - w.book.queued()
	if w.feeder.busy || wanted <= 0 || now.Before(w.feeder.resumeAt) {
		return
	}
	services := w.services(now)
	if len(services) == 0 {
		return
	}
	w.feeder.busy = true
	if len(w.feeder.list) == 0 || now.Sub(w.feeder.listed) > waitingAge {
		w.background(func(ctx context.Context) { w.fetchWaiting(ctx) })
		return
	}
	next := w.feeder.list[0]
	request := job.LeaseRequest{Worker: w.config.Node, Services: services, Max: min(wanted, largestLease)}
	w.background(func(ctx context.Context) { w.fetchLease(ctx, next, request) })
}

// wanted returns how many items to have in the queue: enough to fill the credits once, and a part for what ends while
// a lease is fetched.
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
	return free + max(leastPrefetch, int(prefetchShare*float64(free+used)))
}

// services lists the services whose model a usable runner holds.
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

// background runs one bounded call of the job store outside the loop.
func (w *Worker) background(call func(ctx context.Context)) {
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

// pause waits longer each time nothing was found.
func (f *feeder) pause(now time.Time) {
	f.pauseFor = min(longestEmptyPause, max(emptyPause, 2*f.pauseFor))
	f.resumeAt = now.Add(f.pauseFor)
}

func (w *Worker) fetchLease(ctx context.Context, from job.Priority, request job.LeaseRequest) {
	// The lease's time runs from before the request was sent, so that it never ends later here than at the store.
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

// drop takes a job without further items off the list.
func (f *feeder) drop(gone ident.Job) {
	f.list = slices.DeleteFunc(f.list, func(listed job.Priority) bool { return listed.Job == gone })
}

// accept books a lease. Items that cannot be resolved end at once with an error of their own.
func (w *Worker) accept(lease job.Lease, sent time.Time) {
	configuration := w.config.Catalog.Current()
	requests := make([]*inference.Request, len(lease.Items))
	held := w.book.add(lease, sent, requests)
	w.metrics.leased(len(lease.Items))
	for index, added := range held.items {
		request, failed := newRequest(&lease.Items[index], lease.ID, configuration, sent)
		if failed != nil {
			w.book.withdraw(added)
			w.fail(added, failed)
			continue
		}
		added.request = request
	}
}
