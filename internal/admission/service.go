package admission

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// minDepth is the minimum queue depth of a service. Without a queue, a free slot would go to the next request to
// arrive, so tenants would get slots in proportion to their demand instead of their weights.
const minDepth = 2

// service is the state of one service on this node.
type service struct {
	concurrency *concurrency
	queue       *fairQueue
	// shareUntil is the time at which the node's share of the runners' capacity must be recomputed.
	shareUntil time.Time
	// refusals is the recent rate of overload refusals.
	refusals demand
}

// targetWait is the expected wait that determines the queue depth. The rest of the time to the first token is left for
// the engines' queues and the prefill.
const targetWait = 250 * time.Millisecond

// shareLifetime is how long a computed share is reused, because computing the capacity iterates over all runners.
const shareLifetime = time.Second

// updateShare updates the node's share of the capacity of the service's runners.
func (c *Controller) updateShare(target *service, name string, now time.Time) {
	if now.Before(target.shareUntil) {
		return
	}
	target.shareUntil = now.Add(shareLifetime)
	target.concurrency.setShare(c.config.Capacity(name) / float64(max(1, len(c.config.Nodes()))))
}

// depth returns the number of requests that may wait: those expected to be served within targetWait.
func (s *service) depth() int { return max(minDepth, int(s.concurrency.rate()*targetWait.Seconds())) }

// expectedWait estimates the wait of a request with the given number of requests before it.
func (s *service) expectedWait(before int) time.Duration {
	return time.Duration(float64(before+1) / s.concurrency.rate() * float64(time.Second))
}

// Bounds of the retry delay of refused callers.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// refusalWindow is the window of recent refusals whose callers are assumed to retry.
	refusalWindow = time.Second
)

// retryDelay returns the delay after which a refused caller should retry: the wait in the queue plus the time the
// service needs for recently refused callers, varied by up to half in either direction so that callers do not retry
// together. spread is a random number in [0, 1).
func (s *service) retryDelay(spread float64, now time.Time) time.Duration {
	backlog := s.refusals.current(now) * refusalWindow.Seconds()
	delay := s.expectedWait(s.queue.len()).Seconds() + backlog/s.concurrency.rate()
	delay *= 0.5 + spread
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(delay*float64(time.Second))))
}

// refuseOverloaded records an overload refusal and returns it with a retry delay.
func (c *Controller) refuseOverloaded(target *service, message string, now time.Time) *failure.Error {
	target.refusals.add(1, now)
	return failure.New(failure.CodeOverloaded, "%s", message).WithRetryAfter(target.retryDelay(c.config.Random(), now))
}

// refuseLate refuses a request that cannot get a slot within its time limit.
func (c *Controller) refuseLate(ticket *Ticket, now time.Time) *failure.Error {
	refused := c.refuseOverloaded(ticket.service, "the service is at its limit", now)
	if ticket.request.Deadline.IsZero() {
		return refused
	}
	return failure.New(failure.CodeDeadlineInfeasible, "the request would still wait at its deadline").WithRetryAfter(refused.RetryAfter)
}

// checkQueue refuses a request that may not wait or would not get a slot in time. If the queue is full, the request that
// is last in fair order is refused immediately, whether it is this one or one already queued.
func (c *Controller) checkQueue(turn *Turn, now time.Time) *failure.Error {
	target, request := turn.ticket.service, turn.ticket.request
	before := target.queue.before(turn.queued)
	expected := target.expectedWait(before)
	switch {
	case !c.config.MayWait(request, Wait{Expected: expected, Queued: before}):
		return c.refuseOverloaded(target, "the service is at its limit and its policy lets no request wait", now)
	case target.queue.waiting[request.Tenant] >= c.config.Bounds.TenantWaiters:
		return c.refuseOverloaded(target, "too many of the tenant's requests wait on this node", now)
	case now.Add(expected).After(turn.ticket.until):
		return c.refuseLate(turn.ticket, now)
	}
	for c.full(target, 1, turn.queued.bytes) {
		last := target.queue.last()
		if last == nil || !turn.queued.precedes(last) {
			return c.refuseOverloaded(target, "the queue of the service is full", now)
		}
		c.evict(target, last, now)
	}
	return nil
}

// full reports whether adding the given requests and bytes would exceed the bounds.
func (c *Controller) full(target *service, more, bytes int) bool {
	bounds := c.config.Bounds
	return target.queue.len()+more > target.depth() || c.waiters+more > bounds.Waiters || c.bytes+bytes > bounds.WaitingBytes
}

// trim refuses queued requests that exceed the bounds, starting with the last in fair order. The bounds can be exceeded
// when the service has become slower or when a request is queued again.
func (c *Controller) trim(target *service, now time.Time) {
	for target.queue.len() > 0 && c.full(target, 0, 0) {
		c.evict(target, target.queue.last(), now)
	}
}

// evict removes a request from the queue and refuses it.
func (c *Controller) evict(target *service, gone *waiter, now time.Time) {
	target.queue.remove(gone)
	c.unqueue(gone)
	c.release(gone.tenant)
	gone.refused = c.refuseOverloaded(target, "the service is at its limit and others go first", now)
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

// grantNext grants free slots to waiters in fair order.
func (c *Controller) grantNext(target *service, now time.Time) {
	for target.queue.len() > 0 && target.concurrency.free(now) {
		next := target.queue.pop()
		c.unqueue(next)
		next.turn.ticket.take(now)
		close(next.settled)
	}
}
