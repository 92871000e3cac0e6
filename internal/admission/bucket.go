package admission

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate may change. It reads no clock; callers pass the current time.
type bucket struct {
	// rate is in tokens per second; zero or less means no limit.
	rate  float64
	burst float64
	level float64
	last  time.Time
}

// set changes the rate and the burst, and caps the level at the new burst. A new bucket starts full.
func (b *bucket) set(rate, burst float64, now time.Time) {
	if b.last.IsZero() {
		b.level = burst
		b.last = now
	}
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.level = min(b.burst, b.level+b.rate*elapsed.Seconds())
		b.last = now
	}
}

// wait returns the time until the bucket holds count tokens, or zero if it already does. An amount above the burst is
// allowed once the bucket is full and leaves a negative level.
func (b *bucket) wait(count float64, now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.fill(now)
	missing := min(count, b.burst) - b.level
	if missing <= levelTolerance {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// levelTolerance absorbs rounding errors, so that a request succeeds after exactly the wait that was returned.
const levelTolerance = 1e-6

// take removes tokens. Call it only after wait has returned zero.
func (b *bucket) take(count float64) {
	if b.rate > 0 {
		b.level -= count
	}
}

// full reports whether the bucket is full and can therefore be deleted without losing state.
func (b *bucket) full(now time.Time) bool {
	b.fill(now)
	return b.level >= b.burst
}
