// Package asof keeps what a process goes by, and did not just see itself, together with the moment as of which it is known.
// That moment is never later than when the source looked: whoever asks another process takes the time at which the question was
// sent, because the answer may have lain unread through a freeze. Times are arguments; the package does no I/O.
package asof

import "time"

// Fact is a value and the moment as of which it is known. The zero Fact is known of no time and is older than any bound.
type Fact[T any] struct {
	value T
	// at never goes back: Renew passes over what is older.
	at time.Time
}

// New returns a value that is known as of a moment.
func New[T any](value T, at time.Time) Fact[T] { return Fact[T]{value: value, at: at} }

// Value returns what is known, however old it is.
func (f Fact[T]) Value() T { return f.value }

// Age returns how long ago the value was known. It is more than any bound for the zero Fact.
func (f *Fact[T]) Age(now time.Time) time.Duration {
	if f.at.IsZero() {
		return longest
	}
	return now.Sub(f.at)
}

// longest is the age of what was never known.
const longest = time.Duration(1<<63 - 1)

// Within says whether the value was known less than the bound ago.
func (f *Fact[T]) Within(bound time.Duration, now time.Time) bool { return f.Age(now) < bound }

// With returns another value that is known as of the same moment.
func (f Fact[T]) With(value T) Fact[T] { return Fact[T]{value: value, at: f.at} }

// Renew takes over a value that is known as of a moment, and says so. One that is older than what is known is passed over:
// answers may overtake each other.
func (f *Fact[T]) Renew(value T, at time.Time) bool {
	if at.Before(f.at) {
		return false
	}
	f.value, f.at = value, at
	return true
}
