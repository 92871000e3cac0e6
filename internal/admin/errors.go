package admin

import (
	"errors"
	"math"
	"net/http"
	"strconv"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// typed returns the error as it is shown. Everything wrong with a configuration is invalid_request, with the problems;
// the change was not accepted.
func typed(err error) *failure.Error {
	var invalid *catalog.InvalidError
	var shown *failure.Error
	if errors.As(err, &shown) || !errors.As(err, &invalid) {
		return failure.As(err)
	}
	first := invalid.Problems[0]
	message := first.String()
	if more := len(invalid.Problems) - 1; more > 0 {
		message += " (and " + strconv.Itoa(more) + " more)"
	}
	return failure.New(failure.CodeInvalidRequest, "%s", message).
		WithParam(first.Field).
		WithLine(first.Line).
		WithOutcome(outcome.NotRun).
		WithCause(err)
}

func envelope(shown *failure.Error) ErrorBody {
	detail := ErrorDetail{
		Code:    shown.Code,
		Message: shown.Message,
		Param:   shown.Param,
		Line:    shown.Line,
		NotRun:  shown.Outcome.String(),
	}
	var invalid *catalog.InvalidError
	if errors.As(shown.Cause, &invalid) {
		detail.Problems = invalid.Problems
	}
	return ErrorBody{Error: detail}
}

func (s *server) writeError(w http.ResponseWriter, r *request, route route, err error) {
	shown := typed(err)
	s.metrics.requests.WithLabelValues(route.method, route.path, string(shown.Code)).Inc()
	if route.method != http.MethodGet && r.key.ID != "" {
		s.auditRefusal(r, shown)
	}
	if shown.RetryAfter > 0 {
		seconds := int(math.Ceil(shown.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, shown.Code.Status(), envelope(shown))
}

// auditRefusal logs a change that was not accepted, or may have been.
func (s *server) auditRefusal(r *request, shown *failure.Error) {
	kind := event.AdminChangeRefused
	if shown.Outcome == outcome.Unknown {
		kind = event.AdminChangeUnknown
	}
	kind.Log(s.Logger).
		Str("author", r.key.ID).
		Str("method", r.Method).
		Str("path", r.URL.Path).
		Str("code", string(shown.Code)).
		Err(shown).
		Send()
}
