package jobworker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// fullRunner has eight slots, some of them taken by orphaned runs, and takes 100 ms for each request. It records the
// highest number of concurrent requests. Its reports are as old as those of real runners.
type fullRunner struct {
	orphans int

	mutex                     sync.Mutex
	running, maxRunning, sent int
	changes                   []change
}

// change is the number of requests that a runner had from a point in time on.
type change struct {
	at      time.Time
	running int
}

func (r *fullRunner) Send(context.Context, work.Attempt) (*work.Reply, error) {
	r.change(1)
	defer r.change(-1)
	time.Sleep(100 * time.Millisecond)
	return &work.Reply{Head: work.Head{Status: http.StatusOK, Headers: http.Header{}}, Sealed: true, Framed: true, Body: io.NopCloser(strings.NewReader("done"))}, nil
}

func (r *fullRunner) change(by int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running += by
	r.maxRunning = max(r.maxRunning, r.running)
	r.sent += max(by, 0)
	r.changes = append(r.changes, change{at: time.Now(), running: r.running})
}

func (r *fullRunner) Report(context.Context, work.Runner) (work.Load, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	running := 0
	for _, past := range r.changes {
		if time.Since(past.at) >= 100*time.Millisecond {
			running = past.running
		}
	}
	return work.Load{Running: r.orphans + running, Slots: 8}, nil
}

func (r *fullRunner) Forget(work.Runner) {}

// discardedAnswer accepts an answer and discards it.
type discardedAnswer struct{}

func (discardedAnswer) Until(time.Time)              {}
func (discardedAnswer) Begin(work.Head, int64) error { return nil }
func (discardedAnswer) Write([]byte) error           { return nil }

// restartedTable returns the table of a node that has just restarted, with the one runner.
func restartedTable() *runnertable.Table {
	table := runnertable.New("z")
	table.AssumeFullUntilReported()
	table.Replace([]work.Runner{{ID: "a", Service: "s", Zone: "z", Slots: 8}}, time.Now(), true)
	return table
}

// startOwner starts the worker that owns the runner.
func startOwner(supervisor *tomb.Tomb, caller work.Caller) *jobworker.Worker {
	routes := &routetable.Table{}
	routes.Adopt(&work.Catalog{Version: 1})
	store := kvtest.NewPaged(kvtest.NewData(time.Now))
	records := &jobrecord.Records{Store: store, ValueBytes: 1 << 20, Retention: time.Minute, Now: time.Now}
	owner := &jobworker.Worker{
		Node: "w", Zone: "z", Address: "w", Records: records, Store: store, Runners: restartedTable(), Routes: routes, Caller: caller,
		Options: jobworker.DefaultOptions, Restarted: true, Logger: zerolog.Nop(), Now: time.Now,
	}
	owner.Start(supervisor)
	return owner
}

// startFront starts a node that reports its requests to the owner, as a front's process does except for the network:
// messages are passed as JSON.
func startFront(supervisor *tomb.Tomb, node ident.Node, owner *jobworker.Worker, caller work.Caller) *online.Forwarder {
	forwarder := &online.Forwarder{Runners: restartedTable(), Caller: caller, Logger: zerolog.Nop(), Now: time.Now}
	client := &jobpeer.WorkerClient{Zone: "z", Now: time.Now}
	client.UpdateWorkers([]jobrecord.Worker{{Node: "w", Address: "w", Zone: "z"}}, time.Now())
	reporter := demand.NewReporter(node, &jobpeer.OnlineWork{
		Client: client, Runners: forwarder.Runners, Tenants: forwarder, Waiters: forwarder, Logger: zerolog.Nop(), Now: time.Now,
	}, time.Now)
	reporter.Send = func(_ context.Context, _ string, report *demand.Report) (*demand.Answer, error) {
		received, answer := &demand.Report{}, &demand.Answer{}
		if err := passed(report, received); err != nil {
			return nil, err
		}
		return answer, passed(owner.Demand(received), answer)
	}
	forwarder.Runners.OnOnlineChanged(reporter.Changed)
	forwarder.RequestSlots = func() { reporter.Changed(true) }
	reporter.Start(supervisor)
	return forwarder
}

func passed(from, to any) error {
	encoded, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, to)
}

// TestOnePlaceIsGivenToOneNodeAfterTheOther has orphaned runs in seven of the runner's eight slots, and twelve nodes with
// two requests each that arrive at once and use the product's code path. All are answered, and the runner never has more
// requests than slots: a request that waits there would be late and occupy the next slot. The requests have 10 s, four
// times what the runner takes for all.
func TestOnePlaceIsGivenToOneNodeAfterTheOther(t *testing.T) {
	supervisor, runner := new(tomb.Tomb), &fullRunner{orphans: 7}
	t.Cleanup(func() {
		supervisor.Kill(nil)
		_ = supervisor.Wait()
	})
	owner := startOwner(supervisor, runner)
	var fronts []*online.Forwarder
	for index := range 12 {
		fronts = append(fronts, startFront(supervisor, ident.Node(fmt.Sprint("f", index)), owner, runner))
	}
	for began := time.Now(); !fronts[0].Runners.IsRationed("s", time.Now()); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "slots are not rationed")
	}
	time.Sleep(demand.IdleRefreshInterval)
	route := &work.Route{Split: []work.WeightedService{{Service: "s", Weight: 1}}, MaximumAttempts: 1, Objective: 10 * time.Second}
	var callers sync.WaitGroup
	for _, front := range fronts {
		for range 2 {
			callers.Go(func() {
				request := &work.Request{Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second)}
				assert.Check(t, front.Serve(t.Context(), route, request, discardedAnswer{}))
			})
		}
	}
	callers.Wait()
	assert.Equal(t, runner.sent, 24)
	assert.Equal(t, runner.maxRunning, 1, "requests waited at the runner")
}
