package admission

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// Ticket is the right to dispatch one request. Done, or Return with success, must be called once.
type Ticket struct {
	controller *Controller
	request    *inference.Request
	service    *service
	// until is when the request must have its slot; taken is when it got it.
	until, taken time.Time
}

// take occupies a slot. The lock is held.
func (t *Ticket) take(now time.Time) {
	t.taken = now
	t.service.concurrency.inFlight++
}

// Done gives the slot back with the result of the dispatch. An overload refusal lowers the service's concurrency.
func (t *Ticket) Done(result error) {
	c := t.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	t.giveBack(result, now)
	c.release(t.request.Tenant)
	c.grantNext(t.service, now)
	c.trim(t.service, now)
}

// giveBack frees the slot and learns from the result. The lock is held.
func (t *Ticket) giveBack(result error, now time.Time) {
	running := t.service.concurrency
	switch {
	case result == nil:
		running.answered(now.Sub(t.taken), now)
	case failure.As(result).Code == failure.CodeOverloaded:
		running.overloaded(now)
	}
	running.inFlight--
	if result == nil {
		running.reopen()
	}
}

// Return gives the slot back after the runners had no room for the request, and has the request wait again in its old
// place. It returns nil and changes nothing if the result is another, or if the request may not wait any longer; then
// Done must be called.
func (t *Ticket) Return(result error) *Turn {
	failed := failure.As(result)
	if result == nil || failed.Code != failure.CodeOverloaded || failed.Outcome != outcome.NotRun || !t.request.Repeatable {
		return nil
	}
	c := t.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	// Without another request in flight nothing tells when the runners have room again.
	if t.service.concurrency.inFlight <= 1 || !now.Before(t.until) {
		return nil
	}
	t.giveBack(result, now)
	again := &Ticket{controller: c, request: t.request, service: t.service, until: t.until}
	turn := &Turn{ticket: again}
	turn.queued = &waiter{tenant: t.request.Tenant, bytes: len(t.request.Body), settled: make(chan struct{}), turn: turn}
	t.service.queue.pushFirst(turn.queued)
	c.enqueued(turn.queued)
	c.trim(t.service, now)
	return turn
}

// Turn is a request that waits for its slot.
type Turn struct {
	ticket *Ticket
	queued *waiter
}

// Settled is closed once the request has its slot or is refused.
func (t *Turn) Settled() <-chan struct{} { return t.queued.settled }

// Until is when the request must give up.
func (t *Turn) Until() time.Time { return t.ticket.until }

// Result returns the ticket or the refusal of a settled turn.
func (t *Turn) Result() (*Ticket, *failure.Error) {
	if t.queued.refused != nil {
		return nil, t.queued.refused
	}
	return t.ticket, nil
}

// RecheckEvery is how often a request that waits must be rechecked.
const RecheckEvery = closedTime

// Recheck gives slots that are free again. Other events do so too, but none may come while the service is closed after a
// refusal and no answer ends.
func (t *Turn) Recheck() {
	c := t.ticket.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.grantNext(t.ticket.service, c.config.Now())
}

// GiveUp leaves the queue and returns the refusal, or nil if the turn was settled before.
func (t *Turn) GiveUp() *failure.Error {
	c := t.ticket.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !t.ticket.service.queue.remove(t.queued) {
		return nil
	}
	c.unqueue(t.queued)
	c.release(t.queued.tenant)
	return c.inVain(t.ticket, c.config.Now())
}

// await waits for the slot.
func (t *Turn) await(ctx context.Context) (*Ticket, *failure.Error) {
	timer := time.NewTimer(t.Until().Sub(t.ticket.controller.config.Now()))
	defer timer.Stop()
	recheck := time.NewTicker(RecheckEvery)
	defer recheck.Stop()
	for waiting := true; waiting; {
		select {
		case <-t.Settled():
			return t.Result()
		case <-recheck.C:
			t.Recheck()
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	refused := t.GiveUp()
	switch {
	case refused == nil:
		return t.settledLate(ctx)
	case ctx.Err() != nil:
		return nil, failure.New(failure.CodeCancelled, "the caller has gone")
	}
	return nil, refused
}

// settledLate settles a slot that came at the moment of giving up: it is used unless the caller is gone.
func (t *Turn) settledLate(ctx context.Context) (*Ticket, *failure.Error) {
	ticket, refused := t.Result()
	if refused != nil || ctx.Err() == nil {
		return ticket, refused
	}
	ticket.Done(ctx.Err())
	return nil, failure.New(failure.CodeCancelled, "the caller has gone")
}

// Run admits a request and dispatches it. While the runners have no room for it, it waits for its turn again.
func (c *Controller) Run(ctx context.Context, request *inference.Request, dispatch func() error) error {
	ticket, err := c.Admit(ctx, request)
	if err != nil {
		return err
	}
	for {
		result := dispatch()
		turn := ticket.Return(result)
		if turn == nil {
			ticket.Done(result)
			return ticket.advise(result)
		}
		var refused *failure.Error
		if ticket, refused = turn.await(ctx); refused != nil {
			c.metrics.refused(refused.Code)
			return refused
		}
	}
}

// advise replaces the advice of a refusal that came from the dispatcher, which knows neither the queue nor how many
// others were refused. Other failures keep theirs, lengthened so that callers do not come back together.
func (t *Ticket) advise(result error) error {
	if result == nil {
		return nil
	}
	failed := failure.As(result)
	if failed.Outcome != outcome.NotRun || failed.RetryAfter <= 0 {
		return result
	}
	c := t.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if failed.Code != failure.CodeOverloaded {
		return failed.WithRetryAfter(c.spread(failed.RetryAfter))
	}
	now := c.config.Now()
	t.service.refusals.add(1, now)
	return failed.WithRetryAfter(t.service.retryAdvice(c.config.Random(), now))
}
