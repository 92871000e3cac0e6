package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/ledger"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// inProgressRetryAfter is the retry delay sent for a resend of a request that is still in progress.
const inProgressRetryAfter = time.Second

// runOnce runs a non-repeatable request with an idempotency key at most once, however often it is resent. Without a key
// resends cannot be recognized, and the request is run directly.
//
// The start is committed to the ledger before anything is sent to an engine, so that a resend finds it whatever fails
// afterwards.
func (d *Dispatcher) runOnce(ctx context.Context, request *inference.Request, sink Sink) *failure.Error {
	if request.IdempotencyKey == "" {
		return d.run(ctx, request, sink)
	}
	key := ledger.Key{Tenant: request.Tenant, IdempotencyKey: request.IdempotencyKey}
	entry, err := d.config.Ledger.Begin(ctx, key, digest(request), d.config.Node)
	if err != nil {
		return failure.As(err).WithOutcome(outcome.NotRun)
	}
	switch entry.State {
	case ledger.Started:
		return d.runStarted(ctx, key, entry.Attempt, request, sink)
	case ledger.Finished:
		return sendStored(request, entry.Answer, sink)
	case ledger.InProgress:
		return failure.New(failure.CodeInProgress, "the request is in progress under this idempotency key").
			WithOutcome(outcome.Unknown).WithRetryAfter(inProgressRetryAfter)
	default:
		return failure.New(failure.CodeOutcomeUnknown, "the request was started and its outcome is not known; it will not run again").
			WithOutcome(outcome.Unknown)
	}
}

// digest returns a hash of the endpoint and body of the request.
func digest(request *inference.Request) string {
	hash := sha256.New()
	hash.Write([]byte(request.Endpoint))
	hash.Write([]byte{0})
	hash.Write(request.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// runStarted dispatches a request whose start is committed, and records its end. It continues if the caller disconnects,
// because the caller is expected to resend, and an abort would make the outcome unknown.
func (d *Dispatcher) runStarted(ctx context.Context, key ledger.Key, attempt uint64, request *inference.Request, sink Sink) *failure.Error {
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.config.Limits.OnceDuration)
	defer cancel()
	recorder := &recordingSink{sink: sink, whole: answer.NewAggregate(request.Endpoint)}
	failed := d.run(detached, request, recorder)
	d.record(detached, key, attempt, recorder, failed)
	return failed
}

// record commits the end of a non-repeatable request.
func (d *Dispatcher) record(ctx context.Context, key ledger.Key, attempt uint64, recorder *recordingSink, failed *failure.Error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := d.recordOnce(ctx, key, attempt, recorder, failed); err != nil {
		event.LedgerRecordFailed.Log(d.config.Logger).Err(err).Str("tenant", string(key.Tenant)).Uint64("attempt", attempt).Send()
	}
}

// recordTimeout limits the commit of the end. If the commit fails, the entry stays in progress until the ledger marks its
// outcome as unknown, which is safe.
const recordTimeout = 10 * time.Second

// recordOnce commits the end once: abandoned if the request was not run, lost if its answer is incomplete, else finished.
func (d *Dispatcher) recordOnce(ctx context.Context, key ledger.Key, attempt uint64, recorder *recordingSink, failed *failure.Error) error {
	if failed != nil && failed.Outcome == outcome.NotRun {
		return d.config.Ledger.Abandon(ctx, key, attempt)
	}
	if failed != nil {
		return d.config.Ledger.Lose(ctx, key, attempt)
	}
	whole, err := recorder.whole.Answer()
	if err != nil {
		return d.config.Ledger.Lose(ctx, key, attempt)
	}
	return d.config.Ledger.Finish(ctx, key, attempt, whole)
}

// sendStored passes a stored answer to the sink of a resend.
func sendStored(request *inference.Request, stored ledger.Answer, sink Sink) *failure.Error {
	if storedSink, ok := sink.(answer.StoredSink); ok {
		return sinkFailure(storedSink.Stored(stored))
	}
	chunk, err := answer.AsChunk(request.Endpoint, stored)
	if err != nil {
		return failure.New(failure.CodeInternal, "the stored answer cannot be read").WithCause(err).WithOutcome(outcome.Ran)
	}
	return sinkFailure(sink.Chunk(chunk))
}

func sinkFailure(err error) *failure.Error {
	if err == nil {
		return nil
	}
	return failure.New(failure.CodeCancelled, "the caller has gone").WithCause(err).WithOutcome(outcome.Ran)
}

// recordingSink records the whole answer and passes it on until the caller disconnects.
type recordingSink struct {
	sink         Sink
	whole        *answer.Aggregate
	disconnected bool
}

// Chunk records the chunk and passes it on while the caller is connected.
func (s *recordingSink) Chunk(chunk inference.Chunk) error {
	if err := s.whole.Chunk(chunk); err != nil {
		return err
	}
	if !s.disconnected {
		s.disconnected = s.sink.Chunk(chunk) != nil
	}
	return nil
}
