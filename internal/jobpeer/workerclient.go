package jobpeer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/asof"
	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/queuecapacity"
	"mallowlatch.example/mallowlatch/internal/reachability"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// callSlack is the time allowed for a call in addition to the wait that it requests.
	callSlack = 350 * time.Millisecond
	// lookupTimeout is the timeout for reading the list of workers from the records.
	lookupTimeout = 500 * time.Millisecond
	// workerListTTL is how long the list of workers is used before it is read again.
	workerListTTL = 20 * time.Second
	// emptyWorkerListTTL is how long an empty list is used: workers that start together with this node register a moment later.
	emptyWorkerListTTL = time.Second
	// skipDuration is the backoff after a worker did not answer: it is not called during this time.
	skipDuration = 1500 * time.Millisecond
	// noHolderTTL is how long a job without a known holder is read from the records before workers are asked again.
	noHolderTTL = 600 * time.Millisecond
	// maxSeedHold is how much longer than usual a starting node waits for seeds that answer and know nothing yet.
	maxSeedHold = 3 * time.Second
	// startAnswerTTL is how long an answer shows that other nodes answer: longer than a worker without news holds a call.
	startAnswerTTL = 1500 * time.Millisecond
	// maxCachedJobs is the capacity of the cache of job locations.
	maxCachedJobs = 512
)

// WorkerClient calls workers on behalf of a node: it reads jobs from the memory of the workers that hold them, has workers store
// and run jobs, and reports demand and quota use. It is safe for concurrent use.
type WorkerClient struct {
	Records *jobrecord.Records
	// Zone is this node's zone; its workers are called first.
	Zone    ident.Zone
	Connect func(address string) (drpc.Conn, error)
	// Copies is the number of workers that must have a job on disk before it is acknowledged without the store.
	Copies int
	// Seeds are the addresses of workers to call while no worker is known. SeedsFor limits how long they are tried before the
	// list is read from the records: otherwise every starting process would read it.
	Seeds    []string
	SeedsFor time.Duration
	// Reach records whether workers answer; nil records nothing.
	Reach *reachability.Watch
	Now   func() time.Time

	mutex sync.Mutex
	// began is when this node first needed a worker, seedsUntil until when it waits for the seeds to name workers.
	began, seedsUntil time.Time
	// answered is when a worker last answered this node's call for its state or for the names of workers.
	answered time.Time
	// workers are the workers that run batch jobs, in the order in which they are called.
	workers asof.Fact[[]jobrecord.Worker]
	// zones are the zones of the workers, by address.
	zones map[string]ident.Zone
	// startWorkers are the addresses of workers that a seed named, to be asked while no worker is known for certain. startNamed
	// means that a seed has named the workers, whether there are enough of them to ask them in place of the seeds or not.
	startWorkers []string
	startNamed   bool
	// workersRead is when the list of workers was last read, successfully or not. It is set back to have the list read again sooner.
	workersRead  time.Time
	jobs         map[ident.Job]jobLocation
	skippedUntil map[string]time.Time
	// quotaUnsupported is the time until which a worker counts as one that does not support quotas, by address.
	quotaUnsupported map[string]time.Time
	// batches are the workers' reports about their batch work, by address.
	batches map[string]asof.Fact[demand.Batch]
	// roster are the workers that may hold queue accounts.
	roster queuecapacity.Roster
	// lastRegistered is when each worker was last registered, by address.
	lastRegistered map[string]time.Time
}

// jobLocation is the cached location of a job: the address of its holder, or when none was found.
type jobLocation struct {
	address       string
	noHolderSince time.Time
}

// Results reads the results of a job from its holder. sure is false if no holder gave a definite answer.
func (h *WorkerClient) Results(ctx context.Context, job ident.Job, from int, wait time.Duration) (held work.Held, sure bool) {
	query := &ResultsQuery{Job: job, From: from, WaitMs: wait.Milliseconds()}
	candidates := h.candidates(ctx, job)
	if len(candidates) == 0 {
		// No worker was called, so nothing new is known: the period without a holder must not restart.
		return work.Held{}, false
	}
	search := &holderSearch{left: candidates}
	for address, more := search.next(); more; address, more = search.next() {
		reply := &ResultsReply{}
		if h.skips(address) || !h.ask(ctx, address, methodResults, query, reply, wait) {
			continue
		}
		if reply.Sure {
			h.cacheLocation(job, jobLocation{address: address})
			return work.Held{Tenant: reply.Tenant, Total: reply.Total, Results: reply.Results}, true
		}
		search.applyUnsure(reply)
	}
	h.cacheLocation(job, jobLocation{noHolderSince: h.Now()})
	return work.Held{}, false
}

// Body reads the body of an item, and the tenant of its job, from the worker that holds the job.
func (h *WorkerClient) Body(ctx context.Context, job ident.Job, item ident.Request) (body []byte, tenant ident.Tenant, found bool) {
	for _, address := range h.candidates(ctx, job) {
		reply := &BodyReply{}
		if h.ask(ctx, address, methodBody, &BodyQuery{Job: job, Item: item}, reply, 0) && reply.Found {
			return reply.Body, reply.Tenant, true
		}
	}
	return nil, "", false
}

// Nearest returns a connection to a worker of this node's zone, or of another zone if no worker of this one can be called.
// index selects among the candidates, so that nodes spread over them.
func (h *WorkerClient) Nearest(ctx context.Context, index uint64) (string, drpc.Conn, error) {
	h.readWorkers(ctx)
	address, found := h.nearest(index)
	if !found {
		return "", nil, ErrNoWorker
	}
	connection, err := h.Connect(address)
	return address, connection, err
}

// ErrNoWorker means that no known worker answers.
const ErrNoWorker = failure.Kind("job peer: no known worker answers")

func (h *WorkerClient) nearest(index uint64) (string, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var near, far []string
	for _, worker := range h.workers.Value() {
		switch {
		case h.Now().Before(h.skippedUntil[worker.Address]):
		case worker.Zone == h.Zone:
			near = append(near, worker.Address)
		default:
			far = append(far, worker.Address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 && len(h.workers.Value()) == 0 {
		near = h.startWorkers
	}
	if len(near) == 0 && len(h.workers.Value()) == 0 {
		near = h.Seeds
	}
	if len(near) == 0 {
		return "", false
	}
	return near[index%uint64(len(near))], true
}

// ask makes one call. A worker that does not answer is skipped for skipDuration.
func (h *WorkerClient) ask(ctx context.Context, address, method string, query, reply any, wait time.Duration) bool {
	call, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	connection, err := h.Connect(address)
	if err == nil {
		err = connection.Invoke(call, method, jsoncall.Encoding{}, query, reply)
	}
	if err == nil {
		h.Reach.Answered()
		return true
	}
	switch {
	case isUnknownCall(err):
		// The worker answers; its build is older.
	case ctx.Err() == nil:
		h.Reach.Failed(h.Now())
		h.skip(address)
	}
	return false
}

// candidates returns the addresses to call: the holder that answered last, or else all workers, with those of this zone first.
func (h *WorkerClient) candidates(ctx context.Context, job ident.Job) []string {
	h.readWorkers(ctx)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	known := h.jobs[job]
	if known.address != "" && !now.Before(h.skippedUntil[known.address]) {
		return []string{known.address}
	}
	if now.Sub(known.noHolderSince) < noHolderTTL {
		return nil
	}
	var addresses []string
	for _, worker := range h.workers.Value() {
		if !now.Before(h.skippedUntil[worker.Address]) {
			addresses = append(addresses, worker.Address)
		}
	}
	return addresses
}

// readWorkers reads the list of workers if the current one is too old.
func (h *WorkerClient) readWorkers(ctx context.Context) {
	h.mutex.Lock()
	now := h.Now()
	ttl := workerListTTL
	if len(h.workers.Value()) == 0 {
		ttl = emptyWorkerListTTL
	}
	if h.began.IsZero() {
		h.began, h.seedsUntil = now, now.Add(h.SeedsFor)
	}
	fresh := h.usesSeeds(now) || !h.workersRead.IsZero() && now.Sub(h.workersRead) < ttl
	if !fresh {
		h.workersRead = now
	}
	h.mutex.Unlock()
	if fresh {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	began := h.Now()
	workers, err := h.Records.Workers(ctx)
	if err != nil {
		return
	}
	h.UpdateWorkers(workers, began)
}

// usesSeeds reports whether this node has just started and knows no worker but the seeds. The caller holds the mutex.
func (h *WorkerClient) usesSeeds(now time.Time) bool {
	return len(h.Seeds) > 0 && len(h.workers.Value()) == 0 && (h.began.IsZero() || now.Before(h.seedsUntil))
}

// recordAnswer records that a worker answered this node's call for its state.
func (h *WorkerClient) recordAnswer() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.answered = h.Now()
}

// StartsWithOthers reports whether this node has just started and workers answer it. A worker that knows the fleet tells it with
// its first answer, so that a node that does not know the fleet yet has started together with them.
func (h *WorkerClient) StartsWithOthers() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	if h.began.IsZero() || h.answered.IsZero() {
		return false
	}
	return now.Sub(h.began) < h.SeedsFor+maxSeedHold && now.Sub(h.answered) < startAnswerTTL
}

// lacksStartWorkers reports whether this node starts, knows no worker but the seeds, and no seed has named others.
func (h *WorkerClient) lacksStartWorkers() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.usesSeeds(h.Now()) && !h.startNamed
}

// fetchStartWorkers has a seed name the workers, so that the starting nodes of a large fleet spread over them. index selects the
// seed. The error is that of the connection. A seed that names no worker, or of a build that cannot, is asked for a snapshot like
// one that was named.
func (h *WorkerClient) fetchStartWorkers(ctx context.Context, index uint64) error {
	connection, err := h.Connect(h.Seeds[index%uint64(len(h.Seeds))])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	named, err := fleetfeed.FetchWorkers(ctx, connection)
	if err == nil {
		h.recordAnswer()
		h.recordStartWorkers(named)
	}
	return nil
}

func (h *WorkerClient) recordStartWorkers(named []fleetfeed.Worker) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.startWorkers, h.startNamed = startAddresses(named, h.Zone), len(named) > 0
}

// forgetStartWorkers has a seed name the workers anew before the next call, if one that was named has been asked.
func (h *WorkerClient) forgetStartWorkers() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.startWorkers) > 0 {
		h.startWorkers, h.startNamed = nil, false
	}
}

// minStartWorkers is the least number of named workers of a zone that are asked in place of the seeds: fewer may all be down while
// a seed answers, and the seeds of a small fleet can tell its list to all.
const minStartWorkers = 3

// startAddresses returns the addresses of the workers of a zone, or none if there are too few.
func startAddresses(workers []fleetfeed.Worker, zone ident.Zone) []string {
	var near []string
	for _, worker := range workers {
		if worker.Zone == zone {
			near = append(near, worker.Address)
		}
	}
	if len(near) < minStartWorkers {
		return nil
	}
	return near
}

// seedAnswered makes a starting node wait for the seeds for SeedsFor from now on, because one of them answers and knows nothing
// yet either, but no longer than maxSeedHold more in all.
func (h *WorkerClient) seedAnswered() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	if !h.usesSeeds(now) {
		return
	}
	h.seedsUntil = now.Add(h.SeedsFor)
	if latest := h.began.Add(h.SeedsFor + maxSeedHold); h.seedsUntil.After(latest) {
		h.seedsUntil = latest
	}
}

// UpdateWorkers replaces the list of workers with one that this or another node read, as of the given time. It ignores a list that is
// older than the current one.
func (h *WorkerClient) UpdateWorkers(workers []jobrecord.Worker, asOf time.Time) {
	slices.SortFunc(workers, func(first, second jobrecord.Worker) int { return cmp.Compare(first.Node, second.Node) })
	slices.SortStableFunc(workers, h.nearFirst)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.workers.Renew(workers, asOf) {
		return
	}
	h.workersRead = h.Now()
	h.recordRegistered(workers)
	h.zones = make(map[string]ident.Zone, len(workers))
	registered := make([]queuecapacity.Worker, 0, len(workers))
	for _, worker := range workers {
		h.zones[worker.Address] = worker.Zone
		registered = append(registered, queuecapacity.Worker{Node: worker.Node, Zone: worker.Zone, Address: worker.Address})
	}
	h.roster.Update(registered, h.Now())
}

func (h *WorkerClient) nearFirst(first, second jobrecord.Worker) int {
	switch {
	case first.Zone == second.Zone:
		return 0
	case first.Zone == h.Zone:
		return -1
	case second.Zone == h.Zone:
		return 1
	}
	return 0
}

func (h *WorkerClient) cacheLocation(job ident.Job, location jobLocation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.jobs == nil {
		h.jobs = map[ident.Job]jobLocation{}
	}
	if len(h.jobs) >= maxCachedJobs {
		for id := range h.jobs {
			delete(h.jobs, id)
			break
		}
	}
	h.jobs[job] = location
}

// skip skips a worker for skipDuration and schedules an early read of the list of workers. Seeds are not skipped while this node
// starts: they may be starting at the same time.
func (h *WorkerClient) skip(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	if h.usesSeeds(now) {
		return
	}
	if h.skippedUntil == nil {
		h.skippedUntil = map[string]time.Time{}
	}
	h.skippedUntil[address] = now.Add(skipDuration)
	h.workersRead = now.Add(skipDuration - workerListTTL)
}
