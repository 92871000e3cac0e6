package online

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/fairshare"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/waitqueue"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// checkInterval is the time between two checks for a free slot while requests wait. The state of other nodes' requests at
	// the runners is refreshed every 50 ms; the ends of this node's own requests wake a waiting one at once.
	checkInterval = 20 * time.Millisecond
	// firstEventWeight is the weight of one request in the moving average of the time to the first event.
	firstEventWeight = 0.05
)

// errNoSlotInTime means that a request would not get a slot in time.
const errNoSlotInTime = failure.Kind("online: no slot becomes free in time")

// queue is where the requests of one service wait for a slot, rather than in the queue of a runner, which they could
// not leave. Each request is then sent to one runner only, and waiting requests are served by urgency. It wakes one request at
// a time, which tries to get a slot itself and, once it has one, wakes the next.
type queue struct {
	service string
	now     func() time.Time
	// freeSlots returns the estimated number of free slots of the service's runners.
	freeSlots func() int
	logger    zerolog.Logger
	// rationed reports whether owners grant the runners' slots one by one; notifyOwners informs them that requests wait, and
	// may be nil.
	rationed     func() bool
	notifyOwners func()

	mutex   sync.Mutex
	pending waitqueue.Queue
	// memoryWaiters are the requests that ran already and wait for a runner with free memory.
	memoryWaiters []chan struct{}
	// woken contains the channel that is closed to wake each waiting request.
	woken map[*waitqueue.Waiter]chan struct{}
	// checkScheduled is set while the timer runs.
	checkScheduled bool
	// meanFirstEvent is the mean time from the sending of a request to its first event.
	meanFirstEvent time.Duration
	// lastLogged is when the statistics were last logged.
	lastLogged time.Time
	// tenantShares is this node's account of the slots that tenants use, and their bounds; heldBack counts the requests
	// rejected for these bounds since the last log line.
	tenantShares fairshare.LocalUsage
	heldBack     heldBackStats
	// unanswered contains when requests of tenants were sent to runners whose answers have not begun.
	unanswered map[*waitqueue.Waiter]time.Time
	// answerCounts counts the answers that began on time and late, by tenant, since the last log line.
	answerCounts map[ident.Tenant][2]int
	// extraYielding is how many requests that yield may still take slots that other nodes freed, until the next check.
	extraYielding int
	// mostUrgent is the lowest priority rank of the requests that arrived here; a lower rank is more urgent.
	mostUrgent  int
	slowCallers slowCallers
}

// waiter returns the queue entry of a request, given the time until which its answer is on time, and the time until which
// it is of any use.
func (q *queue) waiter(request *work.Request, route *work.Route, onTime, latest time.Time) *waitqueue.Waiter {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	kind := route.Priority
	q.mostUrgent = min(q.mostUrgent, kind)
	q.slowCallers.recordObjective(route.Objective)
	if latest.Before(onTime) {
		onTime = latest
	}
	return &waitqueue.Waiter{
		Tenant: request.Tenant, Rank: request.Rank, Kind: kind, Objective: route.Objective,
		OnTime: onTime.Add(-q.meanFirstEvent), Latest: latest.Add(-q.meanFirstEvent),
	}
}

// slotTaken records that a request got a slot after beginPick, and wakes the next one, since more slots may be free. vacant
// says that the slot was vacated by a caller that was cut off, waited that the request waited in the queue.
func (q *queue) slotTaken(waiter *waitqueue.Waiter, runner ident.Incarnation, vacant, waited bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pending.SlotTaken()
	if !vacant {
		q.slowCallers.removeVacancy(runner)
	}
	q.recordSlotTaken(waiter)
	if waited {
		q.pending.RecordWait(waiter, q.now())
		if q.yields(waiter) {
			if q.extraYielding--; q.extraYielding <= 0 {
				return
			}
		}
	}
	q.wakeNext()
}

// slotFreed records that a request released its slot after a time, and wakes the next one.
func (q *queue) slotFreed(waiter *waitqueue.Waiter, after time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	q.pending.SlotFreed(after, now)
	q.recordSlotReleased(waiter)
	q.wakeNext()
	q.logStats(now)
}

// logInterval is the time between two log lines about a queue.
const logInterval = 10 * time.Second

// logStats logs what became of the requests that found no free slot at once. The caller holds the mutex.
func (q *queue) logStats(now time.Time) {
	if now.Sub(q.lastLogged) < logInterval {
		return
	}
	q.lastLogged = now
	q.logHeldBack()
	q.logLate()
	tally, waitFactor := q.pending.Tally()
	if tally == (waitqueue.Tally{}) {
		return
	}
	event.PlacesShort.Log(q.logger).Str("service", q.service).Int("waited", tally.Waited).Int("turned_away", tally.Rejected).
		Int("wrongly", tally.WronglyRejected).Float64("longer_than_expected", waitFactor).Send()
}

// recordFirstEvent updates the mean time from the sending of a request to its first event.
func (q *queue) recordFirstEvent(took time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.meanFirstEvent == 0 {
		q.meanFirstEvent = took
	}
	q.meanFirstEvent += time.Duration(firstEventWeight * float64(took-q.meanFirstEvent))
}

// mustWait reports whether there are waiting requests that a new one must not pass.
func (q *queue) mustWait(waiter *waitqueue.Waiter) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.pending.MustWait(waiter)
}

// wait returns nil when a request should try to get a slot. The error wraps errNoSlotInTime if it would not get one in time.
// If again is set, the request waited before and found no slot, and is put at the head of the queue.
func (q *queue) wait(ctx context.Context, waiter *waitqueue.Waiter, again bool) error {
	woken := q.enqueue(waiter, again)
	if woken == nil {
		return errNoSlotInTime
	}
	select {
	case <-woken:
	case <-ctx.Done():
	}
	// Both channels may be ready: a request whose caller has left must not take a slot.
	if err := ctx.Err(); err != nil {
		q.leave(waiter)
		return err
	}
	return nil
}

func (q *queue) enqueue(waiter *waitqueue.Waiter, again bool) <-chan struct{} {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	q.tenantShares.RecordWait(now)
	rationed := q.rationed()
	if again {
		q.pending.PutBack(waiter)
	} else if !q.join(waiter, rationed, now) {
		return nil
	}
	woken := make(chan struct{})
	q.woken[waiter] = woken
	q.scheduleCheck()
	if rationed && q.notifyOwners != nil {
		q.notifyOwners()
	}
	return woken
}

// join adds a request to the queue and returns true, unless it would not get a slot in time. The caller holds the mutex.
func (q *queue) join(waiter *waitqueue.Waiter, rationed bool, now time.Time) bool {
	if rationed {
		return q.pending.JoinRationed(waiter, now)
	}
	return q.pending.Join(waiter, now)
}

func (q *queue) leave(waiter *waitqueue.Waiter) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if _, waits := q.woken[waiter]; !waits {
		// The request was woken as its caller left: the next one is woken in its stead.
		q.wakeNext()
		return
	}
	delete(q.woken, waiter)
	q.pending.Leave(waiter)
}

// wakeNext wakes the next request in order of urgency, and all that wait for memory. The caller holds the mutex.
func (q *queue) wakeNext() {
	for _, woken := range q.memoryWaiters {
		close(woken)
	}
	q.memoryWaiters = nil
	if q.pending.Len() > 1 && q.rationed() {
		q.pending.MoveLateLast(q.now())
	}
	if next := q.pending.Next(); next != nil {
		close(q.woken[next])
		delete(q.woken, next)
	}
}

// scheduleCheck schedules a check after checkInterval unless one is scheduled. Checks repeat while requests wait or callers
// block their runners. The caller holds the mutex.
func (q *queue) scheduleCheck() {
	if q.checkScheduled {
		return
	}
	q.checkScheduled = true
	time.AfterFunc(checkInterval, q.check)
}

func (q *queue) check() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.checkScheduled = false
	q.checkSlowCallers(q.now())
	if len(q.slowCallers.blocked) > 0 {
		q.scheduleCheck()
	}
	if q.pending.Len() == 0 {
		return
	}
	q.extraYielding = q.pending.ExtraYielding()
	if q.extraYielding > 0 || !q.pending.NextYields() {
		q.wakeNext()
	}
	q.scheduleCheck()
}

// retryDelay returns when the caller of a rejected request may retry: once all requests that wait now are expected to have a
// slot. The delay is randomised over up to twice that time, so that callers rejected together do not return as another burst.
func (q *queue) retryDelay(waiter *waitqueue.Waiter) time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.yields(waiter) {
		return q.yieldingRetryDelay(waiter)
	}
	expected := min(max(q.pending.ExpectedWait(), minRetryAfter), retryAfterOutage)
	return expected + time.Duration(rand.Int64N(int64(expected)))
}

// waitForMemory returns nil when a request that ran already should look again for a runner with free memory: a slot was
// released, or checkInterval has passed. It does not delay the requests in the queue, which are woken too.
func (q *queue) waitForMemory(ctx context.Context) error {
	q.mutex.Lock()
	woken := make(chan struct{})
	q.memoryWaiters = append(q.memoryWaiters, woken)
	q.mutex.Unlock()
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-woken:
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.memoryWaiters = slices.DeleteFunc(q.memoryWaiters, func(other chan struct{}) bool { return other == woken })
	return ctx.Err()
}

// queues contains the queues of the services.
type queues struct {
	mutex  sync.Mutex
	byName map[string]*queue
}

// queueOf returns the queue of a service.
func (f *Forwarder) queueOf(service string) *queue {
	f.queues.mutex.Lock()
	defer f.queues.mutex.Unlock()
	if f.queues.byName == nil {
		f.queues.byName = map[string]*queue{}
	}
	found := f.queues.byName[service]
	if found == nil {
		found = &queue{
			service: service, now: f.Now, logger: f.Logger, woken: map[*waitqueue.Waiter]chan struct{}{}, lastLogged: f.Now(), mostUrgent: math.MaxInt,
			freeSlots: func() int { return f.Runners.Free(service, f.Now()) }, slowCallers: newSlowCallers(),
			rationed: func() bool { return f.Runners.IsRationed(service, f.Now()) }, notifyOwners: f.RequestSlots,
		}
		f.queues.byName[service] = found
	}
	return found
}
