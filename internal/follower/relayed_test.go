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
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// TestConfigurationReceivedWithStaleListIsRelayed has a node with a feed receive a newer configuration together with a stale list, as when
// the registry is back and the orders were read first. The node applies the configuration, so that it does not receive it again with the
// next list, but it must still relay it to the nodes that read its feed.
func TestConfigurationReceivedWithStaleListIsRelayed(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		runners := []work.Runner{{ID: "i-1", Service: "s", Slots: 1}}
		version := func(version int64) work.Orders {
			return work.Orders{Catalog: &work.Catalog{Version: version, Form: work.CatalogForm}}
		}
		source, relay := fleetfeed.New(time.Now), fleetfeed.New(time.Now)
		f := &follower.Follower{
			Registry: &fakeRegistry{down: true}, Source: &lateSource{feed: source}, Feed: relay, Runners: runnertable.New("z"),
			Routes: &routetable.Table{}, Logger: zerolog.Nop(), Now: time.Now, Options: follower.OptionsFor(longDrain, siteHeartbeat),
		}
		source.RecordRunners(runners, 5, time.Now())
		source.RecordOrders(version(1), time.Now())
		supervisor := new(tomb.Tomb)
		f.Start(supervisor)
		time.Sleep(time.Second)
		assert.Equal(t, f.Routes.Catalog().Version, int64(1))
		time.Sleep(5 * time.Second)
		source.RecordOrders(version(2), time.Now())
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, f.Routes.Catalog().Version, int64(2))
		source.RecordRunners(runners, 6, time.Now())
		source.RecordOrders(work.Orders{}, time.Now())
		time.Sleep(time.Second)
		relayed, err := relay.Snapshot(context.Background(), &fleetfeed.SnapshotRequest{CatalogVersion: 1})
		assert.NilError(t, err)
		assert.Assert(t, relayed.Catalog != nil && relayed.Catalog.Version == 2, "the configuration is not relayed")
		supervisor.Kill(nil)
		assert.NilError(t, supervisor.Wait())
	})
}
