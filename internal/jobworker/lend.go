package jobworker

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// Lenders carries the calls between workers that lend places to each other.
type Lenders interface {
	// Borrow asks the worker at an address for places at the runners that it owns.
	Borrow(ctx context.Context, address string, request *lending.Request) (*lending.Reply, error)
	// TakeBack tells the worker at an address that places which it borrowed are needed.
	TakeBack(ctx context.Context, address string, recall lending.Recall) error
}

// takeBackTimeout bounds the telling of a borrower. One that does not hear learns it with its next renewal.
const takeBackTimeout = 300 * time.Millisecond

// Lend answers a worker that asks for places at the runners that this node owns. It gets what the items of this node leave
// free: none while any of them waits.
func (w *Worker) Lend(request *lending.Request) *lending.Reply {
	now := w.Now()
	if w.lent.Renew(request, now) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		for _, want := range request.Wants {
			w.lendPlaces(request.Node, want, now)
		}
	}
	return &lending.Reply{Places: w.lent.To(request.Node)}
}

// lendPlaces lends places one after the other, each at the runner with the most room. The caller holds the mutex.
func (w *Worker) lendPlaces(borrower ident.Node, want lending.Want, now time.Time) {
	if w.wanted == nil {
		w.wanted = map[string]time.Time{}
	}
	w.wanted[want.Service] = now
	if w.draining || w.found.waiting > 0 {
		return
	}
	owned := w.owned(want.Service)
	for range want.Places {
		id, found := w.roomiestOf(owned, nil, now)
		if !found {
			return
		}
		w.lent.Lend(borrower, id, 1)
	}
}

// batchAt returns the batch work at a runner that this node counts: its own items, and the places that it lent. The caller
// holds the mutex.
func (w *Worker) batchAt(id ident.Incarnation, now time.Time) int {
	lent, _ := w.lent.At(id, now)
	return w.Runners.Own(id, runnertable.Batch) + lent
}

// watched returns the services whose runners this node must know the load of: those of its items, and those of which
// places are lent or were asked for a moment ago. The caller holds the mutex.
func (w *Worker) watched(now time.Time) []string {
	services := w.servicesInUse()
	for service, at := range w.wanted {
		if now.Sub(at) > lending.Lifetime && !w.lent.Any(now) {
			delete(w.wanted, service)
			continue
		}
		services = appendNew(services, service)
	}
	return services
}

// yield has batch work step aside at a runner so that online work has its places: places that are lent are taken back first,
// because the owner's own items have the first call on them. The caller holds the mutex.
func (w *Worker) yield(id ident.Incarnation, count int) {
	if count <= 0 {
		return
	}
	orders, taken := w.lent.TakeBack(id, count, w.Now())
	for _, order := range orders {
		w.tomb.Go(func() error { w.takeBack(order); return nil })
	}
	w.cut(id, count-taken)
}

func (w *Worker) takeBack(order lending.Order) {
	if w.Lenders == nil {
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, takeBackTimeout)
	defer cancel()
	if err := w.Lenders.TakeBack(ctx, order.Address, order.Recall); err != nil {
		event.LendingFailed.Log(w.Logger).Str("doing", "taking places back").Str("worker", order.Address).
			Str("runner", string(order.Recall.Runner)).Int("places", order.Recall.Places).Err(err).Send()
	}
}

// owns says whether this node gives out the batch places of a runner. The caller holds the mutex.
func (w *Worker) owns(runner work.Runner) bool { return w.ownerOf(runner) == w.Node }
