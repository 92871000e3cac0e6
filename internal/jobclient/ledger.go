package jobclient

import (
	"context"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/ledger"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// Begin commits the start of a request, or reports the earlier one. After an error the caller must not dispatch, so
// the request has not run and its outcome is NotRun; a start that may have been committed is abandoned.
func (c *Client) Begin(ctx context.Context, key ledger.Key, digest string, node ident.Node) (ledger.Entry, error) {
	if err := requireText("Idempotency-Key", key.IdempotencyKey); err != nil {
		return ledger.Entry{}, err
	}
	home := c.home(key.Tenant)
	token := c.options.NewID()
	request := &pb.BeginCall{Shard: uint32(home), Begin: &pb.BeginRequest{
		Tenant: string(key.Tenant),
		Key:    key.IdempotencyKey,
		Digest: digest,
		Node:   string(node),
		Token:  token,
	}}
	answer, tried, err := call(ctx, c, home, "Begin", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.BeginReply, error) {
		return leader.Begin(ctx, request)
	})
	if err != nil {
		if tried.unknown {
			c.background(func(ctx context.Context) { _ = c.abandonToken(ctx, key, token) })
		}
		return ledger.Entry{}, failure.As(err).WithOutcome(outcome.NotRun)
	}
	return entryOf(answer)
}

func (c *Client) abandonToken(ctx context.Context, key ledger.Key, token string) error {
	return c.settle(ctx, key, &pb.SettleRequest{Token: token, Settlement: pb.Settlement_SETTLEMENT_ABANDON})
}

func entryOf(answer *pb.BeginReply) (ledger.Entry, error) {
	record := answer.GetEntry()
	entry := ledger.Entry{Attempt: record.GetAttempt()}
	switch {
	case answer.GetStarted():
		entry.State = ledger.Started
	case record.GetState() == pb.LedgerState_LEDGER_STARTED:
		entry.State = ledger.InProgress
	case record.GetState() == pb.LedgerState_LEDGER_FINISHED:
		entry.State = ledger.Finished
		entry.Answer = ledger.Answer{Status: int(record.GetStatus()), Body: record.GetBody()}
	case record.GetState() == pb.LedgerState_LEDGER_UNKNOWN:
		entry.State = ledger.OutcomeUnknown
	default:
		return ledger.Entry{}, failure.New(failure.CodeConflict, "the request was abandoned while it began; send it again")
	}
	return entry, nil
}

// Finish stores the answer of the attempt. It may be called again after any failure with an Unknown outcome.
func (c *Client) Finish(ctx context.Context, key ledger.Key, attempt uint64, answer ledger.Answer) error {
	return c.settle(ctx, key, &pb.SettleRequest{
		Attempt:    attempt,
		Settlement: pb.Settlement_SETTLEMENT_FINISH,
		Status:     int32(answer.Status),
		Body:       answer.Body,
	})
}

// Abandon records that the attempt definitely did not run, so that a resend may run.
func (c *Client) Abandon(ctx context.Context, key ledger.Key, attempt uint64) error {
	return c.settle(ctx, key, &pb.SettleRequest{Attempt: attempt, Settlement: pb.Settlement_SETTLEMENT_ABANDON})
}

// Lose records that the attempt's outcome is unknown.
func (c *Client) Lose(ctx context.Context, key ledger.Key, attempt uint64) error {
	return c.settle(ctx, key, &pb.SettleRequest{Attempt: attempt, Settlement: pb.Settlement_SETTLEMENT_LOSE})
}

func (c *Client) settle(ctx context.Context, key ledger.Key, request *pb.SettleRequest) error {
	home := c.home(key.Tenant)
	request.Tenant = string(key.Tenant)
	request.Key = key.IdempotencyKey
	_, _, err := call(ctx, c, home, "Settle", func(ctx context.Context, leader pb.DRPCJobStoreServer) (*pb.Ack, error) {
		return leader.Settle(ctx, &pb.SettleCall{Shard: uint32(home), Settle: request})
	})
	return err
}
