// Package failure holds the typed errors of the whole system. A Kind is a constant sentinel for failures that stay
// between packages; an Error is a failure a caller may be shown, with a stable code and a stated outcome.
package failure

import (
	"errors"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/outcome"
)

// Kind is a sentinel error. Packages declare their kinds as constants and wrap them with fmt.Errorf and %w.
type Kind string

// Error returns the text of the kind.
func (k Kind) Error() string { return string(k) }

// Error is a failure that may be shown to a caller.
type Error struct {
	// Code is the stable, documented code of the failure.
	Code Code
	// Message is plain English, safe to show to the caller.
	Message string
	// Param names the field at fault, if one is.
	Param string
	// Line is the one-based line of a batch file at fault, or zero.
	Line int
	// Outcome says whether the request ran.
	Outcome outcome.Outcome
	// RetryAfter tells the caller when to come back; zero means a retry makes no sense.
	RetryAfter time.Duration
	// Cause is the underlying error, kept for logs and never shown.
	Cause error
}

// New returns an Error for a request that was not run. Use the With methods to say otherwise.
func New(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...), Outcome: outcome.NotRun}
}

// WithOutcome returns a copy that states whether the request ran.
func (e *Error) WithOutcome(result outcome.Outcome) *Error {
	changed := *e
	changed.Outcome = result
	return &changed
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	changed := *e
	changed.RetryAfter = delay
	return &changed
}

// WithParam returns a copy that names the field at fault.
func (e *Error) WithParam(param string) *Error {
	changed := *e
	changed.Param = param
	return &changed
}

// WithLine returns a copy that names the line at fault.
func (e *Error) WithLine(line int) *Error {
	changed := *e
	changed.Line = line
	return &changed
}

// WithCause returns a copy that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	changed := *e
	changed.Cause = cause
	return &changed
}

// Error returns the code, the message and the cause, for logs.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// As returns the Error in err's chain. Any other error becomes CodeInternal with an Unknown outcome.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return New(CodeInternal, "internal error").WithCause(err).WithOutcome(outcome.Unknown)
}
