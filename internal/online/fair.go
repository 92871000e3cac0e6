package online

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/waitqueue"
)

const (
	// maxTenantsLogged limits the tenants that a log line names.
	maxTenantsLogged = 8
	// honouredFraction is the fraction of a caller's remaining time up to which it is expected to honour a retry delay.
	honouredFraction = 1.0 / 3
	// queuedThreshold is the time after which a request that was sent and has no first event counts as queued at the runner.
	// It is longer than a prompt takes to process, and short beside the objectives of online work, so that scarce slots are
	// detected before answers are late.
	queuedThreshold = 75 * time.Millisecond
)

// UsageReport returns the report for the account holders of the services: the slots that each tenant uses and waits for, of services
// whose slots are scarce.
func (f *Forwarder) UsageReport() []demand.Use {
	var uses []demand.Use
	for _, queue := range f.queues.all() {
		uses = append(uses, queue.uses()...)
	}
	return uses
}

// ApplyBounds applies the bounds that an account holder sent, as of a moment, for tenants that use more than their share. Bounds of
// one service must be adjacent.
func (f *Forwarder) ApplyBounds(bounds []demand.Bound, asOf time.Time) {
	for first := 0; first < len(bounds); {
		service := bounds[first].Service
		end := first
		for end < len(bounds) && bounds[end].Service == service {
			end++
		}
		if queue := f.queues.lookup(service); queue != nil {
			queue.updateBounds(bounds[first:end], asOf)
		}
		first = end
	}
}

// all returns the queues of all services.
func (q *queues) all() []*queue {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	all := make([]*queue, 0, len(q.byName))
	for _, queue := range q.byName {
		all = append(all, queue)
	}
	return all
}

// lookup returns the queue of a service, or nil if no request for the service has arrived.
func (q *queues) lookup(service string) *queue {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.byName[service]
}

func (q *queue) uses() []demand.Use {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	queued := q.queued(now)
	if !q.tenantShares.Scarce(now) {
		return nil
	}
	waiting := map[ident.Tenant]int{}
	for waiter := range q.woken {
		waiting[waiter.Tenant]++
	}
	return q.tenantShares.Uses(q.service, waiting, queued, now)
}

// beginPick counts a slot for a request that is about to choose a runner, and reports whether the request yields. Requests
// that choose at the same moment count each other, so that no more of them than allowed are treated as within their tenant's
// bound. A call of slotTaken or cancelPick must follow.
func (q *queue) beginPick(waiter *waitqueue.Waiter) (yields bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	yields = q.yields(waiter)
	q.tenantShares.Acquire(waiter.Tenant)
	return yields
}

// cancelPick undoes beginPick for a request that got no slot.
func (q *queue) cancelPick(waiter *waitqueue.Waiter) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.tenantShares.Release(waiter.Tenant)
}

// recordSlotTaken records that a request was sent to a runner. The caller holds the mutex.
func (q *queue) recordSlotTaken(waiter *waitqueue.Waiter) {
	if waiter.Tenant == "" {
		return
	}
	if q.unanswered == nil {
		q.unanswered = map[*waitqueue.Waiter]time.Time{}
	}
	q.unanswered[waiter] = q.now()
}

// recordSlotReleased records that a request released its slot. The caller holds the mutex.
func (q *queue) recordSlotReleased(waiter *waitqueue.Waiter) {
	q.tenantShares.Release(waiter.Tenant)
	delete(q.unanswered, waiter)
}

// queued counts, by tenant, the requests whose answers should have begun and which are therefore queued at runners whose slots
// are scarce. The caller holds the mutex.
func (q *queue) queued(now time.Time) map[ident.Tenant]int {
	queued := map[ident.Tenant]int{}
	for waiter, sent := range q.unanswered {
		if now.Sub(sent) > queuedThreshold {
			queued[waiter.Tenant]++
			q.tenantShares.RecordWait(now)
		}
	}
	return queued
}

func (q *queue) updateBounds(bounds []demand.Bound, asOf time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.tenantShares.ApplyBounds(bounds, asOf)
	q.pending.Yields = q.yields
}

// yields reports whether a request may only take slots that no other request wants. The caller holds the mutex.
func (q *queue) yields(waiter *waitqueue.Waiter) bool {
	return q.tenantShares.Yields(waiter.Tenant, waiter.Kind > q.mostUrgent, q.now())
}

func (q *queue) isYielding(waiter *waitqueue.Waiter) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.yields(waiter)
}

// scarce reports whether the slots of the service are known to be scarce.
func (q *queue) scarce() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tenantShares.Scarce(q.now())
}

// slotUnused records that a request released a slot without using it.
func (q *queue) slotUnused(waiter *waitqueue.Waiter) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pending.FreedUnused()
	q.recordSlotReleased(waiter)
	q.wakeNext()
}

// heldBackStats counts the requests that were rejected because their tenants use more than their share.
type heldBackStats struct {
	byTenant map[ident.Tenant]int
	// maxFree and sumFree are the maximum and the sum of the estimated free slots at the times of these rejections.
	maxFree, sumFree int
	// retryTimes contains the retry times given to rejected callers, in the order of rejection.
	retryTimes []time.Time
}

// recordHeldBack counts a rejected request if it yields.
func (q *queue) recordHeldBack(waiter *waitqueue.Waiter) {
	if !q.isYielding(waiter) {
		return
	}
	slots := q.freeSlots()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.heldBack.byTenant == nil {
		q.heldBack.byTenant = map[ident.Tenant]int{}
	}
	q.heldBack.byTenant[waiter.Tenant]++
	q.heldBack.sumFree += slots
	q.heldBack.maxFree = max(q.heldBack.maxFree, slots)
}

// yieldingRetryDelay returns when the caller of a rejected request that yields may retry: once the slots expected to become
// free have served those rejected before it, limited to the delay that the caller is expected to honour. The caller holds the
// mutex.
func (q *queue) yieldingRetryDelay(waiter *waitqueue.Waiter) time.Duration {
	now := q.now()
	q.heldBack.retryTimes = slices.DeleteFunc(q.heldBack.retryTimes, now.After)
	honoured := time.Duration(honouredFraction * float64(waiter.Latest.Sub(now)))
	longest := max(min(retryAfterOutage+retryAfterOutage, honoured), minRetryAfter)
	after := max(q.pending.ExpectedYieldingWait(len(q.heldBack.retryTimes)), minRetryAfter)
	if after >= longest {
		// There will be no free slot by then either. The delay is randomised, so that callers that retry nevertheless do not
		// do so all at once.
		after = longest - time.Duration(rand.Int64N(int64(longest-minRetryAfter)/2+1))
	}
	q.heldBack.retryTimes = append(q.heldBack.retryTimes, now.Add(after))
	return after
}

// recordFirstEvent records that the runner's answer begins, and whether that is on time.
func (e *exchange) recordFirstEvent() {
	e.began = true
	e.forwarder.PoisonWatch.RecordBegan(e.slot.flight.Runner, e.parts())
	now := e.forwarder.Now()
	e.queue.recordFirstEvent(now.Sub(e.sent))
	if e.request.Tenant != "" {
		e.queue.recordOnTime(e.waiter, e.route.Objective <= 0 || now.Sub(e.request.Arrived) <= e.route.Objective)
	}
}

func (q *queue) recordOnTime(waiter *waitqueue.Waiter, onTime bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.unanswered, waiter)
	if q.answerCounts == nil {
		q.answerCounts = map[ident.Tenant][2]int{}
	}
	counts := q.answerCounts[waiter.Tenant]
	if onTime {
		counts[0]++
	} else {
		counts[1]++
	}
	q.answerCounts[waiter.Tenant] = counts
}

// logLate logs the counts of answers on time and late if any began late, and names the tenants with the most late ones. The
// caller holds the mutex.
func (q *queue) logLate() {
	answerCounts := q.answerCounts
	q.answerCounts = nil
	onTime, late := 0, 0
	for _, counts := range answerCounts {
		onTime += counts[0]
		late += counts[1]
	}
	if late == 0 {
		return
	}
	named := zerolog.Dict()
	for position, tenant := range sortedBySize(answerCounts, func(counts [2]int) int { return counts[1] }) {
		if position < maxTenantsLogged && answerCounts[tenant][1] > 0 {
			named.Ints(string(tenant), []int{answerCounts[tenant][0], answerCounts[tenant][1]})
		}
	}
	event.TenantsAnsweredLate.Log(q.logger).Str("service", q.service).Dict("on_time_late", named).
		Int("on_time", onTime).Int("late", late).Send()
}

// sortedBySize returns the tenants by descending size of what is counted for them.
func sortedBySize[C any](counts map[ident.Tenant]C, size func(C) int) []ident.Tenant {
	return slices.SortedFunc(maps.Keys(counts), func(first, second ident.Tenant) int {
		return cmp.Or(cmp.Compare(size(counts[second]), size(counts[first])), cmp.Compare(first, second))
	})
}

// logHeldBack logs how many requests of tenants above their share were rejected, and names the tenants with the most. The
// caller holds the mutex.
func (q *queue) logHeldBack() {
	counts := q.heldBack.byTenant
	if len(counts) == 0 {
		return
	}
	tenants := sortedBySize(counts, func(count int) int { return count })
	named, others, all := zerolog.Dict(), 0, 0
	for position, tenant := range tenants {
		all += counts[tenant]
		if position < maxTenantsLogged {
			named.Int(string(tenant), counts[tenant])
			continue
		}
		others += counts[tenant]
	}
	event.TenantsHeldBack.Log(q.logger).Str("service", q.service).Dict("turned_away", named).
		Int("others", max(len(tenants)-maxTenantsLogged, 0)).Int("others_turned_away", others).
		Int("free_places_mean", q.heldBack.sumFree/all).Int("free_places_most", q.heldBack.maxFree).Send()
	q.heldBack = heldBackStats{retryTimes: q.heldBack.retryTimes}
}
