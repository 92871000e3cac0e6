package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// distantSource is a node whose answers take a while to come.
type distantSource struct{ feed *fleetfeed.Feed }

func (s *distantSource) Next(ctx context.Context, known *fleetfeed.Known) (*fleetfeed.Snapshot, error) {
	snapshot, err := s.feed.Snapshot(ctx, known)
	time.Sleep(5 * time.Millisecond)
	return snapshot, err
}

func startBeside(feed *fleetfeed.Feed, registry *fakeRegistry) (*follower.Follower, *tomb.Tomb) {
	f := &follower.Follower{
		Registry: registry, Source: &distantSource{feed: feed}, Runners: runnertable.New("z"), Routes: &routetable.Table{},
		Logger: zerolog.Nop(), Now: time.Now, Options: follower.OptionsFor(longDrain, siteHeartbeat),
	}
	f.Options.StartGrace = time.Second
	supervisor := new(tomb.Tomb)
	f.Start(supervisor)
	return f, supervisor
}

// TestOrdersThatWereNeverReadAreNotFresh has a node that reads the runners and has no word of the orders: whoever it tells goes on
// reading the orders itself, and hears of a new configuration in time.
func TestOrdersThatWereNeverReadAreNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := fleetfeed.New(time.Now)
		runners := []work.Runner{{ID: "i-1", Service: "s", Slots: 1}}
		registry := &fakeRegistry{runners: runners, revision: 5, catalog: &work.Catalog{Form: work.CatalogForm, Version: 1}}
		feed.Read(runners, 5, time.Now())
		f, supervisor := startBeside(feed, registry)
		for step := range 200 {
			feed.Read(runners, 5, time.Now())
			time.Sleep(100 * time.Millisecond)
			if step == 100 {
				registry.mutex.Lock()
				registry.catalog = &work.Catalog{Form: work.CatalogForm, Version: 2}
				registry.revision++
				registry.mutex.Unlock()
			}
			if step > 150 {
				assert.Equal(t, f.Routes.Catalog().Version, int64(2), "five seconds after the change")
			}
		}
		supervisor.Kill(nil)
		assert.NilError(t, supervisor.Wait())
	})
}

// TestListThatWasNeverReadIsNotTakenOver has a node tell that has read nothing yet, as when all start while the registry is away.
func TestListThatWasNeverReadIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := fleetfeed.New(time.Now)
		runners := []work.Runner{{ID: "i-1", Service: "s", Slots: 1}}
		registry := &fakeRegistry{down: true, runners: runners, revision: 5, catalog: &work.Catalog{Form: work.CatalogForm, Version: 1}}
		f, supervisor := startBeside(feed, registry)
		time.Sleep(6 * time.Second)
		registry.mutex.Lock()
		registry.down = false
		registry.mutex.Unlock()
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.Runners.Count(), 1, "two seconds after the registry's return")
		assert.Assert(t, f.Routes.Catalog() != nil)
		supervisor.Kill(nil)
		assert.NilError(t, supervisor.Wait())
	})
}
