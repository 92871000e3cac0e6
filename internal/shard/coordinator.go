package shard

import "time"

// StoreRequest asks the host to read, or to compare and swap, the shard's replica set in the key-value service.
type StoreRequest struct {
	// Swap is nil for a read.
	Swap *Configuration
	// Revision is what the swap compares with; zero means that nothing is stored yet.
	Revision int64
}

// StoreOutcome is the end of a StoreRequest.
type StoreOutcome uint8

// The outcomes.
const (
	// StoreDone means a read brought Configuration at Revision (zero if nothing is stored), or a swap took effect at
	// Revision.
	StoreDone StoreOutcome = iota
	// StoreConflict means a swap was refused, as another one came first.
	StoreConflict
	// StoreFailed means nothing happened.
	StoreFailed
	// StoreUnknown means a swap may have taken effect.
	StoreUnknown
)

// StoreResult is the answer to a StoreRequest.
type StoreResult struct {
	Outcome       StoreOutcome
	Configuration Configuration
	Revision      int64
}

// Bounds of the wait between requests that fail or change nothing.
const (
	storeBackoffFirst = 500 * time.Millisecond
	storeBackoffLast  = 10 * time.Second
)

// Coordinator changes the replica set of one shard through the key-value service. It reads before it writes, writes
// only when the plan calls for a change, and resolves a lost answer by reading back. It is pure like Core.
type Coordinator struct {
	settings PlanSettings
	seed     uint64

	stored   Configuration
	revision int64
	// fresh means that the stored set was read for the plan at hand.
	fresh bool
	// attempted is the set of the last swap until its outcome is known.
	attempted *Configuration
	busy      bool
	due       time.Duration
	failures  int
}

// NewCoordinator returns a coordinator that knows nothing of the key-value service yet.
func NewCoordinator(settings PlanSettings, seed uint64) *Coordinator {
	return &Coordinator{settings: settings, seed: seed}
}

// Observe takes a stored replica set, from a watch or a read.
func (k *Coordinator) Observe(configuration Configuration, revision int64) {
	if revision > k.revision {
		k.stored = configuration.normalise()
		k.revision = revision
		k.fresh = false
	}
}

// Tick returns the next request to the key-value service, if one is due. One request is out at a time.
func (k *Coordinator) Tick(now time.Duration, status Status, world World) (StoreRequest, bool) {
	if k.busy || now < k.due {
		return StoreRequest{}, false
	}
	if k.attempted != nil {
		return k.start(StoreRequest{}), true
	}
	next, due := PlanSet(status, world, k.settings)
	if !due {
		k.fresh = false
		return StoreRequest{}, false
	}
	if !k.fresh {
		return k.start(StoreRequest{}), true
	}
	k.fresh = false
	if !k.stored.Equal(status.Configuration) {
		// The replica has not adopted the stored set yet, or its set was never stored: plan again after that.
		k.wait(now)
		return StoreRequest{}, false
	}
	k.attempted = &next
	return k.start(StoreRequest{Swap: &next, Revision: k.revision}), true
}

func (k *Coordinator) start(request StoreRequest) StoreRequest {
	k.busy = true
	return request
}

// Result takes the outcome of the last request. It returns a stored set for the replica to adopt, if one became known,
// and whether this replica wrote it and should campaign.
func (k *Coordinator) Result(now time.Duration, request StoreRequest, result StoreResult) (*Configuration, bool) {
	k.busy = false
	if request.Swap != nil {
		return k.swapResult(now, *request.Swap, result)
	}
	if result.Outcome != StoreDone {
		k.wait(now)
		return nil, false
	}
	k.Observe(result.Configuration, result.Revision)
	k.fresh = true
	attempted := k.attempted
	k.attempted = nil
	if k.revision == 0 {
		return nil, false
	}
	stored := k.stored
	// The same bytes at the next epoch have the same effect, whoever wrote them: the lost answer was a success.
	won := attempted != nil && stored.Equal(*attempted)
	if won {
		k.failures = 0
	} else if attempted != nil {
		k.wait(now)
	} else {
		// The service answers: what failed before was an outage.
		k.failures = 0
	}
	return &stored, won
}

func (k *Coordinator) swapResult(now time.Duration, swap Configuration, result StoreResult) (*Configuration, bool) {
	switch result.Outcome {
	case StoreDone:
		k.attempted = nil
		k.failures = 0
		k.Observe(swap, result.Revision)
		return &swap, true
	case StoreUnknown:
		// Stays attempted: the next request reads back.
		k.wait(now)
	default:
		k.attempted = nil
		k.wait(now)
	}
	return nil, false
}

// wait backs off exponentially, a little differently on each replica.
func (k *Coordinator) wait(now time.Duration) {
	delay := min(storeBackoffFirst<<min(k.failures, 10), storeBackoffLast)
	k.failures++
	spread := mix(k.seed+uint64(k.failures)) % uint64(delay/2+1)
	k.due = now + delay + time.Duration(spread)
}
