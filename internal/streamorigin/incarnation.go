package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
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

// startSlack is by how much the clocks of two machines may differ.
const startSlack = 500 * time.Millisecond

// Verify makes sure that a stream began at the version that its origin names. A runner that is started again under its name with another software
// version answers before the registry lists it anew, so that a stream that it begins then is taken for one of the version before. Its error
// is ErrUnknown if the stream may have begun after such a start.
func Verify(ctx context.Context, caller work.Caller, runners *runnertable.Table, origin work.Origin) error {
	if _, hasStart := origin.Runner.Started(); !hasStart || origin.Version == "" {
		return nil
	}
	started, again := startedAgain(ctx, caller, runners, origin.Runner)
	if again && !time.UnixMilli(origin.BeganMs).Add(startSlack).Before(started) {
		return fmt.Errorf("%w: runner %s was started again", ErrUnknown, origin.Runner)
	}
	return nil
}

// startedAgain returns when a later incarnation of a runner started, if there is one: the registry lists it, or it answers. It is the zero time if
// it does not tell.
func startedAgain(ctx context.Context, caller work.Caller, runners *runnertable.Table, id ident.Incarnation) (started time.Time, again bool) {
	listed, isListed := runners.Runner(id)
	if !isListed {
		latest := runners.Latest(id.Name())
		started, _ = latest.Started()
		return started, latest != "" && latest != id
	}
	var other *work.OtherIncarnation
	if errors.As(Confirm(ctx, caller, listed), &other) {
		return other.Started, true
	}
	return time.Time{}, false
}

// IsReplaced reports whether an error of Confirm means that the listed incarnation is gone.
func IsReplaced(err error) bool { return errors.Is(err, work.ErrOtherIncarnation) }
