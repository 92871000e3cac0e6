package access

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// refusalWindow is the time after a refusal during which the tenant's late retries are refused, because requests
	// that can still be on time need what the limit allows.
	refusalWindow = 500 * time.Millisecond
	// commonAfter is the number of requests with the same timeout that make it a common one. First attempts have
	// round timeouts; retries have whatever time is left.
	commonAfter = 3
	// maxElapsedFraction is the fraction of its objective that may have elapsed for a request to count as on time;
	// the rest is needed to answer it.
	maxElapsedFraction = 2.0 / 3
	// timeoutWindow is how long timeouts are counted before the counts are reset; maxTimeouts is the number of
	// different timeouts counted for each tenant and route.
	timeoutWindow = 10 * time.Second
	maxTimeouts   = 256
)

// RequestInfo is the data of a request that is known before its body is read.
type RequestInfo struct {
	Route *work.Route
	// TimeLeft is the time for which the caller still waits, or zero if it gave no timeout.
	TimeLeft time.Duration
}

// timeoutCounts counts the requests of a tenant on a route by their timeout.
type timeoutCounts struct {
	counts map[time.Duration]int
	// longest is the longest of the common timeouts.
	longest time.Duration
}

// timeoutKey identifies the timeoutCounts of a tenant on a route.
type timeoutKey struct {
	tenant ident.Tenant
	route  string
}

// retryTracker detects retries by their timeouts. The limiter's mutex guards it.
type retryTracker struct {
	byRoute map[timeoutKey]*timeoutCounts
	since   time.Time
	// refusedAt holds, by tenant, when a request was last refused that may have been a first attempt.
	refusedAt map[ident.Tenant]time.Time
}

// lateRetry counts a request and reports whether it is a retry that can no longer meet its objective: its timeout
// is not common, and is shorter than the longest common one by more than maxElapsedFraction of the objective.
func (r *retryTracker) lateRetry(tenant ident.Tenant, asked RequestInfo, now time.Time) bool {
	if asked.TimeLeft <= 0 || asked.Route == nil || asked.Route.Objective <= 0 {
		return false
	}
	if r.byRoute == nil || now.Sub(r.since) > timeoutWindow {
		r.byRoute, r.since = map[timeoutKey]*timeoutCounts{}, now
	}
	key := timeoutKey{tenant: tenant, route: asked.Route.Name}
	entry := r.byRoute[key]
	if entry == nil {
		entry = &timeoutCounts{counts: map[time.Duration]int{}}
		r.byRoute[key] = entry
	}
	if len(entry.counts) < maxTimeouts || entry.counts[asked.TimeLeft] > 0 {
		entry.counts[asked.TimeLeft]++
	}
	if entry.counts[asked.TimeLeft] >= commonAfter {
		entry.longest = max(entry.longest, asked.TimeLeft)
		return false
	}
	elapsed := entry.longest - asked.TimeLeft
	return elapsed > time.Duration(maxElapsedFraction*float64(asked.Route.Objective))
}

// recentlyRefused reports whether a request of the tenant that may be on time was refused within refusalWindow.
func (r *retryTracker) recentlyRefused(tenant ident.Tenant, now time.Time) bool {
	refused, known := r.refusedAt[tenant]
	return known && now.Sub(refused) < refusalWindow
}

// recordRefusal records that a request was refused that may have been a first attempt.
func (r *retryTracker) recordRefusal(tenant ident.Tenant, now time.Time) {
	if r.refusedAt == nil {
		r.refusedAt = map[ident.Tenant]time.Time{}
	}
	r.refusedAt[tenant] = now
}
