package jobpeer_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// sharedRegistry is a registry that refuses the calls of selected nodes.
type sharedRegistry struct {
	mutex   sync.Mutex
	version int64
	refused map[string]bool
	// calls counts the calls of each node without probes, probes counts the probes, and asked counts the calls to feeds.
	calls, probes map[string]int
	asked         int
}

// nodeRegistry is a node's connection to the registry. It implements work.Registry.
type nodeRegistry struct {
	work.Registry
	shared *sharedRegistry
	node   string
}

func (r *nodeRegistry) admit() (int64, error) {
	time.Sleep(4 * time.Millisecond)
	r.shared.mutex.Lock()
	defer r.shared.mutex.Unlock()
	if r.shared.refused[r.node] {
		return 0, kv.ErrRateLimited
	}
	return r.shared.version, nil
}

func (r *nodeRegistry) count() {
	r.shared.mutex.Lock()
	defer r.shared.mutex.Unlock()
	r.shared.calls[r.node]++
}

func (r *nodeRegistry) Runners(context.Context, time.Duration) ([]work.Runner, int64, error) {
	r.count()
	version, err := r.admit()
	return []work.Runner{{ID: "i-1", Service: "s", Slots: 1}}, version, err
}

func (r *nodeRegistry) Orders(context.Context) (work.Orders, int64, error) {
	r.count()
	version, err := r.admit()
	return work.Orders{Catalog: &work.Catalog{Form: work.CatalogForm, Version: version}}, version, err
}

func (r *nodeRegistry) NextOrders(ctx context.Context, after int64, wait time.Duration) (work.Orders, int64, error) {
	r.count()
	for end := time.Now().Add(wait); ; time.Sleep(20 * time.Millisecond) {
		version, err := r.admit()
		switch {
		case err != nil || ctx.Err() != nil:
			return work.Orders{}, after, kv.ErrRateLimited
		case version > after:
			return work.Orders{Catalog: &work.Catalog{Form: work.CatalogForm, Version: version}}, version, nil
		case time.Now().After(end):
			return work.Orders{}, after, nil
		}
	}
}

func (r *nodeRegistry) Probe(context.Context) error {
	r.shared.mutex.Lock()
	r.shared.probes[r.node]++
	r.shared.mutex.Unlock()
	_, err := r.admit()
	return err
}

type snapshotConn struct {
	drpc.Conn
	feed   *fleetfeed.Feed
	shared *sharedRegistry
}

func (c *snapshotConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	time.Sleep(time.Millisecond)
	c.shared.mutex.Lock()
	c.shared.asked++
	c.shared.mutex.Unlock()
	snapshot, err := c.feed.Snapshot(ctx, in.(*fleetfeed.SnapshotRequest))
	if err == nil {
		*out.(*fleetfeed.Snapshot) = *snapshot
	}
	return err
}

// refusedFleet is a set of workers and fronts that follow the registry through each other.
type refusedFleet struct {
	registry *sharedRegistry
	tomb     *tomb.Tomb
	workers  []string
	feeds    map[string]*fleetfeed.Feed
	routes   map[string]*routetable.Table
}

func (f *refusedFleet) connect(address string) (drpc.Conn, error) {
	return &snapshotConn{feed: f.feeds[address], shared: f.registry}, nil
}

func (f *refusedFleet) start(name string, source follower.Source, feed *fleetfeed.Feed) {
	f.routes[name] = &routetable.Table{}
	followed := &follower.Follower{
		Registry: &nodeRegistry{shared: f.registry, node: name}, Source: source, Feed: feed, Runners: runnertable.New("z"), Routes: f.routes[name],
		Options: follower.OptionsFor(3*time.Second, 1200*time.Millisecond), Logger: zerolog.Nop(), Now: time.Now,
	}
	followed.Options.StartGrace = time.Second
	followed.Start(f.tomb)
}

// reader returns the function by which a worker finds the one to ask; see jobworker.Worker.Reader.
func (f *refusedFleet) reader(self string) func(func(string) bool) (string, bool) {
	return func(skipped func(string) bool) (string, bool) {
		for _, name := range f.workers[:2] {
			if name == self {
				return "", false
			}
			if !skipped(name) {
				return name, true
			}
		}
		return "", false
	}
}

func newRefusedFleet(workers, fronts int) *refusedFleet {
	f := &refusedFleet{
		registry: &sharedRegistry{version: 1, refused: map[string]bool{}, calls: map[string]int{}, probes: map[string]int{}}, tomb: new(tomb.Tomb),
		feeds: map[string]*fleetfeed.Feed{}, routes: map[string]*routetable.Table{},
	}
	var list []jobrecord.Worker
	for index := range workers {
		name := fmt.Sprintf("worker-%02d", index)
		f.workers = append(f.workers, name)
		// Feeds are distinguished by their start time in nanoseconds, so no two may start at the same time.
		time.Sleep(time.Millisecond)
		f.feeds[name] = fleetfeed.New(time.Now)
		list = append(list, jobrecord.Worker{Node: ident.Node(name), Zone: "z", Address: name})
	}
	listed := make([]fleetfeed.Worker, 0, workers)
	for _, worker := range list {
		listed = append(listed, fleetfeed.Worker{Node: worker.Node, Zone: worker.Zone, Address: worker.Address})
	}
	for index, name := range f.workers {
		f.feeds[name].Workers = func() []fleetfeed.Worker { return listed }
		source := &jobpeer.LeaderFeed{Reader: f.reader(name), Eligible: func() bool { return index < 2 }, Connect: f.connect, Now: time.Now}
		f.start(name, source, f.feeds[name])
	}
	for index := range fronts {
		client := &jobpeer.WorkerClient{Zone: "z", Connect: f.connect, Now: time.Now}
		client.UpdateWorkers(append([]jobrecord.Worker(nil), list...), time.Now())
		f.start(fmt.Sprintf("front-%02d", index), &jobpeer.WorkerFeed{Client: client, Index: uint64(index)}, nil)
	}
	return f
}

// changeConfiguration changes the configuration, as an operator would.
func (f *refusedFleet) changeConfiguration() int64 {
	f.registry.mutex.Lock()
	defer f.registry.mutex.Unlock()
	f.registry.version++
	return f.registry.version
}

func (f *refusedFleet) refuse(refused bool, names ...string) {
	f.registry.mutex.Lock()
	defer f.registry.mutex.Unlock()
	for _, name := range names {
		f.registry.refused[name] = refused
	}
}

// otherCalls returns the sum of the calls of the nodes that are not eligible readers.
func (f *refusedFleet) otherCalls() int {
	f.registry.mutex.Lock()
	defer f.registry.mutex.Unlock()
	sum := 0
	for name, calls := range f.registry.calls {
		if name != f.workers[0] && name != f.workers[1] {
			sum += calls
		}
	}
	return sum
}

// counts returns the number of calls to feeds and the probes of each node so far.
func (f *refusedFleet) counts() (asked int, probes map[string]int) {
	f.registry.mutex.Lock()
	defer f.registry.mutex.Unlock()
	return f.registry.asked, maps.Clone(f.registry.probes)
}

// checkVersion fails if a node that is not refused lacks a configuration.
func (f *refusedFleet) checkVersion(t *testing.T, version int64) {
	t.Helper()
	f.registry.mutex.Lock()
	refused := maps.Clone(f.registry.refused)
	f.registry.mutex.Unlock()
	for name, routes := range f.routes {
		assert.Assert(t, refused[name] || routes.Catalog().Version >= version, "%s lacks version %d", name, version)
	}
}

// TestReaderThatTheStoreRefusesIsPassedOver uses a site of eleven workers and 22 fronts. The store refuses the reader for
// 9 s while it answers the other nodes. The next eligible worker must read for all: each other node reads the list and the
// orders itself at most once until it has found that worker, and not at all afterwards. During all that time configurations
// must be active within the 3 s that a site allows.
func TestReaderThatTheStoreRefusesIsPassedOver(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		const workers, fronts, callsEach, inForceWithin = 11, 22, 3, 3 * time.Second
		f := newRefusedFleet(workers, fronts)
		time.Sleep(10 * time.Second)
		f.refuse(true, f.workers[0])
		before := f.otherCalls()
		for range 3 {
			version := f.changeConfiguration()
			time.Sleep(inForceWithin)
			f.checkVersion(t, version)
		}
		calls := f.otherCalls() - before
		t.Logf("%d calls by %d nodes", calls, workers-2+fronts)
		assert.Assert(t, calls <= callsEach*(workers-2+fronts), "%d calls", calls)
		f.refuse(false, f.workers[0])
		time.Sleep(inForceWithin)
		before = f.otherCalls()
		version := f.changeConfiguration()
		time.Sleep(inForceWithin)
		f.checkVersion(t, version)
		assert.Equal(t, f.otherCalls(), before, "calls after the reader has returned")
		f.tomb.Kill(nil)
		_ = f.tomb.Wait()
	})
}

// TestNodesWaitWhileTheStoreIsUnavailable uses the same site while the store answers no node for 8 s. Passing readers over
// must cost no more than before: the two eligible readers probe the store at most ten times a second, the others twice, and
// each node calls its source at most a few times a second. A configuration changed during the outage must be active everywhere
// within 3 s of the store's return.
func TestNodesWaitWhileTheStoreIsUnavailable(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		const workers, fronts, seconds, askedEach, inForceWithin = 11, 22, 8, 3, 3 * time.Second
		f := newRefusedFleet(workers, fronts)
		time.Sleep(10 * time.Second)
		var all []string
		for name := range f.routes {
			all = append(all, name)
		}
		f.refuse(true, all...)
		before, _ := f.counts()
		time.Sleep(seconds * time.Second)
		after, probed := f.counts()
		asked := after - before
		t.Logf("%d calls to feeds by %d nodes in %d s, probes: %v", asked, len(all), seconds, probed)
		assert.Assert(t, asked <= askedEach*seconds*len(all), "%d calls to feeds", asked)
		for name, probes := range probed {
			most := 2 * seconds
			if name == f.workers[0] || name == f.workers[1] {
				most = 10 * seconds
			}
			assert.Assert(t, probes <= most, "%s made %d probes", name, probes)
		}
		version := f.changeConfiguration()
		f.refuse(false, all...)
		time.Sleep(inForceWithin)
		f.checkVersion(t, version)
		f.tomb.Kill(nil)
		_ = f.tomb.Wait()
	})
}
