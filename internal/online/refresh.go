package online

import (
	"context"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Owners queries the owners of runners for their current state: how slow each runner is, and how much work all nodes have
// there. The calls end with the context.
type Owners interface {
	// QueryZone queries the owners in this node's zone whose last report is older than a given age.
	QueryZone(ctx context.Context, maxAge time.Duration)
	// Query queries, all at once, those owners of the given runners whose last report is older than a given age. It reports
	// whether any was queried.
	Query(ctx context.Context, runners []work.Runner, maxAge time.Duration) bool
}

const (
	// maxZoneAge is the age of an owner's report above which owners in this node's zone are queried before a choice. A slow
	// phase of a runner lasts some hundred milliseconds, and the first node notices it within some ten of its start.
	maxZoneAge = 100 * time.Millisecond
	// maxCandidateAge is the same limit for the owners of the runners that would be chosen. At peak load many nodes see the
	// same runner as the best one, and a report of 30 ms or older does not include the requests that chose it since.
	maxCandidateAge = 20 * time.Millisecond
	// maxCandidates limits the runners whose owners are queried, maxRounds the repetitions: the answers may show that other
	// runners, whose reports are as old, are better. Candidates beyond the first have another owner if the node's own zone is
	// full and the other zones have not been queried for long.
	maxCandidates, maxRounds = 3, 2
	// refreshTimeout limits how long a request waits for these queries: a few round trips between zones, and little beside an
	// objective of 300 ms. After that the choice uses the state that is known.
	refreshTimeout = 20 * time.Millisecond
)

// refreshRunners updates this node's view of how slow and how full the candidate runners are, if runners report their pace. It
// returns the criteria for the choice itself.
func (f *Forwarder) refreshRunners(ctx context.Context, request runnertable.PickRequest, seed uint64) runnertable.PickRequest {
	if f.Owners == nil || !f.Runners.ReportsPace(request.Service, f.Now()) {
		return request
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	f.Owners.QueryZone(ctx, maxZoneAge)
	for range maxRounds {
		candidates := f.Runners.Candidates(request, maxCandidates, f.Now(), newRandom(seed))
		if !f.Owners.Query(ctx, f.runnersToRefresh(candidates), maxCandidateAge) {
			break
		}
	}
	request.OwnersPolled = true
	return request
}

// runnersToRefresh returns the runners whose owners are queried: only the best one if it is in this node's zone, since the
// state known of the zone's other runners is recent enough, and all candidates otherwise.
func (f *Forwarder) runnersToRefresh(candidates []work.Runner) []work.Runner {
	if len(candidates) > 0 && candidates[0].Zone == f.Runners.Zone() {
		return candidates[:1]
	}
	return candidates
}

// newRandom returns a random source for one choice. With the same seed, a repeated choice differs only by the state known.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
