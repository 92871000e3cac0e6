package jobclient_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/jobclient"
	"mallowlatch.example/mallowlatch/internal/jobstore"
	"mallowlatch.example/mallowlatch/internal/ledger"
)

// simulation drives the real store and clients over a world with faults, and tells the checker what is seen.
type simulation struct {
	*checker
	world   *world
	ctx     context.Context
	caller  *jobclient.Client
	workers []*simWorker
	begun   []simAttempt
	// kind is which items are repeatable: all, none or some.
	kind int
	// submissions are all that were sent, answered or not.
	submissions []*submission
}

// simWorker is a worker whose clock may run slow: its lease lasts longer than it should by true time.
type simWorker struct {
	name   ident.Node
	client *jobclient.Client
	leases []*simLease
	ttl    time.Duration
}

type simLease struct {
	job.Lease
	expires time.Time
	waiting []job.Item
	// armed items passed the look at the lease; the worker was stalled before it started them.
	armed   []job.Item
	running []job.Result
}

type simAttempt struct {
	key     ledger.Key
	attempt uint64
	run     int
}

// TestMain sets how many schedules of how many steps are run unless the command line says so.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// totals counts what became of the items of all schedules.
type totals struct{ schedules, jobs, items, completed, failed, unknown, lost, doubled int }

func TestEverySchedule(t *testing.T) {
	t.Parallel()
	var sum totals
	defer func() { t.Logf("%+v", sum) }()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		defer sim.close()
		t.Repeat(sim.swarm(t, map[string]func(*rapid.T){
			"submit":    sim.submit,
			"lease":     sim.lease,
			"lease 2":   sim.lease,
			"start":     sim.start,
			"start 2":   sim.start,
			"complete":  sim.complete,
			"complete2": sim.complete,
			"tick":      sim.tick,
			"time":      sim.passTime,
			"observe":   sim.observe,
		}, map[string]func(*rapid.T){
			"resubmit": sim.resubmit,
			"other":    sim.submitOther,
			"cancel":   sim.cancel,
			"arm":      sim.arm,
			"fire":     sim.fire,
			"release":  sim.release,
			"renew":    sim.renew,
			"renewals": sim.renewAll,
			"crash":    sim.crash,
			"leader":   sim.changeLeader,
			"handover": sim.cancelAtChange,
			"proposal": sim.faultProposal,
			"call":     sim.faultCall,
		}))
		sim.drain()
		sim.count(&sum)
	})
}

func TestEveryLedgerSchedule(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		defer sim.close()
		t.Repeat(sim.swarm(t, map[string]func(*rapid.T){
			"begin":    sim.begin,
			"begin 2":  sim.begin,
			"settle":   sim.settle,
			"settle 2": sim.settle,
		}, map[string]func(*rapid.T){
			"tick":     sim.tick,
			"time":     sim.passTime,
			"leader":   sim.changeLeader,
			"proposal": sim.faultProposal,
			"call":     sim.faultCall,
		}))
	})
}

// swarm returns the core actions and a drawn part of the others, so that schedules differ in kind and rare ones become
// common within some.
func (s *simulation) swarm(t *rapid.T, core, others map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	core[""] = s.pass
	core["deliver"] = s.deliver
	names := slices.Sorted(maps.Keys(others))
	for _, name := range names {
		if rapid.Bool().Draw(t, name) {
			core[name] = others[name]
		}
	}
	return core
}

func (s *simulation) faultProposal(t *rapid.T) { s.world.proposalFault = drawFault(t) }

func (s *simulation) faultCall(t *rapid.T) { s.world.callFault = drawFault(t) }

func drawFault(t *rapid.T) fault { return fault(rapid.IntRange(1, int(faults)-1).Draw(t, "fault")) }

func newSimulation(t *rapid.T) *simulation {
	w := newWorld(t)
	sim := &simulation{checker: newChecker(t), world: w, ctx: context.Background(), caller: w.client("caller"), kind: rapid.IntRange(0, 2).Draw(t, "kind")}
	ttl := jobstore.DefaultSettings().LeaseTTL
	for _, name := range []ident.Node{"w1", "w2"} {
		const slow = 32
		drift := time.Duration(rapid.IntRange(-1, 1).Draw(t, "drift")) * ttl / slow
		sim.workers = append(sim.workers, &simWorker{name: name, client: w.client(name), ttl: ttl + drift})
	}
	sim.tick(t)
	return sim
}

func (s *simulation) close() {
	_ = s.caller.Close()
	for _, worker := range s.workers {
		_ = worker.client.Close()
	}
}

func (s *simulation) pass(*rapid.T) {
	s.caller.WaitBackground()
	for _, worker := range s.workers {
		worker.client.WaitBackground()
	}
}

func (s *simulation) drawJob(t *rapid.T) *seenJob {
	if len(s.order) == 0 {
		return nil
	}
	return s.jobs[rapid.SampledFrom(s.order).Draw(t, "job")]
}

func (s *simulation) cancel(t *rapid.T) {
	seen := s.drawJob(t)
	if seen == nil || rapid.IntRange(0, 2).Draw(t, "spare") > 0 {
		return
	}
	found, err := s.caller.Cancel(s.ctx, tenant, seen.id)
	if err != nil {
		return
	}
	s.observed(found)
	if seen.cancelled.IsZero() && found.Status == job.Cancelling {
		seen.cancelled = s.world.now
	}
}

func (s *simulation) observe(*rapid.T) {
	for _, id := range s.order {
		s.look(s.jobs[id])
	}
}

func (s *simulation) look(seen *seenJob) {
	found, err := s.caller.Job(s.ctx, tenant, seen.id)
	if err != nil {
		return
	}
	s.observed(found)
	for _, file := range []ident.File{found.OutputFile, found.ErrorFile} {
		if file == "" {
			continue
		}
		content, err := s.caller.Content(s.ctx, tenant, file)
		if err != nil {
			continue
		}
		all, err := io.ReadAll(content)
		if err == nil {
			s.read(seen.id, file, string(all))
		}
	}
}

func (s *simulation) drawWorker(t *rapid.T) *simWorker {
	return rapid.SampledFrom(s.workers).Draw(t, "worker")
}

func (s *simulation) lease(t *rapid.T) {
	worker := s.drawWorker(t)
	waiting, err := worker.client.Waiting(s.ctx, 10)
	if err != nil || len(waiting) == 0 {
		return
	}
	from := rapid.SampledFrom(waiting).Draw(t, "from")
	s.leaseFrom(worker, from.Job, rapid.IntRange(1, 4).Draw(t, "most"))
}

func (s *simulation) leaseFrom(worker *simWorker, from ident.Job, most int) {
	sent := s.world.now
	lease, err := worker.client.Lease(s.ctx, 0, from, job.LeaseRequest{Worker: worker.name, Services: []string{"stock"}, Max: most})
	if err == nil && len(lease.Items) > 0 {
		s.exclusive(lease)
		worker.leases = append(worker.leases, &simLease{Lease: lease, expires: sent.Add(worker.ttl), waiting: lease.Items})
	}
}

// exclusive checks that no item of a new lease is in another that is valid by its worker's clock.
func (s *simulation) exclusive(leased job.Lease) {
	fresh := map[uint32]bool{}
	for _, item := range leased.Items {
		fresh[item.Index] = true
	}
	for _, worker := range s.workers {
		for _, lease := range worker.leases {
			if lease.Job != leased.Job || !s.valid(lease) {
				continue
			}
			for _, item := range lease.waiting {
				if fresh[item.Index] {
					s.t.Fatalf("item %d of %s is in two valid leases", item.Index, item.Job)
				}
			}
		}
	}
}

func (s *simulation) drawLease(t *rapid.T) (*simWorker, *simLease) {
	worker := s.drawWorker(t)
	if len(worker.leases) == 0 {
		return worker, nil
	}
	return worker, rapid.SampledFrom(worker.leases).Draw(t, "lease")
}

func (s *simulation) valid(lease *simLease) bool { return s.world.now.Before(lease.expires) }

func (s *simulation) start(t *rapid.T) {
	worker, lease := s.drawLease(t)
	if lease != nil && s.valid(lease) && len(lease.waiting) > 0 {
		s.run(lease, lease.waiting[0], worker.ttl)
		lease.waiting = lease.waiting[1:]
	}
}

func (s *simulation) run(lease *simLease, item job.Item, bound time.Duration) {
	run := s.started(s.world.now, item, bound)
	lease.running = append(lease.running, job.Result{Index: item.Index, Status: 200, Body: json.RawMessage(fmt.Sprintf(`{"run":%d}`, run))})
}

func (s *simulation) arm(t *rapid.T) {
	_, lease := s.drawLease(t)
	if lease != nil && s.valid(lease) && len(lease.waiting) > 0 {
		lease.armed = append(lease.armed, lease.waiting[0])
		lease.waiting = lease.waiting[1:]
	}
}

func (s *simulation) fire(t *rapid.T) {
	_, lease := s.drawLease(t)
	if lease != nil && len(lease.armed) > 0 {
		s.run(lease, lease.armed[0], 0)
		lease.armed = lease.armed[1:]
	}
}

func (s *simulation) complete(t *rapid.T) {
	worker, lease := s.drawLease(t)
	if lease == nil || len(lease.running) == 0 {
		return
	}
	count := rapid.IntRange(1, len(lease.running)).Draw(t, "results")
	if worker.client.Complete(s.ctx, lease.Lease, lease.running[:count]) == nil && rapid.Bool().Draw(t, "forget") {
		lease.running = lease.running[count:]
	}
}

func (s *simulation) release(t *rapid.T) {
	worker, lease := s.drawLease(t)
	if lease == nil || len(lease.waiting) == 0 {
		return
	}
	item := lease.waiting[0]
	lease.waiting = lease.waiting[1:]
	_ = worker.client.Release(s.ctx, lease.Lease, []uint32{item.Index})
}

func (s *simulation) renew(t *rapid.T) {
	if worker, lease := s.drawLease(t); lease != nil {
		s.renewOne(worker, lease)
	}
}

// renewAll is a round of renewals, with some time after it, as workers make them.
func (s *simulation) renewAll(t *rapid.T) {
	for _, worker := range s.workers {
		for _, lease := range worker.leases {
			s.renewOne(worker, lease)
		}
	}
	const share = 3
	s.world.now = s.world.now.Add(s.workers[0].ttl / share)
}

func (s *simulation) renewOne(worker *simWorker, lease *simLease) {
	sent := s.world.now
	lost, err := worker.client.Renew(s.ctx, 0, worker.name, []string{lease.ID})
	if err == nil && len(lost) == 0 {
		lease.expires = sent.Add(worker.ttl)
	}
	if err == nil && len(lost) > 0 {
		lease.expires = sent
	}
}

func (s *simulation) crash(t *rapid.T) {
	worker := s.drawWorker(t)
	worker.leases = nil
}

func (s *simulation) passTime(t *rapid.T) {
	s.world.now = s.world.now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "ms")) * time.Millisecond)
}

func (s *simulation) tick(*rapid.T) {
	for _, name := range []ident.Node{"a", "b"} {
		_ = s.world.nodes[name].server.Tick(s.ctx)
	}
}

func (s *simulation) changeLeader(t *rapid.T) {
	s.world.changeLeader(rapid.SampledFrom([]ident.Node{"a", "b"}).Draw(t, "leader"), rapid.Bool().Draw(t, "notices"))
}

// cancelAtChange cancels a job at a new leader that the old one and the workers have not noticed.
func (s *simulation) cancelAtChange(t *rapid.T) {
	s.world.changeLeader(rapid.SampledFrom([]ident.Node{"a", "b"}).Draw(t, "leader"), false)
	s.cancel(t)
	s.tick(t)
	s.observe(t)
	s.renewAll(t)
}

func (s *simulation) deliver(t *rapid.T) {
	if pending := len(s.world.pending); pending > 0 {
		s.world.deliver(rapid.IntRange(0, pending-1).Draw(t, "which"))
	}
}

func (s *simulation) begin(t *rapid.T) {
	key := ledger.Key{Tenant: tenant, IdempotencyKey: fmt.Sprint("booking-", rapid.IntRange(0, 2).Draw(t, "key"))}
	entry, err := s.caller.Begin(s.ctx, key, "digest", "caller")
	if err != nil {
		return
	}
	seen := s.began(key.IdempotencyKey, entry)
	if entry.State != ledger.Started {
		return
	}
	attempt := simAttempt{key: key, attempt: entry.Attempt}
	if rapid.Bool().Draw(t, "dispatch") {
		s.dispatched(key.IdempotencyKey, seen)
		attempt.run = seen.run
	}
	s.begun = append(s.begun, attempt)
}

// settle ends an attempt as a truthful node would: it abandons only what it did not dispatch.
func (s *simulation) settle(t *rapid.T) {
	if len(s.begun) == 0 {
		return
	}
	attempt := rapid.SampledFrom(s.begun).Draw(t, "attempt")
	switch {
	case attempt.run == 0:
		_ = s.caller.Abandon(s.ctx, attempt.key, attempt.attempt)
	case rapid.Bool().Draw(t, "lose"):
		_ = s.caller.Lose(s.ctx, attempt.key, attempt.attempt)
	default:
		_ = s.caller.Finish(s.ctx, attempt.key, attempt.attempt, ledger.Answer{Status: 200, Body: json.RawMessage(fmt.Sprint(attempt.run))})
	}
}

// drain ends all faults, lets one worker run what is left, and checks that every job ends as it should.
func (s *simulation) drain() {
	const rounds = 6
	s.pass(nil)
	s.world.heal()
	worker := s.workers[0]
	worker.leases = nil
	s.answerAll()
	for range rounds {
		s.tick(nil)
		for _, id := range s.order {
			s.leaseFrom(worker, id, len(s.jobs[id].lines))
		}
		for _, lease := range worker.leases {
			for _, item := range lease.waiting {
				s.run(lease, item, worker.ttl)
			}
			if err := worker.client.Complete(s.ctx, lease.Lease, lease.running); err != nil {
				s.t.Fatalf("completing: %v", err)
			}
		}
		worker.leases = nil
		s.world.now = s.world.now.Add(2 * worker.ttl)
	}
	for _, id := range s.order {
		s.look(s.jobs[id])
		s.finish(s.jobs[id])
	}
}
