package fairshare

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// maxReportedTenants is the number of tenants that a node reports by name to the account holder of a service;
	// the others are reported as one sum.
	maxReportedTenants = 6
)

// LocalUsage is a node's use of the slots of one service, by tenant, and the bounds that the account holder set. The
// zero LocalUsage is empty.
type LocalUsage struct {
	// taken is the number of slots in use.
	taken map[ident.Tenant]int
	// bounds holds the bounds by tenant, each with its expiry.
	bounds map[ident.Tenant]bound
	// lastWait is when a request last had to wait here. scarceUntil and boundedUntil are the times until which the
	// account holder's last answer counts that slots are scarce, and that some tenant is bounded.
	lastWait, scarceUntil, boundedUntil time.Time
}

type bound struct {
	slots int
	until time.Time
}

// Acquire records that a request of a tenant got a slot.
func (l *LocalUsage) Acquire(tenant ident.Tenant) {
	if tenant == "" {
		return
	}
	if l.taken == nil {
		l.taken = map[ident.Tenant]int{}
	}
	l.taken[tenant]++
}

// Release records that a request of a tenant released its slot.
func (l *LocalUsage) Release(tenant ident.Tenant) {
	if l.taken[tenant] <= 1 {
		delete(l.taken, tenant)
		return
	}
	l.taken[tenant]--
}

// RecordWait records that a request had to wait.
func (l *LocalUsage) RecordWait(now time.Time) { l.lastWait = now }

// Yields reports whether a request may only use slots that no other request wants: its tenant uses as many slots
// at this node as its bound, or some tenant is bounded and the request is of a less urgent kind than others of the
// service.
func (l *LocalUsage) Yields(tenant ident.Tenant, lessUrgent bool, now time.Time) bool {
	if tenant == "" {
		return false
	}
	if lessUrgent && now.Before(l.boundedUntil) {
		return true
	}
	bound, bounded := l.bounds[tenant]
	return bounded && now.Before(bound.until) && l.taken[tenant] >= bound.slots
}

// Bounded reports whether a tenant has a bound here.
func (l *LocalUsage) Bounded(tenant ident.Tenant, now time.Time) bool {
	bound, bounded := l.bounds[tenant]
	return bounded && now.Before(bound.until)
}

// ApplyBounds applies the account holder's bounds for the service, as of the given time. Tenants that are not listed
// keep their bound until it expires.
func (l *LocalUsage) ApplyBounds(received []demand.Bound, asOf time.Time) {
	until := asOf.Add(demand.Lifetime)
	for _, update := range received {
		if update.Tenant != "" {
			if l.bounds == nil {
				l.bounds = map[ident.Tenant]bound{}
			}
			if until.After(l.bounds[update.Tenant].until) {
				l.bounds[update.Tenant] = bound{slots: max(update.Slots, 0), until: until}
			}
			continue
		}
		if until.After(l.scarceUntil) {
			l.scarceUntil = until
		}
		if update.Slots > 0 && until.After(l.boundedUntil) {
			l.boundedUntil = until
		}
	}
	for tenant, current := range l.bounds {
		if asOf.After(current.until) {
			delete(l.bounds, tenant)
		}
	}
}

// Scarce reports whether uses have to be reported to the account holder: requests had to wait here within
// scarcityPeriod, or the account holder reported that they wait elsewhere.
func (l *LocalUsage) Scarce(now time.Time) bool {
	return now.Sub(l.lastWait) <= scarcityPeriod || now.Before(l.scarceUntil)
}

// Uses returns the uses to report to the account holder. waiting counts the requests without a slot by tenant,
// queued those that have a slot but wait in a runner's queue; the latter are reported as waiting. Uses returns
// nothing while slots are not scarce, or if no tenant has requests.
func (l *LocalUsage) Uses(service string, waiting, queued map[ident.Tenant]int, now time.Time) []demand.Use {
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
	if len(uses) <= maxReportedTenants {
		return uses
	}
	slices.SortFunc(uses, func(first, second demand.Use) int {
		return cmp.Or(cmp.Compare(second.Taken+second.Waiting, first.Taken+first.Waiting), cmp.Compare(first.Tenant, second.Tenant))
	})
	others := demand.Use{Service: service}
	for _, use := range uses[maxReportedTenants:] {
		others.Taken += use.Taken
		others.Waiting += use.Waiting
	}
	return append(uses[:maxReportedTenants], others)
}
