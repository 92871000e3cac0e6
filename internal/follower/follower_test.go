package follower_test

import (
	"context"
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
	"mallowlatch.example/mallowlatch/internal/work"
)

// fakeRegistry returns what the test sets, and counts the readings of runners and the probes.
type fakeRegistry struct {
	mutex    sync.Mutex
	down     bool
	runners  []work.Runner
	revision int64
	catalog  *work.Catalog
	readings int
	// lists counts only the successful readings of the list.
	lists int
}

func (r *fakeRegistry) Runners(context.Context, time.Duration) ([]work.Runner, int64, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readings++
	if r.down {
		return nil, 0, kv.ErrUnavailable
	}
	r.lists++
	return r.runners, r.revision, nil
}

func (r *fakeRegistry) Orders(context.Context) (work.Orders, int64, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down {
		return work.Orders{}, 0, kv.ErrUnavailable
	}
	return work.Orders{Catalog: r.catalog}, r.revision, nil
}

func (r *fakeRegistry) NextOrders(ctx context.Context, after int64, _ time.Duration) (work.Orders, int64, error) {
	select {
	case <-time.After(10 * time.Millisecond):
	case <-ctx.Done():
	}
	orders, _, err := r.Orders(ctx)
	return orders, after + 1, err
}

// Probe implements work.Registry.
func (r *fakeRegistry) Probe(context.Context) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readings++
	if r.down {
		return kv.ErrUnavailable
	}
	return nil
}

func (r *fakeRegistry) ReportRetired(context.Context, ident.Node, bool) error { return nil }

func (r *fakeRegistry) set(change func(r *fakeRegistry)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(r)
}

func (r *fakeRegistry) read() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.readings
}

// feedSource reads from a feed in the same process until cut is closed.
type feedSource struct {
	feed *fleetfeed.Feed
	cut  chan struct{}
}

func (s *feedSource) Next(ctx context.Context, known *fleetfeed.SnapshotRequest) (*fleetfeed.Snapshot, error) {
	select {
	case <-s.cut:
		return nil, kv.ErrUnavailable
	default:
		return s.feed.Snapshot(ctx, known)
	}
}

// shortDrain makes readings frequent. longDrain makes them so rare that delays on a busy machine do not make a feed look stale.
const (
	shortDrain = 200 * time.Millisecond
	longDrain  = 4 * time.Second
)

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for range 6000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition was not met in time")
}

func start(t *testing.T, f *follower.Follower, drain time.Duration) {
	t.Helper()
	f.Runners, f.Routes, f.Logger, f.Now = runnertable.New("z"), &routetable.Table{}, zerolog.Nop(), time.Now
	f.Options = follower.OptionsFor(drain, siteHeartbeat)
	f.Options.RetryAfter = 10 * time.Millisecond
	supervisor := new(tomb.Tomb)
	f.Start(supervisor)
	t.Cleanup(func() {
		supervisor.Kill(nil)
		_ = supervisor.Wait()
	})
}

// TestLastStateIsKeptDuringOutage checks that the last runners and routes stay in use during an outage of the registry, and that updates
// are applied after it.
func TestLastStateIsKeptDuringOutage(t *testing.T) {
	registry := &fakeRegistry{runners: []work.Runner{{ID: "i-1"}}, revision: 1, catalog: &work.Catalog{Form: work.CatalogForm, Version: 1}}
	f := &follower.Follower{Registry: registry}
	start(t, f, shortDrain)
	eventually(t, func() bool { return f.Runners.Count() == 1 && f.Routes.Catalog() != nil })
	registry.set(func(r *fakeRegistry) { r.down = true })
	before := registry.read()
	eventually(t, func() bool { return registry.read() > before+5 })
	assert.Equal(t, f.Runners.Count(), 1)
	assert.Equal(t, f.Routes.Catalog().Version, int64(1))
	registry.set(func(r *fakeRegistry) {
		r.down, r.revision, r.catalog = false, 2, &work.Catalog{Form: work.CatalogForm, Version: 9}
		r.runners = []work.Runner{{ID: "i-1"}, {ID: "i-2"}}
	})
	eventually(t, func() bool { return f.Runners.Count() == 2 && f.Routes.Catalog().Version == 9 })
}

// TestListOfOlderRevisionIsIgnored checks that a list of an older revision does not replace a newer one.
func TestListOfOlderRevisionIsIgnored(t *testing.T) {
	registry := &fakeRegistry{runners: []work.Runner{{ID: "i-1"}}, revision: 5}
	f := &follower.Follower{Registry: registry}
	start(t, f, shortDrain)
	eventually(t, func() bool { return f.Runners.Count() == 1 })
	registry.set(func(r *fakeRegistry) { r.revision, r.runners = 4, []work.Runner{{ID: "i-1"}, {ID: "old"}} })
	before := registry.read()
	eventually(t, func() bool { return registry.read() > before+3 })
	assert.Equal(t, f.Runners.Count(), 1)
}

// TestRelayedNodeReadsItselfWhenTheSourceFails checks that a node does not read the registry while its source is fresh, and reads
// everything itself once the source fails.
func TestRelayedNodeReadsItselfWhenTheSourceFails(t *testing.T) {
	registry := &fakeRegistry{runners: []work.Runner{{ID: "i-1"}}, revision: 1, catalog: &work.Catalog{Form: work.CatalogForm, Version: 1}}
	feed := fleetfeed.New(time.Now)
	start(t, &follower.Follower{Registry: registry, Feed: feed}, longDrain)
	eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := feed.Snapshot(ctx, &fleetfeed.SnapshotRequest{})
		return err == nil
	})
	own := &fakeRegistry{down: true}
	source := &feedSource{feed: feed, cut: make(chan struct{})}
	f := &follower.Follower{Registry: own, Source: source}
	start(t, f, longDrain)
	eventually(t, func() bool { return f.Runners.Count() == 1 && f.Routes.Catalog() != nil })
	quiet := own.read()
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, own.read() <= quiet+2, "%d own readings although the feed was fresh", own.read()-quiet)
	own.set(func(r *fakeRegistry) {
		r.down, r.revision, r.runners, r.catalog = false, 2, []work.Runner{{ID: "i-1"}, {ID: "i-2"}}, &work.Catalog{Form: work.CatalogForm, Version: 2}
	})
	close(source.cut)
	eventually(t, func() bool { return f.Runners.Count() == 2 && f.Routes.Catalog().Version == 2 })
}

// TestWorkerRelaysWhatItReceived reads through a worker that itself reads through another one: runners, configuration and retirements must
// arrive, and the age of the runners must count from the reading of the registry.
func TestWorkerRelaysWhatItReceived(t *testing.T) {
	first := fleetfeed.New(time.Now)
	read := time.Now().Add(-200 * time.Millisecond)
	first.RecordOrders(work.Orders{Catalog: &work.Catalog{Form: work.CatalogForm, Version: 3}, Retire: []work.Retirement{{Node: "w-2", Within: time.Second}}}, read)
	first.RecordRunners([]work.Runner{{ID: "i-1"}}, 1, read)

	var mutex sync.Mutex
	var received []work.Retirement
	second := fleetfeed.New(time.Now)
	source := &feedSource{feed: first, cut: make(chan struct{})}
	start(t, &follower.Follower{
		Registry: &fakeRegistry{down: true}, Source: source, Feed: second,
		Retire: func(retirement work.Retirement) {
			mutex.Lock()
			defer mutex.Unlock()
			received = append(received, retirement)
		},
	}, longDrain)

	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	snapshot, err := second.Snapshot(ctx, &fleetfeed.SnapshotRequest{WaitMs: 30_000})
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Runners), 1)
	assert.Assert(t, snapshot.RunnersAgeMs >= 200, "the age is %d ms", snapshot.RunnersAgeMs)
	eventually(t, func() bool {
		snapshot, err = second.Snapshot(ctx, &fleetfeed.SnapshotRequest{})
		return err == nil && snapshot.Catalog != nil && len(snapshot.Retire) == 1
	})
	assert.Equal(t, snapshot.Catalog.Version, int64(3))
	mutex.Lock()
	defer mutex.Unlock()
	assert.Equal(t, received[0].Node, ident.Node("w-2"))
}
