package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
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

// ErrNotYetListed means that a runner which began a stream cannot be asked whether it had been started again before, and that the registry may
// not have listed such a start yet.
const ErrNotYetListed = failure.Kind("stream origins: a start of the runner may not be listed yet")

// Moment is the present time, as a date and by the node's clock for ages.
type Moment struct{ Date, Now time.Time }

// Verify makes sure that a stream began at the version that its origin names. A runner that is started again under its name with another software
// version answers before the registry lists it anew, so that a stream that it begins then is taken for one of the version before. Its error
// wraps ErrUnknown if the stream may have begun after such a start, and ErrNotYetListed too if a later list will tell.
func Verify(ctx context.Context, caller work.Caller, runners *runnertable.Table, origin work.Origin, moment Moment) error {
	if _, hasStart := origin.Runner.Started(); !hasStart || origin.Version == "" {
		return nil
	}
	if listed, isListed := runners.Runner(origin.Runner); isListed {
		err := Confirm(ctx, caller, listed)
		if err == nil {
			return nil
		}
		var other *work.OtherIncarnation
		if errors.As(err, &other) {
			return checkStart(origin, other.Started)
		}
	} else if latest := runners.Latest(origin.Runner.Name()); latest != "" && latest != origin.Runner {
		started, _ := latest.Started()
		return checkStart(origin, started)
	}
	age := moment.Date.Sub(time.UnixMilli(origin.BeganMs).Add(startSlack))
	if runners.CompleteThrough().Before(moment.Now.Add(-age)) {
		return fmt.Errorf("%w: %w: %s", ErrUnknown, ErrNotYetListed, origin.Runner)
	}
	return nil
}

// checkStart returns an error that wraps ErrUnknown unless the stream began before the runner was started again. The zero time is a start
// whose time the runner does not tell.
func checkStart(origin work.Origin, started time.Time) error {
	if time.UnixMilli(origin.BeganMs).Add(startSlack).Before(started) {
		return nil
	}
	return fmt.Errorf("%w: runner %s was started again", ErrUnknown, origin.Runner)
}

// IsReplaced reports whether an error of Confirm means that the listed incarnation is gone.
func IsReplaced(err error) bool { return errors.Is(err, work.ErrOtherIncarnation) }
