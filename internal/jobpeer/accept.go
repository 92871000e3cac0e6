package jobpeer

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/work"
)

// acceptTimeout bounds the writing of a job by a worker.
const acceptTimeout = 1500 * time.Millisecond

// Accepter writes a job. Its error is a *failure.Error; see jobentry.Desk.
type Accepter interface {
	Accept(ctx context.Context, route *work.Route, submission *jobrecord.Submission) error
}

// Accept has a worker write a job. A nil error means that the job is durable. Any other is a *failure.Error; without a
// worker that answers its outcome is unknown once a call was sent, and NotRun where none was.
func (h *Holders) Accept(ctx context.Context, route *work.Route, submission *jobrecord.Submission) error {
	h.readWorkers(ctx)
	told := outcome.NotRun
	for _, address := range h.reachable() {
		reply := &AcceptReply{}
		if !h.ask(ctx, address, methodAccept, newAcceptance(route, submission), reply, acceptTimeout) {
			told = outcome.Unknown
			continue
		}
		if reply.Accepted {
			return nil
		}
		return reply.failure(told)
	}
	return failure.New(failure.CodeShardUnavailable, "no worker could write the job").WithOutcome(told)
}

// reachable returns the addresses of the workers that are not avoided, those of the zone first.
func (h *Holders) reachable() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var addresses []string
	for _, worker := range h.workers {
		if !h.Now().Before(h.avoided[worker.Address]) {
			addresses = append(addresses, worker.Address)
		}
	}
	return addresses
}

func newAcceptance(route *work.Route, submission *jobrecord.Submission) *Acceptance {
	acceptance := &Acceptance{
		Job: submission.ID, Route: submission.Route, Host: submission.Host, Zone: submission.Zone,
		MaximumQueuedTokens: route.MaximumQueuedTokens,
	}
	for _, item := range submission.Items {
		acceptance.Items = append(acceptance.Items, AcceptedItem{Item: item, Bytes: item.Body})
	}
	return acceptance
}

// failure is the worker's answer; told is what an earlier call may have done.
func (r *AcceptReply) failure(told outcome.Outcome) *failure.Error {
	return failure.New(r.Code, "%s", r.Message).
		WithOutcome(outcome.Join(told, r.Outcome)).
		WithRetryAfter(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

// Accept implements Server.
func (s *WorkerServer) Accept(ctx context.Context, acceptance *Acceptance) (*AcceptReply, error) {
	submission := &jobrecord.Submission{ID: acceptance.Job, Route: acceptance.Route, Host: acceptance.Host, Zone: acceptance.Zone}
	for _, item := range acceptance.Items {
		item.Item.Body = item.Bytes
		submission.Items = append(submission.Items, item.Item)
	}
	route := &work.Route{Name: acceptance.Route, MaximumQueuedTokens: acceptance.MaximumQueuedTokens}
	err := s.Accepter.Accept(ctx, route, submission)
	if err == nil {
		return &AcceptReply{Accepted: true}, nil
	}
	told := failure.As(err)
	return &AcceptReply{
		Code: told.Code, Message: told.Message, Outcome: told.Outcome, RetryAfterMs: told.RetryAfter.Milliseconds(),
	}, nil
}
