package jobpeer

import (
	"context"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/poisonwatch"
)

// Nodes share records of poison requests (requests that end their runners) without the store. A front sends its records to two
// workers, and each of them forwards the records to all other workers. Every node receives them in the answers of the workers
// that it reports its online work to, at least twice a second. A worker that was partitioned or has just started reads the
// records it lacks from three other workers each second.
const (
	// endsBatchDelay is how long new records are collected before they are sent: when a runner ends, its answers break off at
	// several nodes within about ten milliseconds.
	endsBatchDelay = 50 * time.Millisecond
	// endsFanOut is the number of workers that a front sends its records to. One of them may stop before it has forwarded
	// them.
	endsFanOut = 2
	// endsCallTimeout is the timeout of one call, endsRetryDelay the delay before a retry if no worker answered.
	endsCallTimeout = 300 * time.Millisecond
	endsRetryDelay  = 200 * time.Millisecond
	// endsReadInterval is the interval between reads from endsReadPeers other workers. Some of those may be dead, others may have
	// been in the same partition: with one read per interval, two of six workers still knew nothing three seconds after their
	// partition had healed.
	endsReadInterval = time.Second
	endsReadPeers    = 3
)

// SendPoisonRecords sends this node's records of poison requests to workers until the tomb dies.
func (h *WorkerClient) SendPoisonRecords(parent *tomb.Tomb, watch *poisonwatch.Watch) {
	parent.Go(func() error {
		ctx := parent.Context(context.Background())
		for turn := 0; ; {
			select {
			case <-parent.Dying():
				return nil
			case <-watch.Book.Unsent():
			}
			if !sleep(parent, endsBatchDelay) {
				return nil
			}
			records := watch.Book.TakeUnsent(h.Now())
			if len(records) == 0 || h.sendEnds(ctx, records, turn) {
				continue
			}
			turn++
			watch.Book.PutBack(records)
			if !sleep(parent, endsRetryDelay) {
				return nil
			}
		}
	})
}

// sendEnds sends records to up to endsFanOut workers and reports whether at least one accepted them.
func (h *WorkerClient) sendEnds(ctx context.Context, records []poison.Record, turn int) bool {
	request := &EndsRequest{Records: records, PassOn: true}
	accepted := 0
	for _, address := range h.endsTargets(turn) {
		if h.ask(ctx, address, methodEnds, request, &EndsReply{}, 0) {
			accepted++
		}
		if accepted == endsFanOut {
			break
		}
	}
	return accepted > 0
}

// endsTargets returns the addresses to send to in order: this zone's workers first, rotated by turn. It returns the seeds if
// no worker can be called.
func (h *WorkerClient) endsTargets(turn int) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var targets []string
	for _, worker := range h.workers.Value() {
		if !h.Now().Before(h.skippedUntil[worker.Address]) {
			targets = append(targets, worker.Address)
		}
	}
	if len(targets) == 0 {
		targets = slices.Clone(h.Seeds)
	}
	if len(targets) > 0 {
		turn %= len(targets)
		targets = slices.Concat(targets[turn:], targets[:turn])
	}
	return targets
}

// PoisonRecordSync sends a worker's records of poison requests to all other workers and reads the records that it lacks.
type PoisonRecordSync struct {
	Node  ident.Node
	Watch *poisonwatch.Watch
	// Workers returns the most recently read list of all workers.
	Workers func() []jobrecord.Worker
	Peers   *Peers

	// read is the position up to which each worker's records were read, by address; turn selects the workers to read from
	// next. Only the loop in Start uses them.
	read map[string]poison.Cursor
	turn int
}

// Start sends and reads records until the tomb dies.
func (e *PoisonRecordSync) Start(parent *tomb.Tomb) {
	e.read = map[string]poison.Cursor{}
	parent.Go(func() error {
		ctx := parent.Context(context.Background())
		timer := time.NewTimer(endsReadInterval)
		defer timer.Stop()
		for {
			select {
			case <-parent.Dying():
				return nil
			case <-e.Watch.Book.Unsent():
				if !sleep(parent, endsBatchDelay) {
					return nil
				}
				e.sendToAll(ctx)
			case <-timer.C:
				e.readOthers(ctx)
				timer.Reset(endsReadInterval)
			}
		}
	})
}

// sendToAll sends new records to all other workers. A worker that does not answer reads them later in readOthers.
func (e *PoisonRecordSync) sendToAll(ctx context.Context) {
	records := e.Watch.Book.TakeUnsent(e.Peers.Now())
	if len(records) == 0 {
		return
	}
	request := &EndsRequest{Records: records}
	var calls sync.WaitGroup
	for _, address := range e.others() {
		calls.Go(func() { _, _ = e.call(ctx, address, request) })
	}
	calls.Wait()
}

// readOthers reads the records that this worker lacks from the next endsReadPeers other workers.
func (e *PoisonRecordSync) readOthers(ctx context.Context) {
	others := e.others()
	var calls sync.WaitGroup
	replies := make([]*EndsReply, min(endsReadPeers, len(others)))
	addresses := make([]string, len(replies))
	for index := range replies {
		addresses[index] = others[(e.turn+index)%len(others)]
		cursor := e.read[addresses[index]]
		calls.Go(func() { replies[index], _ = e.call(ctx, addresses[index], &EndsRequest{Read: &cursor}) })
	}
	calls.Wait()
	e.turn += len(replies)
	for index, reply := range replies {
		if reply != nil {
			e.read[addresses[index]] = reply.News.After(e.read[addresses[index]])
			e.Watch.ApplyRecords(reply.News.Records, false)
		}
	}
}

func (e *PoisonRecordSync) call(ctx context.Context, address string, request *EndsRequest) (*EndsReply, error) {
	call, cancel := context.WithTimeout(ctx, endsCallTimeout)
	defer cancel()
	reply := &EndsReply{}
	if err := e.Peers.call(call, address, methodEnds, request, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// others returns the sorted addresses of the other workers.
func (e *PoisonRecordSync) others() []string {
	var others []string
	for _, worker := range e.Workers() {
		if worker.Node != e.Node {
			others = append(others, worker.Address)
		}
	}
	slices.Sort(others)
	return others
}

// sleep waits for the given time. It returns false if the tomb starts to die first.
func sleep(parent *tomb.Tomb, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-parent.Dying():
		return false
	}
}
