package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Reason says why no runner was chosen.
type Reason uint8

const (
	// ReasonNoRunner means that no runner that may serve the request has its model loaded.
	ReasonNoRunner Reason = iota + 1
	// ReasonLeaving means that every runner with the model is leaving.
	ReasonLeaving
	// ReasonUnhealthy means that every runner left is out of use after failures, or was excluded by the caller.
	ReasonUnhealthy
	// ReasonOverloaded means that every runner left has as much online work as it may queue.
	ReasonOverloaded
	// ReasonDeadline means that no runner left can be expected to answer before the deadline.
	ReasonDeadline
)

// Refusal states that a request was not given to any runner. It was not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is when a retry may succeed.
	RetryAfter time.Duration
}

// Advice to callers on when to come back.
const (
	retryAfterNoRunner  = 5 * time.Second
	retryAfterUnhealthy = 2 * time.Second
	retryAfterOverload  = time.Second
)

func refuse(reason Reason) *Refusal {
	switch reason {
	case ReasonNoRunner, ReasonLeaving:
		return &Refusal{Reason: reason, RetryAfter: retryAfterNoRunner}
	case ReasonUnhealthy:
		return &Refusal{Reason: reason, RetryAfter: retryAfterUnhealthy}
	default:
		return &Refusal{Reason: reason, RetryAfter: retryAfterOverload}
	}
}

// Failure returns the refusal as the caller sees it.
func (r *Refusal) Failure() *failure.Error {
	return r.failure().WithRetryAfter(r.RetryAfter)
}

func (r *Refusal) failure() *failure.Error {
	switch r.Reason {
	case ReasonOverloaded:
		return failure.New(failure.CodeOverloaded, "all runners for the model are at their limit")
	case ReasonDeadline:
		return failure.New(failure.CodeDeadlineInfeasible, "no runner can be expected to answer before the deadline")
	case ReasonLeaving:
		return failure.New(failure.CodeNoBackend, "all runners for the model are leaving")
	case ReasonUnhealthy:
		return failure.New(failure.CodeNoBackend, "no healthy runner for the model")
	default:
		return failure.New(failure.CodeNoBackend, "no runner has the model loaded")
	}
}
