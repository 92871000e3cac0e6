package gateway

import (
	"sync"
	"sync/atomic"
)

// drainGate counts the work in progress and closes once for a planned stop.
//
// Invariant: after close returns, enter always fails, so the count can only fall.
type drainGate struct {
	mutex   sync.Mutex
	entered int
	closed  bool
	idle    chan struct{}
}

func newDrainGate() drainGate { return drainGate{idle: make(chan struct{})} }

// enter counts one piece of work, or reports that the gate is closed.
func (d *drainGate) enter() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return false
	}
	d.entered++
	return true
}

// leave ends one piece of work.
func (d *drainGate) leave() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.entered--
	if d.closed && d.entered == 0 {
		close(d.idle)
	}
}

// close refuses further work and returns a channel that is closed once none is in progress.
func (d *drainGate) close() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return d.idle
	}
	d.closed = true
	if d.entered == 0 {
		close(d.idle)
	}
	return d.idle
}

func (d *drainGate) count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.entered
}

func (d *drainGate) isClosed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.closed
}

// slots bounds how many of something are in progress at once.
type slots struct {
	limit int64
	taken atomic.Int64
}

func newSlots(limit int) slots { return slots{limit: int64(limit)} }

func (s *slots) take() bool {
	if s.taken.Add(1) > s.limit {
		s.taken.Add(-1)
		return false
	}
	return true
}

func (s *slots) give() { s.taken.Add(-1) }

// byteBudget bounds the bytes held at once.
type byteBudget struct {
	limit int64
	held  atomic.Int64
}

func (b *byteBudget) take(bytes int64) bool {
	if b.held.Add(bytes) > b.limit {
		b.held.Add(-bytes)
		return false
	}
	return true
}

func (b *byteBudget) give(bytes int64) { b.held.Add(-bytes) }
