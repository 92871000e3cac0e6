package jobpeer_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
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
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// intakeSize is how large the site is that takes jobs.
type intakeSize struct{ fronts, workers int }

// Sites of a small customer, and of a large one.
var (
	smallIntake = intakeSize{fronts: 9, workers: 4}
	largeIntake = intakeSize{fronts: 120, workers: 60}
)

// The zones that fronts and workers are spread over before one store, and what may wait.
const (
	intakeZones = 4
	// intakeBound is the route's bound, intakeSlack the part beyond it that may wait, as the users' contract has both.
	intakeBound, intakeSlack = 1_600_000, 0.1
	// linkDelay is the way between two nodes, both directions together.
	linkDelay = 2 * time.Millisecond
)

// intake is a site in simulated time without a network that takes jobs. Desks, the calls between nodes, workers, their disks and the
// handing over are the real ones. No job runs, so that all that was taken waits.
type intake struct {
	t          *testing.T
	data       *kvtest.Data
	routes     *routetable.Table
	random     *rand.Rand
	fronts     []*intakeFront
	workers    []*intakeWorker
	supervisor *tomb.Tomb

	mutex sync.Mutex
	// taken are the tokens of the jobs whose callers were told that they are taken, most the highest sum so far.
	taken   map[ident.Job]int
	waiting int
	most    int
	// refused counts the answers that promise that a job was not taken; unsure are the jobs of which some answer promised nothing.
	refused int
	unsure  map[ident.Job]bool
	// handed are all jobs that were handed in.
	handed map[ident.Job]bool
}

// intakeFront is a node that callers reach.
type intakeFront struct {
	desk  *jobentry.Desk
	store *intakeStore
}

// intakeWorker is a worker; while it is silent, or its process is gone, nothing reaches it and it reaches nothing.
type intakeWorker struct {
	site   *intake
	node   ident.Node
	zone   ident.Zone
	folder string
	store  *intakeStore
	tomb   *tomb.Tomb
	server *jobpeer.WorkerServer

	mutex  sync.Mutex
	silent bool
}

func (w *intakeWorker) setSilent(silent bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.silent = silent
	w.store.setSilent(silent)
}

func (w *intakeWorker) isSilent() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.silent
}

// intakeStore is a node's way to the store: its calls take time, or get no answer.
type intakeStore struct {
	*kvtest.Paged

	mutex  sync.Mutex
	silent bool
	takes  time.Duration
}

func (s *intakeStore) setSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
}

// setTakes sets how long each call takes.
func (s *intakeStore) setTakes(takes time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.takes = takes
}

// pass waits for what a call takes, and fails where it gets no answer.
func (s *intakeStore) pass(ctx context.Context) error {
	s.mutex.Lock()
	silent, takes := s.silent, s.takes
	s.mutex.Unlock()
	if !silent && sleepFor(ctx, takes) {
		return nil
	}
	<-ctx.Done()
	return kv.ErrOutcomeUnknown
}

// sleepFor waits, or returns false when ctx ends first.
func sleepFor(ctx context.Context, lasting time.Duration) bool {
	select {
	case <-time.After(lasting):
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

// intakeCall is a connection to a worker. What is said passes in its encoded form.
type intakeCall struct {
	drpc.Conn
	to *intakeWorker
	// from is the worker that calls; nil is a front.
	from *intakeWorker
}

// errNoSuchCall is what a worker answers that has no such call.
const errNoSuchCall = failure.Kind("test: unknown rpc")

func (c *intakeCall) Invoke(ctx context.Context, method string, _ drpc.Encoding, in, out drpc.Message) error {
	if !sleepFor(ctx, linkDelay) || c.to.isSilent() || (c.from != nil && c.from.isSilent()) {
		<-ctx.Done()
		return errSilent
	}
	c.to.mutex.Lock()
	server := c.to.server
	c.to.mutex.Unlock()
	if server == nil {
		return errSilent
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
		t: t, data: kvtest.NewData(time.Now), random: rand.New(rand.NewPCG(seed, 0)), taken: map[ident.Job]int{},
		unsure: map[ident.Job]bool{}, handed: map[ident.Job]bool{}, routes: &routetable.Table{}, supervisor: new(tomb.Tomb),
	}
	s.routes.Adopt(&work.Catalog{Version: 1, Routes: []work.Route{*intakeRoute()}})
	s.supervisor.Go(func() error { <-s.supervisor.Dying(); return nil })
	for index := range size.workers {
		zone := ident.Zone(fmt.Sprint("z", index%intakeZones))
		w := &intakeWorker{site: s, node: ident.Node(fmt.Sprint("w", index)), zone: zone, folder: filepath.Join(t.TempDir(), "handoff"), store: s.newStore()}
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
	time.Sleep(intakeStarts)
	return s
}

// intakeStarts is how long a site is left to itself before callers come: workers are registered and known then.
const intakeStarts = 6 * time.Second

func intakeRoute() *work.Route {
	return &work.Route{
		Name: "r", Host: "h", PathPrefix: "/p/", Kind: work.Batch, Split: []work.WeightedService{{Service: "s", Weight: 1}},
		CompletionObjective: 20 * time.Second, Retention: time.Minute, MaximumAttempts: 3, MaximumQueuedTokens: intakeBound,
	}
}

// storeCall is what a call of the store usually takes.
const storeCall = 5 * time.Millisecond

func (s *intake) newStore() *intakeStore {
	return &intakeStore{Paged: kvtest.NewPaged(s.data), takes: storeCall}
}

// stores are the ways to the store of all nodes.
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
	holders := &jobpeer.Holders{Records: records, Zone: zone, Connect: s.connect(nil), Copies: 2, Now: time.Now}
	return &intakeFront{store: store, desk: &jobentry.Desk{Records: records, Holders: holders, Logger: zerolog.Nop(), Now: time.Now}}
}

// connect returns connections to workers as a node has them.
func (s *intake) connect(from *intakeWorker) func(string) (drpc.Conn, error) {
	return func(address string) (drpc.Conn, error) {
		for _, w := range s.workers {
			if string(w.node) == address {
				return &intakeCall{to: w, from: from}, nil
			}
		}
		return nil, errSilent
	}
}

// start begins the worker's process with the disk that it has.
func (w *intakeWorker) start(again bool) {
	kept, err := handoff.Open(w.folder, 64<<20)
	assert.NilError(w.site.t, err)
	peers := &jobpeer.Peers{Connect: w.site.connect(w), Now: time.Now}
	worker := &jobworker.Worker{
		Node: w.node, Zone: w.zone, Address: string(w.node), Store: w.store, Records: w.site.newRecords(w.store), Runners: runnertable.New(w.zone),
		Routes: w.site.routes, Options: jobworker.DefaultOptions, Handoff: kept, Readers: peers, Accounts: peers, Tolerance: 1, StartsAgain: again, Logger: zerolog.Nop(), Now: time.Now,
	}
	process := new(tomb.Tomb)
	worker.Start(process)
	deliverer := &handoff.Deliverer{
		Log: kept, Store: worker.Records, Lifetime: 2 * time.Minute, Taken: worker.Accepted, Logger: zerolog.Nop(), Now: time.Now,
	}
	deliverer.Start(process)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.tomb, w.server = process, &jobpeer.WorkerServer{Worker: worker}
}

// stop ends the worker's process as a kill does: nothing is given up.
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

// intakeJob is a job that a caller hands in.
type intakeJob struct {
	id     ident.Job
	tokens int
}

// call hands a job in as the users' clients do: at another front after each refusal or failure, until the time is over.
func (s *intake) call(job intakeJob, patience time.Duration) {
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		s.mutex.Lock()
		front := s.fronts[s.random.IntN(len(s.fronts))]
		s.mutex.Unlock()
		err := s.hand(front, job)
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

// hand hands a job in at a front and checks the bound where it is taken.
func (s *intake) hand(front *intakeFront, job intakeJob) error {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	submission := &jobrecord.Submission{ID: job.id, Route: "r", Host: "h", Zone: "z0"}
	const items = 16
	for index := range items {
		submission.Items = append(submission.Items, work.Item{ID: ident.Request(fmt.Sprint(job.id, "-", index)), Path: "/p/x", Tokens: job.tokens / items, Body: []byte("body")})
	}
	err := front.desk.Accept(ctx, intakeRoute(), submission)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handed[job.id] = true
	if err != nil && failure.As(err).Outcome == outcome.NotRun {
		s.refused++
		return err
	}
	if err != nil {
		s.unsure[job.id] = true
		return err
	}
	if _, known := s.taken[job.id]; !known {
		s.taken[job.id] = submission.Tokens()
		s.waiting += submission.Tokens()
		s.most = max(s.most, s.waiting)
	}
	return nil
}

// burst hands jobs in over a time, and waits until each is taken or given up.
func (s *intake) burst(jobs, tokens int, over, patience time.Duration) {
	var callers sync.WaitGroup
	for index := range jobs {
		job := intakeJob{id: ident.Job(fmt.Sprintf("j-%d-%03d", time.Now().UnixMilli(), index)), tokens: tokens}
		after := time.Duration(s.draw() * float64(over))
		callers.Go(func() {
			time.Sleep(after)
			s.call(job, patience)
		})
	}
	callers.Wait()
}

// checkBound fails where more waited at an acceptance than the contract allows.
func (s *intake) checkBound(t *testing.T) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t.Logf("%d jobs taken, at most %d tokens waited of %d; %d refusals", len(s.taken), s.most, intakeBound, s.refused)
	assert.Assert(t, float64(s.most) <= intakeBound*(1+intakeSlack), "%d tokens were taken and %d may wait", s.most, intakeBound)
}

// restart ends the worker's process and starts it again after a while, with its disk or an empty one.
func (w *intakeWorker) restart(after time.Duration, keepsDisk bool) {
	w.stop()
	time.Sleep(after)
	if !keepsDisk {
		w.folder = filepath.Join(w.site.t.TempDir(), "handoff")
	}
	w.start(true)
}

// trouble is something that happens to a site for a while.
type trouble func(s *intake, lasting time.Duration)

type namedTrouble struct {
	name   string
	happen trouble
}

// away has the store give some nodes no answer, or refuse each call.
func away(silent bool, part float64) trouble {
	return func(s *intake, lasting time.Duration) {
		var struck []*intakeStore
		for _, store := range s.stores() {
			if s.draw() < part {
				struck = append(struck, store)
			}
		}
		set := func(begin bool) {
			for _, store := range struck {
				if silent {
					store.setSilent(begin)
				} else {
					store.SetFaults(kvtest.PagedFaults{Down: begin})
				}
			}
		}
		set(true)
		time.Sleep(lasting)
		set(false)
	}
}

// unanswered has the store do some writes without an answer, at once or seconds later.
func unanswered(late bool) trouble {
	return func(s *intake, lasting time.Duration) {
		for _, store := range s.stores() {
			if late {
				store.SetFaults(kvtest.PagedFaults{DelayNext: 2})
			} else {
				store.SetFaults(kvtest.PagedFaults{LoseNext: 2})
			}
		}
		time.Sleep(lasting)
		for _, store := range s.stores() {
			store.SetFaults(kvtest.PagedFaults{})
			store.ApplyDelayed()
		}
	}
}

func slowStore(s *intake, lasting time.Duration) {
	for _, store := range s.stores() {
		store.setTakes(40 * storeCall)
	}
	time.Sleep(lasting)
	for _, store := range s.stores() {
		store.setTakes(storeCall)
	}
}

func silentWorker(s *intake, lasting time.Duration) {
	struck := s.drawWorker()
	struck.setSilent(true)
	time.Sleep(lasting)
	struck.setSilent(false)
}

func killedWorker(s *intake, lasting time.Duration) { s.drawWorker().restart(lasting/4, true) }

func allKilled(s *intake, lasting time.Duration) {
	var restarts sync.WaitGroup
	for _, w := range s.workers {
		restarts.Go(func() { w.restart(lasting/4, true) })
	}
	restarts.Wait()
}

func lostDisk(s *intake, lasting time.Duration) { s.drawWorker().restart(lasting/4, false) }

func (s *intake) draw() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64()
}

func (s *intake) drawWorker() *intakeWorker { return s.workers[int(s.draw()*float64(len(s.workers)))] }

// checkPromises fails where a job that was taken is gone, or one exists of which every answer promised that it was not taken.
func (s *intake) checkPromises(t *testing.T) {
	t.Helper()
	records := s.newRecords(s.newStore())
	for job := range s.handed {
		exists, err := records.Exists(context.Background(), job)
		assert.NilError(t, err)
		_, taken := s.taken[job]
		assert.Assert(t, exists || !taken, "job %s was taken and is gone", job)
		assert.Assert(t, !exists || taken || s.unsure[job], "job %s was refused each time and exists", job)
	}
}

// TestJobsTakenOnDisksAndByTheStoreKeepOneBound guards against more tokens waiting than a route allows because the store and the workers'
// disks take jobs beside each other without a common count. A burst of twice what fits comes within a second while each call of the store
// takes seven times as long as usual: whichever way is first takes a job.
func TestJobsTakenOnDisksAndByTheStoreKeepOneBound(t *testing.T) {
	troubles := map[string]func(*intake){
		"none":                            func(*intake) {},
		"a worker has no power":           func(s *intake) { s.workers[3].setSilent(true) },
		"the reader of jobs has no power": func(s *intake) { s.workers[0].setSilent(true) },
	}
	for name, begin := range troubles {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				simulated.Test(t, func(t *testing.T) { playBurst(t, smallIntake, seed, begin) })
			})
		}
	}
}

// playBurst plays a burst of twice what fits, on a site with a slow store and one trouble more.
func playBurst(t *testing.T, size intakeSize, seed uint64, begin func(*intake)) {
	s := newIntake(t, size, seed)
	for _, store := range s.stores() {
		store.setTakes(7 * storeCall)
	}
	begin(s)
	s.burst(46, 70_000, 1200*time.Millisecond, 3*time.Second)
	s.checkBound(t)
	assert.Assert(t, s.most > intakeBound-70_000, "a job that fits was not taken")
}

// TestJobsKeepOneBoundAtSixtyWorkers has the same burst on a large site: what may be on its way unseen does not grow with it.
func TestJobsKeepOneBoundAtSixtyWorkers(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		playBurst(t, largeIntake, 0, func(s *intake) { s.workers[0].setSilent(true) })
	})
}

// Troubles that are drawn one or two beside each other. Of the workers one is struck at a time: the deployment bears the loss of one.
var (
	troublesOfStores = []namedTrouble{
		{"silent store", away(true, 1)}, {"store refuses", away(false, 1)}, {"silent store for some", away(true, 0.4)},
		{"store refuses some", away(false, 0.4)}, {"lost answers", unanswered(false)}, {"late writes", unanswered(true)}, {"slow store", slowStore},
	}
	troublesOfWorkers = []namedTrouble{
		{"silent worker", silentWorker}, {"killed worker", killedWorker}, {"lost disk", lostDisk}, {"all workers killed", allKilled},
	}
)

// TestJobsAreTakenWithinTheBoundInDrawnTroubles draws what happens to the store and to workers beside a burst of jobs of different sizes, some
// of which are handed in at two fronts at once. At each acceptance the bound holds, each promise is true, and once all is well again what fits
// is taken at its first try.
func TestJobsAreTakenWithinTheBoundInDrawnTroubles(t *testing.T) {
	for seed := range *intakeSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulated.Test(t, func(t *testing.T) { playIntake(t, smallIntake, *intakeFrom+seed) })
		})
	}
}

var (
	intakeSeeds = flag.Uint64("intake-seeds", 24, "how many plays of jobs beside drawn troubles")
	intakeFrom  = flag.Uint64("intake-from", 0, "the first seed of these plays")
)

func playIntake(t *testing.T, size intakeSize, seed uint64) {
	s := newIntake(t, size, seed)
	var all sync.WaitGroup
	strike := func(of []namedTrouble) {
		happens := of[int(s.draw()*float64(len(of)))]
		after, lasting := time.Duration(s.draw()*float64(time.Second)), time.Duration((0.5+4*s.draw())*float64(time.Second))
		t.Logf("%s after %v for %v", happens.name, after, lasting)
		all.Go(func() {
			time.Sleep(after)
			happens.happen(s, lasting)
		})
	}
	if s.draw() < 0.8 {
		strike(troublesOfStores)
	}
	if s.draw() < 0.7 {
		strike(troublesOfWorkers)
	}
	for index := range 40 {
		job := intakeJob{id: ident.Job(fmt.Sprintf("j-%03d", index)), tokens: 16 * int(1000+9000*s.draw()*s.draw())}
		after, twice := time.Duration(s.draw()*float64(3*time.Second)), s.draw() < 0.2
		for range 1 + map[bool]int{true: 1}[twice] {
			all.Go(func() {
				time.Sleep(after)
				s.call(job, 4*time.Second)
			})
		}
	}
	all.Wait()
	time.Sleep(intakeHeals)
	s.checkBound(t)
	s.checkPromises(t)
	s.checkRoom(t)
}

// intakeHeals is how long a site is left to itself after a trouble: room of jobs that never came is free again.
const intakeHeals = 15 * time.Second

// checkRoom fails where a job that fits beside all that the store holds is not taken at once.
func (s *intake) checkRoom(t *testing.T) {
	t.Helper()
	waiting, err := s.newRecords(s.newStore()).WaitingTokens(context.Background(), jobrecord.Queue{Route: "r"}, 0)
	assert.NilError(t, err)
	const items = 16
	if free := (intakeBound - waiting) / items * items; free > 0 {
		assert.NilError(t, s.hand(s.fronts[0], intakeJob{id: "last", tokens: free}), "%d wait", waiting)
	}
}
