// Package batch runs the items of batch jobs on the runners this node owns. It leases items from the job store, starts
// them within the credits of each runner, preempts them the moment online work needs the room, and commits results in
// groups. Whatever it loses track of, the job store gives to another worker once the lease has run out.
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

// Ownership tells which runners this node owns.
type Ownership interface {
	// Owned returns the runners owned now. A claim that can't be renewed is not returned any more.
	Owned() []Owned
}

// OrderPolicy orders waiting jobs, most urgent first. It may drop jobs that have to wait.
type OrderPolicy func(now time.Time, waiting []job.Priority) []job.Priority

// Config is what a Worker needs.
type Config struct {
	// Node is this node's own name, as the worker's name in leases.
	Node ident.Node
	// Table, Engines and Catalog are those of the dispatcher.
	Table   *dispatch.Table
	Engines dispatch.Engines
	Catalog catalog.Source
	// Ownership tells the runners to use.
	Ownership Ownership
	// Work is the job store.
	Work job.Work
	// Order orders waiting jobs; nil means DefaultOrder.
	Order OrderPolicy
	// Now is the clock; nil means time.Now. It must be monotonic.
	Now func() time.Time
	// Tick is the time between looks at the credits without a cause; zero means defaultTick.
	Tick time.Duration
	// ShareBesideOnline bounds the share of a runner's sequences that batch fills while online work is on it; zero means 1.
	ShareBesideOnline float64
	// Logger gets the node's events.
	Logger zerolog.Logger
	// Registerer gets the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// defaultTick is how often credits are looked at again without a change of online work.
const defaultTick = 20 * time.Millisecond

// Worker runs batch items. Start it once; Stop ends it.
type Worker struct {
	config  Config
	metrics *metrics
	tomb    tomb.Tomb
	// wake asks for a look at the credits at once.
	wake chan struct{}
	// events carries what goroutines have to tell the loop, which owns everything below.
	events chan func()
	// draining is closed by Drain.
	draining chan struct{}
	// tenants counts what runs, for the policies, which may ask from another goroutine.
	tenants tenantCounter

	book    *leaseBook
	runners map[ident.Runner]*runnerState
	feeder  feeder
	commits map[*heldLease]*commit
	renewAt time.Time
	// strandedAt is the time of the next look for items that no owned runner can run.
	strandedAt time.Time
	stopping   bool
	// launched numbers the runs.
	launched uint64
	// look fires when a controller may allow prefill; lookAt is when, or zero.
	look   *time.Timer
	lookAt time.Time
	// usedSince is the time of the last turn, which slot times are counted from.
	usedSince time.Time
}

// runnerState is a runner as the worker uses it.
type runnerState struct {
	epoch      uint64
	owned      bool
	controller *credit.Controller
	running    map[*execution]struct{}
	// steps notices the engine's steps by the tokens of the runs.
	steps stepWatch
	// granted are the last credits.
	granted credit.Credits
	// prefill counts the prompt tokens of runs that have given no token yet.
	prefill int
	// pausedUntil is the end of a pause after a refusal.
	pausedUntil time.Time
	// use is what the last turn left the sequences in.
	use slotUse
	// fencedEpoch is an epoch the engine refused as stale; nothing is sent under it again.
	fencedEpoch uint64
	// servedAt is when a run that had begun was last seen there.
	servedAt time.Time
}

// New returns a worker that does nothing until it is started.
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
		config:   config,
		metrics:  newMetrics(config.Registerer),
		wake:     make(chan struct{}, 1),
		look:     time.NewTimer(config.Tick),
		events:   make(chan func(), eventQueue),
		draining: make(chan struct{}),
		book:     newLeaseBook(),
		runners:  map[ident.Runner]*runnerState{},
		commits:  map[*heldLease]*commit{},
	}
	config.Table.OnOnlineRise(func(ident.Runner) { worker.Wake() })
	return worker
}

// eventQueue is how many events may wait for the loop before their senders do.
const eventQueue = 256

// Wake makes the worker look at its credits at once. It does not block.
func (w *Worker) Wake() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Start begins the work.
func (w *Worker) Start() { w.tomb.Go(w.loop) }

// Drain stops leasing and starting items, gives back those that do not run, and waits until the others have ended and
// are committed, or ctx is done.
func (w *Worker) Drain(ctx context.Context) error {
	w.post(func() {
		if !w.stopping {
			w.stopping = true
			close(w.draining)
		}
	})
	for {
		idle := make(chan bool, 1)
		w.post(func() { idle <- len(w.book.leases) == 0 })
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

// Stop aborts what runs and ends the worker. The leases run out by themselves.
func (w *Worker) Stop() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// post hands a step to the loop; it is dropped once the worker has stopped.
func (w *Worker) post(step func()) {
	select {
	case w.events <- step:
	case <-w.tomb.Dying():
	}
}

// loop owns the state. Everything else reaches it by events.
func (w *Worker) loop() error {
	period := w.tickPeriod()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	defer w.look.Stop()
	for {
		select {
		case <-w.tomb.Dying():
			w.cancelAll(errStopping)
			return nil
		case step := <-w.events:
			step()
			w.drainEvents()
		case <-w.wake:
		case <-w.look.C:
			w.lookAt = time.Time{}
		case <-ticker.C:
		}
		w.turn(w.config.Now())
		if wanted := w.tickPeriod(); wanted != period {
			period = wanted
			ticker.Reset(period)
		}
	}
}

// restTicks is how many ticks a worker without work lets pass between two looks.
const restTicks = 10

// tickPeriod is the time to the next look. Without a lease there is nothing to preempt, renew or commit, and waiting work
// may be found a little later: the ticker itself is slowed, since each wake-up costs an idle node more than the look.
func (w *Worker) tickPeriod() time.Duration {
	if len(w.book.leases) > 0 || len(w.commits) > 0 || w.stopping {
		return w.config.Tick
	}
	return restTicks * w.config.Tick
}

// drainEvents takes the events that already wait, so that one turn serves them all.
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

// turn brings everything up to date. Preemption comes first: it is what a caller waits for.
func (w *Worker) turn(now time.Time) {
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

// expire ends the work of leases that ran out.
func (w *Worker) expire(now time.Time) {
	for _, held := range w.book.expire(now) {
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

// suits reports whether an item can run on a runner as it was last reported.
func suits(view *dispatch.RunnerView, request *inference.Request) bool {
	return view.HasModel(request.Model, request.Adapter)
}
