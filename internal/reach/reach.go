// Package reach tells a node that hears nobody from one of which calls fail here and there. A node that is cut off knows so a moment
// after the cut began; what it can only refuse it then refuses at once. Times are arguments; the package makes no calls.
package reach

import (
	"sync"
	"time"
)

const (
	// deafAfter is for how long nobody must have answered: as long as the word of other nodes is believed. A node in use calls workers
	// twice a second at least, and one that lost the store asks it each 0.1 to 0.5 s.
	deafAfter = 1500 * time.Millisecond
	// deafCalls is how many calls must have failed meanwhile: one alone may have been to a node that is gone.
	deafCalls = 3
)

// Watch knows whether anybody answers this node, of the store and the workers. The zero Watch has heard somebody; a nil one hears
// nothing of calls and is never deaf. It is safe for concurrent use.
type Watch struct {
	mutex sync.Mutex
	// failing is when the first call failed since the last answer, zero where none did.
	failing time.Time
	// failed counts these calls.
	failed int
}

// Answered notes that somebody answered a call.
func (w *Watch) Answered() {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failing, w.failed = time.Time{}, 0
}

// Failed notes that a call got no answer.
func (w *Watch) Failed(now time.Time) {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.failed == 0 {
		w.failing = now
	}
	w.failed++
}

// Deaf says that for a while nobody has answered any call.
func (w *Watch) Deaf(now time.Time) bool {
	if w == nil {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.failed >= deafCalls && now.Sub(w.failing) >= deafAfter
}
