package engine

import (
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/outcome"
)

// AttemptError is the failure of one attempt at a request.
type AttemptError struct {
	// Outcome says whether the engine may have run the request.
	Outcome outcome.Outcome
	// RetryAfter is the engine's own advice, or zero.
	RetryAfter time.Duration
	// Cause wraps one of the Err kinds of this package.
	Cause error
}

// Error returns the cause and the outcome.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("engine attempt failed (not run: %s): %v", e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }
