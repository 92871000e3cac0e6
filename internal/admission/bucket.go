package admission

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate may change. It is pure: the time is an argument.
type bucket struct {
	// rate is in tokens per second; zero or less means no limit.
	rate  float64
	burst float64
	level float64
	last  time.Time
}

// set changes the rate and the burst; the level is kept within the new burst. A new bucket begins full.
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

// wait returns how long until the bucket holds count tokens, zero if it does now. An amount above the burst is allowed
// once the bucket is full, and leaves it in debt.
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

// levelTolerance absorbs rounding, so that waiting as long as told is enough.
const levelTolerance = 1e-6

// take removes tokens after wait returned zero.
func (b *bucket) take(count float64) {
	if b.rate > 0 {
		b.level -= count
	}
}

// full reports whether nothing would be lost by forgetting the bucket.
func (b *bucket) full(now time.Time) bool {
	b.fill(now)
	return b.level >= b.burst
}
