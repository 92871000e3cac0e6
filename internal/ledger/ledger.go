// Package ledger is the interface to the replicated record of requests that may run at most once.
package ledger

import (
	"context"
	"encoding/json"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Key names a non-repeatable request across resends.
type Key struct {
	Tenant         ident.Tenant
	IdempotencyKey string
}

// State is what the ledger knows of a request.
type State uint8

const (
	// Started means this call committed the start: the caller of Begin, and nobody else, may dispatch.
	Started State = iota + 1
	// InProgress means an earlier call started it and its outcome is not known yet.
	InProgress
	// Finished means the answer is stored.
	Finished
	// OutcomeUnknown means it was started and its outcome is lost; it never runs again.
	OutcomeUnknown
)

// Answer is a stored answer.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Body is the whole JSON answer.
	Body json.RawMessage
}

// Entry is the ledger's record of a request.
type Entry struct {
	State   State
	Attempt uint64
	Answer  Answer
}

// Ledger records non-repeatable requests. Errors are *failure.Error; an error of Begin means the request was not
// started and the caller must not dispatch.
type Ledger interface {
	// Begin commits the start of a request, or reports the earlier one. digest identifies the body: the same key
	// with another digest is refused with failure.CodeIdempotencyMismatch.
	Begin(ctx context.Context, key Key, digest string, node ident.Node) (Entry, error)
	// Finish stores the answer of the attempt.
	Finish(ctx context.Context, key Key, attempt uint64, answer Answer) error
	// Abandon records that the attempt definitely did not run, so that a resend may run.
	Abandon(ctx context.Context, key Key, attempt uint64) error
	// Lose records that the attempt's outcome is unknown.
	Lose(ctx context.Context, key Key, attempt uint64) error
}
