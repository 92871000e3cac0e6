package admission

import (
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// limit is one limit of the fleet as this node applies it.
type limit struct {
	bucket bucket
	demand demand
	// reported is the demand last told to the limit's home; total is what the home answered last, before the time before.
	reported      float64
	total, before total
}

// leastBurst lets a node with a small share admit a single request.
const leastBurst = 1.0

// Names of limits, as nodes exchange them.
func tenantRequests(tenant ident.Tenant) string { return "tenant-requests/" + string(tenant) }
func tenantTokens(tenant ident.Tenant) string   { return "tenant-tokens/" + string(tenant) }
func serviceRequests(service string) string     { return "service-requests/" + service }

// claim is what one request needs of one limit.
type claim struct {
	name   string
	amount float64
	// rate and burst are the fleet's.
	rate, burst float64
	message     string
}

// claims lists what the request needs of the limits that are set.
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

// tokenBurstSeconds is how many seconds of a token rate may be used at once.
const tokenBurstSeconds = 4

// checkLimits refuses a request beyond this node's part of a limit. Demand counts whether admitted or not: a node whose
// callers are refused must get a larger part.
func (c *Controller) checkLimits(request *inference.Request, tenant catalog.Tenant, now time.Time) *failure.Error {
	var longest time.Duration
	var message string
	for _, needed := range c.claims(request) {
		held := c.limit(needed.name)
		held.demand.add(needed.amount, now)
		part := c.part(held, now)
		held.bucket.set(needed.rate*part, max(leastBurst, needed.burst*part), now)
		if wait := held.bucket.wait(needed.amount, now); wait > longest {
			longest, message = wait, needed.message
		}
	}
	if longest > 0 {
		return failure.New(failure.CodeRateLimited, "%s", message).WithRetryAfter(c.spread(longest))
	}
	return c.checkInFlight(tenant, now)
}

// part returns this node's part of a limit.
//
// It rests on the demand that the total contains, not on the present one: a rise on all nodes at once would have each of
// them claim nearly the whole limit until the next total. And it grows only once two totals agree, because whoever
// reports a rise first is told a total without the others'. It shrinks at once.
func (c *Controller) part(held *limit, now time.Time) float64 {
	nodes := len(c.config.Nodes())
	return min(share(held.total.own, held.total, nodes, now), share(held.before.own, held.before, nodes, now))
}

// checkInFlight applies the node's part of the tenant's concurrent requests.
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
	return failure.New(failure.CodeRateLimited, "the tenant has too many requests in flight").WithRetryAfter(c.spread(leastRetryAfter))
}

// charge counts the request and takes what an admitted request needs. The limits were checked under the same lock.
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

// spread lengthens advice by up to a half, so that callers refused together do not come back together.
func (c *Controller) spread(advice time.Duration) time.Duration {
	return advice + time.Duration(c.config.Random()*float64(advice)/2)
}
