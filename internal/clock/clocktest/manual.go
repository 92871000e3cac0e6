// Package clocktest provides a clock that tests advance by hand.
package clocktest

import (
	"sync"
	"time"
)

// Manual is a clock that stands still between calls of Advance. It is safe for concurrent use.
type Manual struct {
	mutex sync.Mutex
	now   time.Time
}

// NewManual returns a clock that shows the given time.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the time that the clock shows.
func (m *Manual) Now() time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.now
}

// Advance moves the clock forward.
func (m *Manual) Advance(by time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.now = m.now.Add(by)
}
