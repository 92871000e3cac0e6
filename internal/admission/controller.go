// Package admission decides whether a node takes an online request now, lets it wait for its fair turn, or refuses it
// early with advice on when to come back. Limits over the whole fleet are split between nodes by observed demand; no
// request waits for another node.
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
	// Capacity returns how many requests of a service all runners together take at once, or zero if that is not known;
	// nil means that it never is. It must not block.
	Capacity func(service string) float64
	// MayWait says whether a request may wait rather than be refused; nil means that all may. It must not block.
	MayWait func(request *inference.Request, wait Wait) bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Random spreads advice; it returns numbers from 0 to below 1. Nil means rand.Float64.
	Random func() float64
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

// Admit returns a ticket, after a wait for the tenant's fair turn if need be. The error is a *failure.Error of a
// request that was not run.
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

// Enter decides without waiting. Exactly one of the results is set: a ticket, a turn to wait for, or the refusal of a
// request that was not run.
func (c *Controller) Enter(request *inference.Request) (*Ticket, *Turn, *failure.Error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Now()
	tenant := c.config.Catalog.Current().Tenants[request.Tenant]
	target := c.service(request.Service)
	c.takeShare(target, request.Service, now)
	c.grantNext(target, now)
	if refused := c.checkLimits(request, tenant, now); refused != nil {
		return nil, nil, refused
	}
	ticket := &Ticket{controller: c, request: request, service: target, until: c.giveUpAt(request, now)}
	if target.queue.len() == 0 && target.concurrency.free(now) {
		c.charge(request)
		target.queue.pass(request.Tenant, tenant.Weight)
		ticket.take(now)
		return ticket, nil, nil
	}
	queued := &waiter{tenant: request.Tenant, bytes: len(request.Body), settled: make(chan struct{})}
	target.queue.place(queued, tenant.Weight)
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

// ObserveFirstToken records how long a runner took to the first token of a request.
func (c *Controller) ObserveFirstToken(name string, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.service(name).concurrency.began(took)
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
