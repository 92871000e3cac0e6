// Package jobworker runs the items of batch jobs. Each job is run by the one node that holds its claim; the claim goes
// with the node's lease, so that another node goes on where a dead or frozen one stopped.
package jobworker

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/batchroom"
	"mallowlatch.example/mallowlatch/internal/changefeed"
	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/endwatch"
	"mallowlatch.example/mallowlatch/internal/fairshare"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/queueroom"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Options shape a worker.
type Options struct {
	// LeaseTTL is how long the claims of a silent node live; they are renewed each third of it.
	LeaseTTL time.Duration
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration
	// WatchWait is how long one call waits for changes of the open jobs, at the store or at the worker that reads for the others;
	// it bounds how late the end of a job is seen.
	WatchWait time.Duration
	// WatchPause is the pause between two calls of the store for them, so that changes in quick succession cost one call.
	WatchPause time.Duration
	// RetryAfter is the pause after a failed call of the store.
	RetryAfter time.Duration
	// ClaimStep is how long a job is left to each worker whose turn comes before this one's, beside what a busy node
	// leaves it to idler ones. It is longer than a claim takes to be seen by the others.
	ClaimStep time.Duration
	// OutageAfter is how long the lease could not be renewed for it to count as an outage, in which leases may run out though
	// their holders live.
	OutageAfter time.Duration
	// HolderGrace is how long a claim that went in an outage is left to its former holder.
	HolderGrace time.Duration
	// RecordDelay is how long results wait for others of their job, so that they cost one call together.
	RecordDelay time.Duration
	// DispatchEvery is the time between two rounds of giving out items.
	DispatchEvery time.Duration
	// ReportEvery is the time between two reports read from a runner in use.
	ReportEvery time.Duration
	// StallAfter is how long a run may show no event before another runner goes on with it.
	StallAfter time.Duration
	// ReleaseAfter is how long a job may rest here, with nothing of it running and nothing recorded, before it is left to
	// another worker.
	ReleaseAfter time.Duration
	// MirrorEvery is the time between two sendings of output to its second place: what a worker's end costs at most.
	MirrorEvery time.Duration
	// BorrowEvery is the time between two rounds of asking other workers for places.
	BorrowEvery time.Duration
	// ExpirySweep is the time between removals of jobs whose retention is over.
	ExpirySweep time.Duration
}

// DefaultOptions suit items of some seconds that are due within some tens of seconds.
var DefaultOptions = Options{
	LeaseTTL:      3 * time.Second,
	CallTimeout:   time.Second,
	WatchWait:     1500 * time.Millisecond,
	WatchPause:    400 * time.Millisecond,
	RetryAfter:    200 * time.Millisecond,
	ClaimStep:     600 * time.Millisecond,
	OutageAfter:   time.Second,
	HolderGrace:   1500 * time.Millisecond,
	RecordDelay:   time.Second,
	DispatchEvery: 60 * time.Millisecond,
	ReportEvery:   200 * time.Millisecond,
	StallAfter:    2500 * time.Millisecond,
	ReleaseAfter:  5 * time.Second,
	MirrorEvery:   400 * time.Millisecond,
	BorrowEvery:   200 * time.Millisecond,
	ExpirySweep:   time.Minute,
}

// Worker runs jobs. Its exported fields are set before Start.
type Worker struct {
	Node ident.Node
	Zone ident.Zone
	// Address is where other nodes reach this one.
	Address string
	Records *jobrecord.Records
	Store   kv.Paged
	Runners *runnertable.Table
	Routes  *routetable.Table
	Caller  work.Caller
	// Ends finds out which items end the runners that run them; nil lets each run.
	Ends *endwatch.Watch
	// Key is what the prints of items are made with.
	Key     poison.Key
	Options Options
	// Handoff keeps jobs that the store did not take yet; nil keeps none.
	Handoff *handoff.Log
	// Mirrors carries the output of items to a second worker; nil keeps it here alone.
	Mirrors Mirrors
	// Lenders reaches the workers that lend places; nil uses the own runners alone.
	Lenders Lenders
	// Readers reaches the workers that read the open jobs for the others; nil has each read for itself.
	Readers Readers
	// Followed is told of each change of the open jobs and the workers once it is taken over; nil is told nothing. It must not block.
	Followed func()
	// Accounts reaches the workers that keep the accounts of waiting tokens; nil tells them nothing.
	Accounts Accounts
	// Tolerance is how many workers may be lost at once with their disks.
	Tolerance int
	// Seeds are addresses of workers that may be asked before any is known, SeedsFor how long that is tried after the start.
	Seeds    []string
	SeedsFor time.Duration
	// StartsAgain says that the deployment had started before this process did.
	StartsAgain bool
	// Budget bounds what the worker holds of jobs; nil bounds nothing.
	Budget *heldbytes.OfNode
	// Outputs keeps the output of other workers' items on this node's disk too; nil keeps it in memory alone.
	Outputs *progress.Journal
	// Registry is told when a worker is emptied.
	Registry work.Registry
	Logger   zerolog.Logger
	Now      func() time.Time

	tomb  *tomb.Tomb
	ctx   context.Context
	mutex sync.Mutex
	// started is when the worker was started.
	started time.Time
	// lease is the node's, or zero while it has none.
	lease kv.LeaseID
	// leaseUntil is when the lease may lapse, counted from the sending of the last renewal that was answered.
	leaseUntil time.Time
	// registered is the revision of the node's entry among the workers; unlisted says that the entry is gone since.
	registered int64
	unlisted   bool
	// live is what the node follows, avoidedReaders until when workers are not asked for it; only followLive touches them.
	live           *jobrecord.Live
	avoidedReaders map[string]time.Time
	// liveFeed passes it on.
	liveFeed changefeed.Feed
	// seedsAsked counts the questions to seeds.
	seedsAsked int
	// outage follows whether the store is away, by the renewals of the lease.
	outage outage
	// workers are all that run jobs, open the open jobs of all nodes, jobs those that this node runs.
	workers map[ident.Node]jobrecord.Worker
	open    map[ident.Job]*openJob
	jobs    map[ident.Job]*jobRun
	// runs counts the runs of items that this process began.
	runs int64
	// mirror keeps output for other workers.
	mirror progress.Mirror
	// demand is the online work that nodes tell of.
	demand demand.Ledger
	// tenants is what they tell of the places of tenants, of the services that this node keeps account of, overLogged when the log was
	// last told of it, turnsLogged when of the items that take turns.
	tenants                 fairshare.Account
	overLogged, turnsLogged time.Time
	// lent is what this node has lent to others, wanted when places of a service were last asked for.
	lent   lending.Ledger
	wanted map[string]time.Time
	// borrowed is what this node may use at runners of other owners, lenders what is known of those.
	borrowed map[ident.Incarnation]*borrowed
	lenders  map[ident.Node]*lender
	// owners holds the workers that own runners, as far as they were asked for since the workers changed: each report of
	// online work asks for all.
	owners map[ident.Incarnation]ident.Node
	// ownedRunners are the runners that this node owned at ownedAt.
	ownedRunners []work.Runner
	ownedAt      time.Time
	// found is the batch work that the last round of giving out items found.
	found batchLoad
	// loadLogged is when the batch load was last written to the log.
	loadLogged time.Time
	// loss is what this node knows of runs of nodes that are gone.
	loss commonLoss
	// suspicions are the runners that some node suspects.
	suspicions map[ident.Incarnation]*suspicion
	// gauges follow the runners that may take batch items.
	gauges map[ident.Incarnation]*gauged
	// duration is the mean time of a whole run, events the mean number of its events, tokens the mean of the items'
	// counts.
	duration time.Duration
	events   float64
	tokens   float64
	draining bool
	// retirements are the workers to be emptied.
	retirements map[ident.Node]*retirement
	// finished holds the results of jobs that were finished here lately.
	finished finishedJobs
	// memory is what is known of the room for jobs.
	memory memory
	// account is that of the waiting tokens of routes.
	account account
}

// openJob is a job that is not finished.
type openJob struct {
	entry jobrecord.Open
	// claimed says that some node holds it; otherwise unclaimed is since when none does.
	claimed   bool
	unclaimed time.Time
	// own says that the claim is this node's, though it does not run the job: nobody else can claim it.
	own bool
	// claiming says that this node is about to claim it.
	claiming bool
	// notBefore is when this node may claim it (again).
	notBefore time.Time
}

// gauged is a runner's gauge, when it was last asked for a report, and whether it lacks places.
type gauged struct {
	gauge batchroom.Gauge
	asked time.Time
	short shortage
}

// expectedDuration is the time of a run before any was seen.
const expectedDuration = 5 * time.Second

// Start runs the worker's loops until the tomb dies.
func (w *Worker) Start(parent *tomb.Tomb) {
	w.tomb = parent
	w.ctx = parent.Context(context.Background())
	w.live, w.avoidedReaders = &jobrecord.Live{}, map[string]time.Time{}
	w.open = map[ident.Job]*openJob{}
	w.jobs = map[ident.Job]*jobRun{}
	w.gauges = map[ident.Incarnation]*gauged{}
	w.retirements = map[ident.Node]*retirement{}
	w.duration = expectedDuration
	w.started = w.Now()
	if w.StartsAgain {
		w.loss.watch.Begin(w.started)
		parent.Go(w.watchOrphans)
	}
	parent.Go(w.keepLease)
	parent.Go(w.followLive)
	parent.Go(w.dispatchLoop)
	parent.Go(w.expireLoop)
	parent.Go(w.mirrorLoop)
	parent.Go(w.borrowLoop)
	parent.Go(w.retireLoop)
	// What is on the disk counts from the first question on.
	w.LearnRoom(&queueroom.News{Kept: w.keptJobs()})
	if w.Accounts != nil {
		parent.Go(w.roomLoop)
	}
}

// Drain stops giving out items and waits until those in progress are recorded, at most until the wait is over. Then it
// gives up the lease, so that other nodes take the jobs at once.
func (w *Worker) Drain(wait time.Duration) {
	w.mutex.Lock()
	w.draining = true
	w.mutex.Unlock()
	end := w.Now().Add(wait)
	for w.Now().Before(end) && w.busy() {
		time.Sleep(w.Options.DispatchEvery)
	}
	w.mutex.Lock()
	lease := w.lease
	w.lease = 0
	w.mutex.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.Options.CallTimeout)
	defer cancel()
	_ = w.Store.Revoke(ctx, lease)
}

// busy says whether items run, results wait to be recorded, or jobs wait to be handed over.
func (w *Worker) busy() bool {
	if w.keepsJobs() {
		return true
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, job := range w.jobs {
		if job.running > 0 || len(job.unlisted) > 0 {
			return true
		}
	}
	return false
}

// call returns a context for one call of the store.
func (w *Worker) call() (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.ctx, w.Options.CallTimeout)
}

// pause waits, or returns false when the worker ends.
func (w *Worker) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.tomb.Dying():
		return false
	}
}

// longestStorePause bounds the pause after a failed call of the store.
const longestStorePause = time.Second

// pauseForStore waits after a failed call, while the renewals of the lease fail too: one loop that tries is enough to see
// that the store is back. It returns false when the worker ends.
func (w *Worker) pauseForStore() bool {
	for waited := time.Duration(0); waited < longestStorePause; waited += w.Options.RetryAfter {
		if !w.pause(w.Options.RetryAfter) {
			return false
		}
		if !w.storeFails() {
			return true
		}
	}
	return true
}

func (w *Worker) storeFails() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.outage.failingSince.IsZero()
}

func (w *Worker) expireLoop() error {
	for w.pause(w.Options.ExpirySweep) {
		ctx, cancel := w.call()
		_, err := w.Records.RemoveExpired(ctx)
		cancel()
		if err != nil {
			w.logStore("removing expired jobs", err)
		}
	}
	return nil
}

// callWithin returns a context for a call of the store that waits.
func (w *Worker) callWithin(wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.ctx, wait)
}
