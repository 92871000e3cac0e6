// Package sharedread shares reads between callers that each need a read that began after their call. The rate of reads is limited,
// regardless of the number of callers.
package sharedread

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// Readings performs reads for callers that must not use the result of an earlier read. Its exported fields must be set before use; it
// is safe for concurrent use.
type Readings struct {
	// Read performs one read.
	Read func(ctx context.Context) error
	// Every is the minimum time between the starts of two reads.
	Every time.Duration
	Now   func() time.Time

	mutex sync.Mutex
	// next is the read that has not begun yet, or nil; last is the one that began most recently.
	next, last *Reading
}

// Reading is one read, shared by the callers that wait for it.
type Reading struct {
	// Ended is closed when the read has finished.
	Ended chan struct{}
	// Err is the error of the read; it is valid once Ended is closed.
	Err   error
	began time.Time
}

// Ask returns a read that begins after the call.
func (r *Readings) Ask() *Reading {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.next == nil {
		next, last := &Reading{Ended: make(chan struct{})}, r.last
		r.next = next
		// Other callers share the read, so it has a separate tomb and continues if the first caller gives up.
		new(tomb.Tomb).Go(func() error { r.perform(next, last); return nil })
	}
	return r.next
}

// AwaitFresh waits for a read that begins after the call and returns its error, or the error of the context.
func (r *Readings) AwaitFresh(ctx context.Context) error {
	reading := r.Ask()
	select {
	case <-reading.Ended:
		return reading.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// perform runs a read after the last one has finished and Every has passed since it began. Callers that arrive after the start of
// the read get the next one.
func (r *Readings) perform(next, last *Reading) {
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
