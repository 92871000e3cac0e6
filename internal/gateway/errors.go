package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// envelope is the dialect's error object.
type envelope struct {
	Error envelopeError `json:"error"`
}

type envelopeError struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Param   *string      `json:"param"`
	Code    failure.Code `json:"code"`
	// NotRun is "true", "false" or "unknown".
	NotRun string `json:"not_run"`
	Line   int    `json:"line,omitempty"`
	// RetryAfterMilliseconds is how long to wait before a retry; absent where a retry makes no sense.
	RetryAfterMilliseconds int64 `json:"retry_after_ms,omitempty"`
}

// typeOf returns the dialect's error type of a status.
func typeOf(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

func newEnvelope(failed *failure.Error) envelope {
	content := envelopeError{
		Message:                failed.Message,
		Type:                   typeOf(failed.Code.Status()),
		Code:                   failed.Code,
		NotRun:                 failed.Outcome.String(),
		Line:                   failed.Line,
		RetryAfterMilliseconds: failed.RetryAfter.Milliseconds(),
	}
	if failed.Param != "" {
		content.Param = &failed.Param
	}
	return envelope{Error: content}
}

// encode returns the JSON of the envelope; its fields always encode.
func (e envelope) encode() []byte {
	encoded, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return encoded
}

// fail answers an error. Once an answer has begun, the connection is broken instead, so that the caller can never take
// a part for the whole.
func (e *exchange) fail(err error) {
	failed := failure.As(err)
	e.note(failed)
	if e.began {
		panic(http.ErrAbortHandler)
	}
	e.answerFailure(failed)
}

// answerFailure writes the whole error answer.
func (e *exchange) answerFailure(failed *failure.Error) {
	e.setFailureHeaders(failed)
	e.writeJSON(failed.Code.Status(), newEnvelope(failed).encode())
}

func (e *exchange) setFailureHeaders(failed *failure.Error) {
	header := e.Header()
	header.Set(headerNotRun, failed.Outcome.String())
	if failed.RetryAfter <= 0 {
		return
	}
	seconds := (failed.RetryAfter + time.Second - 1) / time.Second
	header.Set(headerRetryAfter, strconv.FormatInt(int64(seconds), 10))
	header.Set(headerRetryAfterMilliseconds, strconv.FormatInt(failed.RetryAfter.Milliseconds(), 10))
}

// note records the failure for metrics, and logs those an operator must know of.
func (e *exchange) note(failed *failure.Error) {
	e.code = failed.Code
	logged := failed.Code == failure.CodeInternal || failed.Code == failure.CodeStreamInterrupted || failed.Code == failure.CodeOutcomeUnknown
	if !logged {
		return
	}
	event.CallerRequestFailed.Log(e.gateway.options.Logger).Str("request", string(e.id)).Str("caller_request", e.callerID).
		Str("tenant", string(e.key.Tenant)).Str("route", e.route).Str("code", string(failed.Code)).Err(failed).Send()
}

// bodyFailure explains a body that could not be read.
func bodyFailure(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return failure.New(failure.CodeBodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return failure.New(failure.CodeInvalidRequest, "the body did not arrive whole").WithCause(err).WithOutcome(outcome.NotRun)
}
