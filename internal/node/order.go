package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/policy"
)

// jobOrder orders waiting jobs by the policies of their services.
type jobOrder struct {
	source catalog.Source
	logger zerolog.Logger

	mutex sync.Mutex
	cache *policy.Cache
}

func newJobOrder(source catalog.Source, logger zerolog.Logger) *jobOrder {
	return &jobOrder{source: source, logger: logger, cache: policy.NewCache()}
}

// rankedJob is a waiting job with its place by policy.
type rankedJob struct {
	priority job.Priority
	rank     float64
}

// order returns the jobs, most urgent first. Jobs of different services are compared by what their own policies give.
func (o *jobOrder) order(now time.Time, waiting []job.Priority) []job.Priority {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	snapshot := o.source.Current()
	ranked := make([]rankedJob, 0, len(waiting))
	for service, jobs := range byService(waiting) {
		ranked = append(ranked, o.rank(snapshot, service, jobs, now)...)
	}
	return sorted(ranked)
}

func byService(waiting []job.Priority) map[string][]job.Priority {
	groups := map[string][]job.Priority{}
	for _, priority := range waiting {
		groups[priority.Service] = append(groups[priority.Service], priority)
	}
	return groups
}

func (o *jobOrder) rank(snapshot *catalog.Snapshot, service string, jobs []job.Priority, now time.Time) []rankedJob {
	compiled, err := o.cache.ForService(snapshot, service)
	if err != nil {
		event.PolicyNotCompiling.Log(o.logger).Str("service", service).Err(err).Send()
	}
	works := make([]policy.Work, len(jobs))
	for index, waiting := range jobs {
		works[index] = workOf(waiting, now)
	}
	priorities, err := compiled.Priorities(works)
	if err != nil {
		event.PolicyFailed.Log(o.logger).Str("service", service).Err(err).Send()
	}
	ranked := make([]rankedJob, len(jobs))
	for index, waiting := range jobs {
		ranked[index] = rankedJob{priority: waiting, rank: priorities[index]}
	}
	return ranked
}

func workOf(waiting job.Priority, now time.Time) policy.Work {
	return policy.Work{
		Tenant:        waiting.Tenant,
		Service:       waiting.Service,
		Age:           now.Sub(waiting.Created),
		UntilDeadline: waiting.Deadline.Sub(now),
		WaitingItems:  waiting.Waiting,
		TenantShare:   1,
	}
}

func sorted(ranked []rankedJob) []job.Priority {
	slices.SortFunc(ranked, func(first, second rankedJob) int {
		return cmp.Or(
			cmp.Compare(second.rank, first.rank),
			first.priority.Deadline.Compare(second.priority.Deadline),
			first.priority.Created.Compare(second.priority.Created),
			cmp.Compare(first.priority.Job, second.priority.Job),
		)
	})
	jobs := make([]job.Priority, len(ranked))
	for index, entry := range ranked {
		jobs[index] = entry.priority
	}
	return jobs
}
