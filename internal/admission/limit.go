package admission

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// limit is this node's state of one fleet-wide limit.
type limit struct {
	// rate is the fleet-wide rate.
	rate   float64
	bucket bucket
	demand demand
	// reported is the demand last reported to the limit's home node. total is that node's latest answer, and before the
	// one preceding it.
	reported      float64
	total, before total
}

// minBurst is the minimum burst of a node, so that a node with a small share can admit a single request.
const minBurst = 1.0

// Names of limits in the messages between nodes.
func tenantRequests(tenant ident.Tenant) string { return "tenant-requests/" + string(tenant) }
func tenantTokens(tenant ident.Tenant) string   { return "tenant-tokens/" + string(tenant) }
func serviceRequests(service string) string     { return "service-requests/" + service }

// claim is the amount that one request needs from one limit.
type claim struct {
	name   string
	amount float64
	// rate and burst are fleet-wide.
	rate, burst float64
	message     string
}

// claims lists the amounts that the request needs from each configured limit.
func (c *Controller) claims(request *inference.Request) []claim {
	configuration := c.config.Catalog.Current()
	tenant := configuration.Tenants[request.Tenant]
	target := configuration.Services[request.Service]
	var needed []claim
	if tenant.RequestsPerSecond > 0 {
		needed = append(needed, claim{tenantRequests(request.Tenant), 1, tenant.RequestsPerSecond, max(tenant.Burst, tenant.RequestsPerSecond), "the tenant's request rate is used up"})
	}
	if tenant.TokensPerSecond > 0 {
		tokens := float64(request.PromptTokens + request.MaxTokens)
		needed = append(needed, claim{tenantTokens(request.Tenant), tokens, tenant.TokensPerSecond, tenant.TokensPerSecond * tokenBurstSeconds, "the tenant's token rate is used up"})
	}
	if target.RequestsPerSecond > 0 {
		needed = append(needed, claim{serviceRequests(request.Service), 1, target.RequestsPerSecond, target.RequestsPerSecond, "the service's request rate is used up"})
	}
	return needed
}

// tokenBurstSeconds is the burst of a token limit, in seconds of its rate.
const tokenBurstSeconds = 4

// checkLimits refuses a request that exceeds this node's part of a limit. Refused requests count as demand too, so that
// a node whose callers are refused gets a larger part.
func (c *Controller) checkLimits(request *inference.Request, tenant catalog.Tenant, now time.Time) *failure.Error {
	var longest time.Duration
	var message string
	for _, needed := range c.claims(request) {
		held := c.limit(needed.name)
		held.rate = needed.rate
		held.demand.add(needed.amount, now)
		part := c.part(held, now)
		held.bucket.set(needed.rate*part, max(minBurst, needed.burst*part), now)
		if wait := held.bucket.wait(needed.amount, now); wait > longest {
			longest, message = wait, needed.message
		}
	}
	if longest > 0 {
		return failure.New(failure.CodeRateLimited, "%s", message).WithRetryAfter(c.withJitter(longest))
	}
	return c.checkInFlight(tenant, now)
}

// part returns this node's part of a limit.
//
// It uses the demand that the total contains, not the current demand. Otherwise, if demand rose on all nodes at once,
// each node would claim nearly the whole limit until the next total. The part grows only after two consecutive totals
// support it, because the first node to report a rise receives a total without the other nodes' increase. It shrinks
// immediately.
func (c *Controller) part(held *limit, now time.Time) float64 {
	nodes := len(c.config.Nodes())
	return min(share(held.total.own, held.total, nodes, now), share(held.before.own, held.before, nodes, now))
}

// checkInFlight refuses a request that exceeds this node's part of the tenant's limit on concurrent requests.
func (c *Controller) checkInFlight(tenant catalog.Tenant, now time.Time) *failure.Error {
	if tenant.MaxInFlight <= 0 {
		return nil
	}
	part := 1 / float64(max(1, len(c.config.Nodes())))
	if held, known := c.limits[tenantRequests(tenant.Name)]; known {
		part = c.part(held, now)
	}
	allowed := max(1, int(math.Floor(float64(tenant.MaxInFlight)*part)))
	if c.inFlight[tenant.Name] < allowed {
		return nil
	}
	return failure.New(failure.CodeRateLimited, "the tenant has too many requests in flight").WithRetryAfter(c.withJitter(minRetryAfter))
}

// charge counts an admitted request and takes its tokens from the buckets. The caller must have checked the limits
// without releasing the lock since.
func (c *Controller) charge(request *inference.Request) {
	c.inFlight[request.Tenant]++
	for _, needed := range c.claims(request) {
		c.limit(needed.name).bucket.take(needed.amount)
	}
}

func (c *Controller) limit(name string) *limit {
	held, known := c.limits[name]
	if !known {
		held = &limit{}
		c.limits[name] = held
	}
	return held
}

// withJitter adds random jitter of up to half of the retry delay, so that callers refused together do not retry together.
func (c *Controller) withJitter(delay time.Duration) time.Duration {
	return delay + time.Duration(c.config.Random()*float64(delay)/2)
}
