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

// lateSource has nothing until a moment, and fails with an error until then.
type lateSource struct {
	from  time.Time
	until error
	feed  *fleetfeed.Feed
}

func (s *lateSource) Next(ctx context.Context, known *fleetfeed.Known) (*fleetfeed.Snapshot, error) {
	if time.Now().Before(s.from) {
		return nil, s.until
	}
	return s.feed.Snapshot(ctx, known)
}

// TestNodeThatStartsWaitsToBeTold starts a node beside others. It reads nothing where another tells it within the grace, reads at
// once where there is no other, and reads when the grace is over and nobody told.
func TestNodeThatStartsWaitsToBeTold(t *testing.T) {
	const grace = time.Second
	for _, c := range []struct {
		name string
		// after is when the other node tells what it knows, until what it says before.
		after time.Duration
		until error
		// least and most are when the node knows the runners; reads says whether it read them itself.
		least, most time.Duration
		reads       bool
	}{
		{"told in time", 400 * time.Millisecond, kv.ErrUnavailable, 400 * time.Millisecond, 500 * time.Millisecond, false},
		{"nobody tells", time.Hour, kv.ErrUnavailable, grace, grace + 100*time.Millisecond, true},
		{"no other", time.Hour, follower.ErrReadAlone, 0, 100 * time.Millisecond, true},
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
					feed.Read(runners, 5, time.Now())
					feed.Orders(work.Orders{Catalog: registry.catalog}, time.Now())
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

// turnSource is asked for a while and then says that this node reads for the others.
type turnSource struct {
	lateSource
	turn time.Time
}

func (s *turnSource) Next(ctx context.Context, known *fleetfeed.Known) (*fleetfeed.Snapshot, error) {
	if !time.Now().Before(s.turn) {
		return nil, follower.ErrReadAlone
	}
	return s.lateSource.Next(ctx, known)
}

// TestNodeThatIsToReadForOthersReadsAtOnce tells a node and then has it read for the others. What it was told is as old as what they
// were told: were it to read only when that is too old, each of them would read too.
func TestNodeThatIsToReadForOthersReadsAtOnce(t *testing.T) {
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
		feed.Read(runners, 5, began)
		feed.Orders(work.Orders{Catalog: registry.catalog}, began)
		supervisor := new(tomb.Tomb)
		f.Start(supervisor)
		time.AfterFunc(100*time.Millisecond, func() { feed.Read(runners, 5, time.Now()) })
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, registry.read() > 0, "nothing was read while what was told lasted")
		supervisor.Kill(nil)
		assert.NilError(t, supervisor.Wait())
	})
}

// TestListAfterAnOutageComesFromTheOneThatReads has the registry away from all. Once it is back, the node that reads for all has its
// list after some ten milliseconds; one that it tells reads nothing itself, and one whose source has died reads at once.
func TestListAfterAnOutageComesFromTheOneThatReads(t *testing.T) { listAfterAnOutage(t, 0) }

// TestListAfterAnOutageIsUsedThoughItsOrdersComeLater has the one that reads for all have the list a moment before the orders, which
// it reads beside each other: those that it tells had passed the list over then, and heard of it again with the next one.
func TestListAfterAnOutageIsUsedThoughItsOrdersComeLater(t *testing.T) {
	listAfterAnOutage(t, 20*time.Millisecond)
}

// listAfterAnOutage has the orders come some time after the list.
func listAfterAnOutage(t *testing.T, ordersAfter time.Duration) {
	// The node's probes come at each phase of the return.
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
			feed.Read(runners, 5, time.Now())
			feed.Orders(work.Orders{Catalog: registry.catalog}, time.Now())
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
				feed.Read(registry.runners, 6, time.Now())
				time.Sleep(ordersAfter)
				feed.Orders(work.Orders{Catalog: registry.catalog}, time.Now())
			}
			for f.Runners.Count() < 2 && time.Since(back) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			known := time.Since(back)
			assert.Assert(t, known <= time.Second, "the list was known %v after the return", known)
			assert.Assert(t, dies || known <= 200*time.Millisecond, "told after %v", known)
			assert.Equal(t, registry.lists > 0, dies)
			supervisor.Kill(nil)
			assert.NilError(t, supervisor.Wait())
		})
	}
}
