package dispatch

import (
	"context"
	"fmt"
	"sync"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrDrainTimeout means that requests were still in flight when the drain had to end.
const ErrDrainTimeout = failure.Kind("dispatch: requests still in flight")

// inFlight counts running requests and closes the door on new ones. The zero value is open.
type inFlight struct {
	mutex   sync.Mutex
	running int
	closed  bool
	empty   chan struct{}
}

// enter counts a new request, or reports that the door is closed.
func (f *inFlight) enter() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return false
	}
	f.running++
	return true
}

func (f *inFlight) leave() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running--
	f.signal()
}

// signal wakes the drain once nothing runs.
func (f *inFlight) signal() {
	if f.closed && f.running == 0 && f.empty != nil {
		close(f.empty)
		f.empty = nil
	}
}

func (f *inFlight) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.running
}

// drain closes the door and waits until nothing runs.
func (f *inFlight) drain(ctx context.Context) error {
	select {
	case <-f.shut():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %d", ErrDrainTimeout, f.count())
	}
}

func (f *inFlight) shut() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closed = true
	empty := f.empty
	if empty == nil {
		empty = make(chan struct{})
		f.empty = empty
	}
	f.signal()
	return empty
}
