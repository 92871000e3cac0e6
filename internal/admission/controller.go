// Package admission decides whether a node takes an online request now, lets it wait for its fair turn, or refuses it
// early with advice on when to come back. Limits over the whole fleet are split between nodes by observed demand; no
// request waits for another node.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Bounds limit what waits on one node. Zero values take the defaults.
type Bounds struct {
	// Waiters and WaitingBytes bound the waiting requests and the memory of their bodies.
	Waiters      int
	WaitingBytes int
	// TenantWaiters bounds the waiting requests of one tenant.
	TenantWaiters int
	// Wait is the longest wait of a request.
	Wait time.Duration
}

// Defaults of Bounds.
const (
	defaultWaiters       = 2048
	defaultWaitingBytes  = 32 << 20
	defaultTenantWaiters = 256
	defaultWait          = time.Second
)

func (b Bounds) withDefaults() Bounds {
	fill := func(value *int, byDefault int) {
		if *value <= 0 {
			*value = byDefault
		}
	}
	fill(&b.Waiters, defaultWaiters)
	fill(&b.WaitingBytes, defaultWaitingBytes)
	fill(&b.TenantWaiters, defaultTenantWaiters)
	if b.Wait <= 0 {
		b.Wait = defaultWait
	}
	return b
}

// Config is what a Controller needs.
type Config struct {
	Node    ident.Node
	Catalog catalog.Source
	// Nodes returns the live nodes with this one; nil means that it is alone.
	Nodes  func() []ident.Node
	Bounds Bounds
	// MayWait says whether a request may wait rather than be refused; nil means that all may. It must not block.
	MayWait func(request *inference.Request, wait Wait) bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Registerer gets the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Wait is what a request that has to wait would meet.
type Wait struct {
	// Expected is the estimated wait, zero if nothing is known.
	Expected time.Duration
	// Queued is the number of requests before it.
	Queued int
}

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	config  Config
	metrics *metrics

	mutex  sync.Mutex
	limits map[string]*limit
	home   *home
	// inFlight counts each tenant's requests, waiting ones too.
	inFlight map[ident.Tenant]int
	services map[string]*service
	waiters  int
	bytes    int
}

// service is the state of one service on this node.
type service struct {
	concurrency *concurrency
	queue       *fairQueue
	// pace is the recent rate of answers.
	pace demand
}

// New returns a controller.
func New(config Config) *Controller {
	config.Bounds = config.Bounds.withDefaults()
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Nodes == nil {
		config.Nodes = func() []ident.Node { return []ident.Node{config.Node} }
	}
	if config.MayWait == nil {
		config.MayWait = func(*inference.Request, Wait) bool { return true }
	}
	return &Controller{
		config:   config,
		metrics:  newMetrics(config.Registerer),
		limits:   map[string]*limit{},
		home:     newHome(),
		inFlight: map[ident.Tenant]int{},
		services: map[string]*service{},
	}
}

// Ticket is the right to dispatch one request. Done must be called once.
type Ticket struct {
	controller *Controller
	tenant     ident.Tenant
	service    *service
}

// Admit returns a ticket, after a wait for the tenant's fair turn if need be. The error is a *failure.Error of a
// request that was not run.
func (c *Controller) Admit(ctx context.Context, request *inference.Request) (*Ticket, error) {
	ticket, turn, refused := c.Enter(request)
	if turn != nil {
		ticket = turn.ticket
		refused = c.await(ctx, turn)
	}
	if refused != nil {
		c.metrics.refused(refused.Code)
		return nil, refused
	}
	return ticket, nil
}

// enter checks the limits and takes a slot or a place in the queue.
func (c *Controller) enter(request *inference.Request) (*Ticket, *waiter, *failure.Error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	tenant := c.config.Catalog.Current().Tenants[request.Tenant]
	target := c.service(request.Service)
	if refused := c.checkLimits(request, tenant, now); refused != nil {
		return nil, nil, refused
	}
	ticket := &Ticket{controller: c, tenant: request.Tenant, service: target}
	if target.concurrency.free() && target.queue.len() == 0 {
		c.charge(request)
		target.concurrency.inFlight++
		return ticket, nil, nil
	}
	if refused := c.checkQueue(request, target, now); refused != nil {
		return nil, nil, refused
	}
	c.charge(request)
	queued := &waiter{tenant: request.Tenant, bytes: len(request.Body), until: c.giveUpAt(request, now), granted: make(chan struct{})}
	target.queue.push(queued, tenant.Weight)
	c.waiters++
	c.bytes += queued.bytes
	return ticket, queued, nil
}

func (c *Controller) service(name string) *service {
	target, known := c.services[name]
	if !known {
		target = &service{concurrency: newConcurrency(), queue: newFairQueue()}
		c.services[name] = target
	}
	return target
}

// release ends the count of a tenant's request.
func (c *Controller) release(tenant ident.Tenant) {
	c.inFlight[tenant]--
	if c.inFlight[tenant] <= 0 {
		delete(c.inFlight, tenant)
	}
}

func (c *Controller) giveUpAt(request *inference.Request, now time.Time) time.Time {
	until := now.Add(c.config.Bounds.Wait)
	if !request.Deadline.IsZero() && request.Deadline.Before(until) {
		return request.Deadline
	}
	return until
}

// checkQueue refuses a request that could not wait, or would wait in vain.
func (c *Controller) checkQueue(request *inference.Request, target *service, now time.Time) *failure.Error {
	expected := c.expectedWait(target, now)
	switch {
	case !c.config.MayWait(request, Wait{Expected: expected, Queued: target.queue.len()}):
		return overloaded("the service is at its limit and its policy lets no request wait", expected)
	case c.waiters >= c.config.Bounds.Waiters || c.bytes+len(request.Body) > c.config.Bounds.WaitingBytes:
		return overloaded("too many requests wait on this node", expected)
	case target.queue.waiting[request.Tenant] >= c.config.Bounds.TenantWaiters:
		return overloaded("too many of the tenant's requests wait on this node", expected)
	case now.Add(expected).After(c.giveUpAt(request, now)):
		return c.inVain(request, expected)
	}
	return nil
}

// inVain refuses a request at once that would have to give up waiting.
func (c *Controller) inVain(request *inference.Request, expected time.Duration) *failure.Error {
	if request.Deadline.IsZero() {
		return overloaded("the service is at its limit", expected)
	}
	return failure.New(failure.CodeDeadlineInfeasible, "the request would still wait at its deadline").WithRetryAfter(retryAdvice(expected))
}

// expectedWait estimates the wait of a new request from the queue and the recent rate of answers.
func (c *Controller) expectedWait(target *service, now time.Time) time.Duration {
	pace := target.pace.current(now)
	if pace <= 0 {
		return 0
	}
	return time.Duration(float64(target.queue.len()+1) / pace * float64(time.Second))
}

func overloaded(message string, expected time.Duration) *failure.Error {
	return failure.New(failure.CodeOverloaded, "%s", message).WithRetryAfter(retryAdvice(expected))
}

// leastRetryAfter is the shortest advice, which keeps refused callers from coming back at once.
const leastRetryAfter = 250 * time.Millisecond

func retryAdvice(expected time.Duration) time.Duration { return max(leastRetryAfter, expected) }

// await waits for the slot.
func (c *Controller) await(ctx context.Context, turn *Turn) *failure.Error {
	timer := time.NewTimer(turn.Until().Sub(c.config.Now()))
	defer timer.Stop()
	select {
	case <-turn.Granted():
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	refused := turn.GiveUp()
	if refused == nil {
		return c.grantedLate(ctx, turn.ticket)
	}
	if ctx.Err() != nil {
		return failure.New(failure.CodeCancelled, "the caller has gone")
	}
	return refused
}

// grantedLate settles a slot that came at the moment of giving up: it is used unless the caller is gone.
func (c *Controller) grantedLate(ctx context.Context, ticket *Ticket) *failure.Error {
	if ctx.Err() == nil {
		return nil
	}
	ticket.Done(ctx.Err())
	return failure.New(failure.CodeCancelled, "the caller has gone")
}

func (c *Controller) unqueue(queued *waiter) {
	c.waiters--
	c.bytes -= queued.bytes
}

// Done gives the slot back with the result of the dispatch. An overload refusal lowers the service's concurrency.
func (t *Ticket) Done(result error) {
	c := t.controller
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	if result == nil {
		t.service.concurrency.answered()
		t.service.pace.add(1, now)
	} else if failure.As(result).Code == failure.CodeOverloaded {
		t.service.concurrency.overloaded(now)
	}
	t.service.concurrency.inFlight--
	c.release(t.tenant)
	c.grantNext(t.service)
}

// grantNext gives free slots to the waiters whose turn it is.
func (c *Controller) grantNext(target *service) {
	for target.concurrency.free() {
		next := target.queue.pop()
		if next == nil {
			return
		}
		c.unqueue(next)
		target.concurrency.inFlight++
		close(next.granted)
	}
}
