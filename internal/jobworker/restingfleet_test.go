package jobworker_test

import (
	"context"
	"encoding/json"
	"fmt"
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
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// restingFleet is a front that reports to the workers of a fleet of five zones, without a network. Workers that are never
// called do not exist; each has the same view of the fleet as the front.
type restingFleet struct {
	listed  []jobrecord.Worker
	runners []work.Runner
	// older means that the workers are of a build that lists all runners in each answer.
	older bool

	mutex   sync.Mutex
	workers map[string]*jobworker.Worker
	// calls and bytes count the calls by worker, and the bytes of their messages, by whether they leave the front's zone.
	calls map[string]int
	bytes map[bool]int
}

func newRestingFleet(workers, runners int) *restingFleet {
	f := &restingFleet{workers: map[string]*jobworker.Worker{}, calls: map[string]int{}, bytes: map[bool]int{}}
	for index := range workers {
		name := fmt.Sprint("worker-messina-", index)
		f.listed = append(f.listed, jobrecord.Worker{Node: ident.Node(name), Zone: ident.Zone(fmt.Sprint("z-", index%5)), Address: name})
	}
	for index := range runners {
		f.runners = append(f.runners, work.Runner{
			ID: ident.Incarnation(fmt.Sprintf("i-%08x#1700000000000", index)), Service: "s", Zone: ident.Zone(fmt.Sprint("z-", index%5)), Slots: 8, State: work.Ready,
		})
	}
	return f
}

// worker returns the worker at an address.
func (f *restingFleet) worker(address string) *jobworker.Worker {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.workers[address] == nil {
		listed := f.listed[0]
		for _, worker := range f.listed {
			if worker.Address == address {
				listed = worker
			}
		}
		table := runnertable.New(listed.Zone)
		table.Replace(f.runners, time.Now(), true)
		started := &jobworker.Worker{
			Node: listed.Node, Zone: listed.Zone, Address: address, Runners: table, Routes: &routetable.Table{}, Now: time.Now,
		}
		started.SetWorkers(f.listed)
		f.workers[address] = started
	}
	return f.workers[address]
}

// restingConn answers calls of the front.
type restingConn struct {
	drpc.Conn
	fleet *restingFleet
	to    string
}

func (c *restingConn) Invoke(_ context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	time.Sleep(time.Millisecond)
	report := *in.(*demand.Report)
	if c.fleet.older {
		report.Owned = 0
	}
	worker := c.fleet.worker(c.to)
	answer := worker.Demand(&report)
	encodedReport, _ := json.Marshal(in)
	encodedAnswer, _ := json.Marshal(answer)
	c.fleet.mutex.Lock()
	defer c.fleet.mutex.Unlock()
	c.fleet.calls[c.to]++
	c.fleet.bytes[worker.Zone != "z-0"] += len(encodedReport) + len(encodedAnswer)
	return json.Unmarshal(encodedAnswer, out)
}

// rest runs a front of zone z-0 without requests for ten seconds of simulated time, and returns its table.
func (f *restingFleet) rest(t *testing.T) *runnertable.Table {
	table := runnertable.New("z-0")
	table.Replace(f.runners, time.Now(), true)
	client := &jobpeer.WorkerClient{
		Zone: "z-0", Now: time.Now,
		Connect: func(to string) (drpc.Conn, error) { return &restingConn{fleet: f, to: to}, nil },
	}
	client.UpdateWorkers(append([]jobrecord.Worker(nil), f.listed...), time.Now())
	watched := new(tomb.Tomb)
	online := &jobpeer.OnlineWork{
		Node: "front-messina-1", Client: client, Runners: table, Now: time.Now, Logger: zerolog.Nop(),
		Ends: &poisonwatch.Watch{Book: poison.NewBook(1), Runners: table, Tomb: watched, Logger: zerolog.Nop(), Now: time.Now},
	}
	reporter := demand.NewReporter("front-messina-1", online, time.Now)
	reporter.Send = online.Report
	reporter.Start(watched)
	time.Sleep(restingTime)
	watched.Kill(nil)
	assert.NilError(t, watched.Wait())
	return table
}

const restingTime = 10 * time.Second

// restingSizes are numbers of workers and runners: of a site, of a fleet of 985 machines and of one twice as large.
var restingSizes = [][2]int{{10, 300}, {150, 10000}, {300, 20000}}

// TestRestingFrontCallsABoundedNumberOfWorkers counts what a front without requests spends on the workers: calls, workers and
// bytes are within the budget of 3 kB a second for control, and do not grow with the fleet.
func TestRestingFrontCallsABoundedNumberOfWorkers(t *testing.T) {
	for _, size := range restingSizes {
		simulated.Test(t, func(t *testing.T) {
			fleet := newRestingFleet(size[0], size[1])
			fleet.rest(t)
			calls := 0
			for _, count := range fleet.calls {
				calls += count
			}
			perSecond := float64(restingTime / time.Second)
			near, far := float64(fleet.bytes[false])/perSecond, float64(fleet.bytes[true])/perSecond
			t.Logf("%d workers, %d runners: %d workers called, %.1f calls, %.0f bytes near and %.0f far a second", size[0], size[1], len(fleet.calls), float64(calls)/perSecond, near, far)
			assert.Check(t, len(fleet.calls) <= 16, "%d workers called", len(fleet.calls))
			assert.Check(t, float64(calls) <= 25*perSecond, "%d calls", calls)
			assert.Check(t, near+far <= 3000, "%.0f bytes a second", near+far)
		})
	}
}

// TestAnswersWithoutIdleRunnersSayTheSame has a front rest in a fleet whose workers leave idle runners out of their answers, and
// in one whose workers are of an older build: it knows the same of the runners.
func TestAnswersWithoutIdleRunnersSayTheSame(t *testing.T) {
	known := map[bool]int{}
	for _, older := range []bool{false, true} {
		simulated.Test(t, func(t *testing.T) {
			fleet := newRestingFleet(10, 300)
			fleet.older = older
			table := fleet.rest(t)
			known[older] = table.Free("s", time.Now())
		})
	}
	assert.Equal(t, known[false], known[true])
}
