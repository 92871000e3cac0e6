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

// keepTimeout bounds the writing of a job to a worker's disk, beside callSlack.
const keepTimeout = 600 * time.Millisecond

// Keep has workers put a job on their disks until the store takes it. bound is what may wait on the route by the workers' own count; zero
// asks for none, because the job's room is reserved. A nil error means that enough of them did for the
// job to be durable. Any other is a *failure.Error: its outcome is NotRun only where no worker can have the job.
func (h *Holders) Keep(ctx context.Context, bound int, submission *jobrecord.Submission) error {
	h.readWorkers(ctx)
	keeping := &keeping{
		holders: h, candidates: h.keepers(), needed: h.Copies,
		bound: bound, submission: submission, accepted: h.Now(), date: clock.Date(),
	}
	return keeping.run(ctx)
}

// keeping is the putting of one job on the disks of workers.
type keeping struct {
	holders    *Holders
	candidates []string
	// needed is the number of workers that must have the job.
	needed     int
	bound      int
	submission *jobrecord.Submission
	accepted   time.Time
	// date is the same as the time of day: it stays with the job.
	date     time.Time
	asked    int
	answered int
	kept     int
	// told is Unknown once a worker may have the job without having said so.
	told    outcome.Outcome
	refused *failure.Error
}

// spareKeepers is how many workers more than needed are asked at once, so that one that is slow or gone costs no time.
const spareKeepers = 1

// run asks workers until enough have the job or none is left to ask.
func (k *keeping) run(ctx context.Context) error {
	k.told = outcome.NotRun
	if k.needed < 1 || len(k.candidates) < k.needed {
		return failure.New(failure.CodeShardUnavailable, "%d workers are known and %d must keep the job", len(k.candidates), k.needed)
	}
	replies := make(chan *KeepReply, len(k.candidates))
	for k.asked < min(k.needed+spareKeepers, len(k.candidates)) {
		k.ask(ctx, replies)
	}
	for answered := 0; answered < k.asked; answered++ {
		if k.take(<-replies) {
			return nil
		}
		if k.unheard() {
			return k.failure()
		}
		if k.asked < len(k.candidates) && k.kept+k.asked-answered-1 < k.needed {
			k.ask(ctx, replies)
		}
	}
	return k.failure()
}

// unheard says that none of the first workers has answered in the time that one may take. The node is cut off, as a rule: asking the
// others, each as long, would hold the caller to its deadline, and another node may reach them.
func (k *keeping) unheard() bool {
	return k.answered == 0 && k.holders.Now().Sub(k.accepted) >= keepTimeout+callSlack
}

// ask sends the job to the next worker. Each call has a tomb of its own: one whose calls all ended takes no more.
func (k *keeping) ask(ctx context.Context, replies chan<- *KeepReply) {
	address, turn := k.candidates[k.asked], k.asked
	k.asked++
	k.submission.Hold()
	new(tomb.Tomb).Go(func() error {
		defer k.submission.LetGo()
		request := &KeepRequest{Entry: handoff.NewEntry(k.submission, k.date, turn), MaximumQueuedTokens: k.bound, Copies: k.needed + spareKeepers}
		reply := &KeepReply{}
		if !k.holders.ask(ctx, address, methodKeep, request, reply, keepTimeout) {
			reply = nil
		}
		replies <- reply
		return nil
	})
}

// take notes a worker's answer, or that none came, and says whether the job is durable.
func (k *keeping) take(reply *KeepReply) bool {
	if reply != nil {
		k.answered++
	}
	switch {
	case reply == nil:
		k.told = outcome.Unknown
	case reply.Kept:
		k.kept++
	default:
		k.told = outcome.Join(k.told, reply.Outcome)
		k.refused = reply.failure()
	}
	return k.kept >= k.needed
}

// failure is what the caller is told of a job that too few workers have.
func (k *keeping) failure() error {
	if k.unheard() {
		return failure.New(failure.CodeOutcomeUnknown, "none of %d workers answered", k.asked).WithOutcome(outcome.Unknown).
			WithCause(fmt.Errorf("%w: %d asked", handoff.ErrNobodyAnswers, k.asked))
	}
	if k.kept > 0 || k.told != outcome.NotRun {
		return failure.New(failure.CodeOutcomeUnknown, "%d of %d workers have the job", k.kept, k.needed).WithOutcome(outcome.Unknown)
	}
	return k.refused
}

// failure is the worker's refusal.
func (r *KeepReply) failure() *failure.Error {
	return failure.New(r.Code, "%s", r.Message).WithOutcome(r.Outcome).WithRetryAfter(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

// keepers returns the addresses of the workers that are not avoided, in the order in which they are to be asked: one of
// each zone by turns, the node's own zone first, so that the copies of a job lie in different zones where they can.
func (h *Holders) keepers() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var zones []ident.Zone
	byZone := map[ident.Zone][]string{}
	for _, worker := range h.workers.Value() {
		if h.Now().Before(h.avoided[worker.Address]) {
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

// Pending says whether a worker has a job on its disk that the store may not have yet. sure is false where a worker may have
// it that is not asked or did not answer. It asks the workers that are registered now and those known from a while before:
// registrations go with their leases in an outage, and the disks stay.
func (h *Holders) Pending(ctx context.Context, job ident.Job) (pending, sure bool) {
	registered, err := h.Records.Workers(ctx)
	workers := h.everyKeeper(registered)
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

// rememberedFor is how long a worker that is not registered any more is thought to keep jobs: longer than an outage takes
// it off the list.
const rememberedFor = time.Minute

// everyKeeper returns the addresses of the workers that are registered, and of those known lately.
func (h *Holders) everyKeeper(registered []jobrecord.Worker) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.rememberKeepers(registered)
	return slices.Sorted(maps.Keys(h.keepersSeen))
}

// rememberKeepers notes that workers are there, and forgets those that were not for long. The caller holds the mutex.
func (h *Holders) rememberKeepers(workers []jobrecord.Worker) {
	now := h.Now()
	if h.keepersSeen == nil {
		h.keepersSeen = map[string]time.Time{}
	}
	for _, worker := range workers {
		h.keepersSeen[worker.Address] = now
	}
	for address, seen := range h.keepersSeen {
		if now.Sub(seen) > rememberedFor {
			delete(h.keepersSeen, address)
		}
	}
}

// Keep implements Server.
func (s *WorkerServer) Keep(_ context.Context, request *KeepRequest) (*KeepReply, error) {
	err := s.Worker.Keep(request.Entry, request.MaximumQueuedTokens, request.Copies)
	if err == nil {
		return &KeepReply{Kept: true}, nil
	}
	told := failure.As(err)
	return &KeepReply{Code: told.Code, Message: told.Message, Outcome: told.Outcome, RetryAfterMs: told.RetryAfter.Milliseconds()}, nil
}

// Pending implements Server.
func (s *WorkerServer) Pending(_ context.Context, query *PendingQuery) (*PendingReply, error) {
	return &PendingReply{Pending: s.Worker.Keeps(query.Job), Doubt: s.Worker.DoubtsWorkers()}, nil
}
