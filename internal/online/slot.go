package online

import (
	"context"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/waitqueue"
)

// slot is the runner slot that one attempt uses. It is released once: when the runner's answer is read whole, even if its
// caller still receives it, or when the attempt ends.
type slot struct {
	flight *runnertable.Flight
	queue  *queue
	waiter *waitqueue.Waiter
	now    func() time.Time
	// sent is when the attempt was sent.
	sent time.Time
	// ctx is the attempt's context; abort ends it, and the runner's work with it.
	ctx   context.Context
	abort context.CancelFunc
	once  sync.Once
	// unreadFor is how long the runner's answer was not read because its caller did not read, callerCut whether the caller was
	// cut off for that. Only the goroutine that reads on for a slow caller sets them.
	unreadFor time.Duration
	callerCut bool
}

// release releases the slot. Further calls do nothing.
func (s *slot) release() {
	s.once.Do(func() {
		s.flight.End()
		if s.callerCut {
			s.queue.slotVacated(s.waiter, s.flight.Runner.ID)
			return
		}
		s.queue.slotFreed(s.waiter, s.now().Sub(s.sent)-s.unreadFor)
	})
}
