package follower_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// TestConfigurationFromAnOlderBuildIsNotApplied has a node receive a configuration from a node of an older build, which dropped the
// tenants. It must never be applied, because each request would be served without a key; the node must read the registry itself.
func TestConfigurationFromAnOlderBuildIsNotApplied(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		began := time.Now()
		feed := fleetfeed.New(time.Now)
		runners := []work.Runner{{ID: "i-1", Service: "s", Slots: 1}}
		whole := func(version int64) *work.Catalog {
			return &work.Catalog{Version: version, Form: work.CatalogForm, Keyed: true, Tenants: []work.Tenant{{Name: "clinic"}}}
		}
		registry := &fakeRegistry{runners: runners, revision: 5, catalog: whole(1)}
		f := &follower.Follower{
			Registry: registry, Source: &lateSource{from: began, feed: feed}, Runners: runnertable.New("z"), Routes: &routetable.Table{},
			Logger: zerolog.Nop(), Now: time.Now, Options: follower.OptionsFor(longDrain, siteHeartbeat),
		}
		f.Options.StartGrace = time.Second
		supervisor := new(tomb.Tomb)
		version := int64(1)
		send := func() {
			feed.RecordRunners(runners, 5, time.Now())
			feed.RecordOrders(work.Orders{Catalog: &work.Catalog{Version: version}}, time.Now())
		}
		send()
		f.Start(supervisor)
		for step := range 400 {
			if step == 200 {
				version = 2
				registry.mutex.Lock()
				registry.catalog = whole(version)
				registry.mutex.Unlock()
				changed := time.Now()
				defer func() {
					assert.Assert(t, f.Routes.Catalog().Version == 2, "version 2 is not applied %v after the change", time.Since(changed))
				}()
			}
			send()
			time.Sleep(10 * time.Millisecond)
			if catalog := f.Routes.Catalog(); catalog != nil {
				assert.Assert(t, catalog.Keyed, "version %d is applied without its tenants", catalog.Version)
			}
			if step > 250 {
				assert.Equal(t, f.Routes.Catalog().Version, int64(2), "half a second after the change")
			}
		}
		supervisor.Kill(nil)
		assert.NilError(t, supervisor.Wait())
	})
}
