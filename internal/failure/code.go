package failure

import "net/http"

// Code is the stable identifier of a failure in the caller API and the admin API.
type Code string

// The codes callers may see. docs/ERRORS.md describes each.
const (
	CodeInvalidRequest       Code = "invalid_request"
	CodeInvalidJSON          Code = "invalid_json"
	CodeInvalidLine          Code = "invalid_line"
	CodeInvalidKey           Code = "invalid_api_key"
	CodeForbidden            Code = "forbidden"
	CodeNotFound             Code = "not_found"
	CodeModelNotFound        Code = "model_not_found"
	CodeMethodNotAllowed     Code = "method_not_allowed"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeConflict             Code = "conflict"
	CodeIdempotencyMismatch  Code = "idempotency_key_reused"
	CodeInProgress           Code = "request_in_progress"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeRateLimited          Code = "rate_limited"
	CodeOverloaded           Code = "overloaded"
	CodeDeadlineInfeasible   Code = "deadline_infeasible"
	CodeDeadlineExceeded     Code = "deadline_exceeded"
	CodeNoBackend            Code = "no_backend"
	CodeBackendFailed        Code = "backend_failed"
	CodeStreamInterrupted    Code = "stream_interrupted"
	CodeNotResumable         Code = "stream_not_resumable"
	CodeEndsRunners          Code = "request_ends_runners"
	CodeShardUnavailable     Code = "job_storage_unavailable"
	CodeTooFewCopies         Code = "too_few_copies"
	CodeJobQuota             Code = "job_quota_exceeded"
	CodeStorageFull          Code = "job_storage_full"
	CodeConfigUnavailable    Code = "configuration_service_unavailable"
	CodeConfigUnknown        Code = "configuration_outcome_unknown"
	CodeDraining             Code = "node_draining"
	CodeCancelled            Code = "cancelled"
	CodeExpired              Code = "expired"
	CodePreconditionRequired Code = "revision_required"
	CodeInternal             Code = "internal_error"
)

var statusOfCode = map[Code]int{
	CodeInvalidRequest:       http.StatusBadRequest,
	CodeInvalidJSON:          http.StatusBadRequest,
	CodeInvalidLine:          http.StatusBadRequest,
	CodeInvalidKey:           http.StatusUnauthorized,
	CodeForbidden:            http.StatusForbidden,
	CodeNotFound:             http.StatusNotFound,
	CodeModelNotFound:        http.StatusNotFound,
	CodeMethodNotAllowed:     http.StatusMethodNotAllowed,
	CodeBodyTooLarge:         http.StatusRequestEntityTooLarge,
	CodeConflict:             http.StatusConflict,
	CodeIdempotencyMismatch:  http.StatusUnprocessableEntity,
	CodeInProgress:           http.StatusConflict,
	CodeOutcomeUnknown:       http.StatusBadGateway,
	CodeRateLimited:          http.StatusTooManyRequests,
	CodeOverloaded:           http.StatusServiceUnavailable,
	CodeDeadlineInfeasible:   http.StatusServiceUnavailable,
	CodeDeadlineExceeded:     http.StatusGatewayTimeout,
	CodeNoBackend:            http.StatusServiceUnavailable,
	CodeBackendFailed:        http.StatusBadGateway,
	CodeStreamInterrupted:    http.StatusBadGateway,
	CodeNotResumable:         http.StatusServiceUnavailable,
	CodeEndsRunners:          http.StatusBadGateway,
	CodeShardUnavailable:     http.StatusServiceUnavailable,
	CodeTooFewCopies:         http.StatusServiceUnavailable,
	CodeJobQuota:             http.StatusTooManyRequests,
	CodeStorageFull:          http.StatusServiceUnavailable,
	CodeConfigUnavailable:    http.StatusServiceUnavailable,
	CodeConfigUnknown:        http.StatusGatewayTimeout,
	CodeDraining:             http.StatusServiceUnavailable,
	CodeCancelled:            http.StatusConflict,
	CodeExpired:              http.StatusConflict,
	CodePreconditionRequired: http.StatusPreconditionRequired,
	CodeInternal:             http.StatusInternalServerError,
}

// Status returns the HTTP status of the code.
func (c Code) Status() int {
	if status, known := statusOfCode[c]; known {
		return status
	}
	return http.StatusInternalServerError
}
