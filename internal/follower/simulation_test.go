package follower_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// siteDrain is the bound of the sites that the figures were measured on.
	siteDrain     = 2 * time.Second
	siteHeartbeat = 1200 * time.Millisecond
	// siteApplied is how soon a configuration must be in force.
	siteApplied = 2 * time.Second
	// inTouch is how long after its trouble a node must be right again.
	inTouch = 3 * time.Second
	// entriesBack is how long after the return of the registry the entries of all living runners are back.
	entriesBack = 2 * time.Second
	// useEvery is how often each runner is used.
	useEvery = 10 * time.Millisecond
)

// trouble is a time in which the registry does not answer. Offsets count from the start of the play. Calls in progress at its
// beginning get no answer any more; a trouble without length is one in which all connections fall silent.
type trouble struct {
	from, to time.Duration
	// silent calls hang until they are given up; others are refused at once.
	silent bool
	// outage has the registry away for all, runners included; otherwise only this node is cut off from it.
	outage bool
	// lapses has the entries run out during an outage.
	lapses bool
	// worker has the worker cut off from the registry as well, or in place of this node.
	worker, notNode bool
	// freeze has the process stand still in place of being cut off: nothing of it runs, and what came for it is read afterwards.
	freeze bool
	// overdue has a call that ended in the freeze yield its answer although its time was over: both are ready when it ends.
	overdue bool
	// suspended has the machine of this node sleep in place of being cut off: its timers and its steady clock stand still, and the
	// world goes on. steady has the node go by that clock.
	suspended, steady bool
}

// stopped says whether a process stands still at a time.
func (t trouble) stopped(at time.Duration) bool { return t.freeze && at >= t.from && at < t.to }

// struckWithin says whether the trouble begins in a time.
func (t trouble) struckWithin(from, to time.Duration) bool { return from < t.from && t.from <= to }

// play is a site in which one runner leaves without a word and serves on.
type play struct {
	trouble trouble
	// leaves is when the entry of runner 0 is removed.
	leaves time.Duration
	// back is when the entry of each other runner is back after an outage, counted from its end.
	back []time.Duration
	// renewed is how long before the trouble each runner renewed its entry last.
	renewed []time.Duration
	// idle has the living runners get no requests, so that nothing but the list speaks for them.
	idle bool
	// changes is when the configuration of each version comes, from version 2 on.
	changes []time.Duration
	// relayed has the node read through a worker, which is in the same outage but not cut off.
	relayed bool
}

// troubledRegistry is the registry of a play, as one node sees it.
type troubledRegistry struct {
	play  play
	began time.Time
	// cut says that the trouble of a single node is this node's.
	cut bool
}

// since is the time of the world. A machine that is suspended has no simulated time of its own while it sleeps: the world is ahead
// by the sleep from then on.
func (r *troubledRegistry) since() time.Duration {
	at, trouble := time.Since(r.began), r.play.trouble
	if trouble.suspended && at >= trouble.from {
		at += trouble.to - trouble.from
	}
	return at
}

// wait returns after a time of the world, or when the machine wakes after it.
func (r *troubledRegistry) wait(lasting time.Duration) {
	at, trouble := r.since(), r.play.trouble
	end := at + lasting
	if trouble.suspended && at < trouble.from && end >= trouble.from {
		time.Sleep(trouble.from - at)
	}
	time.Sleep(max(end-r.since(), 0))
}

// now is the clock of the process that reads the registry. Whoever looks at it in a freeze sees the end of it: a process
// that stands still looks then. It does not wait, because the process may hold a mutex.
func (r *troubledRegistry) now() time.Time {
	if at := r.since(); r.cut && r.play.trouble.stopped(at) {
		return r.began.Add(r.play.trouble.to)
	}
	if r.play.trouble.suspended && !r.play.trouble.steady {
		return r.began.Add(r.since())
	}
	return time.Now()
}

// standStill returns once the process runs.
func (r *troubledRegistry) standStill() {
	if at := r.since(); r.cut && r.play.trouble.stopped(at) {
		time.Sleep(r.play.trouble.to - at)
	}
}

// ended returns what becomes of a call that the registry has answered, once the process runs.
func (r *troubledRegistry) ended(ctx context.Context) error {
	r.standStill()
	if r.cut && r.play.trouble.freeze && r.play.trouble.overdue {
		return nil
	}
	return ctx.Err()
}

// callTime is how long the registry takes for a call.
const callTime = 4 * time.Millisecond

// call answers whether a call that begins now, and is held for a time, gets through.
func (r *troubledRegistry) call(ctx context.Context, held time.Duration) error {
	r.standStill()
	at, trouble := r.since(), r.play.trouble
	struck := trouble.outage || (r.cut && !trouble.freeze && !trouble.suspended)
	switch {
	case !struck:
	case trouble.struckWithin(at, at+callTime+held), at >= trouble.from && at < trouble.to && trouble.silent:
		<-ctx.Done()
		return fmt.Errorf("%w: %w", kv.ErrOutcomeUnknown, ctx.Err())
	case at >= trouble.from && at < trouble.to:
		time.Sleep(callTime)
		return kv.ErrUnavailable
	}
	r.wait(callTime)
	return nil
}

// Runners implements work.Registry.
func (r *troubledRegistry) Runners(ctx context.Context) ([]work.Runner, int64, error) {
	if err := r.call(ctx, 0); err != nil {
		return nil, 0, err
	}
	at := r.since()
	var listed []work.Runner
	for i := range len(r.play.back) + 1 {
		if r.lists(i, at) {
			listed = append(listed, r.entry(i, at))
		}
	}
	return listed, 1 + at.Milliseconds(), r.ended(ctx)
}

// lapsed says whether a runner's entry ran out during the trouble.
func (r *troubledRegistry) lapsed(i int) bool {
	trouble := r.play.trouble
	silent := trouble.to - trouble.from + r.play.renewed[i]
	return trouble.outage && trouble.lapses && silent > 3*siteHeartbeat
}

func (r *troubledRegistry) lists(i int, at time.Duration) bool {
	if i == 0 {
		gone := at >= r.play.leaves || (r.lapsed(i) && at >= r.play.trouble.to)
		return !gone
	}
	return !r.lapsed(i) || at < r.play.trouble.to || at >= r.play.trouble.to+r.play.back[i-1]
}

// entry is that of a runner. One that ran out and came back has another registration.
func (r *troubledRegistry) entry(i int, at time.Duration) work.Runner {
	registered := int64(1)
	if r.lapsed(i) && at >= r.play.trouble.to {
		registered = at.Milliseconds()
	}
	return work.Runner{
		ID: runnerOf(i), Service: "s", Address: "a", Zone: "z", Slots: 8, State: work.Ready, Registered: registered,
	}
}

func runnerOf(i int) ident.Incarnation { return ident.Incarnation(fmt.Sprint("i-", i)) }

// Orders implements work.Registry.
func (r *troubledRegistry) Orders(ctx context.Context) (work.Orders, int64, error) {
	if err := r.call(ctx, 0); err != nil {
		return work.Orders{}, 0, err
	}
	version := r.version(r.since())
	return work.Orders{Catalog: &work.Catalog{Form: work.CatalogForm, Version: version}}, version, r.ended(ctx)
}

// version is that of the configuration at a time.
func (r *troubledRegistry) version(at time.Duration) int64 {
	version := int64(1)
	for _, change := range r.play.changes {
		if change <= at {
			version++
		}
	}
	return version
}

// untilNewer returns how long it takes until there is a newer version than the one given, the wait at most.
func (r *troubledRegistry) untilNewer(version int64, wait time.Duration) time.Duration {
	at := r.since()
	for _, change := range r.play.changes {
		if r.version(change) > version && change < at+wait {
			return max(change-at, 0)
		}
	}
	return wait
}

// NextOrders implements work.Registry.
func (r *troubledRegistry) NextOrders(ctx context.Context, after int64, wait time.Duration) (work.Orders, int64, error) {
	held := r.untilNewer(after, wait)
	if err := r.call(ctx, held); err != nil {
		return work.Orders{}, after, err
	}
	r.wait(held)
	if version := r.version(r.since()); version > after {
		return work.Orders{Catalog: &work.Catalog{Form: work.CatalogForm, Version: version}}, version, r.ended(ctx)
	}
	return work.Orders{}, after, r.ended(ctx)
}

// Probe implements work.Registry.
func (r *troubledRegistry) Probe(ctx context.Context) error {
	if err := r.call(ctx, 0); err != nil {
		return err
	}
	return r.ended(ctx)
}

// ReportRetired implements work.Registry.
func (r *troubledRegistry) ReportRetired(context.Context, ident.Node, bool) error { return nil }

// cutSource is a worker's feed, which a node that is cut off does not reach.
type cutSource struct {
	feed *fleetfeed.Feed
	// worker is the registry as the worker sees it, registry as the node does.
	worker, registry *troubledRegistry
}

// Next implements follower.Source.
func (s *cutSource) Next(ctx context.Context, known *fleetfeed.Known) (*fleetfeed.Snapshot, error) {
	if !s.registry.play.trouble.outage && s.registry.cut {
		if err := s.registry.call(ctx, 0); err != nil {
			return nil, err
		}
	}
	answered := make(chan *fleetfeed.Snapshot, 1)
	// A call that is given up is answered later, as on a socket: it keeps the question that was sent.
	asked := *known
	go func() {
		s.worker.standStill()
		snapshot, err := s.feed.Snapshot(ctx, &asked)
		s.worker.standStill()
		if err == nil {
			answered <- snapshot
		}
	}()
	select {
	case snapshot := <-answered:
		return snapshot, s.registry.ended(ctx)
	case <-ctx.Done():
		// The worker may stand still.
		return nil, fmt.Errorf("waiting for a snapshot: %w", ctx.Err())
	}
}

// outcome is what became of the runners.
type outcome struct {
	// lastUse is when the runner that left was used last.
	lastUse time.Duration
	// lost tells of the first living runner that could not be used, or is empty.
	lost string
	// behind tells of the first configuration that was not in force in time, or is empty.
	behind string
}

// run plays the site in simulated time. It uses every runner that the node may use, all the time.
func (p play) run(t *testing.T) outcome {
	began := time.Now()
	table := runnertable.New("z")
	registry := &troubledRegistry{play: p, began: began, cut: !p.trouble.notNode}
	node := newFollower(registry, table)
	supervisor := new(tomb.Tomb)
	if p.relayed {
		passes := &troubledRegistry{play: p, began: began, cut: p.trouble.worker}
		feed := fleetfeed.New(passes.now)
		worker := newFollower(passes, runnertable.New("z"))
		worker.Feed = feed
		worker.Start(supervisor)
		node.Source = &cutSource{feed: feed, worker: passes, registry: registry}
	}
	node.Start(supervisor)
	var result outcome
	const settled = 2 * time.Second
	for at := time.Duration(0); at < p.trouble.to+3*inTouch; at = registry.since() {
		if registry.cut && p.trouble.stopped(at) {
			time.Sleep(p.trouble.to - at)
			continue
		}
		for i := range len(p.back) + 1 {
			used := p.use(table, i, registry.now())
			switch {
			case i == 0 && used:
				result.lastUse = at
			case i != 0 && !used && at > settled && result.lost == "":
				result.lost = fmt.Sprintf("runner %d at %v", i, at)
			}
		}
		if due := registry.version(p.due(at)); at > settled && result.behind == "" {
			if inForce := node.Routes.Catalog().Version; inForce < due {
				result.behind = fmt.Sprintf("version %d in place of %d at %v", inForce, due, at)
			}
		}
		time.Sleep(useEvery)
	}
	supervisor.Kill(nil)
	assert.NilError(t, supervisor.Wait())
	return result
}

// due is the newest moment of which all changes must be in force at a time: a node that is in touch has them within
// siteApplied; one that was struck is in touch inTouch after the end of its trouble.
func (p play) due(at time.Duration) time.Duration {
	newest := at - siteApplied
	if at >= p.trouble.from && at < p.trouble.to+inTouch {
		newest = min(newest, p.trouble.from-siteApplied)
	}
	return newest
}

func newFollower(registry *troubledRegistry, table *runnertable.Table) *follower.Follower {
	return &follower.Follower{
		Registry: registry, Runners: table, Routes: &routetable.Table{}, Options: follower.OptionsFor(siteDrain, siteHeartbeat),
		Logger: zerolog.Nop(), Now: registry.now,
	}
}

// use sends a request to a runner, which answers it well, and says whether the node may use it. Idle ones get none.
func (p play) use(table *runnertable.Table, i int, now time.Time) bool {
	if _, known := table.Runner(runnerOf(i)); p.idle && i != 0 {
		return known
	}
	flight, err := table.StartAt(runnerOf(i), runnertable.Wish{Service: "s"}, now)
	if err != nil {
		return false
	}
	flight.Began(now)
	flight.End()
	return true
}

// bubbles lets one play at a time run: each has a clock of its own.
var bubbles sync.Mutex

func runInBubble(t *testing.T, p play) outcome {
	bubbles.Lock()
	defer bubbles.Unlock()
	var result outcome
	simulated.Test(t, func(t *testing.T) { result = p.run(t) })
	return result
}
