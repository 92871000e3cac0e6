package jobpeer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/access"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/follower"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/keyhash"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// keyRegistry serves a configuration and counts its reads. Only Orders is called.
type keyRegistry struct {
	work.Registry
	mutex    sync.Mutex
	catalog  *work.Catalog
	readings int
	down     bool
}

func (r *keyRegistry) Orders(context.Context) (work.Orders, int64, error) {
	time.Sleep(4 * time.Millisecond)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readings++
	if r.down {
		return work.Orders{}, 0, kv.ErrUnavailable
	}
	return work.Orders{Catalog: r.catalog}, r.catalog.Version, nil
}

// addKey adds a key to the configuration, as an operator would.
func (r *keyRegistry) addKey(key string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tenant := work.Tenant{Name: "clinic"}
	version := int64(0)
	if r.catalog != nil {
		version = r.catalog.Version
		tenant.Keys = append(tenant.Keys, r.catalog.Tenants[0].Keys...)
	}
	tenant.Keys = append(tenant.Keys, keyhash.Of(key))
	r.catalog = &work.Catalog{Form: work.CatalogForm, Version: version + 1, Keyed: true, Tenants: []work.Tenant{tenant}}
}

func (r *keyRegistry) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.readings
}

// keyFleet is a set of nodes with a common registry that call each other without a network.
type keyFleet struct {
	registry *keyRegistry
	feeds    map[string]*fleetfeed.Feed
	// unresponsive are the workers that do not answer, earlierBuild those that do not have the call.
	unresponsive, earlierBuild map[string]bool
	gates                      []*access.Gate
}

var errUnknownCall = errors.New("protocol error: unknown rpc")

type keyConn struct {
	drpc.Conn
	fleet *keyFleet
	to    string
}

func (c *keyConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	time.Sleep(time.Millisecond)
	if c.fleet.unresponsive[c.to] {
		<-ctx.Done()
		return ctx.Err()
	}
	if c.fleet.earlierBuild[c.to] {
		return errUnknownCall
	}
	reply, err := c.fleet.feeds[c.to].Newest(ctx, in.(*fleetfeed.SnapshotRequest))
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, out)
}

// newFollower returns a follower that is not started: it reads only what requests need.
func (f *keyFleet) newFollower() *follower.Follower {
	return &follower.Follower{
		Registry: f.registry, Runners: runnertable.New("z"), Routes: &routetable.Table{}, Logger: zerolog.Nop(), Now: time.Now,
		Options: follower.OptionsFor(3*time.Second, time.Second),
	}
}

// newKeyFleet returns a fleet whose fronts know the first configuration. If asking is false, each front reads the
// configuration itself.
func newKeyFleet(fronts, workers int, asking bool) *keyFleet {
	f := &keyFleet{
		registry: &keyRegistry{}, feeds: map[string]*fleetfeed.Feed{}, unresponsive: map[string]bool{}, earlierBuild: map[string]bool{},
	}
	f.registry.addKey("first")
	var list []jobrecord.Worker
	for index := range workers {
		name := fmt.Sprintf("worker-%02d", index)
		list = append(list, jobrecord.Worker{Node: ident.Node(name), Zone: "z", Address: name})
		worker, feed := f.newFollower(), fleetfeed.New(time.Now)
		worker.Feed = feed
		feed.Refresh = jobpeer.NewSharedReads(worker.Refresh, time.Now).AwaitFresh
		f.feeds[name] = feed
	}
	for range fronts {
		front := f.newFollower()
		front.Routes.Adopt(f.registry.catalog)
		client := &jobpeer.WorkerClient{
			Zone: "z", Now: time.Now, Connect: func(to string) (drpc.Conn, error) { return &keyConn{fleet: f, to: to}, nil },
		}
		client.UpdateWorkers(append([]jobrecord.Worker(nil), list...), time.Now())
		if asking {
			front.Newest = (&jobpeer.NewestConfiguration{Client: client, Logger: zerolog.Nop()}).Catalog
		}
		f.gates = append(f.gates, &access.Gate{Routes: front.Routes, Refresh: front.Refresh, Logger: zerolog.Nop(), Now: time.Now})
	}
	return f
}

// tryUnknownKeys sends requests with unknown keys to the nodes in turn at the given rate, and returns the number of reads that
// they caused.
func (f *keyFleet) tryUnknownKeys(t *testing.T, perSecond, seconds int) int {
	before := f.registry.count()
	var all sync.WaitGroup
	for try := range perSecond * seconds {
		time.Sleep(time.Second / time.Duration(perSecond))
		all.Go(func() {
			_, err := f.gates[try%len(f.gates)].Tenant(context.Background(), fmt.Sprint("never ", try), false)
			assert.Check(t, failure.As(err).Code == failure.CodeInvalidKey, "%v", err)
		})
	}
	all.Wait()
	return f.registry.count() - before
}

// TestUnknownKeyReadsDoNotGrowWithNodes uses the load of clients whose keys were revoked: 18 requests a second at 58
// nodes (a site of 69 machines, six revoked keys), and 80 at 250. The reads caused by unknown keys must not grow with the
// number of nodes: at most two a second for the whole fleet, whereas nodes that read for themselves make one per request.
func TestUnknownKeyReadsDoNotGrowWithNodes(t *testing.T) {
	const seconds, mostPerSecond = 30, 2
	for _, size := range []struct{ fronts, workers, perSecond int }{{58, 11, 18}, {250, 45, 80}} {
		simulated.Test(t, func(t *testing.T) {
			alone := newKeyFleet(size.fronts, size.workers, false).tryUnknownKeys(t, size.perSecond, seconds)
			together := newKeyFleet(size.fronts, size.workers, true).tryUnknownKeys(t, size.perSecond, seconds)
			t.Logf("%d fronts: %d reads if each reads itself, %d if one reads for all", size.fronts, alone, together)
			assert.Assert(t, together <= mostPerSecond*seconds+1, "%d reads in %d s", together, seconds)
		})
	}
}

// TestKeyIsNeverRefusedByAnOlderConfiguration adds keys while others are refused, and uses each new key at once: a worker must
// not answer with a configuration that it read before the call. The test also runs with an unresponsive first worker, a first
// worker of an older build, and two unresponsive workers.
func TestKeyIsNeverRefusedByAnOlderConfiguration(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(f *keyFleet)
	}{
		{"no fault", func(*keyFleet) {}},
		{"the first worker is unresponsive", func(f *keyFleet) { f.unresponsive["worker-00"] = true }},
		{"the first worker runs an older build", func(f *keyFleet) { f.earlierBuild["worker-00"] = true }},
		{"the first two workers are unresponsive", func(f *keyFleet) { f.unresponsive["worker-00"], f.unresponsive["worker-01"] = true, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) {
				const seconds, added = 20, 40
				f := newKeyFleet(9, 4, true)
				c.fault(f)
				var all sync.WaitGroup
				all.Go(func() { f.tryUnknownKeys(t, 20, seconds) })
				for number := range added {
					time.Sleep(seconds * time.Second / added)
					key := fmt.Sprint("key ", number)
					f.registry.addKey(key)
					for index, gate := range f.gates {
						holder, err := gate.Tenant(context.Background(), key, false)
						assert.NilError(t, err, "front %d", index)
						assert.Equal(t, holder.Name, ident.Tenant("clinic"))
					}
				}
				all.Wait()
			})
		})
	}
}

// TestKeyIsNotRefusedWhileTheStoreIsUnavailable checks that the caller gets a retryable error instead of a refused key while the
// store is unavailable.
func TestKeyIsNotRefusedWhileTheStoreIsUnavailable(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		f := newKeyFleet(2, 2, true)
		f.registry.down = true
		_, err := f.gates[0].Tenant(context.Background(), "new", false)
		assert.Equal(t, failure.As(err).Code, failure.CodeConfigUnavailable)
	})
}

// TestNodeWithoutConfigurationReadsItItself starts a front while the workers are unresponsive. It must read the
// configuration itself at once, in the few milliseconds of a store call, and not only after the timeout of a worker.
func TestNodeWithoutConfigurationReadsItItself(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		const atOnce = 50 * time.Millisecond
		f := newKeyFleet(1, 2, true)
		f.unresponsive["worker-00"], f.unresponsive["worker-01"] = true, true
		starting := f.newFollower()
		client := &jobpeer.WorkerClient{
			Zone: "z", Now: time.Now, Connect: func(to string) (drpc.Conn, error) { return &keyConn{fleet: f, to: to}, nil },
		}
		client.UpdateWorkers([]jobrecord.Worker{{Node: "worker-00", Zone: "z", Address: "worker-00"}}, time.Now())
		starting.Newest = (&jobpeer.NewestConfiguration{Client: client, Logger: zerolog.Nop()}).Catalog
		began := time.Now()
		assert.NilError(t, starting.Refresh(context.Background()))
		assert.Assert(t, time.Since(began) <= atOnce, "%v", time.Since(began))
		assert.Equal(t, starting.Routes.Catalog().Version, int64(1))
	})
}
