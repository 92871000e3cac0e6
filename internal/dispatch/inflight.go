package dispatch

import (
	"context"
	"fmt"
	"sync"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrDrainTimeout means that requests were still in flight at the end of the drain time-out.
const ErrDrainTimeout = failure.Kind("dispatch: requests still in flight")

// inFlight counts running requests and can refuse new ones. The zero value accepts requests.
type inFlight struct {
	mutex   sync.Mutex
	running int
	closed  bool
	empty   chan struct{}
}

// enter counts a new request, or returns false if new requests are refused.
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

// signal wakes the drain when no request is running. The caller holds the lock.
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

// drain refuses new requests and waits until no request is running or ctx is done.
func (f *inFlight) drain(ctx context.Context) error {
	select {
	case <-f.refuseNew():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %d", ErrDrainTimeout, f.count())
	}
}

// refuseNew refuses new requests and returns a channel that is closed when no request is running.
func (f *inFlight) refuseNew() <-chan struct{} {
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
