// Package clock tells the time by which ages, leases and deadlines count. A machine may be suspended: the steady clock of the
// standard library stands still meanwhile, so that whatever is older than the sleep looks younger by its length. Now counts the time
// asleep and never goes back.
package clock

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrUnreadable means that the system's clocks cannot be read.
const ErrUnreadable = failure.Kind("clock: unreadable")

// steady stands still while the machine is suspended, counting goes on. Both are read past the standard library, so that their difference
// is nothing where its clock is simulated. Tests replace them.
var (
	steady   = func() (time.Duration, error) { return read(unix.CLOCK_MONOTONIC) }
	counting = func() (time.Duration, error) { return read(unix.CLOCK_BOOTTIME) }
)

func read(clock int32) (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(clock, &at); err != nil {
		return 0, fmt.Errorf("%w: clock %d: %w", ErrUnreadable, clock, err)
	}
	return time.Duration(at.Nano()), nil
}

// aheadAtLeast returns by how much the counting clock is ahead of the steady one, at least. A thread that loses its processor between the
// two readings reads the steady clock late, and the difference small: the loss is never taken for a sleep.
func aheadAtLeast() (time.Duration, error) {
	count, err := counting()
	if err != nil {
		return 0, err
	}
	still, err := steady()
	return count - still, err
}

// aheadAtMost is the opposite bound, by the opposite order.
func aheadAtMost() (time.Duration, error) {
	still, err := steady()
	if err != nil {
		return 0, err
	}
	count, err := counting()
	return count - still, err
}

var (
	// atStart is by how much the counting clock was ahead at the start, at most.
	atStart atomic.Int64
	// slept is the time asleep since; it never falls.
	slept atomic.Int64
)

// Start begins to count. It is called before anything is decided by an age. Its error wraps ErrUnreadable.
func Start() error {
	least := time.Duration(math.MaxInt64)
	for range readingsAtStart {
		ahead, err := aheadAtMost()
		if err != nil {
			return err
		}
		least = min(least, ahead)
	}
	atStart.Store(int64(least))
	return nil
}

// readingsAtStart is how often the clocks are read to find the least bound: what one of them is off by would be missing from every sleep.
const readingsAtStart = 16

// leastSleep is the shortest time asleep that counts: what the two clocks are read apart is no sleep.
const leastSleep = time.Millisecond

// Slept returns how long the machine was suspended since Start.
func Slept() time.Duration {
	known := slept.Load()
	ahead, err := aheadAtLeast()
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
