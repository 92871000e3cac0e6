package jobpeer

import (
	"context"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/endwatch"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/poison"
)

// What a node learns of requests that end their runners reaches the others without the store. A node that does not run jobs tells
// two workers, each of them all others, and each node hears of it from the workers that it reports its online work to, twice a
// second at least. A worker that was cut off or has just started reads what it lacks at three others a second.
const (
	// endsGathered is how long news wait for others to be told with: the answers of a runner that ends break off at several nodes
	// within some ten milliseconds.
	endsGathered = 50 * time.Millisecond
	// endsTellers are the workers that a node tells: one may end before it has told the others.
	endsTellers = 2
	// endsTold bounds one call, endsAgain parts two tries to tell where no worker answered.
	endsTold  = 300 * time.Millisecond
	endsAgain = 200 * time.Millisecond
	// endsReadEvery is the time between two readings at endsReadAt other workers. Some may be dead, and others back from the same
	// cut: with one at a time, two of six workers knew nothing three seconds after their return.
	endsReadEvery = time.Second
	endsReadAt    = 3
)

// TellEnds passes on what this node learns of requests that end their runners, until the tomb dies.
func (h *Holders) TellEnds(parent *tomb.Tomb, watch *endwatch.Watch) {
	parent.Go(func() error {
		ctx := parent.Context(context.Background())
		for turn := 0; ; {
			select {
			case <-parent.Dying():
				return nil
			case <-watch.Book.Untold():
			}
			if !sleep(parent, endsGathered) {
				return nil
			}
			records := watch.Book.TakeUntold(h.Now())
			if len(records) == 0 || h.tellEnds(ctx, records, turn) {
				continue
			}
			turn++
			watch.Book.PutBack(records)
			if !sleep(parent, endsAgain) {
				return nil
			}
		}
	})
}

// tellEnds tells some workers, and says whether one of them took it.
func (h *Holders) tellEnds(ctx context.Context, records []poison.Record, turn int) bool {
	request := &EndsRequest{Records: records, PassOn: true}
	told := 0
	for _, address := range h.endsTargets(turn) {
		if h.ask(ctx, address, methodEnds, request, &EndsReply{}, 0) {
			told++
		}
		if told == endsTellers {
			break
		}
	}
	return told > 0
}

// endsTargets returns the workers to be told in their order, those of the zone first and others at each turn.
func (h *Holders) endsTargets(turn int) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var targets []string
	for _, worker := range h.workers.Value() {
		if !h.Now().Before(h.avoided[worker.Address]) {
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

// WorkerEnds tells the other workers what this one learns of requests that end their runners, and reads what it lacks.
type WorkerEnds struct {
	Node  ident.Node
	Watch *endwatch.Watch
	// Workers returns all workers as this one last saw them.
	Workers func() []jobrecord.Worker
	Peers   *Peers

	// read is how far each worker was read, by address; turn chooses those to be read next. Only the loop touches them.
	read map[string]poison.Cursor
	turn int
}

// Start tells and reads until the tomb dies.
func (e *WorkerEnds) Start(parent *tomb.Tomb) {
	e.read = map[string]poison.Cursor{}
	parent.Go(func() error {
		ctx := parent.Context(context.Background())
		timer := time.NewTimer(endsReadEvery)
		defer timer.Stop()
		for {
			select {
			case <-parent.Dying():
				return nil
			case <-e.Watch.Book.Untold():
				if !sleep(parent, endsGathered) {
					return nil
				}
				e.tellAll(ctx)
			case <-timer.C:
				e.readOthers(ctx)
				timer.Reset(endsReadEvery)
			}
		}
	})
}

// tellAll tells all other workers. One that does not answer reads what it lacks once it is back.
func (e *WorkerEnds) tellAll(ctx context.Context) {
	records := e.Watch.Book.TakeUntold(e.Peers.Now())
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

// readOthers reads what this worker lacks at the next of the others.
func (e *WorkerEnds) readOthers(ctx context.Context) {
	others := e.others()
	var calls sync.WaitGroup
	replies := make([]*EndsReply, min(endsReadAt, len(others)))
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
			e.Watch.Learn(reply.News.Records, false)
		}
	}
}

func (e *WorkerEnds) call(ctx context.Context, address string, request *EndsRequest) (*EndsReply, error) {
	call, cancel := context.WithTimeout(ctx, endsTold)
	defer cancel()
	reply := &EndsReply{}
	if err := e.Peers.call(call, address, methodEnds, request, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// others returns the addresses of the other workers, in a fixed order.
func (e *WorkerEnds) others() []string {
	var others []string
	for _, worker := range e.Workers() {
		if worker.Node != e.Node {
			others = append(others, worker.Address)
		}
	}
	slices.Sort(others)
	return others
}

// sleep waits and says whether the process goes on.
func sleep(parent *tomb.Tomb, lasting time.Duration) bool {
	timer := time.NewTimer(lasting)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-parent.Dying():
		return false
	}
}
