package admission

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// leastDepth is the number of requests that may always wait for a service: with none, slots go to whoever arrives at the
// right moment, and tenants get shares by their demand.
const leastDepth = 2

// service is the state of one service on this node.
type service struct {
	concurrency *concurrency
	queue       *fairQueue
	// shareUntil is when the node's share of the runners must be looked up again.
	shareUntil time.Time
	// refusals is the recent rate of refusals for overload.
	refusals demand
}

// targetWait is the mean wait for which a queue is made. The rest of the time to a first token is for the engines' own
// queues and the prefill.
const targetWait = 250 * time.Millisecond

// shareTime is how long a share of the runners holds. A look goes over all runners.
const shareTime = time.Second

// takeShare brings the node's share of the service's runners up to date.
func (c *Controller) takeShare(target *service, name string, now time.Time) {
	if now.Before(target.shareUntil) {
		return
	}
	target.shareUntil = now.Add(shareTime)
	target.concurrency.setShare(c.config.Capacity(name) / float64(max(1, len(c.config.Nodes()))))
}

// depth is the number of requests that may wait: those served within the target wait.
func (s *service) depth() int { return max(leastDepth, int(s.concurrency.rate()*targetWait.Seconds())) }

// expectedWait estimates the wait of a request with so many before it.
func (s *service) expectedWait(before int) time.Duration {
	return time.Duration(float64(before+1) / s.concurrency.rate() * float64(time.Second))
}

// Bounds of the advice to refused callers.
const (
	leastRetryAfter = 250 * time.Millisecond
	mostRetryAfter  = 30 * time.Second
	// refusalMemory is the span of refusals that are taken to come back.
	refusalMemory = time.Second
)

// retryAdvice is when a refused caller should come back: after the wait in the queue and the time the service needs for
// the callers refused lately, spread by half around it, so that they neither come back at once nor together. spread is
// from 0 to 1.
func (s *service) retryAdvice(spread float64, now time.Time) time.Duration {
	backlog := s.refusals.current(now) * refusalMemory.Seconds()
	advice := s.expectedWait(s.queue.len()).Seconds() + backlog/s.concurrency.rate()
	advice *= 0.5 + spread
	return min(mostRetryAfter, max(leastRetryAfter, time.Duration(advice*float64(time.Second))))
}

// overloaded refuses a request of the service.
func (c *Controller) overloaded(target *service, message string, now time.Time) *failure.Error {
	target.refusals.add(1, now)
	return failure.New(failure.CodeOverloaded, "%s", message).WithRetryAfter(target.retryAdvice(c.config.Random(), now))
}

// inVain refuses a request that would have to give up waiting.
func (c *Controller) inVain(ticket *Ticket, now time.Time) *failure.Error {
	refused := c.overloaded(ticket.service, "the service is at its limit", now)
	if ticket.request.Deadline.IsZero() {
		return refused
	}
	return failure.New(failure.CodeDeadlineInfeasible, "the request would still wait at its deadline").WithRetryAfter(refused.RetryAfter)
}

// checkQueue refuses a request that could not wait, or would wait in vain. Where the queue is full, the request that is
// last in fair order is refused at once, be it this one or another.
func (c *Controller) checkQueue(turn *Turn, now time.Time) *failure.Error {
	target, request := turn.ticket.service, turn.ticket.request
	before := target.queue.before(turn.queued)
	expected := target.expectedWait(before)
	switch {
	case !c.config.MayWait(request, Wait{Expected: expected, Queued: before}):
		return c.overloaded(target, "the service is at its limit and its policy lets no request wait", now)
	case target.queue.waiting[request.Tenant] >= c.config.Bounds.TenantWaiters:
		return c.overloaded(target, "too many of the tenant's requests wait on this node", now)
	case now.Add(expected).After(turn.ticket.until):
		return c.inVain(turn.ticket, now)
	}
	for c.full(target, 1, turn.queued.bytes) {
		last := target.queue.last()
		if last == nil || !turn.queued.precedes(last) {
			return c.overloaded(target, "the queue of the service is full", now)
		}
		c.evict(target, last, now)
	}
	return nil
}

// full says whether so many requests and bytes more do not fit into the bounds.
func (c *Controller) full(target *service, more, bytes int) bool {
	bounds := c.config.Bounds
	return target.queue.len()+more > target.depth() || c.waiters+more > bounds.Waiters || c.bytes+bytes > bounds.WaitingBytes
}

// trim refuses what waits beyond the bounds, from the last in fair order on: after the service has become slower, and
// when a request waits again.
func (c *Controller) trim(target *service, now time.Time) {
	for target.queue.len() > 0 && c.full(target, 0, 0) {
		c.evict(target, target.queue.last(), now)
	}
}

// evict ends the wait of a request with its final answer, at once.
func (c *Controller) evict(target *service, gone *waiter, now time.Time) {
	target.queue.remove(gone)
	c.unqueue(gone)
	c.release(gone.tenant)
	gone.refused = c.overloaded(target, "the service is at its limit and others go first", now)
	close(gone.settled)
}

func (c *Controller) enqueued(queued *waiter) {
	c.waiters++
	c.bytes += queued.bytes
}

func (c *Controller) unqueue(queued *waiter) {
	c.waiters--
	c.bytes -= queued.bytes
}

// grantNext gives free slots to the waiters whose turn it is.
func (c *Controller) grantNext(target *service, now time.Time) {
	for target.queue.len() > 0 && target.concurrency.free(now) {
		next := target.queue.pop()
		c.unqueue(next)
		next.turn.ticket.take(now)
		close(next.settled)
	}
}
