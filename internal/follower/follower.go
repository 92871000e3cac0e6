// Package follower keeps a node's list of runners, its configuration and the list of workers to be retired up to date. It uses what
// another node read from the registry while that is fresh, and otherwise reads the registry itself, so that no failure of another node
// leaves it with old data. During an outage of the registry it keeps what it has.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Options are the intervals and timeouts of a Follower.
type Options struct {
	// ListInterval is the time between readings of the list of runners.
	ListInterval time.Duration
	// ListLife is the age of a list from which on no request is sent by it while a newer one is to be expected; zero sets no limit.
	ListLife time.Duration
	// OrdersWait is how long one call waits for new orders, that is configuration and retirements.
	OrdersWait time.Duration
	// CallTimeout is the timeout of a call, in addition to its wait.
	CallTimeout time.Duration
	// RetryAfter is the delay after a failed call. It doubles with each further one, up to ListInterval: calls that the registry
	// refuses cost something too, and all nodes make them at the same time during an outage.
	RetryAfter time.Duration
	// ProbeInterval is the time between two probes of an unresponsive registry. The delay until its return is detected adds to how
	// long a runner that left during the outage is used.
	ProbeInterval time.Duration
	// Heartbeat is the time between two renewals of a runner's entry.
	Heartbeat time.Duration
	// StartGrace is how long a starting node waits for data from another node before it reads the registry itself. With zero it
	// reads at once.
	StartGrace time.Duration
}

// readingShare is the time between two readings as a fraction of the drain bound. The rest is for a reading that is slow (thousands of
// runners take many pages) or repeated.
const readingShare = 0.5

// listLifeShare is the life of a list as a fraction of the drain bound. The rest is for the way of a request to its runner.
const listLifeShare = 0.85

const (
	// ordersWait is how long a call waits for new orders. Together with callTimeout it is less than 3 s: the platform requires a node
	// that reaches the registry again to use the newest configuration within that time.
	ordersWait = 2 * time.Second
	// callTimeout is the timeout of a call, in addition to its wait. It allows for a store that answers sixty times more slowly than
	// its usual 4 ms. With probeInterval and relistTime it adds to how long a runner that left during an outage is used, for which 3 s
	// are allowed.
	callTimeout = 700 * time.Millisecond
	// retryAfter is the delay after the first failed call.
	retryAfter = 250 * time.Millisecond
	// probeInterval is the time between two probes. Twice as much breaks the bound of TestProbeDetectsReturnOfRegistry.
	probeInterval = 500 * time.Millisecond
)

// OptionsFor returns options that use few calls of the registry, because each has a cost. drain is the time within which a runner gets no
// more work after the registry has recorded that it leaves; heartbeat is the time between two renewals of a runner's entry.
func OptionsFor(drain, heartbeat time.Duration) Options {
	return Options{
		ListInterval:  time.Duration(readingShare * float64(drain)),
		ListLife:      time.Duration(listLifeShare * float64(drain)),
		OrdersWait:    ordersWait,
		CallTimeout:   callTimeout,
		RetryAfter:    retryAfter,
		ProbeInterval: probeInterval,
		Heartbeat:     heartbeat,
	}
}

// Follower reads the registry. Its fields are set before Start.
type Follower struct {
	Registry work.Registry
	Runners  *runnertable.Table
	Routes   *routetable.Table
	Options  Options
	// Forget closes the pooled connections to an address whose runner was removed. With nil they stay open.
	Forget func(address string)
	// Retire is called for each worker to be retired, and again after each full reading of the orders. It may be nil.
	Retire func(retirement work.Retirement)
	Logger zerolog.Logger
	Now    func() time.Time

	// Source returns what another node read. With nil this node always reads the registry itself.
	Source Source
	// Newest has another node read the configuration after the call, and returns it if its version is newer than the given one, or nil.
	// If Newest is nil, this node reads the registry itself.
	Newest func(ctx context.Context, version int64) (*work.Catalog, error)
	// Feed receives what this node read or received, to relay it to other nodes. It may be nil.
	Feed *fleetfeed.Feed
	// Fallback returns this node's part in reading long lists while the nodes that read for the others fail. With nil it reads
	// at once.
	Fallback func() Fallback

	// relaying means that the last call of the source returned fresh data; copy is this node's copy of the source's list. Only
	// followSource uses them.
	relaying bool
	copy     fleetfeed.RunnerListCopy

	mutex sync.Mutex
	fresh freshness
	// delay is how long after the end of fresh this node waits before it reads a long list itself.
	delay time.Duration
	// graceUntil is the end of the start grace period; zero once the node has received data or reads the registry itself.
	graceUntil time.Time
	// graceEnd is the time up to which the period may be extended. calling means that a call of the source is in flight.
	graceEnd time.Time
	calling  bool
	// sourceAnswers means that the last call of the source was answered, readsForAll that this node reads the registry for the others
	// because there is no other node to ask.
	sourceAnswers, readsForAll bool
	// alone is closed when this node starts to read the registry itself; nil while nothing waits for that.
	alone    chan struct{}
	revision int64
	absence  absence
	// lost means that the list cannot be read, answering that a probe was answered since.
	lost, answering bool
	// kept is the number of runners that are missing from the newest list but still in use.
	kept int
}

// Start runs the follower's loops until the tomb dies.
func (f *Follower) Start(parent *tomb.Tomb) {
	f.absence = f.Options.absence()
	if f.Source != nil {
		f.graceUntil = f.Now().Add(f.Options.StartGrace)
		f.graceEnd = f.graceUntil.Add(maxStartHold)
	}
	ctx := parent.Context(context.Background())
	parent.Go(func() error { return f.followRunners(ctx) })
	parent.Go(func() error { return f.followOrders(ctx) })
	if f.Source != nil {
		parent.Go(func() error { return f.followSource(ctx) })
	}
}

func (f *Follower) followRunners(ctx context.Context) error {
	failures, readAgain := 0, false
	for ctx.Err() == nil {
		if pause := f.timeToReading(f.relayedUntil().runners); pause > 0 {
			failures = 0
			f.waitRelayed(ctx, pause)
			continue
		}
		began := f.Now()
		if err := f.readRunners(ctx); err != nil {
			if !readAgain && f.stoodStillSince(began) {
				readAgain = true
				continue
			}
			f.markRegistryLost(err)
			failures++
			f.awaitAnswer(ctx, f.Options.backoff(failures))
			f.awaitRelay(ctx)
			continue
		}
		failures, readAgain = 0, false
		// A list of an older revision is ignored, which leaves proofFrom in the past: the delay prevents reading again at once.
		sleep(ctx, max(f.timeToReading(f.Now().Add(f.readInterval())), f.Options.RetryAfter))
	}
	return nil
}

// stillSlack is by how much a reading may exceed the timeouts of its calls before the process is taken to have stood still meanwhile. On a busy
// machine it may only have been late: the list is then read again, once.
const stillSlack = 20 * time.Millisecond

// stoodStillSince reports whether a reading that began at a time and failed took longer than it can: it failed because the process stood still
// then, which tells nothing of the registry.
func (f *Follower) stoodStillSince(began time.Time) bool {
	calls := time.Duration(f.Runners.Count()/minPage + 1)
	return f.Now().Sub(began) > calls*f.Options.CallTimeout+stillSlack
}

// minPage is the least number of runners of a page of the list, but for its last one.
const minPage = 100

// timeToReading returns the time until this node has to read the list itself, given until when the present one is fresh. While missing
// runners are kept in use, it reads the list that proves whether they left as early as possible: the usual interval of one second would
// add to the time for which they are used.
func (f *Follower) timeToReading(goodUntil time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if proof := f.absence.proofFrom.Add(f.delay); f.kept > 0 && proof.Before(goodUntil) {
		goodUntil = proof
	}
	return goodUntil.Sub(f.Now())
}

// awaitAnswer returns when the registry answers a probe after the delay, or when a relayed list is fresh.
func (f *Follower) awaitAnswer(ctx context.Context, pause time.Duration) {
	for sleep(ctx, pause); ctx.Err() == nil; {
		began := f.Now()
		if f.relayedUntil().runners.After(began) {
			return
		}
		if f.probe(ctx) == nil {
			f.markRegistryBack()
			return
		}
		sleep(ctx, f.probeInterval()-f.Now().Sub(began))
	}
}

// readerProbeInterval is the time between two probes by a node that reads for the others. There are only one or two such nodes, and all
// others wait for them.
const readerProbeInterval = 100 * time.Millisecond

func (f *Follower) probeInterval() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.readsForAll {
		return min(readerProbeInterval, f.Options.ProbeInterval)
	}
	return f.Options.ProbeInterval
}

// markRegistryBack records that the registry answers again.
func (f *Follower) markRegistryBack() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.answering = true
}

func (f *Follower) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Options.CallTimeout)
	defer cancel()
	return f.Registry.Probe(ctx)
}

// backoff returns the delay after a number of consecutive failed calls.
func (o Options) backoff(failures int) time.Duration {
	const maxDoublings = 10
	pause := o.RetryAfter << min(failures-1, maxDoublings)
	return min(pause, max(o.ListInterval, o.RetryAfter))
}

// absence returns an absence with the thresholds that follow from the options. It has no list yet.
func (o Options) absence() absence {
	entryLife := entryHeartbeats * o.Heartbeat
	// A gap is longer than the outage in it by the time from the last reading before and to the first reading after it.
	around := 2*o.ListInterval + o.CallTimeout
	return absence{outageAfter: entryLife - o.Heartbeat, mixedGap: entryLife + around}
}

func (f *Follower) readRunners(ctx context.Context) error {
	began := f.Now()
	listed, revision, err := f.Registry.Runners(ctx, f.Options.CallTimeout)
	if err != nil {
		return err
	}
	f.applyRunners(listed, revision, began)
	if f.Feed != nil {
		f.Feed.RecordRunners(listed, revision, began)
	}
	return nil
}

// applyRunners applies a list whose reading began at asOf. It ignores a list of an older revision than the newest: a relayed list may
// arrive after a newer one was read.
func (f *Follower) applyRunners(listed []work.Runner, revision int64, asOf time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision < f.revision {
		return
	}
	f.revision = revision
	unread := asOf.Sub(f.absence.asOf)
	proof := f.absence.apply(listed, asOf, f.Now())
	change := f.Runners.Replace(listed, f.Now(), proof)
	f.Runners.SetListInUse(runnertable.ListInUse{Revision: revision, AsOf: asOf, Until: f.listUntil(asOf)})
	if proof {
		// A runner writes its entry at least once in a heartbeat.
		f.Runners.SetCompleteThrough(asOf.Add(-f.Options.Heartbeat))
	}
	if f.Forget != nil {
		for _, address := range change.Addresses {
			f.Forget(address)
		}
	}
	if f.lost {
		f.lost = false
		event.RegistryBack.Log(f.Logger).Int("runners", len(listed)).Send()
	}
	f.logChange(change, len(listed), unread)
	f.logLeaving(change.Leaving, f.Now().Sub(asOf))
}

// listUntil returns until when a list whose reading began at a time may be relied on; zero without a limit. A long list may take longer to come.
// The caller holds the mutex.
func (f *Follower) listUntil(asOf time.Time) time.Time {
	if f.Options.ListLife == 0 {
		return time.Time{}
	}
	return asOf.Add(f.Options.ListLife + f.delay)
}

// markRegistryLost records that the list could not be read, and logs it the first time.
func (f *Follower) markRegistryLost(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.answering = false
	if f.lost {
		return
	}
	f.lost = true
	f.Runners.SetRegistryLost()
	event.RegistryLost.Log(f.Logger).Err(err).Send()
}

func (f *Follower) followOrders(ctx context.Context) error {
	revision := int64(0)
	failures := 0
	for ctx.Err() == nil {
		if relayed := f.relayedUntil().orders.Sub(f.Now()); relayed > 0 {
			revision, failures = 0, 0
			f.waitRelayed(ctx, relayed)
			continue
		}
		next, err := f.nextOrders(ctx, revision)
		if err != nil {
			revision = 0
			failures++
			sleep(ctx, f.Options.backoff(failures))
			f.awaitRegistry(ctx)
			f.awaitRelay(ctx)
			continue
		}
		revision, failures = next, 0
	}
	return nil
}

// awaitRegistry waits while the registry is known to be unreachable. The loop that reads the runners probes for its return.
func (f *Follower) awaitRegistry(ctx context.Context) {
	for ctx.Err() == nil {
		f.mutex.Lock()
		away := f.lost && !f.answering && !f.fresh.orders.After(f.Now())
		f.mutex.Unlock()
		if !away {
			return
		}
		sleep(ctx, startPollInterval)
	}
}

// nextOrders reads all orders if the revision is zero, and otherwise waits for newer ones.
func (f *Follower) nextOrders(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, f.Options.CallTimeout)
		defer cancel()
		orders, read, err := f.Registry.Orders(ctx)
		if err != nil {
			return 0, err
		}
		f.apply(orders)
		return read, nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.Options.OrdersWait+f.Options.CallTimeout)
	defer cancel()
	orders, next, err := f.Registry.NextOrders(ctx, revision, f.Options.OrdersWait)
	if err != nil {
		return 0, err
	}
	f.apply(orders)
	return next, nil
}

// apply applies orders that this node read itself, and relays them.
func (f *Follower) apply(orders work.Orders) {
	if f.Feed != nil {
		f.Feed.RecordOrders(orders, f.Now())
	}
	f.adopt(orders.Catalog, false)
	f.notifyRetirements(orders.Retire)
}

// ErrRegistryUnreachable means that the registry is known to be unresponsive.
const ErrRegistryUnreachable = failure.Kind("follower: the registry does not answer")

// Refresh applies the newest configuration, from a reading that begins after the call, for callers that must not use an older one. It has
// another node read the registry if possible. Otherwise this node reads it, and fails at once if the registry is known to be unresponsive.
func (f *Follower) Refresh(ctx context.Context) error {
	// A node without a configuration cannot serve anyone, so it does not depend on another node.
	if f.Newest != nil && f.Routes.Catalog() != nil && f.refreshThrough(ctx) == nil {
		return nil
	}
	f.mutex.Lock()
	away := f.lost && !f.answering
	f.mutex.Unlock()
	if away {
		return ErrRegistryUnreachable
	}
	_, err := f.nextOrders(ctx, 0)
	return err
}

// refreshThrough has another node read the configuration. Newest logs its own failures.
func (f *Follower) refreshThrough(ctx context.Context) error {
	catalog, err := f.Newest(ctx, f.Routes.Catalog().Version)
	if err != nil {
		return err
	}
	if catalog != nil && catalog.Form < work.CatalogForm {
		// A node of an older build drops the parts of the configuration that it does not know.
		return errOlderForm
	}
	f.adopt(catalog, true)
	return nil
}

// errOlderForm means that another node sent a configuration that its older build did not read completely.
const errOlderForm = failure.Kind("follower: configuration of an older build")

// adopt applies a configuration if it is newer than the present one. relayed means that another node read it.
func (f *Follower) adopt(catalog *work.Catalog, relayed bool) {
	if catalog == nil {
		return
	}
	if f.Feed != nil {
		// The source sends it only once, possibly with a list that is too old to be relayed.
		f.Feed.RecordOrders(work.Orders{Catalog: catalog}, time.Time{})
	}
	before := f.Routes.Catalog()
	if !f.Routes.Adopt(catalog) {
		return
	}
	event.CatalogAdopted.Log(f.Logger).Int64("version", catalog.Version).Int("routes", len(catalog.Routes)).
		Int("tenants", len(catalog.Tenants)).Bool("relayed", relayed).Send()
	if before != nil {
		f.logKeyChange(routetable.CompareKeys(before, catalog))
	}
}

func (f *Follower) notifyRetirements(retirements []work.Retirement) {
	if f.Retire == nil {
		return
	}
	for _, retirement := range retirements {
		f.Retire(retirement)
	}
}

// sleep waits for the duration or the end of ctx.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
