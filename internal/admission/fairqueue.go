package admission

import (
	"container/heap"
	"maps"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// waiter is one request that waits for a slot.
type waiter struct {
	tenant ident.Tenant
	bytes  int
	// start and finish are virtual times; sequence breaks ties in order of arrival.
	start    float64
	finish   float64
	sequence uint64
	index    int
	// turn is the caller's handle. settled is closed when the request gets its slot or is refused; refused has the reason.
	turn    *Turn
	settled chan struct{}
	refused *failure.Error
}

// precedes reports whether the waiter is served before another that is already queued.
func (w *waiter) precedes(other *waiter) bool { return w.finish < other.finish }

// fairQueue orders waiters by weighted fair queueing over tenants: a tenant's requests are spaced in virtual time by
// the inverse of its weight, so a tenant with many requests waits behind its own requests and does not delay other
// tenants. It reads no clock and does no locking.
//
// Invariant: while two tenants both have waiters, the slots they get are in proportion to their weights, within one request.
type fairQueue struct {
	order    waiterHeap
	virtual  float64
	finishes map[ident.Tenant]float64
	waiting  map[ident.Tenant]int
	bytes    int
	sequence uint64
	// sweepAt is the number of entries in finishes at which those of idle tenants are deleted.
	sweepAt int
}

func newFairQueue() *fairQueue {
	return &fairQueue{sweepAt: minSweepSize, finishes: map[ident.Tenant]float64{}, waiting: map[ident.Tenant]int{}}
}

// burstCredit is how far behind the virtual time a tenant that uses less than its share may start, in requests of
// weight one. Without it, a short queue would refuse the second of two simultaneous requests of a light tenant as
// readily as the requests of a tenant that floods the queue.
const burstCredit = 2.0

// chargeDirect charges a tenant for a request that got a slot without waiting.
func (q *fairQueue) chargeDirect(tenant ident.Tenant, weight float64) {
	passed := &waiter{tenant: tenant}
	q.schedule(passed, weight)
	q.finishes[tenant] = passed.finish
	q.advance(passed.finish)
}

// advance moves the virtual time forward and deletes the entries of tenants that have been idle for longer than their
// credit.
func (q *fairQueue) advance(to float64) {
	q.virtual = max(q.virtual, to)
	if len(q.finishes) < q.sweepAt {
		return
	}
	maps.DeleteFunc(q.finishes, func(_ ident.Tenant, finish float64) bool { return finish <= q.virtual-burstCredit })
	q.sweepAt = 2*len(q.finishes) + minSweepSize
}

// minSweepSize is the minimum number of tenant entries before idle ones are deleted.
const minSweepSize = 64

// schedule sets the virtual times of the next waiter of a tenant: after those of the tenant's earlier requests.
func (q *fairQueue) schedule(added *waiter, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	added.start = max(q.virtual-burstCredit, q.finishes[added.tenant])
	added.finish = added.start + 1/weight
}

// push adds a waiter of a tenant with the given weight.
func (q *fairQueue) push(added *waiter, weight float64) {
	q.schedule(added, weight)
	q.finishes[added.tenant] = added.finish
	q.insert(added)
}

// requeue adds a waiter whose request had a slot before but was refused by the runners. Its virtual time is the current
// one, so that it is not charged again and precedes new requests of tenants without credit.
func (q *fairQueue) requeue(added *waiter) {
	added.start, added.finish = q.virtual, q.virtual
	q.insert(added)
}

func (q *fairQueue) insert(added *waiter) {
	q.sequence++
	added.sequence = q.sequence
	q.waiting[added.tenant]++
	q.bytes += added.bytes
	heap.Push(&q.order, added)
}

// last returns the waiter that would be served last, or nil if the queue is empty.
func (q *fairQueue) last() *waiter {
	var last *waiter
	for _, waiting := range q.order {
		if last == nil || waiting.finish > last.finish || (waiting.finish == last.finish && waiting.sequence > last.sequence) {
			last = waiting
		}
	}
	return last
}

// before counts the waiters that would be served before a waiter that is about to be added.
func (q *fairQueue) before(added *waiter) int {
	count := 0
	for _, waiting := range q.order {
		if !added.precedes(waiting) {
			count++
		}
	}
	return count
}

// pop removes and returns the next waiter, or nil if the queue is empty.
func (q *fairQueue) pop() *waiter {
	if len(q.order) == 0 {
		return nil
	}
	next := heap.Pop(&q.order).(*waiter)
	q.advance(next.finish)
	q.dequeued(next)
	return next
}

// remove removes a waiter before it is served, and reports whether it was still in the queue.
func (q *fairQueue) remove(gone *waiter) bool {
	if gone.index < 0 || gone.index >= len(q.order) || q.order[gone.index] != gone {
		return false
	}
	heap.Remove(&q.order, gone.index)
	q.refund(gone)
	q.dequeued(gone)
	return true
}

// refund refunds the charge for a request that was not served, if it was the tenant's most recent charge.
func (q *fairQueue) refund(gone *waiter) {
	if q.finishes[gone.tenant] == gone.finish {
		q.finishes[gone.tenant] = gone.start
		gone.finish = gone.start
	}
}

// dequeued updates the counters for a waiter that was popped or removed.
func (q *fairQueue) dequeued(gone *waiter) {
	q.bytes -= gone.bytes
	q.waiting[gone.tenant]--
	if q.waiting[gone.tenant] == 0 {
		delete(q.waiting, gone.tenant)
	}
}

// len returns the number of waiters.
func (q *fairQueue) len() int { return len(q.order) }

// waiterHeap is a min-heap ordered by finish time, then by arrival.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(added any) {
	pushed := added.(*waiter)
	pushed.index = len(*h)
	*h = append(*h, pushed)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	popped.index = -1
	return popped
}
