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
	// start and finish are its virtual times; sequence breaks ties in order of arrival.
	start    float64
	finish   float64
	sequence uint64
	index    int
	// turn is what it waits for. settled is closed when it has its slot, or when it is refused with the reason.
	turn    *Turn
	settled chan struct{}
	refused *failure.Error
}

// precedes says whether the waiter goes before another that waits.
func (w *waiter) precedes(other *waiter) bool { return w.finish < other.finish }

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
	// sweepAt is the number of remembered tenants at which idle ones are forgotten.
	sweepAt int
}

func newFairQueue() *fairQueue {
	return &fairQueue{sweepAt: leastSweep, finishes: map[ident.Tenant]float64{}, waiting: map[ident.Tenant]int{}}
}

// burstCredit is how far behind the virtual time a tenant that uses less than its share may start, in turns of weight
// one. Without it, the second of two requests of a light tenant that arrive together would be refused by a
// short queue as readily as those of a tenant that floods it.
const burstCredit = 2.0

// pass counts a turn that a request of a tenant got without waiting.
func (q *fairQueue) pass(tenant ident.Tenant, weight float64) {
	passed := &waiter{tenant: tenant}
	q.place(passed, weight)
	q.finishes[tenant] = passed.finish
	q.advance(passed.finish)
}

// advance moves the virtual time forward and forgets tenants that have been idle for longer than their credit.
func (q *fairQueue) advance(to float64) {
	q.virtual = max(q.virtual, to)
	if len(q.finishes) < q.sweepAt {
		return
	}
	maps.DeleteFunc(q.finishes, func(_ ident.Tenant, finish float64) bool { return finish <= q.virtual-burstCredit })
	q.sweepAt = 2*len(q.finishes) + leastSweep
}

// leastSweep is the least number of tenants remembered before idle ones are looked for.
const leastSweep = 64

// place sets the virtual times of a waiter that is added next: behind the tenant's others.
func (q *fairQueue) place(added *waiter, weight float64) {
	if weight <= 0 {
		weight = 1
	}
	added.start = max(q.virtual-burstCredit, q.finishes[added.tenant])
	added.finish = added.start + 1/weight
}

// push adds a waiter of a tenant with the given weight.
func (q *fairQueue) push(added *waiter, weight float64) {
	q.place(added, weight)
	q.finishes[added.tenant] = added.finish
	q.insert(added)
}

// pushFirst adds a waiter that had its turn before and could not use it.
func (q *fairQueue) pushFirst(added *waiter) {
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

// last returns the waiter whose turn comes last, or nil.
func (q *fairQueue) last() *waiter {
	var last *waiter
	for _, waiting := range q.order {
		if last == nil || waiting.finish > last.finish || (waiting.finish == last.finish && waiting.sequence > last.sequence) {
			last = waiting
		}
	}
	return last
}

// before counts the waiters whose turn comes before that of a waiter to be added.
func (q *fairQueue) before(added *waiter) int {
	count := 0
	for _, waiting := range q.order {
		if !added.precedes(waiting) {
			count++
		}
	}
	return count
}

// pop removes the waiter whose turn it is, or returns nil.
func (q *fairQueue) pop() *waiter {
	if len(q.order) == 0 {
		return nil
	}
	next := heap.Pop(&q.order).(*waiter)
	q.advance(next.finish)
	q.left(next)
	return next
}

// remove takes a waiter out that gave up, and reports whether it still waited.
func (q *fairQueue) remove(gone *waiter) bool {
	if gone.index < 0 || gone.index >= len(q.order) || q.order[gone.index] != gone {
		return false
	}
	heap.Remove(&q.order, gone.index)
	q.takeBack(gone)
	q.left(gone)
	return true
}

// takeBack undoes the charge of a tenant for a turn it did not get, if it was the tenant's last.
func (q *fairQueue) takeBack(gone *waiter) {
	if q.finishes[gone.tenant] == gone.finish {
		q.finishes[gone.tenant] = gone.start
		gone.finish = gone.start
	}
}

func (q *fairQueue) left(gone *waiter) {
	q.bytes -= gone.bytes
	q.waiting[gone.tenant]--
	if q.waiting[gone.tenant] == 0 {
		delete(q.waiting, gone.tenant)
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
