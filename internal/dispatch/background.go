package dispatch

import (
	"sync"

	"gopkg.in/tomb.v2"
)

// Background runs goroutines that may be started at any time, also concurrently with Close.
type Background struct {
	mutex  sync.Mutex
	closed bool
	tomb   tomb.Tomb
}

// NewBackground returns a Background that accepts functions until Close.
func NewBackground() *Background {
	created := &Background{}
	created.tomb.Go(func() error {
		<-created.tomb.Dying()
		return nil
	})
	return created
}

// Go runs the function in a goroutine, or returns false if Close was called.
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

// Close rejects further functions and waits until the running ones return.
func (b *Background) Close() error {
	b.mutex.Lock()
	b.closed = true
	b.mutex.Unlock()
	b.tomb.Kill(nil)
	return b.tomb.Wait()
}
