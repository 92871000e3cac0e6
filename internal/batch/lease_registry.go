package batch

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch/answer"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
)

const (
	// startMargin is the minimum remaining lease time for starting an item.
	startMargin = time.Second
	// retainedWaitPerToken is how long, per generated token, a preempted item waits for the runner that retains its tokens
	// before another runner may restart it. It is about the time to generate a token: waiting as long as the work would
	// take to repeat costs at most twice the optimum.
	retainedWaitPerToken = 40 * time.Millisecond
)

// itemState is the state of a leased item.
type itemState uint8

const (
	itemQueued itemState = iota
	itemRunning
	// itemEnded means that the item's result waits to be committed or that the item is being released.
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
	// notBefore is the earliest start time of the next run.
	notBefore time.Time
	// waitingSince is when the item was leased or when its last run that produced a chunk ended.
	waitingSince time.Time
	// partial is the partial answer of a preempted item, or nil.
	partial *partialAnswer
}

// partialAnswer is a partial answer and the runner whose engine retains its tokens.
type partialAnswer struct {
	runner    ident.Runner
	since     time.Time
	position  answer.Position
	aggregate *answer.Aggregate
}

// heldLease is a lease that this worker has.
type heldLease struct {
	lease job.Lease
	// expires is counted from when the lease or renewal request was sent, by the monotonic clock.
	expires time.Time
	// lost is set once no item may be started or committed under the lease.
	lost bool
	// unfinished counts the items that have neither a committed result nor been released.
	unfinished int
	items      []*item
}

// leaseRegistry stores the leases of a worker and the queue of their items. It does no I/O and is not safe for concurrent
// use.
//
// Invariant: next never returns an item of a lease that is lost or about to expire.
type leaseRegistry struct {
	leases map[string]*heldLease
	queue  []*item
}

func newLeaseRegistry() *leaseRegistry { return &leaseRegistry{leases: map[string]*heldLease{}} }

// add adds a lease that was requested at sent and queues its items, with the request of each.
func (b *leaseRegistry) add(lease job.Lease, sent time.Time, requests []*inference.Request) *heldLease {
	held := &heldLease{lease: lease, expires: sent.Add(lease.TTL), unfinished: len(lease.Items)}
	for index := range lease.Items {
		added := &item{job: lease.Items[index], lease: held, request: requests[index], waitingSince: sent}
		held.items = append(held.items, added)
		b.queue = append(b.queue, added)
	}
	b.leases[lease.ID] = held
	return held
}

// next removes and returns the first queued item that can start on the runner, or nil.
func (b *leaseRegistry) next(runner ident.Runner, suits func(*item) bool, now time.Time) *item {
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
	if i.partial == nil || i.partial.runner == runner {
		return true
	}
	wait := time.Duration(i.partial.position.Next()) * retainedWaitPerToken
	return i.request.Repeatable && now.Sub(i.partial.since) > wait
}

// requeue puts an item at the head of the queue, since it was leased before the others. It drops an item of a lost lease.
func (b *leaseRegistry) requeue(returned *item) {
	returned.state = itemQueued
	if returned.lease.lost {
		return
	}
	b.queue = append([]*item{returned}, b.queue...)
}

// withdraw removes an item from the queue.
func (b *leaseRegistry) withdraw(withdrawn *item) {
	for index, queued := range b.queue {
		if queued == withdrawn {
			b.queue = append(b.queue[:index], b.queue[index+1:]...)
			return
		}
	}
}

// queued returns the number of queued items.
func (b *leaseRegistry) queued() int { return len(b.queue) }

// end marks an item whose result is to be committed.
func (b *leaseRegistry) end(ended *item) { ended.state = itemEnded }

// markFinished records that items were committed or released, and removes the lease when none is left.
func (b *leaseRegistry) markFinished(held *heldLease, count int) {
	held.unfinished -= count
	if held.unfinished <= 0 {
		delete(b.leases, held.lease.ID)
	}
}

// renewed applies the response to a renewal that was sent at the given time, and returns the leases that were lost.
func (b *leaseRegistry) renewed(sentIDs, lost []string, sent time.Time) []*heldLease {
	lostIDs := map[string]bool{}
	for _, id := range lost {
		lostIDs[id] = true
	}
	var ended []*heldLease
	for _, id := range sentIDs {
		held, known := b.leases[id]
		if !known {
			continue
		}
		if lostIDs[id] {
			b.removeLease(held)
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

// expire removes the leases that have expired and returns them.
func (b *leaseRegistry) expire(now time.Time) []*heldLease {
	var ended []*heldLease
	for _, held := range b.leases {
		if !now.Before(held.expires) {
			b.removeLease(held)
			ended = append(ended, held)
		}
	}
	return ended
}

// removeLease removes a lease and its queued items.
func (b *leaseRegistry) removeLease(held *heldLease) {
	held.lost = true
	delete(b.leases, held.lease.ID)
	remaining := b.queue[:0]
	for _, queued := range b.queue {
		if queued.lease != held {
			remaining = append(remaining, queued)
		}
	}
	clear(b.queue[len(remaining):])
	b.queue = remaining
}

// takeQueued removes the chosen items from the queue, to be released, and returns their indexes by lease. Releasing them is
// safe: an item is queued only if it was not run or may run again.
func (b *leaseRegistry) takeQueued(chosen func(*item) bool) map[*heldLease][]uint32 {
	taken := map[*heldLease][]uint32{}
	remaining := b.queue[:0]
	for _, queued := range b.queue {
		if !chosen(queued) {
			remaining = append(remaining, queued)
			continue
		}
		queued.state = itemEnded
		taken[queued.lease] = append(taken[queued.lease], queued.job.Index)
	}
	clear(b.queue[len(remaining):])
	b.queue = remaining
	return taken
}

// byShard groups the identifiers of the leases by shard, for renewal.
func (b *leaseRegistry) byShard() map[ident.Shard][]string {
	groups := map[ident.Shard][]string{}
	for id, held := range b.leases {
		groups[held.lease.Shard] = append(groups[held.lease.Shard], id)
	}
	return groups
}
