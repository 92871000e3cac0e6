package jobpeer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobentry"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// intakeSize is the size of a site that accepts jobs.
type intakeSize struct{ fronts, workers int }

// Site sizes of a small and a large customer.
var (
	smallIntake = intakeSize{fronts: 9, workers: 4}
	largeIntake = intakeSize{fronts: 120, workers: 60}
)

// Zones of the fronts and workers, queue limits and network delay.
const (
	intakeZones = 4
	// intakeBound is the route's limit of queued tokens, intakeSlack the fraction beyond it that may be queued. Both are those
	// of the users' contract.
	intakeBound, intakeSlack = 1_600_000, 0.1
	// linkDelay is the round-trip time between two nodes.
	linkDelay = 2 * time.Millisecond
)

// intake is a site that accepts jobs in simulated time and without a network. Intakes, the calls between nodes, workers, their
// disks and the delivery from disk to store are the real ones. No job runs, so every accepted job remains queued.
type intake struct {
	t          *testing.T
	data       *kvtest.Data
	routes     *routetable.Table
	random     *rand.Rand
	fronts     []*intakeFront
	workers    []*intakeWorker
	supervisor *tomb.Tomb

	mutex sync.Mutex
	// accepted are the tokens of the jobs whose acceptance was reported to their callers, queued is their sum and maxQueued its maximum.
	accepted  map[ident.Job]int
	queued    int
	maxQueued int
	// refused counts the answers that definitely say that a job was not accepted; indefinite are the jobs with at least one
	// indefinite answer.
	refused    int
	indefinite map[ident.Job]bool
	// submitted are all submitted jobs.
	submitted map[ident.Job]bool
}

// intakeFront is a node that accepts client requests.
type intakeFront struct {
	intake *jobentry.Intake
	store  *intakeStore
}

// intakeWorker is a worker. While it is unresponsive or its process is stopped, calls from and to it fail.
type intakeWorker struct {
	site   *intake
	node   ident.Node
	zone   ident.Zone
	folder string
	store  *intakeStore
	tomb   *tomb.Tomb
	server *jobpeer.WorkerServer

	mutex        sync.Mutex
	unresponsive bool
	// earlierBuild makes it answer like a build without queue accounts.
	earlierBuild bool
}

func (w *intakeWorker) setUnresponsive(unresponsive bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.unresponsive = unresponsive
	w.store.setUnresponsive(unresponsive)
}

// setEarlierBuild makes the worker answer like a build without queue accounts.
func (w *intakeWorker) setEarlierBuild() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.earlierBuild = true
}

func (w *intakeWorker) isUnresponsive() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.unresponsive
}

// intakeStore is a node's connection to the store: its calls take time or get no answer.
type intakeStore struct {
	*kvtest.Paged

	mutex        sync.Mutex
	unresponsive bool
	delay        time.Duration
}

func (s *intakeStore) setUnresponsive(unresponsive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unresponsive = unresponsive
}

// setDelay sets the duration of each call.
func (s *intakeStore) setDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

// pass waits for the duration of a call, and fails if the call gets no answer.
func (s *intakeStore) pass(ctx context.Context) error {
	s.mutex.Lock()
	unresponsive, delay := s.unresponsive, s.delay
	s.mutex.Unlock()
	if !unresponsive && sleepFor(ctx, delay) {
		return nil
	}
	<-ctx.Done()
	return kv.ErrOutcomeUnknown
}

// sleepFor waits for the given time. It returns false if ctx ends first.
func sleepFor(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *intakeStore) Get(ctx context.Context, key string) (kv.Pair, int64, error) {
	if err := s.pass(ctx); err != nil {
		return kv.Pair{}, 0, err
	}
	return s.Paged.Get(ctx, key)
}

func (s *intakeStore) ListPage(ctx context.Context, prefix string, options kv.PageOptions) (kv.Page, error) {
	if err := s.pass(ctx); err != nil {
		return kv.Page{}, err
	}
	page, err := s.Paged.ListPage(ctx, prefix, options)
	for err == nil && page.More {
		options.After = page.Pairs[len(page.Pairs)-1].Key
		var next kv.Page
		if next, err = s.Paged.ListPage(ctx, prefix, options); err == nil {
			page.Pairs, page.More = append(page.Pairs, next.Pairs...), next.More
		}
	}
	return page, err
}

func (s *intakeStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.WatchResponse, error) {
	if err := s.pass(ctx); err != nil {
		return kv.WatchResponse{}, err
	}
	return s.Paged.Changes(ctx, prefix, after, wait)
}

func (s *intakeStore) Commit(ctx context.Context, compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	if err := s.pass(ctx); err != nil {
		return kv.TransactionResult{}, err
	}
	return s.Paged.Commit(ctx, compares, writes)
}

func (s *intakeStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := s.pass(ctx); err != nil {
		return 0, err
	}
	return s.Paged.Grant(ctx, ttl)
}

func (s *intakeStore) KeepAlive(ctx context.Context, lease kv.LeaseID) (time.Duration, error) {
	if err := s.pass(ctx); err != nil {
		return 0, err
	}
	return s.Paged.KeepAlive(ctx, lease)
}

// intakeCall is a connection to a worker. Replies pass in their encoded form.
type intakeCall struct {
	drpc.Conn
	to *intakeWorker
	// from is the calling worker; nil for a front.
	from *intakeWorker
}

// errNoSuchCall is the answer of a worker that does not have the call.
const errNoSuchCall = failure.Kind("protocol error: unknown rpc")

func (c *intakeCall) Invoke(ctx context.Context, method string, _ drpc.Encoding, in, out drpc.Message) error {
	if !sleepFor(ctx, linkDelay) || c.to.isUnresponsive() || (c.from != nil && c.from.isUnresponsive()) {
		<-ctx.Done()
		return errUnresponsive
	}
	c.to.mutex.Lock()
	server, earlierBuild := c.to.server, c.to.earlierBuild
	c.to.mutex.Unlock()
	if earlierBuild && strings.HasSuffix(method, "/Room") {
		return errNoSuchCall
	}
	if server == nil {
		return errUnresponsive
	}
	for index := range (jobpeer.Description{}).NumMethods() {
		name, _, receive, _, _ := jobpeer.Description{}.Method(index)
		if name != method {
			continue
		}
		reply, err := receive(server, ctx, in, nil)
		if err != nil {
			return err
		}
		encoded, err := json.Marshal(reply)
		if err != nil {
			return err
		}
		return json.Unmarshal(encoded, out)
	}
	return errNoSuchCall
}

// newIntake starts a site and waits until its workers are registered.
func newIntake(t *testing.T, size intakeSize, seed uint64) *intake {
	s := &intake{
		t: t, data: kvtest.NewData(time.Now), random: rand.New(rand.NewPCG(seed, 0)), accepted: map[ident.Job]int{},
		indefinite: map[ident.Job]bool{}, submitted: map[ident.Job]bool{}, routes: &routetable.Table{}, supervisor: new(tomb.Tomb),
	}
	s.routes.Adopt(&work.Catalog{Version: 1, Routes: []work.Route{*intakeRoute()}})
	s.supervisor.Go(func() error { <-s.supervisor.Dying(); return nil })
	for index := range size.workers {
		zone := ident.Zone(fmt.Sprint("z", index%intakeZones))
		w := &intakeWorker{
			site: s, node: ident.Node(fmt.Sprint("w", index)), zone: zone,
			folder: filepath.Join(t.TempDir(), "handoff"), store: s.newStore(),
		}
		s.workers = append(s.workers, w)
	}
	for _, w := range s.workers {
		w.start(false)
	}
	for index := range size.fronts {
		s.fronts = append(s.fronts, s.newFront(ident.Zone(fmt.Sprint("z", index%intakeZones))))
	}
	t.Cleanup(func() {
		for _, w := range s.workers {
			w.stop()
		}
		s.supervisor.Kill(nil)
		_ = s.supervisor.Wait()
	})
	time.Sleep(startupPeriod)
	return s
}

// startupPeriod is the time until workers are registered and known, before jobs are submitted.
const startupPeriod = 6 * time.Second

func intakeRoute() *work.Route {
	return &work.Route{
		Name: "r", Host: "h", PathPrefix: "/p/", Kind: work.Batch, Split: []work.WeightedService{{Service: "s", Weight: 1}},
		CompletionObjective: 20 * time.Second, Retention: time.Minute, MaximumAttempts: 3, MaximumQueuedTokens: intakeBound,
	}
}

// storeCall is the usual duration of a store call.
const storeCall = 5 * time.Millisecond

func (s *intake) newStore() *intakeStore {
	return &intakeStore{Paged: kvtest.NewPaged(s.data), delay: storeCall}
}

// stores returns the store connections of all nodes.
func (s *intake) stores() []*intakeStore {
	var all []*intakeStore
	for _, front := range s.fronts {
		all = append(all, front.store)
	}
	for _, w := range s.workers {
		all = append(all, w.store)
	}
	return all
}

func (s *intake) newRecords(store kv.Paged) *jobrecord.Records {
	return &jobrecord.Records{Store: store, ValueBytes: 1 << 20, Retention: time.Minute, Now: time.Now}
}

func (s *intake) newFront(zone ident.Zone) *intakeFront {
	store := s.newStore()
	records := s.newRecords(store)
	client := &jobpeer.WorkerClient{Records: records, Zone: zone, Connect: s.connect(nil), Copies: 2, Now: time.Now}
	return &intakeFront{store: store, intake: &jobentry.Intake{Records: records, Workers: client, Logger: zerolog.Nop(), Now: time.Now}}
}

// connect returns a node's connections to workers.
func (s *intake) connect(from *intakeWorker) func(string) (drpc.Conn, error) {
	return func(address string) (drpc.Conn, error) {
		for _, w := range s.workers {
			if string(w.node) == address {
				return &intakeCall{to: w, from: from}, nil
			}
		}
		return nil, errUnresponsive
	}
}

// start starts the worker's process with its current disk.
func (w *intakeWorker) start(restarted bool) {
	kept, err := handoff.Open(w.folder, 64<<20)
	assert.NilError(w.site.t, err)
	peers := &jobpeer.Peers{Connect: w.site.connect(w), Now: time.Now}
	worker := &jobworker.Worker{
		Node: w.node, Zone: w.zone, Address: string(w.node), Store: w.store, Records: w.site.newRecords(w.store), Runners: runnertable.New(w.zone),
		Routes: w.site.routes, Options: jobworker.DefaultOptions, Handoff: kept, Readers: peers, Accounts: peers,
		Tolerance: 1, Restarted: restarted, Logger: zerolog.Nop(), Now: time.Now,
	}
	process := new(tomb.Tomb)
	worker.Start(process)
	deliverer := &handoff.Deliverer{
		Log: kept, Store: worker.Records, Lifetime: 2 * time.Minute, KnownAccepted: worker.Accepted, Logger: zerolog.Nop(), Now: time.Now,
	}
	deliverer.Start(process)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.tomb, w.server = process, &jobpeer.WorkerServer{Worker: worker}
}

// stop stops the worker's process like a kill, without releasing anything.
func (w *intakeWorker) stop() {
	w.mutex.Lock()
	process := w.tomb
	w.tomb, w.server = nil, nil
	w.mutex.Unlock()
	if process != nil {
		process.Kill(nil)
		_ = process.Wait()
	}
}

// intakeJob is a job that a caller submits.
type intakeJob struct {
	id     ident.Job
	tokens int
}

// call submits a job like the users' clients: it retries at a random front after each refusal or failure, until the timeout.
func (s *intake) call(job intakeJob, timeout time.Duration) {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		s.mutex.Lock()
		front := s.fronts[s.random.IntN(len(s.fronts))]
		s.mutex.Unlock()
		err := s.submit(front, job)
		if err == nil {
			return
		}
		pause := 100 * time.Millisecond
		var refused *failure.Error
		if errors.As(err, &refused) && refused.RetryAfter > 0 {
			pause = refused.RetryAfter
		}
		time.Sleep(pause)
	}
}

// submit submits a job at a front and counts its tokens if it is accepted.
func (s *intake) submit(front *intakeFront, job intakeJob) error {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	submission := &jobrecord.Submission{ID: job.id, Route: "r", Host: "h", Zone: "z0"}
	const items = 16
	for index := range items {
		submission.Items = append(submission.Items, work.Item{
			ID: ident.Request(fmt.Sprint(job.id, "-", index)), Path: "/p/x", Tokens: job.tokens / items, Body: []byte("body"),
		})
	}
	err := front.intake.Accept(ctx, intakeRoute(), submission)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.submitted[job.id] = true
	if err != nil && failure.As(err).Outcome == outcome.NotRun {
		s.refused++
		return err
	}
	if err != nil {
		s.indefinite[job.id] = true
		return err
	}
	if _, known := s.accepted[job.id]; !known {
		s.accepted[job.id] = submission.Tokens()
		s.queued += submission.Tokens()
		s.maxQueued = max(s.maxQueued, s.queued)
	}
	return nil
}

// burst submits jobs spread over a period, and waits until each is accepted or given up.
func (s *intake) burst(jobs, tokens int, period, timeout time.Duration) {
	var callers sync.WaitGroup
	for index := range jobs {
		job := intakeJob{id: ident.Job(fmt.Sprintf("j-%d-%03d", time.Now().UnixMilli(), index)), tokens: tokens}
		after := time.Duration(s.draw() * float64(period))
		callers.Go(func() {
			time.Sleep(after)
			s.call(job, timeout)
		})
	}
	callers.Wait()
}
