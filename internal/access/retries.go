package access

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// pressedFor is how long after a request was refused its tenant counts as pressed: what it may send is wanted by requests that can be on
	// time.
	pressedFor = 500 * time.Millisecond
	// usualAfter is how many requests that give the same time make it a usual one: callers give round times at first, and whatever is left of
	// them when they come again.
	usualAfter = 3
	// gonePart of its objective is how much time of a request may have gone by for it to be on time yet: the rest is for its answer.
	gonePart = 2.0 / 3
	// timesFor is how long the times that requests give are counted, mostTimes how many of them for each tenant and route.
	timesFor  = 10 * time.Second
	mostTimes = 256
)

// Asked is what is known of a request before its body is read.
type Asked struct {
	Route *work.Route
	// Left is the time for which its caller waits on; zero where it did not say.
	Left time.Duration
}

// times counts the requests of a tenant on a route by the time that their callers gave them.
type times struct {
	counts map[time.Duration]int
	// longest is the longest of the usual ones.
	longest time.Duration
}

// timesOf names the times of a tenant's requests on a route.
type timesOf struct {
	tenant ident.Tenant
	route  string
}

// returns follows which requests come again. The limiter's mutex guards it.
type returns struct {
	byRoute map[timesOf]*times
	since   time.Time
	// pressed is when a request of each tenant was last refused that may have been its first attempt.
	pressed map[ident.Tenant]time.Time
}

// again counts a request and says whether it comes again and can't be on time any more: too much of the usual time has gone by for its
// objective, and what is left is no usual time itself.
func (r *returns) again(tenant ident.Tenant, asked Asked, now time.Time) bool {
	if asked.Left <= 0 || asked.Route == nil || asked.Route.Objective <= 0 {
		return false
	}
	if r.byRoute == nil || now.Sub(r.since) > timesFor {
		r.byRoute, r.since = map[timesOf]*times{}, now
	}
	name := timesOf{tenant: tenant, route: asked.Route.Name}
	known := r.byRoute[name]
	if known == nil {
		known = &times{counts: map[time.Duration]int{}}
		r.byRoute[name] = known
	}
	if len(known.counts) < mostTimes || known.counts[asked.Left] > 0 {
		known.counts[asked.Left]++
	}
	if known.counts[asked.Left] >= usualAfter {
		known.longest = max(known.longest, asked.Left)
		return false
	}
	gone := known.longest - asked.Left
	return gone > time.Duration(gonePart*float64(asked.Route.Objective))
}

// isPressed says whether a tenant's requests that may be on time are refused.
func (r *returns) isPressed(tenant ident.Tenant, now time.Time) bool {
	refused, known := r.pressed[tenant]
	return known && now.Sub(refused) < pressedFor
}

// press notes that a request was refused that may have been a first attempt.
func (r *returns) press(tenant ident.Tenant, now time.Time) {
	if r.pressed == nil {
		r.pressed = map[ident.Tenant]time.Time{}
	}
	r.pressed[tenant] = now
}
