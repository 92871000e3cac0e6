package jobworker

import (
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lending"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// Lenders carries the calls between workers that lend slots to each other.
type Lenders interface {
	// Borrow asks the worker at an address for slots at the runners that it owns.
	Borrow(ctx context.Context, address string, request *lending.Request) (*lending.Reply, error)
	// Recall recalls slots that the worker at an address borrowed.
	Recall(ctx context.Context, address string, recall lending.Recall) error
}

// recallTimeout bounds a recall. A borrower that misses it finds out with its next renewal.
const recallTimeout = 300 * time.Millisecond

// Lend answers a worker that asks for slots at the runners that this node owns. It lends the slots that this node's items
// leave free, and none of a service for which any of them waits.
func (w *Worker) Lend(request *lending.Request) *lending.Reply {
	now := w.Now()
	if w.lent.Renew(request, now) {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.updateOrphans(now)
		for _, want := range request.Wants {
			w.lendSlots(request.Node, want, now)
		}
	}
	return &lending.Reply{Slots: w.lent.LentTo(request.Node)}
}

// lendSlots lends slots one at a time, each at the runner with the most free slots. The caller must hold the mutex.
func (w *Worker) lendSlots(borrower ident.Node, want lending.Want, now time.Time) {
	if w.lastWanted == nil {
		w.lastWanted = map[string]time.Time{}
	}
	w.lastWanted[want.Service] = now
	if w.draining || w.found.waitingFor[want.Service] > 0 {
		return
	}
	owned := w.owned(want.Service)
	for range want.Slots {
		id, found := w.pickFrom(owned, runnerSearch{}, now)
		if !found {
			return
		}
		w.lent.Lend(borrower, id, 1)
	}
}

// batchRunsAt returns the batch work at a runner known to this node: its own runs and the slots that it lent. The caller
// must hold the mutex.
func (w *Worker) batchRunsAt(id ident.Incarnation, now time.Time) int {
	lent, _ := w.lent.LentAt(id, now)
	return w.Runners.Own(id, runnertable.Batch) + lent
}

// polledServices returns the services whose runners' load this node must know: those of its items, and those with slots
// that are lent or were requested recently. The caller must hold the mutex.
func (w *Worker) polledServices(now time.Time) []string {
	services := w.servicesInUse()
	for service, at := range w.lastWanted {
		if now.Sub(at) > lending.Lifetime && !w.lent.Any(now) {
			delete(w.lastWanted, service)
			continue
		}
		services = appendNew(services, service)
	}
	return services
}

// reclaimSlots frees slots at a runner for online work. Lent slots are recalled first, because the owner's items have
// priority there; then own runs are preempted. The caller must hold the mutex.
func (w *Worker) reclaimSlots(id ident.Incarnation, count int) {
	if count <= 0 {
		return
	}
	orders, recalled := w.lent.Recall(id, count, w.Now())
	for _, order := range orders {
		w.tomb.Go(func() error { w.takeBack(order); return nil })
	}
	w.preempt(id, count-recalled)
}

func (w *Worker) takeBack(order lending.AddressedRecall) {
	if w.Lenders == nil {
		return
	}
	ctx, cancel := context.WithTimeout(w.ctx, recallTimeout)
	defer cancel()
	if err := w.Lenders.Recall(ctx, order.Address, order.Recall); err != nil {
		event.LendingFailed.Log(w.Logger).Str("doing", "recalling slots").Str("worker", order.Address).
			Str("runner", string(order.Recall.Runner)).Int("places", order.Recall.Slots).Err(err).Send()
	}
}
