// Package jobworker runs the items of batch jobs.
//
// Each job is run by the node that holds its claim. Claims are bound to the node's lease, so that another node takes the
// job over when a node dies or freezes; partial output is mirrored to a second worker and resumed from there. Each runner
// has one owner among the workers, which assigns the runner's batch slots beside its online work, preempts items when
// online work needs their slots, and lends free slots to other workers.
//
// The package also divides slots fairly between tenants, bounds the memory for jobs, accepts jobs on disk while the store
// is unreachable, holds accounts of the tokens waiting on bounded routes, looks for orphaned runs after a simultaneous
// restart of all nodes, and drains workers that are retired.
package jobworker

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/batchcapacity"
	"mallowlatch.example/mallowlatch/internal/changefeed"
	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/fairshare"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/poisonwatch"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/queuecapacity"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Options configure a worker.
type Options struct {
	// LeaseTTL is how long the claims of an unresponsive node last; they are renewed three times in it.
	LeaseTTL time.Duration
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration
	// WatchWait is how long one call waits for changes of the open jobs, at the store or at the worker that reads for the
	// others; it bounds how late the end of a job is seen.
	WatchWait time.Duration
	// WatchPause is the pause between two such calls of the store, so that changes in quick succession cost one call.
	WatchPause time.Duration
	// RetryAfter is the pause after a failed call of the store.
	RetryAfter time.Duration
	// ClaimStep is how long a job is left to each worker before this one in the job's order, in addition to the time for
	// which a busy node leaves it to less busy ones. It is longer than it takes the others to see a claim.
	ClaimStep time.Duration
	// OutageAfter is how long renewals of the lease must fail to count as an outage, in which leases may expire although
	// their holders are alive.
	OutageAfter time.Duration
	// HolderGrace is how long a claim that expired in an outage is left to its former holder.
	HolderGrace time.Duration
	// RecordDelay is how long results wait for others of their job, to be recorded in one call.
	RecordDelay time.Duration
	// DispatchEvery is the time between two dispatch rounds.
	DispatchEvery time.Duration
	// ReportEvery is the time between two reports read from a runner in use.
	ReportEvery time.Duration
	// StallAfter is how long a run may produce no event before another runner resumes it.
	StallAfter time.Duration
	// ReleaseAfter is how long a job may be idle here, with nothing running and nothing recorded, before it is left to
	// another worker.
	ReleaseAfter time.Duration
	// MirrorEvery is the time between two transfers of output to the mirror peer, which bounds the output lost with a
	// worker.
	MirrorEvery time.Duration
	// BorrowEvery is the time between two rounds of asking other workers for slots.
	BorrowEvery time.Duration
	// ExpirySweep is the time between removals of jobs whose retention is over.
	ExpirySweep time.Duration
}

// DefaultOptions suit items that take seconds and are due within tens of seconds.
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

// Worker runs jobs. Its exported fields must be set before Start.
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
	// PoisonWatch tracks which items terminate the runners that run them; nil lets every item run.
	PoisonWatch *poisonwatch.Watch
	// Key is used to compute the fingerprints of items.
	Key poison.Key
	// PromptOf returns the parts of an item's prompt from its headers; nil means that items do not name them.
	PromptOf func(headers map[string]string) []work.Part
	Options  Options
	// Handoff stores jobs that the store has not accepted yet; nil stores none.
	Handoff *handoff.Log
	// Mirrors carries the output of items to a second worker; nil disables mirroring.
	Mirrors Mirrors
	// Lenders calls the workers that lend slots; nil restricts the worker to its own runners.
	Lenders Lenders
	// Readers calls the workers that read the open jobs for the others; nil makes each worker read the store itself.
	Readers Readers
	// OnLiveChanged is called after each change of the open jobs and the workers was applied; it may be nil and must not block.
	OnLiveChanged func()
	// Accounts calls the workers that hold the accounts of waiting tokens; nil disables the reports to them.
	Accounts Accounts
	// Tolerance is how many workers may be lost at once with their disks.
	Tolerance int
	// Seeds are addresses of workers that may be asked before any is known, SeedPeriod how long that is tried after the
	// start.
	Seeds      []string
	SeedPeriod time.Duration
	// Restarted is set if the deployment had started before this process did.
	Restarted bool
	// Budget bounds the memory that the worker uses for jobs; nil sets no bound.
	Budget *memorybudget.NodeBudget
	// MirrorJournal also stores the output of other workers' items on this node's disk; nil stores it in memory only.
	MirrorJournal *progress.Journal
	// Registry is notified when a worker is emptied.
	Registry work.Registry
	Logger   zerolog.Logger
	Now      func() time.Time

	tomb  *tomb.Tomb
	ctx   context.Context
	mutex sync.Mutex
	// started is when the worker was started.
	started time.Time
	// lease is the node's lease, or zero while it has none.
	lease kv.LeaseID
	// leaseUntil is when the lease may expire, counted from the sending of the last renewal that was answered.
	leaseUntil time.Time
	// registered is the revision of the node's entry among the workers; registrationGone is set if the entry has been
	// missing since.
	registered       int64
	registrationGone bool
	// live is the state of the open jobs that the node follows, avoidedReaders until when workers are not asked for it;
	// only followLive accesses them.
	live           *jobrecord.Live
	avoidedReaders map[string]time.Time
	// liveFeed publishes the live state.
	liveFeed changefeed.Feed
	// seedCalls counts the calls to seeds.
	seedCalls int
	// outage tracks whether the store is unreachable, by the renewals of the lease.
	outage outage
	// workers are all registered workers, open the open jobs of all nodes, jobs those that this node runs.
	workers map[ident.Node]jobrecord.Worker
	open    map[ident.Job]*openJob
	jobs    map[ident.Job]*jobRun
	// holders are the jobs about which a goroutine of this node may call the store: no second one may do so before it has ended.
	holders map[ident.Job]bool
	// reclaims has an entry for each job that is being claimed again.
	reclaims chan struct{}
	// pastHolders are the workers that held the jobs that ended lately, reconciled is when the live state was last applied, and
	// liveRevision its revision.
	pastHolders  pastHolders
	reconciled   time.Time
	liveRevision int64
	// runs counts the runs of items that this process started.
	runs int64
	// mirror stores output of other workers' items in memory.
	mirror progress.Mirror
	// demand is the online work that nodes report.
	demand demand.Ledger
	// tenants is what nodes report of the slots of tenants, for the services whose account this node holds;
	// overShareLogged and turnsLogged are when the respective log lines were last written.
	tenants                      fairshare.Account
	overShareLogged, turnsLogged time.Time
	// lent is what this node has lent to others, lastWanted when slots of a service were last requested.
	lent       lending.Ledger
	lastWanted map[string]time.Time
	// borrowed is what this node may use at runners of other owners, lenders the state of those owners.
	borrowed map[ident.Incarnation]*borrowed
	lenders  map[ident.Node]*lender
	// roster is derived from the workers; nil until it is needed.
	roster *roster
	// owners are the owners of runners; nil until they are needed. ownedRunners are the runners that this node owns.
	owners       *jobrecord.Owners
	ownedRunners *ownedRunners
	// serviceOwners are the owners of all runners by service; nil until they are needed.
	serviceOwners *serviceOwners
	// found is the batch work found by the last dispatch round.
	found batchLoad
	// loadLogged is when the batch load was last logged.
	loadLogged time.Time
	// orphanRuns is what this node knows of runs of nodes that are gone.
	orphanRuns orphanState
	// trials limits the items that run though runners crashed under them.
	trials poison.Trials
	// suspicions are the runners that some node suspects.
	suspicions map[ident.Incarnation]*suspicion
	// gauges track the load of the runners that may take batch items.
	gauges map[ident.Incarnation]*runnerGauge
	// duration is the mean duration of a complete run, events the mean number of its events, tokens the mean of the items'
	// token counts.
	duration time.Duration
	events   float64
	tokens   float64
	draining bool
	// retirements are the orders to empty workers.
	retirements map[ident.Node]*retirement
	// finished caches the results of jobs that were recently finished here.
	finished finishedJobs
	// memory is the state of the memory for jobs.
	memory memory
	// account is this worker's part in the accounts of waiting tokens.
	account account
}

// openJob is a job that is not finished.
type openJob struct {
	entry jobrecord.Open
	// claimed is set if some node holds the job; otherwise unclaimed is since when none does.
	claimed   bool
	unclaimed time.Time
	// holder is the node that holds the claim; empty if none does.
	holder ident.Node
	// ownClaim is set if the claim is this node's although it does not run the job, which keeps all other nodes from
	// claiming it.
	ownClaim bool
	// notBefore is the earliest time at which this node may claim the job (again).
	notBefore time.Time
	// leftUntil is until when the job is left to other nodes because nothing of it could be run here, fruitless how often in a row it was
	// left so.
	leftUntil time.Time
	fruitless int
	// lackedSlots means that it was left because this node had no idle slot for it: once there is one, it is no longer left to others.
	lackedSlots bool
	// leftToOthers is how long this node leaves the job, while it is unclaimed, to nodes that can run it better.
	leftToOthers time.Duration
}

// runnerGauge is a runner's gauge, the time of the last poll of its report, and its shortage of slots.
type runnerGauge struct {
	gauge  batchcapacity.Gauge
	polled time.Time
	short  shortage
}

// initialRunTime is the assumed duration of a run before any was seen.
const initialRunTime = 5 * time.Second

// Start runs the worker's loops until the tomb dies.
func (w *Worker) Start(parent *tomb.Tomb) {
	w.tomb = parent
	w.ctx = parent.Context(context.Background())
	w.live, w.avoidedReaders = &jobrecord.Live{}, map[string]time.Time{}
	w.open = map[ident.Job]*openJob{}
	w.jobs = map[ident.Job]*jobRun{}
	w.reclaims = make(chan struct{}, maxReclaims)
	w.gauges = map[ident.Incarnation]*runnerGauge{}
	w.retirements = map[ident.Node]*retirement{}
	w.duration = initialRunTime
	w.started = w.Now()
	if w.Restarted {
		w.orphanRuns.watch.Begin(w.started)
		parent.Go(w.watchOrphans)
	}
	parent.Go(w.keepLease)
	parent.Go(w.followLive)
	parent.Go(w.dispatchLoop)
	parent.Go(w.expireLoop)
	parent.Go(w.mirrorLoop)
	parent.Go(w.borrowLoop)
	parent.Go(w.retireLoop)
	// Jobs on the disk are counted before the first request for capacity is answered.
	w.RecordAccountReport(&queuecapacity.Report{Kept: w.handoffJobs()})
	if w.Accounts != nil {
		parent.Go(w.accountLoop)
	}
}

// Drain stops dispatching items and waits until those in progress are recorded, at most for the given time. It then
// revokes the lease, so that other nodes take over the jobs at once.
func (w *Worker) Drain(wait time.Duration) {
	w.mutex.Lock()
	w.draining = true
	w.mutex.Unlock()
	end := w.Now().Add(wait)
	for w.Now().Before(end) && w.hasWork() {
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

// hasWork reports whether items run, results wait to be recorded, or stored jobs wait to be handed over.
func (w *Worker) hasWork() bool {
	if w.hasPendingHandoffs() {
		return true
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, job := range w.jobs {
		if job.running > 0 || len(job.log.Waiting()) > 0 {
			return true
		}
	}
	return false
}

// callContext returns a context for one call of the store or of a runner.
func (w *Worker) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.ctx, w.Options.CallTimeout)
}

// pause waits, and returns false if the worker stops.
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

// maxStoreBackoff bounds the pause after a failed call of the store.
const maxStoreBackoff = time.Second

// waitForStore waits after a failed call while the renewals of the lease fail too: one loop that retries is enough to see
// that the store is back. It returns false if the worker stops.
func (w *Worker) waitForStore() bool {
	for waited := time.Duration(0); waited < maxStoreBackoff; waited += w.Options.RetryAfter {
		if !w.pause(w.Options.RetryAfter) {
			return false
		}
		if !w.renewalsFail() {
			return true
		}
	}
	return true
}

func (w *Worker) renewalsFail() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.outage.failingSince.IsZero()
}

func (w *Worker) expireLoop() error {
	for w.pause(w.Options.ExpirySweep) {
		ctx, cancel := w.callContext()
		_, err := w.Records.RemoveExpired(ctx)
		cancel()
		if err != nil {
			w.logStore("removing expired jobs", err)
		}
	}
	return nil
}

// callContextFor returns a context for a call of the store or of a reader that may wait for changes.
func (w *Worker) callContextFor(wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.ctx, wait)
}
