package admission

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Turn is a request that waits for its slot. A grant or GiveUp ends it, whichever comes first.
type Turn struct {
	ticket  *Ticket
	request *inference.Request
	queued  *waiter
}

// Enter decides without waiting. Exactly one of the results is set: a ticket, a turn to wait for, or the refusal of a
// request that was not run.
func (c *Controller) Enter(request *inference.Request) (*Ticket, *Turn, *failure.Error) {
	ticket, queued, refused := c.enter(request)
	if refused != nil {
		return nil, nil, refused
	}
	if queued == nil {
		return ticket, nil, nil
	}
	return nil, &Turn{ticket: ticket, request: request, queued: queued}, nil
}

// Granted is closed once the request has its slot.
func (t *Turn) Granted() <-chan struct{} { return t.queued.granted }

// Until is when the request must give up.
func (t *Turn) Until() time.Time { return t.queued.until }

// Ticket returns the ticket, which is valid once the slot is granted.
func (t *Turn) Ticket() *Ticket { return t.ticket }

// GiveUp leaves the queue and returns the refusal, or nil if the slot was granted before.
func (t *Turn) GiveUp() *failure.Error {
	c := t.ticket.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !t.ticket.service.queue.remove(t.queued) {
		return nil
	}
	c.unqueue(t.queued)
	c.release(t.queued.tenant)
	return c.inVain(t.request, c.expectedWait(t.ticket.service, c.config.Now()))
}
