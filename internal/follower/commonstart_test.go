package follower_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// busySource answers from a feed after a time that it takes for each call.
type busySource struct {
	feed    *fleetfeed.Feed
	latency time.Duration
}

func (s *busySource) Next(ctx context.Context, known *fleetfeed.SnapshotRequest) (*fleetfeed.Snapshot, error) {
	time.Sleep(s.latency)
	return s.feed.Snapshot(ctx, known)
}

// startTogether starts nodes that all ask one feed, which has data after a time, and returns the lists of runners that the nodes
// read from the registry themselves, and the time after which the last one knew the runners.
func startTogether(t *testing.T, nodes int, after, latency time.Duration) (lists int, known time.Duration) {
	simulated.Test(t, func(t *testing.T) {
		began := time.Now()
		feed := fleetfeed.New(time.Now)
		runners := []work.Runner{{ID: "i-1", Service: "s", Slots: 1}}
		registry := &fakeRegistry{runners: runners, revision: 5, catalog: &work.Catalog{Form: work.CatalogForm, Version: 1}}
		supervisor := new(tomb.Tomb)
		var followers []*follower.Follower
		for range nodes {
			f := &follower.Follower{
				Registry: registry, Source: &busySource{feed: feed, latency: latency}, Runners: runnertable.New("z"), Routes: &routetable.Table{},
				Logger: zerolog.Nop(), Now: time.Now, Options: follower.OptionsFor(longDrain, siteHeartbeat),
			}
			f.Options.StartGrace = 600 * time.Millisecond
			f.Start(supervisor)
			followers = append(followers, f)
		}
		for time.Since(began) < after+10*time.Second && known == 0 {
			if time.Since(began) >= after {
				feed.RecordRunners(runners, 5, time.Now())
				feed.RecordOrders(work.Orders{Catalog: registry.catalog}, time.Now())
			}
			time.Sleep(50 * time.Millisecond)
			if allKnow(followers) {
				known = time.Since(began)
			}
		}
		lists = registry.read()
		supervisor.Kill(nil)
		assert.NilError(t, supervisor.Wait())
	})
	return lists, known
}

func allKnow(followers []*follower.Follower) bool {
	for _, f := range followers {
		if f.Runners.Count() == 0 {
			return false
		}
	}
	return true
}

// TestCommonStartCostsNoListANode starts 30, 300 and 1,000 nodes together, and the node that reads for all of them has the list two
// seconds later, as a busy one does: no other node reads the registry,
// though that node takes up to 300 ms for each call.
func TestCommonStartCostsNoListANode(t *testing.T) {
	for _, nodes := range []int{30, 300, 1000} {
		for _, latency := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprint(nodes, " ", latency), func(t *testing.T) {
				lists, known := startTogether(t, nodes, 2*time.Second, latency)
				assert.Equal(t, lists, 0)
				assert.Assert(t, known <= 2500*time.Millisecond+2*latency, "known after %v", known)
			})
		}
	}
}

// TestNodeReadsItselfWhereTheOthersNeverGetData starts nodes whose source answers and never has data.
func TestNodeReadsItselfWhereTheOthersNeverGetData(t *testing.T) {
	lists, known := startTogether(t, 3, time.Hour, 0)
	assert.Assert(t, lists > 0)
	assert.Assert(t, known <= 4*time.Second, "known after %v", known)
}

// TestLongListIsReadByThoseThatOthersAskFirst has the source of nodes with a long list have nothing new any more: one that others ask
// reads the registry when its list is old, the others only after the time that a list takes to reach them.
func TestLongListIsReadByThoseThatOthersAskFirst(t *testing.T) {
	var runners []work.Runner
	for index := range 1000 {
		runners = append(runners, work.Runner{ID: ident.Incarnation(fmt.Sprint("i-", index)), Service: "s", Slots: 1})
	}
	for _, first := range []bool{true, false} {
		simulated.Test(t, func(t *testing.T) {
			feed := fleetfeed.New(time.Now)
			registry := &fakeRegistry{runners: runners, revision: 5, catalog: &work.Catalog{Form: work.CatalogForm, Version: 1}}
			feed.RecordRunners(runners, 5, time.Now())
			feed.RecordOrders(work.Orders{Catalog: registry.catalog}, time.Now())
			f := &follower.Follower{
				Registry: registry, Source: &lateSource{feed: feed}, Runners: runnertable.New("z"), Routes: &routetable.Table{},
				Logger: zerolog.Nop(), Now: time.Now, Options: follower.OptionsFor(longDrain, siteHeartbeat),
				Fallback: func() follower.Fallback { return follower.Fallback{First: first, Workers: 100} },
			}
			f.Options.StartGrace = 600 * time.Millisecond
			supervisor := new(tomb.Tomb)
			f.Start(supervisor)
			began := time.Now()
			for registry.read() == 0 && time.Since(began) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			old := time.Duration(1.3 * float64(f.Options.ListInterval))
			waited := time.Since(began) - old
			assert.Assert(t, waited <= 50*time.Millisecond == first, "read %v after the list was old", waited)
			assert.Assert(t, waited <= 100*time.Millisecond+7*time.Second, "read %v after the list was old", waited)
			supervisor.Kill(nil)
			assert.NilError(t, supervisor.Wait())
		})
	}
}
