package follower_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// lateSource fails with the error until before the time from, and then reads from the feed.
type lateSource struct {
	from  time.Time
	until error
	feed  *fleetfeed.Feed
}

func (s *lateSource) Next(ctx context.Context, known *fleetfeed.SnapshotRequest) (*fleetfeed.Snapshot, error) {
	if time.Now().Before(s.from) {
		return nil, s.until
	}
	return s.feed.Snapshot(ctx, known)
}

// TestStartingNodeWaitsForRelayedData starts a node. It must not read the registry if another node sends data within the grace period,
// must read at once if there is no other node, and must read after the grace period if no data arrives.
func TestStartingNodeWaitsForRelayedData(t *testing.T) {
	const grace = time.Second
	for _, c := range []struct {
		name string
		// after is when the other node starts to answer, until the error before that.
		after time.Duration
		until error
		// least and most bound the time at which the node has the runners; reads is whether it read them itself.
		least, most time.Duration
		reads       bool
	}{
		{"answer in time", 400 * time.Millisecond, kv.ErrUnavailable, 400 * time.Millisecond, 500 * time.Millisecond, false},
		{"no answer", time.Hour, kv.ErrUnavailable, grace, grace + 100*time.Millisecond, true},
		{"no other node", time.Hour, follower.ErrNoSource, 0, 100 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) {
				began := time.Now()
				feed := fleetfeed.New(time.Now)
				runners := []work.Runner{{ID: "i-1", Service: "s", Slots: 1}}
				registry := &fakeRegistry{runners: runners, revision: 5, catalog: &work.Catalog{Form: work.CatalogForm, Version: 1}}
				f := &follower.Follower{
					Registry: registry, Source: &lateSource{from: began.Add(c.after), until: c.until, feed: feed},
					Runners: runnertable.New("z"), Routes: &routetable.Table{}, Logger: zerolog.Nop(), Now: time.Now,
					Options: follower.OptionsFor(longDrain, siteHeartbeat),
				}
				f.Options.StartGrace = grace
				supervisor := new(tomb.Tomb)
				f.Start(supervisor)
				for f.Runners.Count() == 0 && time.Since(began) < time.Minute {
					feed.RecordRunners(runners, 5, time.Now())
					feed.RecordOrders(work.Orders{Catalog: registry.catalog}, time.Now())
					time.Sleep(10 * time.Millisecond)
				}
				known := time.Since(began)
				assert.Assert(t, known >= c.least && known <= c.most, "known after %v", known)
				assert.Equal(t, registry.read() > 0, c.reads)
				supervisor.Kill(nil)
				assert.NilError(t, supervisor.Wait())
			})
		})
	}
}

// turnSource is a lateSource that returns ErrNoSource from the time turn on.
type turnSource struct {
	lateSource
	turn time.Time
}

func (s *turnSource) Next(ctx context.Context, known *fleetfeed.SnapshotRequest) (*fleetfeed.Snapshot, error) {
	if !time.Now().Before(s.turn) {
		return nil, follower.ErrNoSource
	}
	return s.lateSource.Next(ctx, known)
}

// TestNodeThatBecomesReaderReadsAtOnce sends data to a node and then makes it the one that reads for the others. Its data is as old as
// theirs: if it read the registry only once its data is stale, each of them would read too.
func TestNodeThatBecomesReaderReadsAtOnce(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		began := time.Now()
		feed := fleetfeed.New(time.Now)
		runners := []work.Runner{{ID: "i-1", Service: "s", Slots: 1}}
		registry := &fakeRegistry{runners: runners, revision: 5, catalog: &work.Catalog{Form: work.CatalogForm, Version: 1}}
		source := &turnSource{lateSource: lateSource{from: began, feed: feed}, turn: began.Add(100 * time.Millisecond)}
		f := &follower.Follower{
			Registry: registry, Source: source, Runners: runnertable.New("z"), Routes: &routetable.Table{}, Logger: zerolog.Nop(),
			Now: time.Now, Options: follower.OptionsFor(longDrain, siteHeartbeat),
		}
		f.Options.StartGrace = time.Second
		feed.RecordRunners(runners, 5, began)
		feed.RecordOrders(work.Orders{Catalog: registry.catalog}, began)
		supervisor := new(tomb.Tomb)
		f.Start(supervisor)
		time.AfterFunc(100*time.Millisecond, func() { feed.RecordRunners(runners, 5, time.Now()) })
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, registry.read() > 0, "nothing was read while the received data was fresh")
		supervisor.Kill(nil)
		assert.NilError(t, supervisor.Wait())
	})
}

// TestListAfterOutageComesFromReader ends an outage of the registry. The node that reads for all gets the list shortly afterwards. A node
// that receives it from there must not read itself, and one whose source has failed must read at once.
func TestListAfterOutageComesFromReader(t *testing.T) { listAfterAnOutage(t, 0) }

// TestListAfterOutageIsUsedWhenOrdersFollow has the node that reads for all, which reads the list and the orders concurrently, get the list
// shortly before the orders. Guards against a receiver that discards the list because the orders are stale, and then gets it only with
// the next reading.
func TestListAfterOutageIsUsedWhenOrdersFollow(t *testing.T) {
	listAfterAnOutage(t, 20*time.Millisecond)
}

// listAfterAnOutage ends an outage; the orders follow the list after ordersAfter.
func listAfterAnOutage(t *testing.T, ordersAfter time.Duration) {
	// The end of the outage falls at different phases between two probes.
	for phase := range 20 {
		dies := phase%2 == 1
		simulated.Test(t, func(t *testing.T) {
			feed := fleetfeed.New(time.Now)
			runners := []work.Runner{{ID: "i-1", Service: "s", Slots: 1}}
			registry := &fakeRegistry{runners: runners, revision: 5, catalog: &work.Catalog{Form: work.CatalogForm, Version: 1}}
			source := &feedSource{feed: feed, cut: make(chan struct{})}
			f := &follower.Follower{
				Registry: registry, Source: source, Runners: runnertable.New("z"), Routes: &routetable.Table{}, Logger: zerolog.Nop(),
				Now: time.Now, Options: follower.OptionsFor(longDrain, siteHeartbeat),
			}
			f.Options.StartGrace = time.Second
			feed.RecordRunners(runners, 5, time.Now())
			feed.RecordOrders(work.Orders{Catalog: registry.catalog}, time.Now())
			supervisor := new(tomb.Tomb)
			f.Start(supervisor)
			registry.set(func(r *fakeRegistry) { r.down = true })
			time.Sleep(8*time.Second + time.Duration(phase)*27*time.Millisecond)
			if dies {
				close(source.cut)
				time.Sleep(4 * time.Second)
			}
			back := time.Now()
			registry.set(func(r *fakeRegistry) {
				r.down, r.revision, r.runners = false, 6, append(runners, work.Runner{ID: "i-2", Service: "s", Slots: 1})
			})
			if !dies {
				time.Sleep(120 * time.Millisecond)
				feed.RecordRunners(registry.runners, 6, time.Now())
				time.Sleep(ordersAfter)
				feed.RecordOrders(work.Orders{Catalog: registry.catalog}, time.Now())
			}
			for f.Runners.Count() < 2 && time.Since(back) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			known := time.Since(back)
			assert.Assert(t, known <= time.Second, "the list arrived %v after the return", known)
			assert.Assert(t, dies || known <= 200*time.Millisecond, "the relayed list arrived after %v", known)
			assert.Equal(t, registry.lists > 0, dies)
			supervisor.Kill(nil)
			assert.NilError(t, supervisor.Wait())
		})
	}
}
