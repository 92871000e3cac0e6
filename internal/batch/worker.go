// Package batch runs the items of batch jobs on the runners that this node owns. A Worker leases items from the job store,
// starts them on runners within the credits that online work leaves free, preempts them when online work needs the slots,
// retries failed runs, and commits results in groups. It renews its leases and releases items that it cannot run.
// Items that a failed worker does not release are leased to another worker by the job store when the lease expires.
package batch

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/credit"
	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
)

// Owned is a runner this node may send batch work to, under the epoch of its claim.
type Owned struct {
	Runner ident.Runner
	Epoch  uint64
}

// Ownership provides the runners that this node owns.
type Ownership interface {
	// Owned returns the runners owned now. A claim that cannot be renewed is no longer returned.
	Owned() []Owned
}

// OrderPolicy orders waiting jobs, most urgent first. It may omit jobs that must wait.
type OrderPolicy func(now time.Time, waiting []job.Priority) []job.Priority

// Config contains the dependencies and settings of a Worker.
type Config struct {
	// Node is the name of this node, used as the worker's name in leases.
	Node ident.Node
	// Table, Engines and Catalog are those of the dispatcher.
	Table   *dispatch.Table
	Engines dispatch.Engines
	Catalog catalog.Source
	// Ownership provides the runners to use.
	Ownership Ownership
	// Work is the job store.
	Work job.Work
	// Order orders waiting jobs; nil means DefaultOrder.
	Order OrderPolicy
	// Now is the clock; nil means time.Now. It must be monotonic.
	Now func() time.Time
	// Tick is the interval between periodic credit checks; zero means defaultTick.
	Tick time.Duration
	// ShareBesideOnline bounds the share of a runner's sequences that batch uses while the runner serves online
	// work; zero means 1.
	ShareBesideOnline float64
	// Logger receives the worker's events.
	Logger zerolog.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// defaultTick is the default interval between credit checks without a change of online work.
const defaultTick = 20 * time.Millisecond

// Worker runs batch items. Start must be called at most once.
type Worker struct {
	config  Config
	metrics *metrics
	tomb    tomb.Tomb
	// wake requests an immediate check of the credits.
	wake chan struct{}
	// events contains functions that other goroutines post to the loop, which owns all fields below tenants.
	events chan func()
	// tenants counts the running items for policies, which may read it from another goroutine.
	tenants tenantCounter

	registry *leaseRegistry
	runners  map[ident.Runner]*runnerState
	feeder   feeder
	commits  map[*heldLease]*commit
	renewAt  time.Time
	// strandedAt is the time of the next check for items that no owned runner can run.
	strandedAt time.Time
	stopping   bool
	// launched counts the runs started.
	launched uint64
	// prefillTimer fires when a controller may allow prefill; prefillCheckAt is that time, or zero if the timer is not set.
	prefillTimer   *time.Timer
	prefillCheckAt time.Time
	// slotTimeSince is the time of the last loop iteration, from which slot time is counted.
	slotTimeSince time.Time
}

// runnerState is the worker's state of a runner.
type runnerState struct {
	epoch      uint64
	owned      bool
	controller *credit.Controller
	running    map[*execution]struct{}
	// steps detects the engine's steps from the tokens of the runs.
	steps stepDetector
	// granted contains the most recent credits.
	granted credit.Credits
	// prefill counts the prompt tokens of runs that have produced no token yet.
	prefill int
	// pausedUntil is the end of the pause after a refusal or failure.
	pausedUntil time.Time
	// use is the use of the sequences at the end of the last loop iteration.
	use slotUse
	// fencedEpoch is an epoch the engine refused as stale; nothing is sent under it again.
	fencedEpoch uint64
	// servedAt is when the runner last had a run past its prefill.
	servedAt time.Time
}

// New returns a worker that is idle until Start is called.
func New(config Config) *Worker {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Tick <= 0 {
		config.Tick = defaultTick
	}
	if config.Order == nil {
		config.Order = DefaultOrder
	}
	worker := &Worker{
		config:       config,
		metrics:      newMetrics(config.Registerer),
		wake:         make(chan struct{}, 1),
		prefillTimer: time.NewTimer(config.Tick),
		events:       make(chan func(), eventQueue),
		registry:     newLeaseRegistry(),
		runners:      map[ident.Runner]*runnerState{},
		commits:      map[*heldLease]*commit{},
	}
	config.Table.OnOnlineRise(func(ident.Runner) { worker.Wake() })
	return worker
}

// eventQueue is the capacity of the event channel; senders block when it is full.
const eventQueue = 256

// Wake makes the worker check its credits immediately. It does not block.
func (w *Worker) Wake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Start starts the worker's loop.
func (w *Worker) Start() { w.tomb.Go(w.loop) }

// Drain stops leasing and starting items, releases the queued ones, and waits until the running ones have ended and are
// committed, or ctx is done.
func (w *Worker) Drain(ctx context.Context) error {
	w.post(func() { w.stopping = true })
	for {
		idle := make(chan bool, 1)
		w.post(func() { idle <- len(w.registry.leases) == 0 })
		select {
		case empty := <-idle:
			if empty {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-w.tomb.Dead():
			return nil
		}
		select {
		case <-time.After(w.config.Tick):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Stop aborts the running items and stops the worker. Its leases are left to expire.
func (w *Worker) Stop() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// post sends a function to the loop; it is dropped once the worker is stopping.
func (w *Worker) post(step func()) {
	select {
	case w.events <- step:
	case <-w.tomb.Dying():
	}
}

// loop owns the worker's state. Other goroutines change it only by posting events.
func (w *Worker) loop() error {
	period := w.tickPeriod()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	defer w.prefillTimer.Stop()
	for {
		select {
		case <-w.tomb.Dying():
			w.cancelAll(errStopping)
			return nil
		case step := <-w.events:
			step()
			w.drainEvents()
		case <-w.wake:
		case <-w.prefillTimer.C:
			w.prefillCheckAt = time.Time{}
		case <-ticker.C:
		}
		w.runCycle(w.config.Now())
		if wanted := w.tickPeriod(); wanted != period {
			period = wanted
			ticker.Reset(period)
		}
	}
}

// idleTicks is the number of ticks between checks of a worker without work.
const idleTicks = 10

// tickPeriod returns the interval between periodic checks. Without a lease there is nothing to preempt, renew or commit,
// and waiting jobs may be found a little later. The ticker itself is slowed down, since on an idle node a wake-up costs
// more than the check.
func (w *Worker) tickPeriod() time.Duration {
	if len(w.registry.leases) > 0 || len(w.commits) > 0 || w.stopping {
		return w.config.Tick
	}
	return idleTicks * w.config.Tick
}

// drainEvents runs the events that are already buffered, so that one loop iteration handles them all.
func (w *Worker) drainEvents() {
	for range eventQueue {
		select {
		case step := <-w.events:
			step()
		default:
			return
		}
	}
}

// runCycle runs one iteration of the worker loop. Preemption precedes all other work on items because online callers wait for it.
func (w *Worker) runCycle(now time.Time) {
	w.countSlotTime(now)
	w.readOwnership()
	grants := w.grants(now)
	w.preempt(grants)
	w.expire(now)
	if w.stopping {
		w.releaseQueued(func(*item) bool { return true })
	} else {
		w.releaseStranded(now)
		w.startItems(grants, now)
		w.feed(now)
	}
	w.renew(now)
	w.commitDue(now)
}

// expire cancels the runs of expired leases.
func (w *Worker) expire(now time.Time) {
	for _, held := range w.registry.expire(now) {
		w.cancelLease(held)
	}
}

func (w *Worker) cancelLease(held *heldLease) {
	w.metrics.leaseLost()
	event.BatchLeaseLost.Log(w.config.Logger).Str("job", string(held.lease.Job)).Str("lease", held.lease.ID).Send()
	delete(w.commits, held)
	for _, state := range w.runners {
		for running := range state.running {
			if running.item.lease == held {
				running.cancel(errLeaseLost)
			}
		}
	}
}

func (w *Worker) cancelAll(cause error) {
	for _, state := range w.runners {
		for running := range state.running {
			running.cancel(cause)
		}
	}
}

// suits reports whether the runner has the model of the request loaded, by its last report.
func suits(view *dispatch.RunnerView, request *inference.Request) bool {
	return view.HasModel(request.Model, request.Adapter)
}
