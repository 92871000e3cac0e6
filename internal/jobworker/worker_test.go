package jobworker_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const eventsEach = 3

// fakeCaller answers each item completely. A node that is cut off reaches no runner.
type fakeCaller struct {
	mutex sync.Mutex
	cut   bool
	// held blocks every item while it is set.
	held bool
	// takes is the duration of each run; running counts those in progress, maxRunning is the highest count seen.
	takes               time.Duration
	running, maxRunning int
	// failing is the runner that answers every item with a failure.
	failing ident.Incarnation
}

func (c *fakeCaller) hold(held bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.held = held
}

func (c *fakeCaller) count(change int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running += change
	c.maxRunning = max(c.maxRunning, c.running)
}

func (c *fakeCaller) isHeld() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.held
}

func (c *fakeCaller) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	for c.isHeld() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	c.count(1)
	time.Sleep(c.takes)
	c.count(-1)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cut {
		return nil, connpool.ErrNotSent
	}
	if attempt.Runner.ID == c.failing {
		return &work.Reply{
			Head: work.Head{Status: http.StatusInternalServerError}, Sealed: true, Framed: true, Body: io.NopCloser(strings.NewReader("")),
		}, nil
	}
	var text strings.Builder
	for position := attempt.ResumeAfter + 1; position <= eventsEach; position++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s/%d\n\n", position, attempt.Request.ID, position)
	}
	return &work.Reply{
		Head: work.Head{Status: http.StatusOK}, Sealed: true, Framed: true, Body: io.NopCloser(strings.NewReader(text.String())),
	}, nil
}

func (c *fakeCaller) Report(context.Context, work.Runner) (work.Load, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cut {
		return work.Load{}, connpool.ErrNotSent
	}
	return work.Load{Slots: 8}, nil
}

func (c *fakeCaller) Forget(work.Runner) {}

func (c *fakeCaller) setCut(cut bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut = cut
}

// group is a set of workers on one store, in one zone.
type group struct {
	t       *testing.T
	data    *kvtest.Data
	records *jobrecord.Records
	routes  *routetable.Table
	callers map[ident.Node]*fakeCaller
	stores  map[ident.Node]*kvtest.Paged
	tables  map[ident.Node]*runnertable.Table
	tombs   map[ident.Node]*tomb.Tomb
	// budget bounds the memory of each worker, if it is set; logger receives their log lines.
	budget *memorybudget.NodeBudget
	logger zerolog.Logger
	// suspended is for how long the workers' machines were suspended: real time is ahead by that, their timers are not.
	suspended atomic.Int64
}

// now is the real time, and the time of workers whose clock includes suspension.
func (g *group) now() time.Time { return time.Now().Add(time.Duration(g.suspended.Load())) }

func newGroup(t *testing.T) *group {
	g := &group{
		t: t, routes: &routetable.Table{}, callers: map[ident.Node]*fakeCaller{},
		stores: map[ident.Node]*kvtest.Paged{}, tables: map[ident.Node]*runnertable.Table{}, tombs: map[ident.Node]*tomb.Tomb{}, logger: zerolog.Nop(),
	}
	g.data = kvtest.NewData(g.now)
	g.records = g.recordsOf(kvtest.NewPaged(g.data))
	g.routes.Adopt(&work.Catalog{Version: 1, Routes: []work.Route{{
		Name: "r", Host: "h", PathPrefix: "/p/", Kind: work.Batch, Split: []work.WeightedService{{Service: "s", Weight: 1}},
		CompletionObjective: 20 * time.Second, Retention: time.Minute, MaximumAttempts: 3,
	}}})
	return g
}

func (g *group) recordsOf(store kv.Paged) *jobrecord.Records {
	return &jobrecord.Records{Store: store, ValueBytes: 1 << 20, Retention: time.Minute, Now: time.Now}
}

// add starts a worker that knows the runners.
func (g *group) add(node ident.Node, runners ...work.Runner) {
	g.callers[node], g.stores[node] = &fakeCaller{}, kvtest.NewPaged(g.data)
	g.start(node, g.stores[node], g.callers[node], nil, runners...)
}

// start starts a worker that knows the runners, with its own client of the store. With mirrors, its output is mirrored to
// a second worker.
func (g *group) start(node ident.Node, store *kvtest.Paged, caller work.Caller, mirrors *localMirrors, runners ...work.Runner) *jobworker.Worker {
	return g.startOn(node, store, caller, mirrors, runners...)
}

func (g *group) startOn(node ident.Node, store kv.Paged, caller work.Caller, mirrors *localMirrors, runners ...work.Runner) *jobworker.Worker {
	worker := g.newWorker(node, store, caller, runners...)
	if mirrors != nil {
		worker.Options.MirrorEvery = mirrorEvery
		worker.Options.StallAfter = time.Minute
		worker.Mirrors, worker.Readers = mirrors, mirrors
		mirrors.add(worker)
	}
	worker.Start(g.tombs[node])
	return worker
}

// newWorker returns a worker that is not started; the end of the test stops it.
func (g *group) newWorker(node ident.Node, store kv.Paged, caller work.Caller, runners ...work.Runner) *jobworker.Worker {
	table := runnertable.New("z")
	table.Replace(runners, time.Now(), true)
	g.tables[node], g.tombs[node] = table, new(tomb.Tomb)
	options := jobworker.DefaultOptions
	options.LeaseTTL = time.Second
	g.t.Cleanup(func() { g.end(node) })
	return &jobworker.Worker{
		Node: node, Zone: "z", Address: string(node), Records: g.recordsOf(store), Store: store, Runners: table, Routes: g.routes,
		Caller: caller, Options: options, Logger: g.logger, Now: g.now, Budget: g.budget,
	}
}

// end stops a worker and waits until it has stopped. Further calls do nothing.
func (g *group) end(node ident.Node) {
	g.tombs[node].Kill(nil)
	_ = g.tombs[node].Wait()
}

// waitClaimed waits until a worker holds the claim of a job, and fails if another one does.
func (g *group) waitClaimed(id string, node ident.Node) {
	g.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		live, err := g.records.ReadLive(context.Background())
		assert.NilError(g.t, err)
		if holder, claimed := live.Claimed[ident.Job(id)]; claimed {
			assert.Equal(g.t, holder, node)
			return
		}
	}
	g.t.Fatalf("job %s was not claimed", id)
}

func (g *group) submit(id string, items int) {
	submission := &jobrecord.Submission{ID: ident.Job(id), Route: "r", Host: "h", Zone: "z"}
	for index := range items {
		submission.Items = append(submission.Items, work.Item{ID: ident.Request(fmt.Sprint(id, "-", index)), Path: "/p/x", Tokens: 10, Body: []byte("b")})
	}
	assert.NilError(g.t, g.records.Accept(context.Background(), submission))
}

// waitWhole waits until every item of a job has its complete output; the time limit only ends a test that hangs.
func (g *group) waitWhole(id string, items int) {
	g.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		results, err := g.records.AllResults(context.Background(), ident.Job(id))
		assert.NilError(g.t, err)
		if len(results) < items {
			continue
		}
		for _, result := range results {
			assert.Equal(g.t, result.State, work.Completed)
			assert.Equal(g.t, result.Text, fmt.Sprintf("%[1]s/1\n%[1]s/2\n%[1]s/3", result.ID))
		}
		return
	}
	g.t.Fatalf("job %s was not finished", id)
}

func oneRunner(id string) work.Runner {
	return work.Runner{ID: ident.Incarnation(id), Service: "s", Version: "v1", Address: id, Zone: "z", Slots: 8}
}

// TestEveryJobIsRunThoughSomeWorkersOwnNoRunner has more workers than runners: none may hold a job it cannot run.
func TestEveryJobIsRunThoughSomeWorkersOwnNoRunner(t *testing.T) {
	g := newGroup(t)
	for node := range 4 {
		g.add(ident.Node(fmt.Sprint("n", node)), oneRunner("i-1"))
	}
	for job := range 8 {
		g.submit(fmt.Sprint("j", job), 3)
	}
	for job := range 8 {
		g.waitWhole(fmt.Sprint("j", job), 3)
	}
}

// TestJobLeavesAWorkerThatReachesNoRunner partitions the worker that runs the job from the runners.
func TestJobLeavesAWorkerThatReachesNoRunner(t *testing.T) {
	g := newGroup(t)
	runners := []work.Runner{oneRunner("i-1"), oneRunner("i-2"), oneRunner("i-3"), oneRunner("i-4"), oneRunner("i-5"), oneRunner("i-6")}
	g.add("n0", runners...)
	g.add("n1", runners...)
	time.Sleep(time.Second)
	g.callers["n0"].setCut(true)
	for job := range 6 {
		g.submit(fmt.Sprint("j", job), 2)
	}
	for job := range 6 {
		g.waitWhole(fmt.Sprint("j", job), 2)
	}
}

// TestJobOfADeadWorkerIsTakenOver stops a worker without a drain, and later expires its lease.
func TestJobOfADeadWorkerIsTakenOver(t *testing.T) {
	g := newGroup(t)
	g.add("n0", oneRunner("i-1"))
	g.callers["n0"].setCut(true)
	g.submit("j", 3)
	time.Sleep(500 * time.Millisecond)
	g.tombs["n0"].Kill(nil)
	_ = g.tombs["n0"].Wait()
	g.add("n1", oneRunner("i-1"))
	g.waitWhole("j", 3)
}

// TestClaimWhoseAnswerWasLostIsServed loses the answers of a claim that took effect and of its retries: the claim lasts as
// long as the worker's lease, so nobody else will run the job.
func TestClaimWhoseAnswerWasLostIsServed(t *testing.T) {
	g := newGroup(t)
	g.add("n0", oneRunner("i-1"))
	g.submit("first", 1)
	g.waitWhole("first", 1)
	g.stores["n0"].SetFaults(kvtest.PagedFaults{LoseNext: 4})
	g.submit("second", 2)
	g.waitWhole("second", 2)
}

// TestFailingRunnerDoesNotUseUpTheAttempts has one of two runners fail every item at once, so that it always has free
// slots: each item still gets its output from the other one.
func TestFailingRunnerDoesNotUseUpTheAttempts(t *testing.T) {
	g := newGroup(t)
	g.add("n0", oneRunner("i-1"), oneRunner("i-2"))
	g.callers["n0"].failing = "i-1"
	g.submit("j", 24)
	g.waitWhole("j", 24)
}

// TestClaimThatLapsedInAnOutageIsLeftToItsHolder lets the lease of a living worker expire while the store is unreachable:
// the other worker sees the unclaimed job first, and still leaves it to the one that has its results.
func TestClaimThatLapsedInAnOutageIsLeftToItsHolder(t *testing.T) {
	g := newGroup(t)
	g.add("n0", oneRunner("i-1"))
	g.callers["n0"].hold(true)
	g.submit("j", 2)
	g.waitClaimed("j", "n0")
	g.add("n1", oneRunner("i-1"))
	time.Sleep(700 * time.Millisecond)
	for _, store := range g.stores {
		store.SetFaults(kvtest.PagedFaults{Down: true})
	}
	time.Sleep(2500 * time.Millisecond)
	g.stores["n1"].SetFaults(kvtest.PagedFaults{})
	time.Sleep(500 * time.Millisecond)
	g.stores["n0"].SetFaults(kvtest.PagedFaults{})
	g.waitClaimed("j", "n0")
	g.callers["n0"].hold(false)
	g.waitWhole("j", 2)
}

// TestWorkerRarelyCallsAnUnreachableStore has results of several jobs wait for the store: the worker must not call it for
// each of them.
func TestWorkerRarelyCallsAnUnreachableStore(t *testing.T) {
	g := newGroup(t)
	g.add("n0", oneRunner("i-1"))
	g.callers["n0"].hold(true)
	for job := range 6 {
		g.submit(fmt.Sprint("j", job), 1)
	}
	for job := range 6 {
		g.waitClaimed(fmt.Sprint("j", job), "n0")
	}
	time.Sleep(500 * time.Millisecond)
	g.stores["n0"].SetFaults(kvtest.PagedFaults{Down: true})
	g.callers["n0"].hold(false)
	time.Sleep(time.Second)
	before, began := g.stores["n0"].Calls(), time.Now()
	time.Sleep(2 * time.Second)
	// Each writer retries about once a second, and the lease is renewed five times a second.
	calls := g.stores["n0"].Calls() - before
	rate := float64(calls) / time.Since(began).Seconds()
	assert.Assert(t, rate <= 20, "%.0f calls per second", rate)
	g.stores["n0"].SetFaults(kvtest.PagedFaults{})
	for job := range 6 {
		g.waitWhole(fmt.Sprint("j", job), 1)
	}
}

// TestWorkerIsNotSureOfItsJobsAfterSuspension suspends a worker's machine for longer than its lease: the store has expired
// its claims and another worker may have recorded more, while no timer of the worker has run. Until it has renewed its
// lease it answers nothing from memory and is assigned no job; then it serves its job again. With a clock that stops
// during suspension it was sure at once.
func TestWorkerIsNotSureOfItsJobsAfterSuspension(t *testing.T) {
	g := newGroup(t)
	runner := work.Runner{ID: "i-1", Service: "s", Version: "v1", Address: "a", Zone: "z", Slots: 4}
	caller, store := &fakeCaller{held: true}, kvtest.NewPaged(g.data)
	g.callers["w"], g.stores["w"] = caller, store
	worker := g.start("w", store, caller, nil, runner)
	isSure := func() bool {
		_, sure := worker.RecordedResults(context.Background(), "job", 0, 0)
		return sure
	}
	awaitSure := func() {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !isSure(); time.Sleep(20 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "not sure of its job")
		}
	}
	g.submit("job", 2)
	awaitSure()

	// No call of the worker right after waking is answered.
	store.SetFaults(kvtest.PagedFaults{Down: true})
	g.suspended.Store(int64(5 * time.Second))
	assert.Assert(t, !isSure(), "sure of a job whose claim has expired")
	assert.Equal(t, worker.Demand(&demand.Report{Node: "front", Incarnation: 1, Sequence: 1}).Batch.Lease, int64(0))

	store.SetFaults(kvtest.PagedFaults{})
	awaitSure()
	caller.hold(false)
	g.waitWhole("job", 2)
}
