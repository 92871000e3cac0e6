// Package reachability detects that a node is partitioned from all others, as opposed to single calls that fail. A partitioned node
// detects this shortly after the partition began, and can then refuse at once the requests that it cannot serve. Times are
// arguments; the package makes no calls.
package reachability

import (
	"sync"
	"time"
)

const (
	// partitionedAfter is how long calls must have failed without any answer. It equals the time for which reports of other nodes
	// are considered valid. A node in use calls workers at least twice a second, and one that lost the store retries it every
	// 0.1 to 0.5 s.
	partitionedAfter = 1500 * time.Millisecond
	// minFailedCalls is how many calls must have failed in this time: a single one may have been to a node that has ended.
	minFailedCalls = 3
)

// Watch tracks whether the store or any worker answers this node. The zero Watch is ready for use and not partitioned; a nil Watch
// ignores all calls and is never partitioned. It is safe for concurrent use.
type Watch struct {
	mutex sync.Mutex
	// firstFailure is when the first call failed since the last answer; zero if none did.
	firstFailure time.Time
	// failedCalls is the number of calls that failed since the last answer.
	failedCalls int
}

// Answered records that a call was answered.
func (w *Watch) Answered() {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.firstFailure, w.failedCalls = time.Time{}, 0
}

// Failed records that a call got no answer.
func (w *Watch) Failed(now time.Time) {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.failedCalls == 0 {
		w.firstFailure = now
	}
	w.failedCalls++
}

// Partitioned reports whether the node is partitioned: at least minFailedCalls calls, the first at least partitionedAfter ago, have
// failed since the last answer.
func (w *Watch) Partitioned(now time.Time) bool {
	if w == nil {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.failedCalls >= minFailedCalls && now.Sub(w.firstFailure) >= partitionedAfter
}
