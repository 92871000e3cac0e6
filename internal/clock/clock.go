// Package clock tells the time by which ages, leases and deadlines count. A machine may be suspended: the steady clock of the
// standard library stands still meanwhile, so that whatever is older than the sleep looks younger by its length. Now counts the time
// asleep and never goes back.
package clock

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrUnreadable means that the system's clocks cannot be read.
const ErrUnreadable = failure.Kind("clock: unreadable")

// aheadOf returns by how much the clock that counts the time asleep is ahead of the one that does not. Tests replace it.
var aheadOf = func() (time.Duration, error) {
	// The time asleep is the difference between the two, so that it is nothing where the steady clock is simulated.
	var steady, counting unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, fmt.Errorf("%w: steady clock: %w", ErrUnreadable, err)
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &counting); err != nil {
		return 0, fmt.Errorf("%w: clock since the boot: %w", ErrUnreadable, err)
	}
	return time.Duration(counting.Nano() - steady.Nano()), nil
}

var (
	// atStart is what aheadOf said at the start.
	atStart atomic.Int64
	// slept is the time asleep since; it never falls.
	slept atomic.Int64
)

// Start begins to count. It is called before anything is decided by an age. Its error wraps ErrUnreadable.
func Start() error {
	ahead, err := aheadOf()
	if err != nil {
		return err
	}
	atStart.Store(int64(ahead))
	return nil
}

// leastSleep is what the two clocks may differ by because they are read one after the other.
const leastSleep = time.Millisecond

// Slept returns how long the machine was suspended since Start.
func Slept() time.Duration {
	known := slept.Load()
	ahead, err := aheadOf()
	if err != nil {
		// It could be read at the start.
		return time.Duration(known)
	}
	found := int64(ahead) - atStart.Load()
	for found-known >= int64(leastSleep) {
		if slept.CompareAndSwap(known, found) {
			return time.Duration(found)
		}
		known = slept.Load()
	}
	return time.Duration(known)
}

// Now returns a moment for ages and deadlines. What it shows as a date is ahead by the time asleep: see Date.
func Now() time.Time { return time.Now().Add(Slept()) }

// Date returns the time of day, which may step. It has no steady reading, so that it is never taken for a moment of Now.
func Date() time.Time { return time.Now().Round(0) }

// At returns the moment of Now at which a date was, by the time of day as it is now.
func At(date time.Time) time.Time { return Now().Add(-Date().Sub(date)) }

// System returns the moment of the standard library's clock at which a moment of Now comes, for its deadlines.
func System(moment time.Time) time.Time { return time.Now().Add(moment.Sub(Now())) }

// WithDeadline is that of package context for a moment of Now. A timer stands still in a sleep: whoever acts after a wait asks the
// clock again.
func WithDeadline(parent context.Context, moment time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, moment.Sub(Now()))
}
