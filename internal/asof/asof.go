// Package asof stores a value obtained from elsewhere together with the time as of which it is known to be valid. That time
// must not be later than the time at which the source read the value: a process that queries another one uses the time at which it
// sent the query, because the process may be suspended before it reads the answer. Times are arguments; the package does no I/O.
package asof

import "time"

// Fact is a value and the time as of which it is known. The zero Fact has no such time and is older than any bound.
type Fact[T any] struct {
	value T
	// at never decreases: Renew ignores older values.
	at time.Time
}

// New returns a Fact with a value known as of the given time.
func New[T any](value T, at time.Time) Fact[T] { return Fact[T]{value: value, at: at} }

// Value returns the value, regardless of its age.
func (f Fact[T]) Value() T { return f.value }

// Age returns the time since the value was known to be valid. For the zero Fact it is maxAge.
func (f *Fact[T]) Age(now time.Time) time.Duration {
	if f.at.IsZero() {
		return maxAge
	}
	return now.Sub(f.at)
}

// maxAge is the age of the zero Fact.
const maxAge = time.Duration(1<<63 - 1)

// Within reports whether the age of the value is less than the bound.
func (f *Fact[T]) Within(bound time.Duration, now time.Time) bool { return f.Age(now) < bound }

// With returns a Fact with another value, known as of the same time.
func (f Fact[T]) With(value T) Fact[T] { return Fact[T]{value: value, at: f.at} }

// Renew stores a value known as of the given time and returns true. It ignores a value older than the stored one and returns
// false, because answers may arrive out of order.
func (f *Fact[T]) Renew(value T, at time.Time) bool {
	if at.Before(f.at) {
		return false
	}
	f.value, f.at = value, at
	return true
}
