package dispatch

import (
	"sync"

	"gopkg.in/tomb.v2"
)

// Background supervises goroutines that callers outside it may ask for at any time, also while it is being closed.
type Background struct {
	mutex  sync.Mutex
	closed bool
	tomb   tomb.Tomb
}

// NewBackground returns a supervisor that runs until Close.
func NewBackground() *Background {
	created := &Background{}
	created.tomb.Go(func() error {
		<-created.tomb.Dying()
		return nil
	})
	return created
}

// Go runs the function, or reports that the supervisor is closed.
func (b *Background) Go(run func()) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed {
		return false
	}
	b.tomb.Go(func() error {
		run()
		return nil
	})
	return true
}

// Close refuses further functions and waits for those that run.
func (b *Background) Close() error {
	b.mutex.Lock()
	b.closed = true
	b.mutex.Unlock()
	b.tomb.Kill(nil)
	return b.tomb.Wait()
}
