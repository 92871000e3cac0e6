package shardlog

import "sync"

// uses counts the calls and readings that are under way in their callers' goroutines, where nothing else ends them before the store
// closes. It is safe for concurrent use.
type uses struct {
	mutex sync.Mutex
	// open counts what began and has not ended. None begins once closing is set.
	open    int
	closing bool
	// idle is closed once closing is set and open is zero.
	idle chan struct{}
}

// begin notes a use, which must end. It returns ErrClosed where the store closes.
func (u *uses) begin() error {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.closing {
		return ErrClosed
	}
	u.open++
	return nil
}

func (u *uses) end() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.open--
	u.closeIfIdle()
}

// close lets no use begin any more, and waits for the end of those that did.
func (u *uses) close() {
	u.mutex.Lock()
	if !u.closing {
		u.closing = true
		u.closeIfIdle()
	}
	u.mutex.Unlock()
	<-u.idle
}

// closeIfIdle is called with the mutex held.
func (u *uses) closeIfIdle() {
	if u.closing && u.open == 0 {
		close(u.idle)
	}
}
