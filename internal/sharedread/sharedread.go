// Package sharedread lets all that need a reading which began after they asked share one. What asking causes is bounded, however many
// ask.
package sharedread

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// Readings makes readings for those that must not go by an earlier one. Its exported fields are set before it is used; it is safe for
// concurrent use.
type Readings struct {
	// Read makes one reading.
	Read func(ctx context.Context) error
	// Every is the least time between the beginnings of two readings.
	Every time.Duration
	Now   func() time.Time

	mutex sync.Mutex
	// next is the reading that has not begun yet, or nil; last is the one that began last.
	next, last *Reading
}

// Reading is one that its askers wait for.
type Reading struct {
	// Ended is closed when the reading has ended.
	Ended chan struct{}
	// Err is why it failed, once it has ended.
	Err   error
	began time.Time
}

// Ask returns a reading that begins after the call.
func (r *Readings) Ask() *Reading {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.next == nil {
		next, last := &Reading{Ended: make(chan struct{})}, r.last
		r.next = next
		// The reading is the others' too: it goes on where its first asker leaves, and so has a tomb of its own.
		new(tomb.Tomb).Go(func() error { r.make(next, last); return nil })
	}
	return r.next
}

// Fresh returns nil once a reading that began after the call has ended well.
func (r *Readings) Fresh(ctx context.Context) error {
	reading := r.Ask()
	select {
	case <-reading.Ended:
		return reading.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// make makes a reading when the last one has ended and its time has come. Whoever asks once it has begun waits for the one after.
func (r *Readings) make(next, last *Reading) {
	if last != nil {
		<-last.Ended
		time.Sleep(r.Every - r.Now().Sub(last.began))
	}
	r.mutex.Lock()
	r.next, r.last = nil, next
	r.mutex.Unlock()
	next.began = r.Now()
	next.Err = r.Read(context.Background())
	close(next.Ended)
}
