package batch

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
)

const (
	// startMargin is the least time a lease must have left for an item to be started under it.
	startMargin = time.Second
	// keptTimePerToken is how long a preempted item waits for the runner that holds its tokens, for each token, before
	// another may run it anew. It is about what the token takes to generate: whoever waits as long as the work would
	// take again never spends more than twice the least possible.
	keptTimePerToken = 40 * time.Millisecond
)

// itemState is where an item of a lease stands.
type itemState uint8

const (
	itemQueued itemState = iota
	itemRunning
	// itemEnded means that its result waits for its commit.
	itemEnded
)

// item is one leased item.
type item struct {
	job     job.Item
	lease   *heldLease
	request *inference.Request
	state   itemState
	// attempts counts the runs that failed without a result.
	attempts int
	// notBefore is the earliest time of the next run.
	notBefore time.Time
	// waitingSince is when the item was leased, or last stopped after a run that had begun.
	waitingSince time.Time
	// kept is what a preempted item has so far, or nil.
	kept *keptAnswer
}

// keptAnswer is the beginning of an answer, and the runner whose engine holds its tokens.
type keptAnswer struct {
	runner   ident.Runner
	since    time.Time
	position answer.Position
	whole    *answer.Aggregate
}

// heldLease is a lease of this worker.
type heldLease struct {
	lease job.Lease
	// expires is reckoned from when the request for the lease was sent, by the monotonic clock.
	expires time.Time
	// lost is true once nothing may be started or committed under it.
	lost bool
	// unfinished counts items that have no committed result and were not released.
	unfinished int
	items      []*item
}

// leaseBook keeps the leases of a worker and the order of their items. It is pure but for its own state, and belongs
// to one goroutine.
//
// Invariant: next never returns an item of a lease that is lost or about to expire.
type leaseBook struct {
	leases map[string]*heldLease
	queue  []*item
}

func newLeaseBook() *leaseBook { return &leaseBook{leases: map[string]*heldLease{}} }

// add takes a new lease that was asked for at sent, with the request of each item.
func (b *leaseBook) add(lease job.Lease, sent time.Time, requests []*inference.Request) *heldLease {
	held := &heldLease{lease: lease, expires: sent.Add(lease.TTL), unfinished: len(lease.Items)}
	for index := range lease.Items {
		added := &item{job: lease.Items[index], lease: held, request: requests[index], waitingSince: sent}
		held.items = append(held.items, added)
		b.queue = append(b.queue, added)
	}
	b.leases[lease.ID] = held
	return held
}

// next takes the first queued item that suits the runner, or nil.
func (b *leaseBook) next(runner ident.Runner, suits func(*item) bool, now time.Time) *item {
	for index, queued := range b.queue {
		if queued.state != itemQueued || !queued.startable(runner, now) || !suits(queued) {
			continue
		}
		b.queue = append(b.queue[:index], b.queue[index+1:]...)
		queued.state = itemRunning
		return queued
	}
	return nil
}

// startable reports whether the item may start on the runner now.
func (i *item) startable(runner ident.Runner, now time.Time) bool {
	if i.lease.lost || now.Add(startMargin).After(i.lease.expires) || now.Before(i.notBefore) {
		return false
	}
	if i.kept == nil || i.kept.runner == runner {
		return true
	}
	patience := time.Duration(i.kept.position.Next()) * keptTimePerToken
	return i.request.Repeatable && now.Sub(i.kept.since) > patience
}

// requeue puts an item back, before the others: it was leased earlier.
func (b *leaseBook) requeue(returned *item) {
	returned.state = itemQueued
	if returned.lease.lost {
		return
	}
	b.queue = append([]*item{returned}, b.queue...)
}

// withdraw takes an item out of the queue.
func (b *leaseBook) withdraw(withdrawn *item) {
	for index, queued := range b.queue {
		if queued == withdrawn {
			b.queue = append(b.queue[:index], b.queue[index+1:]...)
			return
		}
	}
}

// queued counts the items that wait to start.
func (b *leaseBook) queued() int { return len(b.queue) }

// end marks an item whose result is to be committed.
func (b *leaseBook) end(ended *item) { ended.state = itemEnded }

// settle counts items whose results were committed or that were released, and forgets a lease without others.
func (b *leaseBook) settle(held *heldLease, count int) {
	held.unfinished -= count
	if held.unfinished <= 0 {
		delete(b.leases, held.lease.ID)
	}
}

// renewed takes the answer to a renewal that was sent at the given time, and returns the leases it ended.
func (b *leaseBook) renewed(asked, lost []string, sent time.Time) []*heldLease {
	gone := map[string]bool{}
	for _, id := range lost {
		gone[id] = true
	}
	var ended []*heldLease
	for _, id := range asked {
		held, known := b.leases[id]
		if !known {
			continue
		}
		if gone[id] {
			b.lose(held)
			ended = append(ended, held)
			continue
		}
		held.expires = laterOf(held.expires, sent.Add(held.lease.TTL))
	}
	return ended
}

func laterOf(first, second time.Time) time.Time {
	if first.After(second) {
		return first
	}
	return second
}

// expire ends the leases that ran out and returns them.
func (b *leaseBook) expire(now time.Time) []*heldLease {
	var ended []*heldLease
	for _, held := range b.leases {
		if !now.Before(held.expires) {
			b.lose(held)
			ended = append(ended, held)
		}
	}
	return ended
}

// lose forgets a lease and takes its items out of the queue.
func (b *leaseBook) lose(held *heldLease) {
	held.lost = true
	delete(b.leases, held.lease.ID)
	kept := b.queue[:0]
	for _, queued := range b.queue {
		if queued.lease != held {
			kept = append(kept, queued)
		}
	}
	clear(b.queue[len(kept):])
	b.queue = kept
}

// takeQueued takes the chosen items out of the queue, to be released. None of them may be lost by that: an item is queued
// only if it was not run, or may run again.
func (b *leaseBook) takeQueued(chosen func(*item) bool) map[*heldLease][]uint32 {
	taken := map[*heldLease][]uint32{}
	kept := b.queue[:0]
	for _, queued := range b.queue {
		if !chosen(queued) {
			kept = append(kept, queued)
			continue
		}
		queued.state = itemEnded
		taken[queued.lease] = append(taken[queued.lease], queued.job.Index)
	}
	clear(b.queue[len(kept):])
	b.queue = kept
	return taken
}

// byShard groups the identifiers of the leases held, for renewal.
func (b *leaseBook) byShard() map[ident.Shard][]string {
	groups := map[ident.Shard][]string{}
	for id, held := range b.leases {
		groups[held.lease.Shard] = append(groups[held.lease.Shard], id)
	}
	return groups
}
