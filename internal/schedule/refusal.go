package schedule

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Reason is why no runner was chosen. Later values stand for later checks of the filter.
type Reason uint8

const (
	// ReasonNoRunner means that no runner in an allowed zone has the model loaded.
	ReasonNoRunner Reason = iota + 1
	// ReasonLeaving means that every runner with the model is leaving.
	ReasonLeaving
	// ReasonUnhealthy means that every remaining runner is ejected after failures or was excluded by the caller.
	ReasonUnhealthy
	// ReasonOverloaded means that every remaining runner is at its limit of online work or asked for a pause.
	ReasonOverloaded
	// ReasonDeadline means that no remaining runner is expected to return its first token before the deadline.
	ReasonDeadline
)

// Refusal states that a request was not sent to any runner, and why.
type Refusal struct {
	Reason Reason
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
}

// Retry delays sent to callers.
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

// Failure returns the error that is sent to the caller.
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
