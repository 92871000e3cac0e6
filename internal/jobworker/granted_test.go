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

// fullRunner has eight places, some of them with runs of dead nodes, and takes a moment for each request. It counts the most at once. Its
// reports are as old as those of real runners.
type fullRunner struct {
	orphans int

	mutex               sync.Mutex
	running, most, sent int
	changes             []change
}

// change is how many requests a runner had as of a moment.
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
	r.most = max(r.most, r.running)
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

// heldAnswer takes an answer.
type heldAnswer struct{}

func (heldAnswer) Until(time.Time)              {}
func (heldAnswer) Begin(work.Head, int64) error { return nil }
func (heldAnswer) Write([]byte) error           { return nil }

// startAgain is a table of the one runner at a node that has just started again.
func startAgain() *runnertable.Table {
	table := runnertable.New("z")
	table.StartsAgain()
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
		Node: "w", Zone: "z", Address: "w", Records: records, Store: store, Runners: startAgain(), Routes: routes, Caller: caller,
		Options: jobworker.DefaultOptions, StartsAgain: true, Logger: zerolog.Nop(), Now: time.Now,
	}
	owner.Start(supervisor)
	return owner
}

// startFront starts a node that tells the owner of its requests, as a front's process does, but for the network: messages pass as JSON.
func startFront(supervisor *tomb.Tomb, node ident.Node, owner *jobworker.Worker, caller work.Caller) *online.Forwarder {
	forwarder := &online.Forwarder{Runners: startAgain(), Caller: caller, Logger: zerolog.Nop(), Now: time.Now}
	holders := &jobpeer.Holders{Zone: "z", Now: time.Now}
	holders.Learn([]jobrecord.Worker{{Node: "w", Address: "w", Zone: "z"}}, time.Now())
	teller := demand.NewTeller(node, &jobpeer.OnlineWork{
		Holders: holders, Runners: forwarder.Runners, Tenants: forwarder, Waiters: forwarder, Logger: zerolog.Nop(), Now: time.Now,
	}, time.Now)
	teller.Tell = func(_ context.Context, _ string, report *demand.Report) (*demand.Answer, error) {
		told, answer := &demand.Report{}, &demand.Answer{}
		if err := passed(report, told); err != nil {
			return nil, err
		}
		return answer, passed(owner.Demand(told), answer)
	}
	forwarder.Runners.OnOnlineChanged(teller.Changed)
	forwarder.Asks = func() { teller.Changed(true) }
	teller.Start(supervisor)
	return forwarder
}

func passed(from, to any) error {
	encoded, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, to)
}

// TestOnePlaceIsGivenToOneNodeAfterTheOther has runs of dead nodes at seven of the runner's eight places, and twelve nodes with two requests each
// that come at once, by the way that they take in the product. All are answered, and the runner never has more than it has places for:
// each that has to wait there would be late and hold the next place. The requests have
// 10 s, four times what the runner takes for all.
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
	for began := time.Now(); !fronts[0].Runners.Rations("s", time.Now()); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "the places are never rationed")
	}
	time.Sleep(demand.IdleRefreshEvery)
	route := &work.Route{Split: []work.WeightedService{{Service: "s", Weight: 1}}, MaximumAttempts: 1, Objective: 10 * time.Second}
	var callers sync.WaitGroup
	for _, front := range fronts {
		for range 2 {
			callers.Go(func() {
				request := &work.Request{Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second)}
				assert.Check(t, front.Serve(t.Context(), route, request, heldAnswer{}))
			})
		}
	}
	callers.Wait()
	assert.Equal(t, runner.sent, 24)
	assert.Equal(t, runner.most, 1, "requests waited at the runner")
}
