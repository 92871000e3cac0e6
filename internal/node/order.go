package node

import (
	"cmp"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/policy"
	"mallowlatch.example/mallowlatch/internal/policy/live"
)

// jobOrder orders waiting jobs by the policies of their services and leaves out those that have to wait.
type jobOrder struct {
	source   catalog.Source
	policies *live.Evaluator
	cutOff   *cutOffWatch
	// running returns the batch items that run now on this node's runners, by tenant.
	running func() map[ident.Tenant]int
}

// rankedJob is a waiting job with its priority by policy.
type rankedJob struct {
	waiting  job.Priority
	priority float64
}

// order returns the jobs, most urgent first. Jobs of different services are compared by what their own policies give.
func (o *jobOrder) order(now time.Time, waiting []job.Priority) []job.Priority {
	shares := tenantShares(o.source.Current(), o.running())
	var ranked []rankedJob
	for service, jobs := range byService(waiting) {
		if o.cutOff.refusesBatch(service, now) {
			continue
		}
		ranked = append(ranked, o.rank(service, jobs, shares, now)...)
	}
	return sorted(ranked)
}

func byService(waiting []job.Priority) map[string][]job.Priority {
	groups := map[string][]job.Priority{}
	for _, one := range waiting {
		groups[one.Service] = append(groups[one.Service], one)
	}
	return groups
}

func (o *jobOrder) rank(service string, jobs []job.Priority, shares map[ident.Tenant]float64, now time.Time) []rankedJob {
	works := make([]policy.Work, len(jobs))
	for index, waiting := range jobs {
		works[index] = workOf(waiting, shares[waiting.Tenant], now)
	}
	priorities := o.policies.Priorities(service, works)
	ranked := make([]rankedJob, len(jobs))
	for index, waiting := range jobs {
		ranked[index] = rankedJob{waiting: waiting, priority: priorities[index]}
	}
	return ranked
}

func workOf(waiting job.Priority, share float64, now time.Time) policy.Work {
	return policy.Work{
		Tenant:        waiting.Tenant,
		Service:       waiting.Service,
		Age:           now.Sub(waiting.Created),
		UntilDeadline: waiting.Deadline.Sub(now),
		WaitingItems:  waiting.Waiting,
		TenantShare:   share,
	}
}

// tenantShares returns each tenant's part of the running items divided by its fair part by weight among the tenants that
// run any. A tenant without running items has no entry: its share is zero.
func tenantShares(snapshot *catalog.Snapshot, running map[ident.Tenant]int) map[ident.Tenant]float64 {
	var items, weights float64
	for tenant, count := range running {
		items += float64(count)
		weights += weightOf(snapshot, tenant)
	}
	shares := make(map[ident.Tenant]float64, len(running))
	for tenant, count := range running {
		fair := weightOf(snapshot, tenant) / weights
		shares[tenant] = float64(count) / items / fair
	}
	return shares
}

// weightOf returns a tenant's weight; a tenant that is gone or has none counts as one.
func weightOf(snapshot *catalog.Snapshot, tenant ident.Tenant) float64 {
	if weight := snapshot.Tenants[tenant].Weight; weight > 0 {
		return weight
	}
	return 1
}

func sorted(ranked []rankedJob) []job.Priority {
	slices.SortFunc(ranked, func(first, second rankedJob) int {
		return cmp.Or(
			cmp.Compare(second.priority, first.priority),
			first.waiting.Deadline.Compare(second.waiting.Deadline),
			first.waiting.Created.Compare(second.waiting.Created),
			cmp.Compare(first.waiting.Job, second.waiting.Job),
		)
	})
	jobs := make([]job.Priority, len(ranked))
	for index, entry := range ranked {
		jobs[index] = entry.waiting
	}
	return jobs
}
