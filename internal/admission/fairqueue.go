package admission

import (
	"container/heap"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// waiter is one request that waits for a slot.
type waiter struct {
	tenant ident.Tenant
	bytes  int
	// until is when it gives up.
	until time.Time
	// finish is its virtual finish time; sequence breaks ties in order of arrival.
	finish   float64
	sequence uint64
	index    int
	// granted is closed when it gets its slot.
	granted chan struct{}
}

// fairQueue orders waiters by weighted fair queueing over tenants: a tenant's requests are spaced in virtual time by
// the inverse of its weight, so a tenant that sends much waits behind its own requests and not before others'. It is
// pure but for its own state.
//
// Invariant: while two tenants both wait, the slots they get are in proportion to their weights, within one request.
type fairQueue struct {
	order    waiterHeap
	virtual  float64
	finishes map[ident.Tenant]float64
	waiting  map[ident.Tenant]int
	bytes    int
	sequence uint64
}

func newFairQueue() *fairQueue {
	return &fairQueue{finishes: map[ident.Tenant]float64{}, waiting: map[ident.Tenant]int{}}
}

// push adds a waiter of a tenant with the given weight.
func (q *fairQueue) push(added *waiter, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	added.finish = max(q.virtual, q.finishes[added.tenant]) + 1/weight
	q.sequence++
	added.sequence = q.sequence
	q.finishes[added.tenant] = added.finish
	q.waiting[added.tenant]++
	q.bytes += added.bytes
	heap.Push(&q.order, added)
}

// pop removes the waiter whose turn it is, or returns nil.
func (q *fairQueue) pop() *waiter {
	if len(q.order) == 0 {
		return nil
	}
	next := heap.Pop(&q.order).(*waiter)
	q.virtual = max(q.virtual, next.finish)
	q.left(next)
	return next
}

// remove takes a waiter out that gave up, and reports whether it still waited.
func (q *fairQueue) remove(gone *waiter) bool {
	if gone.index < 0 || gone.index >= len(q.order) || q.order[gone.index] != gone {
		return false
	}
	heap.Remove(&q.order, gone.index)
	q.left(gone)
	return true
}

func (q *fairQueue) left(gone *waiter) {
	q.bytes -= gone.bytes
	q.waiting[gone.tenant]--
	if q.waiting[gone.tenant] == 0 {
		delete(q.waiting, gone.tenant)
		delete(q.finishes, gone.tenant)
		// The tenant's last finish time is forgotten only once the virtual time has reached it, or a tenant could
		// jump the queue by letting it run empty.
		if gone.finish > q.virtual {
			q.finishes[gone.tenant] = gone.finish
		}
	}
	if len(q.order) == 0 {
		q.virtual = 0
		clear(q.finishes)
	}
}

// len returns the number of waiters.
func (q *fairQueue) len() int { return len(q.order) }

// waiterHeap is a heap by finish time, then arrival.
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

// Push is for container/heap.
func (h *waiterHeap) Push(added any) {
	pushed := added.(*waiter)
	pushed.index = len(*h)
	*h = append(*h, pushed)
}

// Pop is for container/heap.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	popped.index = -1
	return popped
}
