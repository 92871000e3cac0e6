package fairshare

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// mostNamed is how many tenants a node names to the keeper of a service's account; the others are told together.
	mostNamed = 6
)

// Local is what a node has of the places of one service, by tenant, and what it was told to keep to. The zero Local has nothing.
type Local struct {
	// taken are the places that requests have.
	taken map[ident.Tenant]int
	// bounds are those that count until a moment each.
	bounds map[ident.Tenant]bound
	// waited is when a request last had to wait here; scarceUntil is until when the keeper's word counts that places are scarce,
	// boundedUntil that some tenant is bounded.
	waited, scarceUntil, boundedUntil time.Time
}

type bound struct {
	places int
	until  time.Time
}

// Took notes that a request of a tenant got a place.
func (l *Local) Took(tenant ident.Tenant) {
	if tenant == "" {
		return
	}
	if l.taken == nil {
		l.taken = map[ident.Tenant]int{}
	}
	l.taken[tenant]++
}

// Gave notes that one gave its place back.
func (l *Local) Gave(tenant ident.Tenant) {
	if l.taken[tenant] <= 1 {
		delete(l.taken, tenant)
		return
	}
	l.taken[tenant]--
}

// Waited notes that a request had to wait.
func (l *Local) Waited(now time.Time) { l.waited = now }

// Yields says whether a request takes no more than the places that nobody else wants: its tenant has as many at this node as its bound,
// or some tenant is bounded and the request is of a kind that is less urgent than others of the service.
func (l *Local) Yields(tenant ident.Tenant, lessUrgent bool, now time.Time) bool {
	if tenant == "" {
		return false
	}
	if lessUrgent && now.Before(l.boundedUntil) {
		return true
	}
	bound, bounded := l.bounds[tenant]
	return bounded && now.Before(bound.until) && l.taken[tenant] >= bound.places
}

// Bounded says whether a tenant has a bound here.
func (l *Local) Bounded(tenant ident.Tenant, now time.Time) bool {
	bound, bounded := l.bounds[tenant]
	return bounded && now.Before(bound.until)
}

// Learn takes over what the keeper said of the service, as of a moment. What it doesn't name keeps its bound until that ends.
func (l *Local) Learn(told []demand.Bound, asOf time.Time) {
	until := asOf.Add(demand.Lifetime)
	for _, word := range told {
		if word.Tenant != "" {
			if l.bounds == nil {
				l.bounds = map[ident.Tenant]bound{}
			}
			if until.After(l.bounds[word.Tenant].until) {
				l.bounds[word.Tenant] = bound{places: max(word.Places, 0), until: until}
			}
			continue
		}
		if until.After(l.scarceUntil) {
			l.scarceUntil = until
		}
		if word.Places > 0 && until.After(l.boundedUntil) {
			l.boundedUntil = until
		}
	}
	for tenant, known := range l.bounds {
		if asOf.After(known.until) {
			delete(l.bounds, tenant)
		}
	}
}

// Scarce says whether the keeper is to be told: requests had to wait here a moment ago, or the keeper said that they do elsewhere.
func (l *Local) Scarce(now time.Time) bool {
	return now.Sub(l.waited) <= scarceFor || now.Before(l.scarceUntil)
}

// Uses returns what the keeper is told, with the requests that wait by tenant, in the line or at runners; those at runners count among the
// places too and are queued. It returns nothing while places are not scarce, nor where no tenant has any.
func (l *Local) Uses(service string, waiting, queued map[ident.Tenant]int, now time.Time) []demand.Use {
	if !l.Scarce(now) {
		return nil
	}
	uses := make([]demand.Use, 0, len(l.taken)+len(waiting))
	for tenant, taken := range l.taken {
		behind := min(queued[tenant], taken)
		uses = append(uses, demand.Use{Service: service, Tenant: tenant, Taken: taken - behind, Waiting: waiting[tenant] + behind})
	}
	for tenant, count := range waiting {
		if _, named := l.taken[tenant]; !named && tenant != "" {
			uses = append(uses, demand.Use{Service: service, Tenant: tenant, Waiting: count})
		}
	}
	if len(uses) <= mostNamed {
		return uses
	}
	slices.SortFunc(uses, func(first, second demand.Use) int {
		return cmp.Or(cmp.Compare(second.Taken+second.Waiting, first.Taken+first.Waiting), cmp.Compare(first.Tenant, second.Tenant))
	})
	others := demand.Use{Service: service}
	for _, use := range uses[mostNamed:] {
		others.Taken += use.Taken
		others.Waiting += use.Waiting
	}
	return append(uses[:mostNamed], others)
}
