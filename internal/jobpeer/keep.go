package jobpeer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// keepTimeout is the time allowed for a worker to write a job to its disk, in addition to callSlack.
const keepTimeout = 600 * time.Millisecond

// StoreHandoff has workers write a job to their disks until the store accepts it. bound is the maximum of tokens queued on the route
// by the workers' own count; zero disables that check because the job's capacity is already reserved. Keep returns nil if
// enough workers wrote the job for it to be durable. Any other result is a *failure.Error, whose outcome is NotRun only if no
// worker can have the job.
func (h *WorkerClient) StoreHandoff(ctx context.Context, bound int, submission *jobrecord.Submission) error {
	h.readWorkers(ctx)
	keepOperation := &keepOperation{
		client: h, candidates: h.keepCandidates(), needed: h.Copies,
		bound: bound, submission: submission, accepted: h.Now(), date: clock.Date(),
	}
	return keepOperation.run(ctx)
}

// keepOperation is the state of writing one job to the disks of workers.
type keepOperation struct {
	client     *WorkerClient
	candidates []string
	// needed is the number of workers that must have the job.
	needed     int
	bound      int
	submission *jobrecord.Submission
	accepted   time.Time
	// date is the wall-clock time that corresponds to accepted; it is stored with the job.
	date     time.Time
	asked    int
	answered int
	stored   int
	// jobOutcome is Unknown once a worker may have the job without having confirmed it.
	jobOutcome outcome.Outcome
	refused    *failure.Error
}

// spareCandidates is the number of additional workers asked at once, so that one slow or failed worker adds no delay.
const spareCandidates = 1

// run asks workers until enough of them have the job or no candidate is left.
func (k *keepOperation) run(ctx context.Context) error {
	k.jobOutcome = outcome.NotRun
	if k.needed < 1 || len(k.candidates) < k.needed {
		return failure.New(failure.CodeShardUnavailable, "%d workers are known and %d must keep the job", len(k.candidates), k.needed)
	}
	replies := make(chan *KeepReply, len(k.candidates))
	for k.asked < min(k.needed+spareCandidates, len(k.candidates)) {
		k.ask(ctx, replies)
	}
	for answered := 0; answered < k.asked; answered++ {
		if k.record(<-replies) {
			return nil
		}
		if k.unanswered() {
			return k.failure()
		}
		if k.asked < len(k.candidates) && k.stored+k.asked-answered-1 < k.needed {
			k.ask(ctx, replies)
		}
	}
	return k.failure()
}

// unanswered reports whether none of the first workers answered within one call's timeout. This node is then usually partitioned.
// Asking the remaining workers, each with the same timeout, would delay the answer up to the caller's deadline, while another
// node may reach them.
func (k *keepOperation) unanswered() bool {
	return k.answered == 0 && k.client.Now().Sub(k.accepted) >= keepTimeout+callSlack
}

// ask sends the job to the next worker. Each call gets a new tomb, because a tomb whose goroutines have all ended accepts no
// more.
func (k *keepOperation) ask(ctx context.Context, replies chan<- *KeepReply) {
	address, turn := k.candidates[k.asked], k.asked
	k.asked++
	k.submission.Retain()
	new(tomb.Tomb).Go(func() error {
		defer k.submission.Release()
		request := &KeepRequest{
			Entry: handoff.NewEntry(k.submission, k.date, turn), MaximumQueuedTokens: k.bound, Copies: k.needed + spareCandidates,
		}
		reply := &KeepReply{}
		if !k.client.ask(ctx, address, methodKeep, request, reply, keepTimeout) {
			reply = nil
		}
		replies <- reply
		return nil
	})
}

// record records a worker's reply, nil if none came, and reports whether the job is durable.
func (k *keepOperation) record(reply *KeepReply) bool {
	if reply != nil {
		k.answered++
	}
	switch {
	case reply == nil:
		k.jobOutcome = outcome.Unknown
	case reply.Kept:
		k.stored++
	default:
		k.jobOutcome = outcome.Join(k.jobOutcome, reply.Outcome)
		k.refused = reply.failure()
	}
	return k.stored >= k.needed
}

// failure returns the error for a job that too few workers have.
func (k *keepOperation) failure() error {
	if k.unanswered() {
		return failure.New(failure.CodeOutcomeUnknown, "none of %d workers answered", k.asked).WithOutcome(outcome.Unknown).
			WithCause(fmt.Errorf("%w: %d asked", handoff.ErrNoAnswer, k.asked))
	}
	if k.stored > 0 || k.jobOutcome != outcome.NotRun {
		return failure.New(failure.CodeOutcomeUnknown, "%d of %d workers have the job", k.stored, k.needed).
			WithOutcome(outcome.Unknown)
	}
	return k.refused
}

// failure returns the worker's refusal as an error.
func (r *KeepReply) failure() *failure.Error {
	return failure.New(r.Code, "%s", r.Message).WithOutcome(r.Outcome).WithRetryAfter(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

// keepCandidates returns the addresses of the workers that are not skipped, in the order in which they are asked: one of each zone in
// turn, starting with this node's zone, so that the copies of a job are in different zones if possible.
func (h *WorkerClient) keepCandidates() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var zones []ident.Zone
	byZone := map[ident.Zone][]string{}
	for _, worker := range h.workers.Value() {
		if h.Now().Before(h.skippedUntil[worker.Address]) {
			continue
		}
		if !slices.Contains(zones, worker.Zone) {
			zones = append(zones, worker.Zone)
		}
		byZone[worker.Zone] = append(byZone[worker.Zone], worker.Address)
	}
	var ordered []string
	for position := 0; len(zones) > 0; position++ {
		zones = slices.DeleteFunc(zones, func(zone ident.Zone) bool { return len(byZone[zone]) <= position })
		for _, zone := range zones {
			ordered = append(ordered, byZone[zone][position])
		}
	}
	return ordered
}

// Pending reports whether a worker has a job on its disk that the store may not have yet. sure is false if a worker that may
// have the job was not asked or did not answer. Pending asks the registered workers and those that were registered recently:
// in an outage registrations expire with their leases, but the disks remain.
func (h *WorkerClient) Pending(ctx context.Context, job ident.Job) (pending, sure bool) {
	registered, err := h.Records.Workers(ctx)
	workers := h.possibleHolders(registered)
	sure = err == nil && len(workers) > 0
	for _, address := range workers {
		reply := &PendingReply{}
		if !h.ask(ctx, address, methodPending, &PendingQuery{Job: job}, reply, 0) {
			sure = false
			continue
		}
		if reply.Pending {
			return true, true
		}
		sure = sure && !reply.Doubt
	}
	return false, sure
}

// registrationMemory is how long a worker that is no longer registered is assumed to have jobs on disk. It is longer than an outage
// keeps a worker off the list.
const registrationMemory = time.Minute

// possibleHolders returns the addresses of the registered workers and of those registered recently.
func (h *WorkerClient) possibleHolders(registered []jobrecord.Worker) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.recordRegistered(registered)
	return slices.Sorted(maps.Keys(h.lastRegistered))
}

// recordRegistered records that workers are registered, and removes those last seen more than registrationMemory ago. The caller
// holds the mutex.
func (h *WorkerClient) recordRegistered(workers []jobrecord.Worker) {
	now := h.Now()
	if h.lastRegistered == nil {
		h.lastRegistered = map[string]time.Time{}
	}
	for _, worker := range workers {
		h.lastRegistered[worker.Address] = now
	}
	for address, seen := range h.lastRegistered {
		if now.Sub(seen) > registrationMemory {
			delete(h.lastRegistered, address)
		}
	}
}

// Keep implements Server.
func (s *WorkerServer) Keep(_ context.Context, request *KeepRequest) (*KeepReply, error) {
	err := s.Worker.StoreHandoff(request.Entry, request.MaximumQueuedTokens, request.Copies)
	if err == nil {
		return &KeepReply{Kept: true}, nil
	}
	refusal := failure.As(err)
	return &KeepReply{
		Code: refusal.Code, Message: refusal.Message, Outcome: refusal.Outcome, RetryAfterMs: refusal.RetryAfter.Milliseconds(),
	}, nil
}

// Pending implements Server.
func (s *WorkerServer) Pending(_ context.Context, query *PendingQuery) (*PendingReply, error) {
	return &PendingReply{Pending: s.Worker.HasHandoff(query.Job), Doubt: s.Worker.MayMissWorkers()}, nil
}
