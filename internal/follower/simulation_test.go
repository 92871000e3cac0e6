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
	// siteDrain and siteHeartbeat are the settings of the sites that the figures in this package were measured on.
	siteDrain     = 2 * time.Second
	siteHeartbeat = 1200 * time.Millisecond
	// applyBound is the time within which a configuration must be applied.
	applyBound = 2 * time.Second
	// recoveryBound is the time after a fault within which a node must have recovered.
	recoveryBound = 3 * time.Second
	// relistTime is the time after an outage of the registry within which all living runners are listed again.
	relistTime = 2 * time.Second
	// useInterval is the interval between requests to each runner.
	useInterval = 10 * time.Millisecond
)

// fault is a period in which the registry does not answer a node. Times are offsets from the start of the scenario. Calls in progress at
// the beginning of a fault are never answered; a fault of zero length only has this effect.
type fault struct {
	from, to time.Duration
	// silent makes calls hang until they time out; otherwise they are refused at once.
	silent bool
	// outage makes the registry unreachable for all, runners included; otherwise only this node is partitioned from it.
	outage bool
	// lapses makes the entries of runners expire during an outage.
	lapses bool
	// worker means that the fault also affects the worker, nodeUnaffected that it does not affect this node.
	worker, nodeUnaffected bool
	// freeze stops the process instead of partitioning it: nothing in it runs, and what arrives for it is read afterwards.
	freeze bool
	// overdue makes a call that was answered during the freeze return its answer although it timed out: both are ready afterwards.
	overdue bool
	// suspended suspends the machine of this node instead of partitioning it: its timers and its monotonic clock stop, while
	// everything else continues. monotonic makes the node use that clock.
	suspended, monotonic bool
}

// stopped reports whether an affected process is frozen at a time.
func (t fault) stopped(at time.Duration) bool { return t.freeze && at >= t.from && at < t.to }

// beginsWithin reports whether the fault begins in an interval.
func (t fault) beginsWithin(from, to time.Duration) bool { return from < t.from && t.from <= to }

// scenario is a site in which one runner removes its entry without announcing that it leaves, and continues to answer.
type scenario struct {
	fault fault
	// leaves is when the entry of runner 0 is removed.
	leaves time.Duration
	// says means that runner 0 says that it leaves, and that its entry stays.
	says bool
	// back is the time from the end of an outage until each other runner is listed again.
	back []time.Duration
	// renewed is the time from the last renewal of each runner's entry to the beginning of the fault.
	renewed []time.Duration
	// idle means that living runners get no requests, so that only the list shows that they are alive.
	idle bool
	// changes is the time of each new configuration, from version 2 on.
	changes []time.Duration
	// relayed means that the node reads through a worker. An outage affects the worker too, other faults only if fault.worker is set.
	relayed bool
}

// faultyRegistry is the registry of a scenario, as one node sees it.
type faultyRegistry struct {
	scenario scenario
	began    time.Time
	// cut means that a fault of single nodes affects this node.
	cut bool
}

// since returns the real time since the start of the scenario. Simulated time does not advance while the machine is suspended, so that
// real time is ahead by the length of the suspension afterwards.
func (r *faultyRegistry) since() time.Duration {
	at, fault := time.Since(r.began), r.scenario.fault
	if fault.suspended && at >= fault.from {
		at += fault.to - fault.from
	}
	return at
}

// wait returns after a duration in real time, or, if the machine is suspended then, when it wakes.
func (r *faultyRegistry) wait(lasting time.Duration) {
	at, fault := r.since(), r.scenario.fault
	end := at + lasting
	if fault.suspended && at < fault.from && end >= fault.from {
		time.Sleep(fault.from - at)
	}
	time.Sleep(max(end-r.since(), 0))
}

// now is the clock of the process that reads the registry. During a freeze it returns the end of the freeze, because a frozen process
// reads the clock only then. It does not wait, because the process may hold a mutex.
func (r *faultyRegistry) now() time.Time {
	if at := r.since(); r.cut && r.scenario.fault.stopped(at) {
		return r.began.Add(r.scenario.fault.to)
	}
	if r.scenario.fault.suspended && !r.scenario.fault.monotonic {
		return r.began.Add(r.since())
	}
	return time.Now()
}

// awaitUnfrozen waits until the process is not frozen.
func (r *faultyRegistry) awaitUnfrozen() {
	if at := r.since(); r.cut && r.scenario.fault.stopped(at) {
		time.Sleep(r.scenario.fault.to - at)
	}
}

// ended returns the error of a call that the registry has answered, once the process is not frozen.
func (r *faultyRegistry) ended(ctx context.Context) error {
	r.awaitUnfrozen()
	if r.cut && r.scenario.fault.freeze && r.scenario.fault.overdue {
		return nil
	}
	return ctx.Err()
}

// callTime is the duration of a call of the registry.
const callTime = 4 * time.Millisecond

// call simulates a call that begins now and that the registry holds for a time, and returns its error.
func (r *faultyRegistry) call(ctx context.Context, held time.Duration) error {
	r.awaitUnfrozen()
	at, fault := r.since(), r.scenario.fault
	affected := fault.outage || (r.cut && !fault.freeze && !fault.suspended)
	switch {
	case !affected:
	case fault.beginsWithin(at, at+callTime+held), at >= fault.from && at < fault.to && fault.silent:
		<-ctx.Done()
		return fmt.Errorf("%w: %w", kv.ErrOutcomeUnknown, ctx.Err())
	case at >= fault.from && at < fault.to:
		time.Sleep(callTime)
		return kv.ErrUnavailable
	}
	r.wait(callTime)
	return nil
}

// Runners implements work.Registry.
func (r *faultyRegistry) Runners(ctx context.Context, callTimeout time.Duration) ([]work.Runner, int64, error) {
	// A frozen process sets no timeout before it runs again.
	r.awaitUnfrozen()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.call(ctx, 0); err != nil {
		return nil, 0, err
	}
	at := r.since()
	var listed []work.Runner
	for i := range len(r.scenario.back) + 1 {
		if r.lists(i, at) {
			listed = append(listed, r.entry(i, at))
		}
	}
	return listed, 1 + at.Milliseconds(), r.ended(ctx)
}

// lapsed reports whether a runner's entry expired during the fault.
func (r *faultyRegistry) lapsed(i int) bool {
	fault := r.scenario.fault
	silent := fault.to - fault.from + r.scenario.renewed[i]
	return fault.outage && fault.lapses && silent > 3*siteHeartbeat
}

// lists reports whether a runner is listed at a time.
func (r *faultyRegistry) lists(i int, at time.Duration) bool {
	if i == 0 {
		gone := at >= r.scenario.leaves && !r.scenario.says || (r.lapsed(i) && at >= r.scenario.fault.to)
		return !gone
	}
	return !r.lapsed(i) || at < r.scenario.fault.to || at >= r.scenario.fault.to+r.scenario.back[i-1]
}

// entry returns the entry of a runner. A runner that is listed again after its entry expired has another registration.
func (r *faultyRegistry) entry(i int, at time.Duration) work.Runner {
	registered := int64(1)
	if r.lapsed(i) && at >= r.scenario.fault.to {
		registered = at.Milliseconds()
	}
	state := work.Ready
	if i == 0 && at >= r.scenario.leaves {
		state = work.Draining
	}
	return work.Runner{
		ID: runnerOf(i), Service: "s", Address: "a", Zone: "z", Slots: 8, State: state, Registered: registered,
	}
}

func runnerOf(i int) ident.Incarnation { return ident.Incarnation(fmt.Sprint("i-", i)) }

// Orders implements work.Registry.
func (r *faultyRegistry) Orders(ctx context.Context) (work.Orders, int64, error) {
	if err := r.call(ctx, 0); err != nil {
		return work.Orders{}, 0, err
	}
	version := r.version(r.since())
	return work.Orders{Catalog: &work.Catalog{Form: work.CatalogForm, Version: version}}, version, r.ended(ctx)
}

// version returns the version of the configuration at a time.
func (r *faultyRegistry) version(at time.Duration) int64 {
	version := int64(1)
	for _, change := range r.scenario.changes {
		if change <= at {
			version++
		}
	}
	return version
}

// untilNewer returns the time until there is a newer version than the given one, at most the wait.
func (r *faultyRegistry) untilNewer(version int64, wait time.Duration) time.Duration {
	at := r.since()
	for _, change := range r.scenario.changes {
		if r.version(change) > version && change < at+wait {
			return max(change-at, 0)
		}
	}
	return wait
}

// NextOrders implements work.Registry.
func (r *faultyRegistry) NextOrders(ctx context.Context, after int64, wait time.Duration) (work.Orders, int64, error) {
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
func (r *faultyRegistry) Probe(ctx context.Context) error {
	if err := r.call(ctx, 0); err != nil {
		return err
	}
	return r.ended(ctx)
}

// ReportRetired implements work.Registry.
func (r *faultyRegistry) ReportRetired(context.Context, ident.Node, bool) error { return nil }

// partitionedSource is a worker's feed, which a partitioned node does not reach.
type partitionedSource struct {
	feed *fleetfeed.Feed
	// worker is the registry as the worker sees it, registry the one as the node sees it.
	worker, registry *faultyRegistry
}

// Next implements follower.Source.
func (s *partitionedSource) Next(ctx context.Context, known *fleetfeed.SnapshotRequest) (*fleetfeed.Snapshot, error) {
	if !s.registry.scenario.fault.outage && s.registry.cut {
		if err := s.registry.call(ctx, 0); err != nil {
			return nil, err
		}
	}
	answered := make(chan *fleetfeed.Snapshot, 1)
	// As on a socket, a call that timed out is answered later, so it needs its own copy of the request.
	asked := *known
	go func() {
		s.worker.awaitUnfrozen()
		snapshot, err := s.feed.Snapshot(ctx, &asked)
		s.worker.awaitUnfrozen()
		if err == nil {
			answered <- snapshot
		}
	}()
	select {
	case snapshot := <-answered:
		return snapshot, s.registry.ended(ctx)
	case <-ctx.Done():
		// The worker may be frozen.
		return nil, fmt.Errorf("waiting for a snapshot: %w", ctx.Err())
	}
}

// outcome is the result of a simulated run.
type outcome struct {
	// lastUse is the time of the last use of the runner that left.
	lastUse time.Duration
	// lastSent is the time of the last of them that the node did not hold back for a list that was overdue.
	lastSent time.Duration
	// lost describes the first living runner that could not be used, or is empty.
	lost string
	// behind describes the first configuration that was not applied in time, or is empty.
	behind string
}

// run runs the scenario in simulated time. It sends requests to every runner that the node may use, all the time.
func (p scenario) run(t *testing.T) outcome {
	began := time.Now()
	table := runnertable.New("z")
	registry := &faultyRegistry{scenario: p, began: began, cut: !p.fault.nodeUnaffected}
	node := newFollower(registry, table)
	supervisor := new(tomb.Tomb)
	if p.relayed {
		workerRegistry := &faultyRegistry{scenario: p, began: began, cut: p.fault.worker}
		feed := fleetfeed.New(workerRegistry.now)
		worker := newFollower(workerRegistry, runnertable.New("z"))
		worker.Feed = feed
		worker.Start(supervisor)
		node.Source = &partitionedSource{feed: feed, worker: workerRegistry, registry: registry}
	}
	node.Start(supervisor)
	var result outcome
	const settled = 2 * time.Second
	for at := time.Duration(0); at < p.fault.to+3*recoveryBound; at = registry.since() {
		if registry.cut && p.fault.stopped(at) {
			time.Sleep(p.fault.to - at)
			continue
		}
		for i := range len(p.back) + 1 {
			used := p.use(table, i, registry.now())
			switch {
			case i == 0 && used:
				result.lastUse = at
				if !table.Overdue(registry.now()) {
					result.lastSent = at
				}
			case i != 0 && !used && at > settled && result.lost == "":
				result.lost = fmt.Sprintf("runner %d at %v", i, at)
			}
		}
		if due := registry.version(p.due(at)); at > settled && result.behind == "" {
			if inForce := node.Routes.Catalog().Version; inForce < due {
				result.behind = fmt.Sprintf("version %d in place of %d at %v", inForce, due, at)
			}
		}
		time.Sleep(useInterval)
	}
	supervisor.Kill(nil)
	assert.NilError(t, supervisor.Wait())
	return result
}

// due returns the time up to which all changes must have been applied at a given time. A node that reaches the registry applies them
// within applyBound; after a fault it has recovered within recoveryBound.
func (p scenario) due(at time.Duration) time.Duration {
	newest := at - applyBound
	if at >= p.fault.from && at < p.fault.to+recoveryBound {
		newest = min(newest, p.fault.from-applyBound)
	}
	return newest
}

func newFollower(registry *faultyRegistry, table *runnertable.Table) *follower.Follower {
	return &follower.Follower{
		Registry: registry, Runners: table, Routes: &routetable.Table{}, Options: follower.OptionsFor(siteDrain, siteHeartbeat),
		Logger: zerolog.Nop(), Now: registry.now,
	}
}

// use sends a request to a runner, which succeeds, and reports whether the node may use the runner. It sends none to idle runners.
func (p scenario) use(table *runnertable.Table, i int, now time.Time) bool {
	if _, known := table.Runner(runnerOf(i)); p.idle && i != 0 {
		return known
	}
	flight, err := table.StartAt(runnerOf(i), runnertable.PickRequest{Service: "s"}, now)
	if err != nil {
		return false
	}
	flight.EventReceived(now)
	flight.End()
	return true
}

// simulationMutex serializes simulated runs, because each has its own clock.
var simulationMutex sync.Mutex

// runSimulated runs a scenario in simulated time.
func runSimulated(t *testing.T, p scenario) outcome {
	simulationMutex.Lock()
	defer simulationMutex.Unlock()
	var result outcome
	simulated.Test(t, func(t *testing.T) { result = p.run(t) })
	return result
}
