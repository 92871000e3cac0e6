// Package admission decides whether a node dispatches an online request immediately, queues it, or refuses it early with
// a retry delay.
//
// Each service has an adaptive concurrency limit per node and a queue with weighted fair queueing over tenants. Rate and
// concurrency limits of the fleet are split between nodes by observed demand: each limit has a home node, chosen by
// hashing, to which the nodes report their demand and which returns the total. This exchange runs in the background, so
// no request waits for another node. The package also exports metrics of refusals, limits and queues.
package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// Bounds limits the requests that wait on one node. Zero values select the defaults.
type Bounds struct {
	// Waiters and WaitingBytes bound the waiting requests and the memory of their bodies.
	Waiters      int
	WaitingBytes int
	// TenantWaiters bounds the waiting requests of one tenant.
	TenantWaiters int
	// Wait is the maximum wait of a request.
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

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Node    ident.Node
	Catalog catalog.Source
	// Nodes returns the live nodes, including this one; nil means that this is the only node.
	Nodes  func() []ident.Node
	Bounds Bounds
	// Capacity returns the number of requests of a service that all runners together can execute concurrently, or zero if
	// that is unknown; nil means that it is always unknown. It must not block.
	Capacity func(service string) float64
	// MayWait reports whether a request may be queued instead of refused; nil allows all requests. It must not block.
	MayWait func(request *inference.Request, wait Wait) bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Random returns numbers in [0, 1) for the jitter of retry delays. Nil means rand.Float64.
	Random func() float64
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Wait describes the queue that a request would join.
type Wait struct {
	// Expected is the estimated wait.
	Expected time.Duration
	// Queued is the number of requests that would be served before it.
	Queued int
}

// Controller admits requests. It is safe for concurrent use.
type Controller struct {
	config  Config
	metrics *metrics

	mutex  sync.Mutex
	limits map[string]*limit
	home   *home
	// inFlight counts each tenant's requests, including waiting ones.
	inFlight map[ident.Tenant]int
	services map[string]*service
	waiters  int
	bytes    int
}

// New returns a controller.
func New(config Config) *Controller {
	config.Bounds = config.Bounds.withDefaults()
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Random == nil {
		config.Random = rand.Float64
	}
	if config.Nodes == nil {
		config.Nodes = func() []ident.Node { return []ident.Node{config.Node} }
	}
	if config.Capacity == nil {
		config.Capacity = func(string) float64 { return 0 }
	}
	if config.MayWait == nil {
		config.MayWait = func(*inference.Request, Wait) bool { return true }
	}
	created := &Controller{
		config:   config,
		metrics:  newMetrics(config.Registerer),
		limits:   map[string]*limit{},
		home:     newHome(),
		inFlight: map[ident.Tenant]int{},
		services: map[string]*service{},
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(gauges{created})
	}
	return created
}

// Admit returns a ticket, after waiting in the fair queue if necessary. The error is always a *failure.Error; the
// request was not run.
func (c *Controller) Admit(ctx context.Context, request *inference.Request) (*Ticket, error) {
	ticket, turn, refused := c.Enter(request)
	if turn != nil {
		ticket, refused = turn.await(ctx)
	}
	if refused != nil {
		c.metrics.refused(refused.Code)
		return nil, refused
	}
	return ticket, nil
}

// Enter decides without waiting. Exactly one of the results is set: a ticket, a turn to wait for, or a refusal, in which
// case the request was not run.
func (c *Controller) Enter(request *inference.Request) (*Ticket, *Turn, *failure.Error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	tenant := c.config.Catalog.Current().Tenants[request.Tenant]
	target := c.service(request.Service)
	c.updateShare(target, request.Service, now)
	c.grantNext(target, now)
	if refused := c.checkLimits(request, tenant, now); refused != nil {
		return nil, nil, refused
	}
	ticket := &Ticket{controller: c, request: request, service: target, until: c.waitLimit(request, now)}
	if target.queue.len() == 0 && target.concurrency.free(now) {
		c.charge(request)
		target.queue.chargeDirect(request.Tenant, tenant.Weight)
		ticket.take(now)
		return ticket, nil, nil
	}
	queued := &waiter{tenant: request.Tenant, bytes: len(request.Body), settled: make(chan struct{})}
	target.queue.schedule(queued, tenant.Weight)
	turn := &Turn{ticket: ticket, queued: queued}
	queued.turn = turn
	if refused := c.checkQueue(turn, now); refused != nil {
		return nil, nil, refused
	}
	c.charge(request)
	target.queue.push(queued, tenant.Weight)
	c.enqueued(queued)
	return nil, turn, nil
}

func (c *Controller) service(name string) *service {
	target, known := c.services[name]
	if !known {
		target = &service{concurrency: newConcurrency(), queue: newFairQueue()}
		c.services[name] = target
	}
	return target
}

// ObserveFirstToken records the time a runner took to produce the first token of a request.
func (c *Controller) ObserveFirstToken(name string, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.service(name).concurrency.observeFirstToken(took)
}

// release decrements the tenant's count of requests in flight.
func (c *Controller) release(tenant ident.Tenant) {
	c.inFlight[tenant]--
	if c.inFlight[tenant] <= 0 {
		delete(c.inFlight, tenant)
	}
}

// waitLimit returns the time until which a request may wait: its deadline or the maximum wait, whichever is earlier.
func (c *Controller) waitLimit(request *inference.Request, now time.Time) time.Time {
	until := now.Add(c.config.Bounds.Wait)
	if !request.Deadline.IsZero() && request.Deadline.Before(until) {
		return request.Deadline
	}
	return until
}
