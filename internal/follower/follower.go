// Package follower keeps a node's list of runners and its configuration up to date from the registry. It reads for
// itself, so that no other node's failure leaves it behind, and it goes on with what it knows while the registry is
// away.
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
	"mallowlatch.example/mallowlatch/internal/keyhash"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Options shape the reading.
type Options struct {
	// RunnersEvery is the time between readings of the list of runners.
	RunnersEvery time.Duration
	// OrdersWait is how long one call waits for new orders.
	OrdersWait time.Duration
	// CallTimeout bounds a call beyond its wait.
	CallTimeout time.Duration
	// RetryAfter is the pause after a failed call. It doubles with each further one, up to RunnersEvery: calls that the
	// registry refuses have their price too, and all nodes make them at once while it is away.
	RetryAfter time.Duration
	// ProbeEvery is the time between two probes of a registry that does not answer. How late its return is noticed counts
	// into how long a runner is used that left in the outage.
	ProbeEvery time.Duration
	// Heartbeat is the time between two renewals of a runner's entry.
	Heartbeat time.Duration
	// StartGrace is how long a node that starts waits for another one to tell it, before it reads the registry itself. Zero reads
	// at once.
	StartGrace time.Duration
}

// readingShare is the part of the drain bound between two readings; the rest is for a reading that is slow (thousands of
// runners take many pages) or tried again.
const readingShare = 0.5

const (
	// ordersWait is how long a call waits for new orders: with callTimeout it ends within the 3 s after which the platform holds
	// a node that is back to the newest configuration.
	ordersWait = 2 * time.Second
	// callTimeout bounds a call beyond its wait: more than a store takes that answers sixty times as slowly as its 4 ms, and with
	// probeEvery and entriesBack less than those 3 s.
	callTimeout = 700 * time.Millisecond
	// retryAfter is the first pause after a failed call.
	retryAfter = 250 * time.Millisecond
	// probeEvery is the time between two probes. Twice as much breaks the bound of TestReturnOfTheRegistryIsNoticedByAProbe.
	probeEvery = 500 * time.Millisecond
)

// OptionsFor suits a registry whose every call has a price. drain is how soon after the registry's news a leaving runner
// must get no more work, heartbeat the time between two renewals of a runner's entry.
func OptionsFor(drain, heartbeat time.Duration) Options {
	return Options{
		RunnersEvery: time.Duration(readingShare * float64(drain)),
		OrdersWait:   ordersWait,
		CallTimeout:  callTimeout,
		RetryAfter:   retryAfter,
		ProbeEvery:   probeEvery,
		Heartbeat:    heartbeat,
	}
}

// Follower reads the registry. Its fields are set before Start.
type Follower struct {
	Registry work.Registry
	Runners  *runnertable.Table
	Routes   *routetable.Table
	Options  Options
	// Forget closes the connections kept to an address at which a runner is over; nil keeps them.
	Forget func(address string)
	// Retire is told of each worker to be emptied, again after each whole reading; nil is told nothing.
	Retire func(retirement work.Retirement)
	Logger zerolog.Logger
	Now    func() time.Time

	// Source is another node that passes on what it read; nil reads alone.
	Source Source
	// Newest has another node read the configuration anew, after the call, and returns it where its version is newer than the given one;
	// nil has this node read for itself.
	Newest func(ctx context.Context, version int64) (*work.Catalog, error)
	// Feed passes on what this node read or was told; nil passes nothing on.
	Feed *fleetfeed.Feed

	// relaying and copy, the list of the source as this node has it, are touched by followSource alone.
	relaying bool
	copy     fleetfeed.Copy

	mutex sync.Mutex
	fresh freshness
	// graceUntil is until when the node waits to be told for the first time; zero once it was, or reads for all.
	graceUntil time.Time
	// sourceAnswers says that the last call of the source was answered, readsForAll that there is no other node to ask.
	sourceAnswers, readsForAll bool
	// alone is closed when this node begins to read for itself; nil while nothing waits for that.
	alone    chan struct{}
	revision int64
	absence  absence
	// lost says that the list cannot be read, answers that a probe was answered since.
	lost, answers bool
	// kept counts the runners that the newest list lacks and that are in use.
	kept int
}

// Start runs the follower's loops until the tomb dies.
func (f *Follower) Start(parent *tomb.Tomb) {
	f.absence = f.Options.absence()
	if f.Source != nil {
		f.graceUntil = f.Now().Add(f.Options.StartGrace)
	}
	ctx := parent.Context(context.Background())
	parent.Go(func() error { return f.followRunners(ctx) })
	parent.Go(func() error { return f.followOrders(ctx) })
	if f.Source != nil {
		parent.Go(func() error { return f.followSource(ctx) })
	}
}

func (f *Follower) followRunners(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if pause := f.untilReading(f.relayedUntil().runners); pause > 0 {
			failures = 0
			f.restRelayed(ctx, pause)
			continue
		}
		if err := f.readRunners(ctx); err != nil {
			f.noteLost(err)
			failures++
			f.awaitAnswer(ctx, f.Options.pauseAfter(failures))
			f.awaitRelay(ctx)
			continue
		}
		failures = 0
		// A list that is passed over proves nothing: it must not be read again without a pause.
		sleep(ctx, max(f.untilReading(f.Now().Add(f.Options.RunnersEvery)), f.Options.RetryAfter))
	}
	return nil
}

// untilReading returns how long this node need not read the list itself, given until when it is good enough. Where runners
// are kept though missing, the list that proves whether they left is read as soon as it can be had: the usual time between
// two readings, a second, would come on top of the time for which they are kept.
func (f *Follower) untilReading(goodUntil time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.kept > 0 && f.absence.proofFrom.Before(goodUntil) {
		goodUntil = f.absence.proofFrom
	}
	return goodUntil.Sub(f.Now())
}

// awaitAnswer returns when the registry answers a probe after the pause, or when another node passes its list on.
func (f *Follower) awaitAnswer(ctx context.Context, pause time.Duration) {
	for sleep(ctx, pause); ctx.Err() == nil; {
		began := f.Now()
		if f.relayedUntil().runners.After(began) {
			return
		}
		if f.probe(ctx) == nil {
			f.noteBack()
			return
		}
		sleep(ctx, f.probeEvery()-f.Now().Sub(began))
	}
}

// readerProbe is the time between two probes of the node that reads for all: it is one or two of them, and all others wait for
// what it finds.
const readerProbe = 100 * time.Millisecond

func (f *Follower) probeEvery() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.readsForAll {
		return min(readerProbe, f.Options.ProbeEvery)
	}
	return f.Options.ProbeEvery
}

// noteBack notes that the registry answers again.
func (f *Follower) noteBack() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.answers = true
}

func (f *Follower) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Options.CallTimeout)
	defer cancel()
	return f.Registry.Probe(ctx)
}

// pauseAfter returns the pause after a number of failed calls in a row.
func (o Options) pauseAfter(failures int) time.Duration {
	const mostDoublings = 10
	pause := o.RetryAfter << min(failures-1, mostDoublings)
	return min(pause, max(o.RunnersEvery, o.RetryAfter))
}

// absence returns a judge of lists that knows none yet.
func (o Options) absence() absence {
	entryLife := heartbeatsKept * o.Heartbeat
	// A gap is longer than the outage in it by the time since the reading before and until the first one after it.
	around := 2*o.RunnersEvery + o.CallTimeout
	return absence{outageAfter: entryLife - o.Heartbeat, mixedGap: entryLife + around}
}

func (f *Follower) readRunners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Options.CallTimeout)
	defer cancel()
	began := f.Now()
	listed, revision, err := f.Registry.Runners(ctx)
	if err != nil {
		return err
	}
	f.applyRunners(listed, revision, began)
	if f.Feed != nil {
		f.Feed.Read(listed, revision, began)
	}
	return nil
}

// applyRunners takes over a list whose reading began at asOf. One of an older revision than the newest is passed over: a
// relayed list may come after a newer one was read.
func (f *Follower) applyRunners(listed []work.Runner, revision int64, asOf time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision < f.revision {
		return
	}
	f.revision = revision
	unread := asOf.Sub(f.absence.asOf)
	proof := f.absence.take(listed, asOf, f.Now())
	change := f.Runners.Replace(listed, f.Now(), proof)
	if f.Forget != nil {
		for _, address := range change.Addresses {
			f.Forget(address)
		}
	}
	if f.lost {
		f.lost = false
		event.RegistryBack.Log(f.Logger).Int("runners", len(listed)).Send()
	}
	f.tellChange(change, len(listed), unread)
}

// tellChange logs what a list changed. unread is how long no list had come before it. The caller holds the mutex.
func (f *Follower) tellChange(change runnertable.Change, listed int, unread time.Duration) {
	if len(change.Added)+len(change.Removed) > 0 {
		event.RunnersChanged.Log(f.Logger).Int("added", len(change.Added)).Int("removed", len(change.Removed)).Int("listed", listed).
			Dur("used_missing_ms", change.LongestMissing).Send()
	}
	if kept := len(change.Kept); kept != f.kept && kept > 0 {
		event.RunnersKept.Log(f.Logger).Int("kept", len(change.Kept)).Int("listed", listed).Dur("unread_ms", unread).Send()
	}
	f.kept = len(change.Kept)
}

func (f *Follower) noteLost(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.answers = false
	if f.lost {
		return
	}
	f.lost = true
	event.RegistryLost.Log(f.Logger).Err(err).Send()
}

func (f *Follower) followOrders(ctx context.Context) error {
	revision := int64(0)
	failures := 0
	for ctx.Err() == nil {
		if relayed := f.relayedUntil().orders.Sub(f.Now()); relayed > 0 {
			revision, failures = 0, 0
			f.restRelayed(ctx, relayed)
			continue
		}
		next, err := f.nextOrders(ctx, revision)
		if err != nil {
			revision = 0
			failures++
			sleep(ctx, f.Options.pauseAfter(failures))
			f.awaitRegistry(ctx)
			f.awaitRelay(ctx)
			continue
		}
		revision, failures = next, 0
	}
	return nil
}

// awaitRegistry waits while the registry is known to be away: the readings of the runners look for its return.
func (f *Follower) awaitRegistry(ctx context.Context) {
	for ctx.Err() == nil {
		f.mutex.Lock()
		away := f.lost && !f.answers && !f.fresh.orders.After(f.Now())
		f.mutex.Unlock()
		if !away {
			return
		}
		sleep(ctx, startPause)
	}
}

// nextOrders reads the orders whole after a failure, and otherwise waits for newer ones.
func (f *Follower) nextOrders(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, f.Options.CallTimeout)
		defer cancel()
		orders, read, err := f.Registry.Orders(ctx)
		if err != nil {
			return 0, err
		}
		f.take(orders)
		return read, nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.Options.OrdersWait+f.Options.CallTimeout)
	defer cancel()
	orders, next, err := f.Registry.NextOrders(ctx, revision, f.Options.OrdersWait)
	if err != nil {
		return 0, err
	}
	f.take(orders)
	return next, nil
}

func (f *Follower) take(orders work.Orders) {
	if f.Feed != nil {
		f.Feed.Orders(orders, f.Now())
	}
	f.adopt(orders.Catalog, false)
	f.tellRetirements(orders.Retire)
}

// ErrRegistryAway means that the registry is known not to answer.
const ErrRegistryAway = failure.Kind("follower: the registry does not answer")

// Refresh has the newest configuration in force, as of a reading that begins after the call, for whoever must not go by an older one.
// Another node reads where it can; otherwise this one does, and fails at once where the registry is known to be away.
func (f *Follower) Refresh(ctx context.Context) error {
	// A node without a configuration serves nobody: it waits for no other node.
	if f.Newest != nil && f.Routes.Catalog() != nil && f.refreshThrough(ctx) == nil {
		return nil
	}
	f.mutex.Lock()
	away := f.lost && !f.answers
	f.mutex.Unlock()
	if away {
		return ErrRegistryAway
	}
	_, err := f.nextOrders(ctx, 0)
	return err
}

// refreshThrough has another node read the configuration anew. The failure is the source's to log.
func (f *Follower) refreshThrough(ctx context.Context) error {
	catalog, err := f.Newest(ctx, f.Routes.Catalog().Version)
	if err != nil {
		return err
	}
	if catalog != nil && catalog.Form < work.CatalogForm {
		// A node of an older build left out of the configuration what it doesn't know.
		return errOlderForm
	}
	f.adopt(catalog, true)
	return nil
}

// errOlderForm means that another node told a configuration that its build did not read whole.
const errOlderForm = failure.Kind("follower: configuration of an older build")

// adopt puts a configuration in force where it is newer. relayed says that another node read it.
func (f *Follower) adopt(catalog *work.Catalog, relayed bool) {
	if catalog == nil {
		return
	}
	if f.Feed != nil {
		// Whoever told it tells it once, maybe with a list that is too old to be passed on.
		f.Feed.Orders(work.Orders{Catalog: catalog}, time.Time{})
	}
	before := f.Routes.Catalog()
	if !f.Routes.Adopt(catalog) {
		return
	}
	event.CatalogAdopted.Log(f.Logger).Int64("version", catalog.Version).Int("routes", len(catalog.Routes)).
		Int("tenants", len(catalog.Tenants)).Bool("relayed", relayed).Send()
	if before != nil {
		f.tellKeys(routetable.CompareKeys(before, catalog))
	}
}

// toldKeys is how many of the keys that came or went a line names.
const toldKeys = 8

// tellKeys logs which keys came and went.
func (f *Follower) tellKeys(change routetable.KeyChange) {
	if len(change.Added)+len(change.Removed) == 0 {
		return
	}
	event.KeysChanged.Log(f.Logger).Int("added", len(change.Added)).Int("removed", len(change.Removed)).
		Strs("added_hashes", shortened(change.Added)).Strs("removed_hashes", shortened(change.Removed)).Send()
}

func shortened(keys []keyhash.Digest) []string {
	short := make([]string, 0, min(len(keys), toldKeys))
	for _, key := range keys[:min(len(keys), toldKeys)] {
		short = append(short, key.Short())
	}
	return short
}

func (f *Follower) tellRetirements(retirements []work.Retirement) {
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
