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

// keyRegistry has a configuration and counts the readings of it. Only Orders is called.
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

// addKey has the operator add a key.
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

// keyFleet are nodes before a registry that call each other without a network.
type keyFleet struct {
	registry *keyRegistry
	feeds    map[string]*fleetfeed.Feed
	// silent answer nothing, old do not know the call.
	silent, old map[string]bool
	gates       []*access.Gate
}

var errUnknownCall = errors.New("protocol error: unknown rpc")

// keyConn is a connection to a worker.
type keyConn struct {
	drpc.Conn
	fleet *keyFleet
	to    string
}

func (c *keyConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	time.Sleep(time.Millisecond)
	if c.fleet.silent[c.to] {
		<-ctx.Done()
		return ctx.Err()
	}
	if c.fleet.old[c.to] {
		return errUnknownCall
	}
	reply, err := c.fleet.feeds[c.to].Newest(ctx, in.(*fleetfeed.Known))
	if err != nil {
		return err
	}
	told, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(told, out)
}

// newFollower returns one that is not started: only what requests ask for is read.
func (f *keyFleet) newFollower() *follower.Follower {
	return &follower.Follower{
		Registry: f.registry, Runners: runnertable.New("z"), Routes: &routetable.Table{}, Logger: zerolog.Nop(), Now: time.Now,
		Options: follower.OptionsFor(3*time.Second, time.Second),
	}
}

// newKeyFleet returns a fleet whose nodes know the first configuration. Each front reads itself where asking is false.
func newKeyFleet(fronts, workers int, asking bool) *keyFleet {
	f := &keyFleet{registry: &keyRegistry{}, feeds: map[string]*fleetfeed.Feed{}, silent: map[string]bool{}, old: map[string]bool{}}
	f.registry.addKey("first")
	var list []jobrecord.Worker
	for index := range workers {
		name := fmt.Sprintf("worker-%02d", index)
		list = append(list, jobrecord.Worker{Node: ident.Node(name), Zone: "z", Address: name})
		worker, feed := f.newFollower(), fleetfeed.New(time.Now)
		worker.Feed = feed
		feed.Refresh = jobpeer.NewestReadings(worker.Refresh, time.Now).Fresh
		f.feeds[name] = feed
	}
	for range fronts {
		front := f.newFollower()
		front.Routes.Adopt(f.registry.catalog)
		holders := &jobpeer.Holders{
			Zone: "z", Now: time.Now, Connect: func(to string) (drpc.Conn, error) { return &keyConn{fleet: f, to: to}, nil },
		}
		holders.Learn(append([]jobrecord.Worker(nil), list...), time.Now())
		if asking {
			front.Newest = (&jobpeer.Newest{Holders: holders, Logger: zerolog.Nop()}).Catalog
		}
		f.gates = append(f.gates, &access.Gate{Routes: front.Routes, Refresh: front.Refresh, Logger: zerolog.Nop(), Now: time.Now})
	}
	return f
}

// tryUnknownKeys has unknown keys tried at the nodes by turns, a number a second, and returns the readings that they caused.
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

// TestUnknownKeysCostTheSameAtAnyNumberOfNodes
//
// The load is what clients send whose keys were taken away: 18 requests a second at 58 nodes (a site of 69 machines, six keys taken away),
// and 80 at 250. The aim is that readings that strangers cause do not grow with the nodes: two a second for the whole fleet, where each
// node that reads itself makes one a request.
func TestUnknownKeysCostTheSameAtAnyNumberOfNodes(t *testing.T) {
	const seconds, mostPerSecond = 30, 2
	for _, size := range []struct{ fronts, workers, perSecond int }{{58, 11, 18}, {250, 45, 80}} {
		simulated.Test(t, func(t *testing.T) {
			alone := newKeyFleet(size.fronts, size.workers, false).tryUnknownKeys(t, size.perSecond, seconds)
			together := newKeyFleet(size.fronts, size.workers, true).tryUnknownKeys(t, size.perSecond, seconds)
			t.Logf("%d fronts: %d readings where each reads itself, %d where one reads for all", size.fronts, alone, together)
			assert.Assert(t, together <= mostPerSecond*seconds+1, "%d readings in %d s", together, seconds)
		})
	}
}

// TestKeyIsNeverRefusedByAnOlderConfiguration adds keys while others are refused, and asks with each at once: a worker must not answer
// with what it read before the question. It does so beside a first worker that is silent, one of an older build, and with none.
func TestKeyIsNeverRefusedByAnOlderConfiguration(t *testing.T) {
	for _, c := range []struct {
		name    string
		trouble func(f *keyFleet)
	}{
		{"all well", func(*keyFleet) {}},
		{"the first is silent", func(f *keyFleet) { f.silent["worker-00"] = true }},
		{"the first is of an older build", func(f *keyFleet) { f.old["worker-00"] = true }},
		{"the first two are silent", func(f *keyFleet) { f.silent["worker-00"], f.silent["worker-01"] = true, true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) {
				const seconds, added = 20, 40
				f := newKeyFleet(9, 4, true)
				c.trouble(f)
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

// TestKeyIsNotRefusedWhileTheStoreIsAway has the caller come again.
func TestKeyIsNotRefusedWhileTheStoreIsAway(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		f := newKeyFleet(2, 2, true)
		f.registry.down = true
		_, err := f.gates[0].Tenant(context.Background(), "new", false)
		assert.Equal(t, failure.As(err).Code, failure.CodeConfigUnavailable)
	})
}

// TestNodeWithoutAConfigurationAsksNobodyForIt starts a front beside workers that are silent: it reads the configuration itself at once, in
// the few milliseconds that a call takes, and not when a worker's time is over.
func TestNodeWithoutAConfigurationAsksNobodyForIt(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		const atOnce = 50 * time.Millisecond
		f := newKeyFleet(1, 2, true)
		f.silent["worker-00"], f.silent["worker-01"] = true, true
		starting := f.newFollower()
		holders := &jobpeer.Holders{
			Zone: "z", Now: time.Now, Connect: func(to string) (drpc.Conn, error) { return &keyConn{fleet: f, to: to}, nil },
		}
		holders.Learn([]jobrecord.Worker{{Node: "worker-00", Zone: "z", Address: "worker-00"}}, time.Now())
		starting.Newest = (&jobpeer.Newest{Holders: holders, Logger: zerolog.Nop()}).Catalog
		began := time.Now()
		assert.NilError(t, starting.Refresh(context.Background()))
		assert.Assert(t, time.Since(began) <= atOnce, "%v", time.Since(began))
		assert.Equal(t, starting.Routes.Catalog().Version, int64(1))
	})
}
