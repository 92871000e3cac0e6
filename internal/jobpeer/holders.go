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
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/queueroom"
	"mallowlatch.example/mallowlatch/internal/reach"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// callSlack bounds a call beyond its wait.
	callSlack = 350 * time.Millisecond
	// lookupTimeout bounds the reading of the workers from the records.
	lookupTimeout = 500 * time.Millisecond
	// workersKept is how long the list of workers is used before it is read again.
	workersKept = 20 * time.Second
	// noWorkersKept is how long an empty list is: workers that start with this node register a moment later.
	noWorkersKept = time.Second
	// avoidFor is how long a worker that did not answer is left alone.
	avoidFor = 1500 * time.Millisecond
	// unheldFor is how long a job that no worker held is read from the records without asking again.
	unheldFor = 600 * time.Millisecond
	// cachedJobs bounds the jobs of which something is remembered.
	cachedJobs = 512
)

// Holders reads from the memory of the workers that hold the jobs. It is safe for concurrent use.
type Holders struct {
	Records *jobrecord.Records
	// Zone is the node's own: its workers are asked first.
	Zone ident.Zone
	// Connect returns a connection to an address.
	Connect func(address string) (drpc.Conn, error)
	// Copies is the number of workers that must have a job on disk before it is acknowledged without the store.
	Copies int
	// Seeds are addresses of workers that are asked before any is known, SeedsFor how long that is tried before the records are
	// read: each process that starts would read them otherwise.
	Seeds    []string
	SeedsFor time.Duration
	// Heard is told whether workers answer; nil is not.
	Heard *reach.Watch
	Now   func() time.Time

	mutex sync.Mutex
	// began is when a worker was first wanted.
	began time.Time
	// workers are those that run batch jobs, in the order in which they are asked.
	workers asof.Fact[[]jobrecord.Worker]
	// read is when they were last read, or tried to be, put back where they are to be read sooner.
	read    time.Time
	jobs    map[ident.Job]whereabouts
	avoided map[string]time.Time
	// unlimited is until when a worker counts as one that keeps no account of tenants' requests, by address.
	unlimited map[string]time.Time
	// batches is what workers told of their batch work, by address.
	batches map[string]asof.Fact[demand.Batch]
	// roster are the workers that may keep accounts.
	roster queueroom.Roster
	// keepersSeen is when each worker was last known, by address.
	keepersSeen map[string]time.Time
}

// whereabouts is what is remembered of a job: the address of its holder, or since when none was found.
type whereabouts struct {
	address string
	unheld  time.Time
}

// Results reads the results of a job from its holder. sure is false where no holder answered for certain.
func (h *Holders) Results(ctx context.Context, job ident.Job, from int, wait time.Duration) (held work.Held, sure bool) {
	query := &Query{Job: job, From: from, WaitMs: wait.Milliseconds()}
	candidates := h.candidates(ctx, job)
	if len(candidates) == 0 {
		// Nobody was asked, so that nothing new is known: the time without a holder must not begin anew.
		return work.Held{}, false
	}
	for _, address := range candidates {
		reply := &Reply{}
		if h.ask(ctx, address, methodResults, query, reply, wait) && reply.Sure {
			h.remember(job, whereabouts{address: address})
			return work.Held{Tenant: reply.Tenant, Total: reply.Total, Results: reply.Results}, true
		}
	}
	h.remember(job, whereabouts{unheld: h.Now()})
	return work.Held{}, false
}

// Body reads the body of an item, and whose it is, from the worker that holds its job.
func (h *Holders) Body(ctx context.Context, job ident.Job, item ident.Request) (body []byte, tenant ident.Tenant, found bool) {
	for _, address := range h.candidates(ctx, job) {
		reply := &BodyReply{}
		if h.ask(ctx, address, methodBody, &BodyQuery{Job: job, Item: item}, reply, 0) && reply.Found {
			return reply.Body, reply.Tenant, true
		}
	}
	return nil, "", false
}

// Nearest returns a connection to a worker of the node's zone, or of another where the zone has none that answers.
// index chooses among those of the zone, so that nodes spread over them.
func (h *Holders) Nearest(ctx context.Context, index uint64) (string, drpc.Conn, error) {
	h.readWorkers(ctx)
	address, found := h.nearest(index)
	if !found {
		return "", nil, ErrNoWorker
	}
	connection, err := h.Connect(address)
	return address, connection, err
}

// ErrNoWorker means that no worker is known that answers.
const ErrNoWorker = failure.Kind("job peer: no worker is known that answers")

func (h *Holders) nearest(index uint64) (string, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var near, far []string
	for _, worker := range h.workers.Value() {
		switch {
		case h.Now().Before(h.avoided[worker.Address]):
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
		near = h.Seeds
	}
	if len(near) == 0 {
		return "", false
	}
	return near[index%uint64(len(near))], true
}

// ask makes one call. A worker that does not answer is left alone for a while.
func (h *Holders) ask(ctx context.Context, address, method string, query, reply any, wait time.Duration) bool {
	call, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	connection, err := h.Connect(address)
	if err == nil {
		err = connection.Invoke(call, method, jsoncall.Encoding{}, query, reply)
	}
	if err == nil {
		h.Heard.Answered()
		return true
	}
	if ctx.Err() == nil {
		h.Heard.Failed(h.Now())
		h.avoid(address)
	}
	return false
}

// candidates returns the addresses to ask: the holder that answered last, or else all workers, those of the zone first.
func (h *Holders) candidates(ctx context.Context, job ident.Job) []string {
	h.readWorkers(ctx)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	known := h.jobs[job]
	if known.address != "" && !now.Before(h.avoided[known.address]) {
		return []string{known.address}
	}
	if now.Sub(known.unheld) < unheldFor {
		return nil
	}
	var addresses []string
	for _, worker := range h.workers.Value() {
		if !now.Before(h.avoided[worker.Address]) {
			addresses = append(addresses, worker.Address)
		}
	}
	return addresses
}

// readWorkers reads the list of workers when it is old.
func (h *Holders) readWorkers(ctx context.Context) {
	h.mutex.Lock()
	now := h.Now()
	kept := workersKept
	if len(h.workers.Value()) == 0 {
		kept = noWorkersKept
	}
	if h.began.IsZero() {
		h.began = now
	}
	fresh := h.asksSeeds(now) || !h.read.IsZero() && now.Sub(h.read) < kept
	if !fresh {
		h.read = now
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
	h.Learn(workers, began)
}

// asksSeeds says whether this node has just started and knows no worker but the seeds. The caller holds the mutex.
func (h *Holders) asksSeeds(now time.Time) bool {
	return len(h.Seeds) > 0 && len(h.workers.Value()) == 0 && now.Sub(h.began) < h.SeedsFor
}

// Learn takes over a list of the workers that was read here or by another node, as of a moment. An older one than is known is
// passed over.
func (h *Holders) Learn(workers []jobrecord.Worker, asOf time.Time) {
	slices.SortFunc(workers, func(first, second jobrecord.Worker) int { return cmp.Compare(first.Node, second.Node) })
	slices.SortStableFunc(workers, h.nearFirst)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.workers.Renew(workers, asOf) {
		return
	}
	h.read = h.Now()
	h.rememberKeepers(workers)
	registered := make([]queueroom.Worker, 0, len(workers))
	for _, worker := range workers {
		registered = append(registered, queueroom.Worker{Node: worker.Node, Zone: worker.Zone, Address: worker.Address})
	}
	h.roster.Note(registered, h.Now())
}

func (h *Holders) nearFirst(first, second jobrecord.Worker) int {
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

func (h *Holders) remember(job ident.Job, where whereabouts) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.jobs == nil {
		h.jobs = map[ident.Job]whereabouts{}
	}
	if len(h.jobs) >= cachedJobs {
		for id := range h.jobs {
			delete(h.jobs, id)
			break
		}
	}
	h.jobs[job] = where
}

// avoid leaves a worker alone for a while, and has the list of workers read again soon. Seeds that start at the same moment as
// this node are asked again at once.
func (h *Holders) avoid(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.Now()
	if h.asksSeeds(now) {
		return
	}
	if h.avoided == nil {
		h.avoided = map[string]time.Time{}
	}
	h.avoided[address] = now.Add(avoidFor)
	h.read = now.Add(avoidFor - workersKept)
}
