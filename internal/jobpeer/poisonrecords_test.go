package jobpeer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/poisonwatch"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
)

// knownWithin is the time within which every connected node has to know a poison request, counted from the third runner end or
// from when the node's own fault ended.
const knownWithin = 3 * time.Second

// maxAddedBytesPerSecond is the traffic that a node may spend on poison requests once all nodes know one, in bytes per second: a third of
// the 3 kB per second that it may spend on control.
const maxAddedBytesPerSecond = 1000

// endsFleet is a set of nodes that call each other without a network. Its mutex guards the maps.
type endsFleet struct {
	mutex   sync.Mutex
	workers map[string]*jobworker.Worker
	// partitioned are the partitioned nodes: calls from and to them block until their context ends.
	partitioned map[string]bool
	// bytes counts the size of calls and answers, by calling node.
	bytes map[string]int
	list  []jobrecord.Worker
	nodes []*endsNode
	tomb  *tomb.Tomb
}

// endsNode is a node of the fleet.
type endsNode struct {
	name  string
	watch *poisonwatch.Watch
}

type endsConn struct {
	drpc.Conn
	fleet    *endsFleet
	from, to string
}

func (c *endsConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	c.fleet.mutex.Lock()
	worker := c.fleet.workers[c.to]
	unreachable := c.fleet.partitioned[c.from] || c.fleet.partitioned[c.to] || worker == nil
	c.fleet.mutex.Unlock()
	if unreachable {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	server := &jobpeer.WorkerServer{Worker: worker}
	var reply any
	var err error
	switch request := in.(type) {
	case *demand.Report:
		reply, err = server.Demand(ctx, request)
	case *jobpeer.EndsRequest:
		reply, err = server.Ends(ctx, request)
	}
	if err != nil {
		return err
	}
	encodedRequest, _ := json.Marshal(in)
	encodedReply, _ := json.Marshal(reply)
	c.fleet.mutex.Lock()
	c.fleet.bytes[c.from] += len(encodedRequest) + len(encodedReply)
	c.fleet.mutex.Unlock()
	return json.Unmarshal(encodedReply, out)
}

func (f *endsFleet) connect(from string) func(string) (drpc.Conn, error) {
	return func(to string) (drpc.Conn, error) { return &endsConn{fleet: f, from: from, to: to}, nil }
}

func (f *endsFleet) newWatch(name string, table *runnertable.Table) *poisonwatch.Watch {
	watch := &poisonwatch.Watch{
		Book: poison.NewBook(1e9 + int64(len(f.nodes))), Runners: table, Tomb: f.tomb, Logger: zerolog.Nop(), Now: time.Now,
	}
	f.nodes = append(f.nodes, &endsNode{name: name, watch: watch})
	return watch
}

func (f *endsFleet) startWorker(name string, zone ident.Zone) {
	table := runnertable.New(zone)
	worker := &jobworker.Worker{Node: ident.Node(name), Zone: zone, Address: name, Runners: table, PoisonWatch: f.newWatch(name, table), Now: time.Now}
	f.mutex.Lock()
	f.workers[name] = worker
	f.mutex.Unlock()
	ends := &jobpeer.PoisonRecordSync{
		Node: worker.Node, Watch: worker.PoisonWatch, Workers: func() []jobrecord.Worker { return f.list },
		Peers: &jobpeer.Peers{Connect: f.connect(name), Now: time.Now},
	}
	ends.Start(f.tomb)
}

func (f *endsFleet) startFront(name string, zone ident.Zone) *endsNode {
	table := runnertable.New(zone)
	watch := f.newWatch(name, table)
	client := &jobpeer.WorkerClient{Zone: zone, Connect: f.connect(name), Now: time.Now}
	client.UpdateWorkers(append([]jobrecord.Worker(nil), f.list...), time.Now())
	reporter := demand.NewReporter(ident.Node(name), &jobpeer.OnlineWork{Client: client, Runners: table, Ends: watch, Now: time.Now}, time.Now)
	reporter.Send = client.ReportDemand
	reporter.Start(f.tomb)
	client.SendPoisonRecords(f.tomb, watch)
	return f.nodes[len(f.nodes)-1]
}

// setPartitioned partitions nodes or heals their partition.
func (f *endsFleet) setPartitioned(partitioned bool, names ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, name := range names {
		f.partitioned[name] = partitioned
	}
}

// load returns the traffic of the node with the most calls in bytes per second, while nothing happens.
func (f *endsFleet) load() int {
	const seconds = 20
	f.mutex.Lock()
	clear(f.bytes)
	f.mutex.Unlock()
	time.Sleep(seconds * time.Second)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	most := 0
	for _, count := range f.bytes {
		most = max(most, count)
	}
	return most / seconds
}

// unaware returns the nodes that would run the request, without the partitioned ones.
func (f *endsFleet) unaware() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var names []string
	for _, node := range f.nodes {
		if !f.partitioned[node.name] && !node.watch.Refused("bad") {
			names = append(names, node.name)
		}
	}
	return names
}

// simulateEnds simulates runners that end under a request at three nodes of different zones, while two workers are dead and a
// whole zone is partitioned. The partition heals later, and another node starts at that time.
func simulateEnds(t *testing.T, seed uint64, zones, fronts, workers int) {
	simulated.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 0))
		f := &endsFleet{workers: map[string]*jobworker.Worker{}, partitioned: map[string]bool{}, bytes: map[string]int{}, tomb: new(tomb.Tomb)}
		finished := make(chan struct{})
		f.tomb.Go(func() error { <-finished; return nil })
		zoneOf := func(index int) ident.Zone { return ident.Zone(fmt.Sprint("z", index%zones)) }
		for index := range workers {
			name := fmt.Sprint("worker-", index)
			f.list = append(f.list, jobrecord.Worker{Node: ident.Node(name), Zone: zoneOf(index), Address: name})
		}
		const dead = 2
		for index := dead; index < workers; index++ {
			f.startWorker(fmt.Sprint("worker-", index), zoneOf(index))
		}
		var all []*endsNode
		for index := range fronts {
			all = append(all, f.startFront(fmt.Sprint("front-", index), zoneOf(index)))
		}
		before := f.load()
		time.Sleep(time.Second + time.Duration(random.Int64N(int64(time.Second))))
		var isolated []string
		for index := range workers {
			if zoneOf(index) == zoneOf(zones-1) {
				isolated = append(isolated, fmt.Sprint("worker-", index))
			}
		}
		for index := range fronts {
			if zoneOf(index) == zoneOf(zones-1) {
				isolated = append(isolated, fmt.Sprint("front-", index))
			}
		}
		f.setPartitioned(true, isolated...)
		for end := range 3 {
			// Any front that is not partitioned.
			index := random.IntN(fronts/zones)*zones + end%(zones-1)
			all[index].watch.Book.RecordCrash(ident.Incarnation(fmt.Sprint("r", end)), []poison.Fingerprint{"bad"}, time.Now(), time.Now())
			time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		}
		time.Sleep(knownWithin)
		assert.DeepEqual(t, f.unaware(), []string(nil))
		time.Sleep(time.Duration(random.Int64N(int64(6 * time.Second))))
		f.setPartitioned(false, isolated...)
		f.startFront("front-late", zoneOf(random.IntN(zones)))
		time.Sleep(knownWithin)
		assert.DeepEqual(t, f.unaware(), []string(nil))
		after := f.load()
		t.Logf("seed %d, %d fronts, %d workers: busiest node %d bytes/s before, %d after", seed, fronts, workers, before, after)
		assert.Assert(t, after-before <= maxAddedBytesPerSecond)
		f.tomb.Kill(nil)
		close(finished)
		_ = f.tomb.Wait()
	})
}

// TestPoisonRecordsReachEveryNodeInTime runs at the smallest, the usual and the largest site. All connected nodes must refuse a request
// within three seconds of the third runner end under it, also while the store is unavailable (nothing here uses it), two
// workers are dead and a zone is partitioned. The nodes of that zone, and a node that starts, must do so within three seconds
// of their return.
func TestPoisonRecordsReachEveryNodeInTime(t *testing.T) {
	for _, size := range []struct{ zones, fronts, workers, runs int }{{3, 9, 6, 20}, {4, 62, 12, 6}, {7, 250, 45, 1}} {
		for seed := range size.runs {
			simulateEnds(t, uint64(seed), size.zones, size.fronts, size.workers)
		}
	}
}
