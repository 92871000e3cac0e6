package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/work"
)

// ErrUnconfirmed means that a runner did not confirm in time that it is the incarnation that the registry lists.
const ErrUnconfirmed = failure.Kind("stream origins: runner not confirmed as the listed incarnation")

// confirmTimeout bounds the call by which a runner is confirmed.
const confirmTimeout = 300 * time.Millisecond

// Confirm makes sure that a runner that is to go on with a stream is the incarnation that the registry lists. A runner that was started again
// under its name, perhaps with another software version, accepts requests for that name before the registry lists it anew. Names without a
// start time are never used again, and need no call. Its error wraps ErrUnconfirmed, and work.ErrOtherIncarnation if another one answers.
func Confirm(ctx context.Context, caller work.Caller, runner work.Runner) error {
	if _, hasStart := runner.ID.Started(); !hasStart {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if _, err := caller.Report(ctx, runner); err != nil {
		return fmt.Errorf("%w: %w", ErrUnconfirmed, err)
	}
	return nil
}

// IsReplaced reports whether an error of Confirm means that the listed incarnation is gone.
func IsReplaced(err error) bool { return errors.Is(err, work.ErrOtherIncarnation) }
