package jobstore

import (
	"mallowlatch.example/mallowlatch/internal/failure"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/shard"
)

func ledgerKey(tenant, key string) []byte {
	return pairKey(spaceLedger, tenant, key)
}

// begunKey returns the key that lists a started ledger entry.
func begunKey(key []byte) []byte {
	return append([]byte{spaceBegun}, key...)
}

// applyBegin starts a non-repeatable request, or reports the earlier start. Only an abandoned request starts again.
// The same call (token) proposed twice finds its own start.
func applyBegin(transaction shard.Transaction, now int64, begin *pb.BeginRequest) (*pb.Reply, error) {
	key := ledgerKey(begin.GetTenant(), begin.GetKey())
	entry := &pb.LedgerRecord{}
	found, err := load(transaction, key, entry)
	if err != nil {
		return nil, err
	}
	if found && entry.GetDigest() != begin.GetDigest() {
		return refuse(failure.New(failure.CodeIdempotencyMismatch, "the idempotency key was used for another request"))
	}
	if found && !mayStartAgain(entry, begin) {
		return &pb.Reply{Ledger: entry, Resent: true}, nil
	}
	started := &pb.LedgerRecord{
		Tenant:   begin.GetTenant(),
		Key:      begin.GetKey(),
		Digest:   begin.GetDigest(),
		Node:     begin.GetNode(),
		Token:    begin.GetToken(),
		Attempt:  entry.GetAttempt() + 1,
		State:    pb.LedgerState_LEDGER_STARTED,
		Started:  now,
		Deadline: begin.GetDeadline(),
	}
	writes := &writer{transaction: transaction}
	writes.save(key, started)
	writes.set(begunKey(key), nil)
	writes.set(expiryKey(started.GetDeadline(), expiryLedger, string(key)), nil)
	return &pb.Reply{Ledger: started}, writes.err
}

// mayStartAgain reports whether a request may get a new attempt: its last one was abandoned, and not by this very call.
func mayStartAgain(entry *pb.LedgerRecord, begin *pb.BeginRequest) bool {
	return entry.GetState() == pb.LedgerState_LEDGER_ABANDONED && entry.GetToken() != begin.GetToken()
}

// applySettle ends the current attempt of a request. An attempt ends once; the same end again is acknowledged.
func applySettle(transaction shard.Transaction, now int64, settle *pb.SettleRequest) (*pb.Reply, error) {
	key := ledgerKey(settle.GetTenant(), settle.GetKey())
	entry := &pb.LedgerRecord{}
	found, err := load(transaction, key, entry)
	if err != nil {
		return nil, err
	}
	if !found {
		return refuse(notFound("request", settle.GetKey()))
	}
	if !isAttempt(entry, settle) {
		return refuse(failure.New(failure.CodeConflict, "attempt %d is not the current one", settle.GetAttempt()))
	}
	state := settledState(settle.GetSettlement())
	if entry.GetState() == state {
		return &pb.Reply{Ledger: entry, Resent: true}, nil
	}
	if entry.GetState() == pb.LedgerState_LEDGER_UNKNOWN {
		return refuse(failure.New(failure.CodeOutcomeUnknown, "the attempt counts as lost").WithOutcome(outcome.Unknown))
	}
	if entry.GetState() != pb.LedgerState_LEDGER_STARTED {
		return refuse(failure.New(failure.CodeConflict, "the attempt has ended"))
	}
	entry.Status = settle.GetStatus()
	entry.Body = settle.GetBody()
	writes := &writer{transaction: transaction}
	writes.endAttempt(key, entry, state, now+settle.GetRetention())
	return &pb.Reply{Ledger: entry}, writes.err
}

// isAttempt reports whether a settlement is about the entry's current attempt.
func isAttempt(entry *pb.LedgerRecord, settle *pb.SettleRequest) bool {
	if settle.GetAttempt() == 0 {
		return entry.GetToken() == settle.GetToken()
	}
	return entry.GetAttempt() == settle.GetAttempt()
}

func settledState(settlement pb.Settlement) pb.LedgerState {
	switch settlement {
	case pb.Settlement_SETTLEMENT_FINISH:
		return pb.LedgerState_LEDGER_FINISHED
	case pb.Settlement_SETTLEMENT_ABANDON:
		return pb.LedgerState_LEDGER_ABANDONED
	default:
		return pb.LedgerState_LEDGER_UNKNOWN
	}
}

// endAttempt writes an entry's final state and when it may be forgotten.
func (w *writer) endAttempt(key []byte, entry *pb.LedgerRecord, state pb.LedgerState, expires int64) {
	entry.State = state
	entry.Expires = expires
	w.save(key, entry)
	w.delete(begunKey(key))
	w.set(expiryKey(expires, expiryLedger, string(key)), nil)
}
