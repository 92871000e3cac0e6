package jobpeer_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// listTime is how long a whole list takes on a worker's link, one after the other: 230 kB at 600 Mbit/s.
const listTime = 3 * time.Millisecond

// startingWorker is a worker that answers starting nodes. It implements drpc.Conn.
type startingWorker struct {
	drpc.Conn
	feed *fleetfeed.Feed
	// older means that the worker's build cannot name the workers.
	older bool

	// link is taken while a whole list is told. A mutex would stop the simulated clock.
	link  chan struct{}
	lists atomic.Int64
}

func (w *startingWorker) Invoke(ctx context.Context, method string, _ drpc.Encoding, in, out drpc.Message) error {
	time.Sleep(time.Millisecond)
	if !strings.HasSuffix(method, "/Snapshot") {
		return w.nameWorkers(ctx, out)
	}
	snapshot, err := w.feed.Snapshot(ctx, in.(*fleetfeed.SnapshotRequest))
	if err != nil {
		return err
	}
	*out.(*fleetfeed.Snapshot) = *snapshot
	if len(snapshot.Runners) > 0 {
		w.link <- struct{}{}
		w.lists.Add(1)
		time.Sleep(listTime)
		<-w.link
	}
	return nil
}

var errUnknownMethod = errors.New("unknown rpc")

func (w *startingWorker) nameWorkers(ctx context.Context, out drpc.Message) error {
	if w.older {
		return errUnknownMethod
	}
	answer, err := w.feed.KnownWorkers(ctx, &fleetfeed.WorkersRequest{})
	if err == nil {
		*out.(*fleetfeed.WorkersAnswer) = *answer
	}
	return err
}

// startFronts starts fronts together in five zones, whose workers know each other after 200 ms and have the runners after a second.
// It returns the largest number of whole lists that a worker told, how long after the workers had it the last front had it, and at
// how many moments before that, from a time after the start on, a front did not see others start.
func startFronts(t *testing.T, fronts, workers int, older bool) (mostLists int, late time.Duration, unseen int) {
	const zones, workersAfter, listAfter = 5, 200 * time.Millisecond, time.Second
	began := time.Now()
	byAddress := map[string]*startingWorker{}
	var listed []fleetfeed.Worker
	for number := range workers {
		name := fmt.Sprint("w", number)
		byAddress[name] = &startingWorker{feed: fleetfeed.New(time.Now), older: older, link: make(chan struct{}, 1)}
		listed = append(listed, fleetfeed.Worker{Node: ident.Node(name), Zone: ident.Zone(fmt.Sprint("z", number%zones)), Address: name})
	}
	for _, worker := range byAddress {
		worker.feed.Workers = func() []fleetfeed.Worker {
			if time.Since(began) < workersAfter {
				return nil
			}
			return listed
		}
	}
	supervisor := new(tomb.Tomb)
	var followers []*follower.Follower
	var clients []*jobpeer.WorkerClient
	for number := range fronts {
		name := fmt.Sprint("front-", number)
		client := &jobpeer.WorkerClient{
			Zone: ident.Zone(fmt.Sprint("z", number%zones)), Seeds: []string{"w0", "w1", "w2"}, SeedsFor: 600 * time.Millisecond, Now: time.Now,
			Connect: func(address string) (drpc.Conn, error) { return byAddress[address], nil },
			Records: &jobrecord.Records{Store: kvtest.NewPaged(kvtest.NewData(time.Now)), Now: time.Now},
		}
		followed := &follower.Follower{
			Registry: &nodeRegistry{shared: &sharedRegistry{calls: map[string]int{}, probes: map[string]int{}}},
			Source:   &jobpeer.WorkerFeed{Client: client, Index: xxhash.Sum64String(name)}, Runners: runnertable.New("z"), Routes: &routetable.Table{},
			Options: follower.OptionsFor(5*time.Second, 1200*time.Millisecond), Logger: zerolog.Nop(), Now: time.Now,
		}
		followed.Options.StartGrace = 600 * time.Millisecond
		followed.Start(supervisor)
		followers, clients = append(followers, followed), append(clients, client)
	}
	for time.Sleep(startSeenWithin); time.Since(began) < listAfter; time.Sleep(50 * time.Millisecond) {
		for _, client := range clients {
			if !client.StartsWithOthers() {
				unseen++
			}
		}
	}
	for _, worker := range byAddress {
		worker.feed.RecordOrders(work.Orders{Catalog: &work.Catalog{Form: work.CatalogForm, Version: 1}}, time.Now())
		worker.feed.RecordRunners([]work.Runner{{ID: "i-1", Service: "s", Slots: 1}}, 5, time.Now())
	}
	for _, followed := range followers {
		for followed.Runners.Count() == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	late = time.Since(began) - listAfter
	for _, worker := range byAddress {
		mostLists = max(mostLists, int(worker.lists.Load()))
	}
	supervisor.Kill(nil)
	assert.NilError(t, supervisor.Wait())
	return mostLists, late, unseen
}

// startSeenWithin is the time within which a front that starts must see that others start: requests that arrive with its start
// are refused after it otherwise.
const startSeenWithin = 240 * time.Millisecond

// TestFrontsSeeThatTheFleetStarts starts the fronts of fleets of several sizes together.
func TestFrontsSeeThatTheFleetStarts(t *testing.T) {
	for _, fleet := range []struct{ fronts, workers int }{{25, 5}, {255, 45}, {850, 150}} {
		simulated.Test(t, func(t *testing.T) {
			_, _, unseen := startFronts(t, fleet.fronts, fleet.workers, false)
			assert.Equal(t, unseen, 0, "%d fronts", fleet.fronts)
		})
	}
}

// TestFrontWithoutAnswersStartsAlone has no worker answer a front that starts.
func TestFrontWithoutAnswersStartsAlone(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		client := &jobpeer.WorkerClient{
			Zone: "z0", Seeds: []string{"w0"}, SeedsFor: 600 * time.Millisecond, Now: time.Now,
			Connect: func(string) (drpc.Conn, error) { return nil, errUnresponsive },
			Records: &jobrecord.Records{Store: kvtest.NewPaged(kvtest.NewData(time.Now)), Now: time.Now},
		}
		source := &jobpeer.WorkerFeed{Client: client}
		for range 5 {
			_, err := source.Next(t.Context(), &fleetfeed.SnapshotRequest{})
			assert.Assert(t, err != nil)
			assert.Assert(t, !client.StartsWithOthers())
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// TestStartingFrontsSpreadOverTheWorkers starts the fronts of fleets of several sizes together: no worker tells more whole lists than
// four times its share, also no seed, so that the last front has the list as soon in a fleet of any size.
func TestStartingFrontsSpreadOverTheWorkers(t *testing.T) {
	for _, fleet := range []struct{ fronts, workers int }{{85, 15}, {255, 45}, {850, 150}, {1700, 300}} {
		simulated.Test(t, func(t *testing.T) {
			lists, late, _ := startFronts(t, fleet.fronts, fleet.workers, false)
			t.Logf("%d fronts, %d workers: %d lists, the last one %v late", fleet.fronts, fleet.workers, lists, late)
			assert.Assert(t, lists <= 4*fleet.fronts/fleet.workers, "%d lists", lists)
			assert.Assert(t, late <= 250*time.Millisecond, "%v", late)
		})
	}
}

// TestStartingFrontsAskSeedsOfAnOlderBuild starts fronts whose workers cannot name each other.
func TestStartingFrontsAskSeedsOfAnOlderBuild(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		_, late, _ := startFronts(t, 255, 45, true)
		assert.Assert(t, late <= 750*time.Millisecond, "%v", late)
	})
}
