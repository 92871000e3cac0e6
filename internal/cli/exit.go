package cli

import (
	"errors"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// Exit codes of the operators' commands, beside ExitOK, ExitFailure and ExitUsage. Scripts may rely on them;
// docs/operators/changing-configuration.md lists them.
const (
	// ExitInvalid means that a file, a policy or a configuration is wrong; the problems are printed.
	ExitInvalid = 3
	// ExitConflict means that the revision has moved: read again and repeat. Nothing was changed.
	ExitConflict = 4
	// ExitUnavailable means that a service is away or overloaded: try later. Nothing was changed.
	ExitUnavailable = 5
	// ExitUnknown means that the change may or may not have been accepted.
	ExitUnknown = 6
	// ExitNotYet means that a change is accepted but was not in force everywhere in time, or that a job has not ended.
	ExitNotYet = 7
	// ExitDenied means that the key is unknown or its role does not permit the command.
	ExitDenied = 8
	// ExitNotFound means that what the command names does not exist.
	ExitNotFound = 9
)

// exitError is an error that decides the exit code.
type exitError struct {
	code  int
	cause error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

func withExit(code int, cause error) error { return &exitError{code: code, cause: cause} }

const (
	errUsage     = failure.Kind("wrong use")
	errInvalid   = failure.Kind("invalid")
	errConflict  = failure.Kind("conflict")
	errUnknown   = failure.Kind("outcome unknown")
	errNotYet    = failure.Kind("not yet")
	errServer    = failure.Kind("unexpected answer")
	errJobFailed = failure.Kind("job did not complete")
)

func usageError(format string, arguments ...any) error {
	return withExit(ExitUsage, fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, arguments...)))
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var decided *exitError
	if errors.As(err, &decided) {
		return decided.code
	}
	return ExitFailure
}

var exitOfCode = map[failure.Code]int{
	failure.CodeInvalidRequest:       ExitInvalid,
	failure.CodeInvalidJSON:          ExitInvalid,
	failure.CodeInvalidLine:          ExitInvalid,
	failure.CodeBodyTooLarge:         ExitInvalid,
	failure.CodeConflict:             ExitConflict,
	failure.CodeIdempotencyMismatch:  ExitConflict,
	failure.CodePreconditionRequired: ExitConflict,
	failure.CodeConfigUnavailable:    ExitUnavailable,
	failure.CodeRateLimited:          ExitUnavailable,
	failure.CodeOverloaded:           ExitUnavailable,
	failure.CodeShardUnavailable:     ExitUnavailable,
	failure.CodeTooFewCopies:         ExitUnavailable,
	failure.CodeJobQuota:             ExitUnavailable,
	failure.CodeStorageFull:          ExitUnavailable,
	failure.CodeDraining:             ExitUnavailable,
	failure.CodeConfigUnknown:        ExitUnknown,
	failure.CodeOutcomeUnknown:       ExitUnknown,
	failure.CodeInvalidKey:           ExitDenied,
	failure.CodeForbidden:            ExitDenied,
	failure.CodeNotFound:             ExitNotFound,
	failure.CodeModelNotFound:        ExitNotFound,
}
