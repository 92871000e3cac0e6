package online

import (
	"context"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/waitline"
)

// place is what one attempt has of a runner. It is given back once: when the runner's answer is read whole, though its caller may still
// take it, or when the attempt ends.
type place struct {
	flight *runnertable.Flight
	room   *room
	waiter *waitline.Waiter
	now    func() time.Time
	// sent is when the attempt was sent.
	sent time.Time
	// ctx is the attempt's; end ends it, and the runner's work with it.
	ctx  context.Context
	end  context.CancelFunc
	once sync.Once
	// stood is how long the runner was not read since its caller took nothing, cut says that the caller was cut off for it. Only the
	// reading ahead sets them.
	stood time.Duration
	cut   bool
}

// free gives the place back. Further calls do nothing.
func (p *place) free() {
	p.once.Do(func() {
		p.flight.End()
		if p.cut {
			p.room.vacated(p.waiter, p.flight.Runner.ID)
			return
		}
		p.room.freed(p.waiter, p.now().Sub(p.sent)-p.stood)
	})
}
