package admission

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

// Ticket permits the dispatch of one request. The holder must call Done once, unless Return has returned a Turn.
type Ticket struct {
	controller *Controller
	request    *inference.Request
	service    *service
	// until is the time by which the request must have a slot; taken is the time when it got one.
	until, taken time.Time
}

// take occupies a slot. The caller must hold the controller's mutex.
func (t *Ticket) take(now time.Time) {
	t.taken = now
	t.service.concurrency.inFlight++
}

// Done releases the slot and records the result of the dispatch. An overload refusal lowers the service's concurrency
// limit.
func (t *Ticket) Done(result error) {
	c := t.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	t.releaseSlot(result, now)
	c.release(t.request.Tenant)
	c.grantNext(t.service, now)
	c.trim(t.service, now)
}

// releaseSlot releases the slot and updates the concurrency limit from the result. The caller must hold the controller's
// mutex.
func (t *Ticket) releaseSlot(result error, now time.Time) {
	running := t.service.concurrency
	switch {
	case result == nil:
		running.answered(now.Sub(t.taken), now)
	case failure.As(result).Code == failure.CodeOverloaded:
		running.overloaded(now)
	}
	running.inFlight--
	if result == nil {
		running.resume()
	}
}

// Return releases the slot after the runners refused a repeatable request for overload, and queues the request again
// without another charge to its tenant. It returns nil and changes nothing for any other result, if the request may not
// wait any longer, or if no other request of the service is in flight; the caller must then call Done.
func (t *Ticket) Return(result error) *Turn {
	failed := failure.As(result)
	if result == nil || failed.Code != failure.CodeOverloaded || failed.Outcome != outcome.NotRun || !t.request.Repeatable {
		return nil
	}
	c := t.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	// If no other request is in flight, no completion will signal that the runners have free slots again.
	if t.service.concurrency.inFlight <= 1 || !now.Before(t.until) {
		return nil
	}
	t.releaseSlot(result, now)
	again := &Ticket{controller: c, request: t.request, service: t.service, until: t.until}
	turn := &Turn{ticket: again}
	turn.queued = &waiter{tenant: t.request.Tenant, bytes: len(t.request.Body), settled: make(chan struct{}), turn: turn}
	t.service.queue.requeue(turn.queued)
	c.enqueued(turn.queued)
	c.trim(t.service, now)
	return turn
}

// Turn is a queued request that waits for its slot.
type Turn struct {
	ticket *Ticket
	queued *waiter
}

// Settled returns a channel that is closed when the request gets its slot or is refused.
func (t *Turn) Settled() <-chan struct{} { return t.queued.settled }

// Until returns the time at which the request must stop waiting.
func (t *Turn) Until() time.Time { return t.ticket.until }

// Result returns the ticket or the refusal of a settled turn.
func (t *Turn) Result() (*Ticket, *failure.Error) {
	if t.queued.refused != nil {
		return nil, t.queued.refused
	}
	return t.ticket, nil
}

// RecheckEvery is the interval at which callers must call Recheck for a waiting request.
const RecheckEvery = overloadPause

// Recheck grants slots that are free again. Arrivals and completions do so too, but possibly none occurs after the pause
// that follows an overload refusal.
func (t *Turn) Recheck() {
	c := t.ticket.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.grantNext(t.ticket.service, c.config.Now())
}

// GiveUp removes the request from the queue and returns the refusal, or nil if the turn was already settled.
func (t *Turn) GiveUp() *failure.Error {
	c := t.ticket.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !t.ticket.service.queue.remove(t.queued) {
		return nil
	}
	c.unqueue(t.queued)
	c.release(t.queued.tenant)
	return c.refuseLate(t.ticket, c.config.Now())
}

// await waits until the request gets its slot, is refused, reaches its time limit, or ctx is cancelled.
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
		return t.resolveLate(ctx)
	case ctx.Err() != nil:
		return nil, failure.New(failure.CodeCancelled, "the caller has gone")
	}
	return nil, refused
}

// resolveLate handles a turn that was settled before GiveUp could remove it: the slot is used unless ctx is cancelled.
func (t *Turn) resolveLate(ctx context.Context) (*Ticket, *failure.Error) {
	ticket, refused := t.Result()
	if refused != nil || ctx.Err() == nil {
		return ticket, refused
	}
	ticket.Done(ctx.Err())
	return nil, failure.New(failure.CodeCancelled, "the caller has gone")
}

// Run admits a request and dispatches it. If the runners refuse it for overload, it is queued and dispatched again while
// Return permits.
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
			return ticket.withRetryDelay(result)
		}
		var refused *failure.Error
		if ticket, refused = turn.await(ctx); refused != nil {
			c.metrics.refused(refused.Code)
			return refused
		}
	}
}

// withRetryDelay replaces the retry delay of an overload refusal by the dispatcher, which knows neither the queue nor the number
// of recent refusals. Other failures of requests that were not run keep their delay, with jitter added so that callers
// do not retry together.
func (t *Ticket) withRetryDelay(result error) error {
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
		return failed.WithRetryAfter(c.withJitter(failed.RetryAfter))
	}
	now := c.config.Now()
	t.service.refusals.add(1, now)
	return failed.WithRetryAfter(t.service.retryDelay(c.config.Random(), now))
}
