package waitqueue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/waitqueue"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

const (
	objective = 300 * time.Millisecond
	patience  = 5 * time.Second
)

func arriving(at time.Time) *waitqueue.Waiter {
	return &waitqueue.Waiter{OnTime: at.Add(objective), Latest: at.Add(patience), Objective: objective}
}

// busyQueue returns the queue of a node whose requests use some slots, each for the time of a run.
func busyQueue(slots int, run time.Duration) *waitqueue.Queue {
	queue := &waitqueue.Queue{}
	for range slots {
		queue.SlotTaken()
	}
	queue.SlotTaken()
	queue.SlotFreed(run, start)
	return queue
}

// TestRequestsThatCannotBeOnTimeAreRejected has ten slots, each of which becomes free once in 200 ms. Fifteen requests can get
// one within the objective, and no more may be accepted.
func TestRequestsThatCannotBeOnTimeAreRejected(t *testing.T) {
	queue := busyQueue(10, 200*time.Millisecond)
	accepted := 0
	for range 40 {
		if queue.Join(arriving(start), start) {
			accepted++
		}
	}
	assert.Equal(t, accepted, 15)
	assert.Equal(t, queue.ExpectedWait(), 16*20*time.Millisecond)
}

// TestLeastTimeLeftGoesFirst has requests arrive in another order than that of their deadlines, and one find no slot and be
// put back.
func TestLeastTimeLeftGoesFirst(t *testing.T) {
	queue := busyQueue(10, 200*time.Millisecond)
	second, first := arriving(start.Add(10*time.Millisecond)), arriving(start)
	assert.Assert(t, queue.Join(second, start) && queue.Join(first, start))
	assert.Equal(t, queue.Next(), first)
	queue.PutBack(first)
	assert.Equal(t, queue.Next(), first)
	assert.Equal(t, queue.Next(), second)
	assert.Assert(t, queue.Next() == nil)
}

// TestLateRequestWaitsBehindOthers has a request arrive that can't be on time any more. It must be accepted as long as a slot
// becomes free while its caller waits.
func TestLateRequestWaitsBehindOthers(t *testing.T) {
	queue := busyQueue(10, 200*time.Millisecond)
	late, onTime := arriving(start.Add(-time.Second)), arriving(start)
	assert.Assert(t, queue.Join(late, start))
	assert.Assert(t, queue.Join(onTime, start))
	assert.Equal(t, queue.Next(), onTime)
	assert.Equal(t, queue.Next(), late)
	expired := arriving(start.Add(-patience))
	assert.Assert(t, !queue.Join(expired, start.Add(time.Millisecond)))
}

// TestNodeWithoutSlotsRejectsNothing has a node without any request at a runner.
func TestNodeWithoutSlotsRejectsNothing(t *testing.T) {
	queue := &waitqueue.Queue{}
	for range 100 {
		assert.Assert(t, queue.Join(arriving(start), start))
	}
}

// TestObservedWaitsRaiseExpectedWait has slots become free half as fast as the run times suggest: the expected wait must rise
// accordingly.
func TestObservedWaitsRaiseExpectedWait(t *testing.T) {
	queue := busyQueue(10, 200*time.Millisecond)
	before := queue.ExpectedWait()
	for range 50 {
		waiter := arriving(start)
		expected := queue.ExpectedWait()
		assert.Assert(t, queue.Join(waiter, start))
		queue.Next()
		if queue.ExpectedWait() < 2*before {
			queue.RecordWait(waiter, start.Add(2*before))
		}
		assert.Assert(t, expected <= queue.ExpectedWait()+time.Millisecond)
	}
	assert.Assert(t, queue.ExpectedWait() > 2*before*9/10, "%v", queue.ExpectedWait())
}

// TestRequestThatWouldBeLateWaitsAlone has one slot, which becomes free after twice the objective. One request that would be late
// by its objective must be accepted as long as the slot is of use to it, but not a second one or one that would be later, and
// one that is on time must pass it.
func TestRequestThatWouldBeLateWaitsAlone(t *testing.T) {
	queue := busyQueue(1, 2*objective)
	assert.Assert(t, !queue.Join(arriving(start.Add(-1)), start))
	useless := arriving(start)
	useless.Latest = start.Add(2*objective - 1)
	assert.Assert(t, !queue.Join(useless, start))
	late := arriving(start)
	assert.Assert(t, queue.Join(late, start))
	assert.Assert(t, !queue.Join(arriving(start), start))
	now := start.Add(objective)
	urgent := arriving(now.Add(objective))
	assert.Assert(t, queue.Join(urgent, now))
	assert.Equal(t, queue.Next(), urgent)
	assert.Equal(t, queue.Next(), late)
}

// TestLateRequestsAreServedBesideOthers has twice as many requests arrive at random as there are slots, whose runs last three
// objectives. With two slots more requests must be served where late answers are of use; with six and more no fewer on time.
func TestLateRequestsAreServedBesideOthers(t *testing.T) {
	hurriedOnTime, hurriedLate := servedAtTwiceTheSlots(2, 0)
	patientOnTime, patientLate := servedAtTwiceTheSlots(2, patience)
	hurried, patient := hurriedOnTime+hurriedLate, patientOnTime+patientLate
	assert.Check(t, patientLate > 0 && patient > hurried, "%d served, %d where late answers are of no use", patient, hurried)
	for _, slots := range []int{6, 20, 60} {
		hurried, _ := servedAtTwiceTheSlots(slots, 0)
		patient, _ := servedAtTwiceTheSlots(slots, patience)
		assert.Check(t, patient >= hurried, "%d slots: %d on time, %d where late answers are of no use", slots, patient, hurried)
	}
}

// servedAtTwiceTheSlots returns how many of 10,000 requests get a slot on time and late. A slot is of use to each until some time
// after its objective. An arriving request takes a free slot at once if nobody waits.
func servedAtTwiceTheSlots(slots int, useful time.Duration) (onTime, late int) {
	const run, requests = 3 * objective, 10_000
	random := rand.New(rand.NewPCG(1, uint64(slots)))
	queue := &waitqueue.Queue{}
	var ends []time.Time
	serve := func(waiter *waitqueue.Waiter, at time.Time) {
		queue.SlotTaken()
		ends = append(ends, at.Add(run))
		if at.After(waiter.OnTime) {
			late++
		} else {
			onTime++
		}
	}
	now := start
	for range requests {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(run) / float64(2*slots)))
		for len(ends) > 0 && !ends[0].After(now) {
			freed := ends[0]
			ends = ends[1:]
			queue.SlotFreed(run, freed)
			if next := queue.Next(); next != nil {
				serve(next, freed)
			}
		}
		waiter := arriving(now)
		waiter.Latest = waiter.OnTime.Add(useful)
		if queue.Len() == 0 && len(ends) < slots {
			serve(waiter, now)
		} else {
			queue.Join(waiter, now)
		}
	}
	return onTime, late
}

// TestAcceptedRequestsAreServedInTime draws arrivals at a queue whose slots become free one after the other at the rate that
// the run times imply. Each accepted request must get its slot at most one interval between free slots after its OnTime, or
// while the slot is of use if no request could be on time, and none may be rejected while nobody waits.
func TestAcceptedRequestsAreServedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 30).Draw(t, "places")
		run := time.Duration(rapid.IntRange(10, 600).Draw(t, "run")) * time.Millisecond
		queue := busyQueue(slots, run)
		each := run / time.Duration(slots)
		nextFree := start.Add(each)
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond)
			for ; !nextFree.After(now); nextFree = nextFree.Add(each) {
				if served := queue.Next(); served != nil {
					until := served.OnTime.Add(each)
					if each > objective {
						until = served.Latest
					}
					assert.Assert(t, !nextFree.After(until), "served %v late", nextFree.Sub(served.OnTime))
				}
			}
			waiting := queue.Len()
			if accepted := queue.Join(arriving(now), now); !accepted {
				assert.Assert(t, waiting > 0, "rejected though nobody waits")
			}
		}
	})
}

// TestWrongRejectionsAreCounted rejects two requests that are of no use once they are late, and then has one slot become free
// that nobody waits for, before or after that.
func TestWrongRejectionsAreCounted(t *testing.T) {
	for _, freed := range []struct {
		after           time.Duration
		wronglyRejected int
	}{{objective, 1}, {objective + 1, 0}} {
		queue := busyQueue(1, time.Second)
		for range 2 {
			hurried := arriving(start)
			hurried.Latest = hurried.OnTime
			assert.Assert(t, !queue.Join(hurried, start))
		}
		queue.SlotFreed(time.Second, start.Add(freed.after))
		tally, _ := queue.Tally()
		assert.DeepEqual(t, tally, waitqueue.Tally{Rejected: 2, WronglyRejected: freed.wronglyRejected})
	}
}

// TestTenantWithManyRequestsDoesNotHoldUpOthers has one tenant fill the queue before others arrive, each with one request.
func TestTenantWithManyRequestsDoesNotHoldUpOthers(t *testing.T) {
	now := time.Unix(100, 0)
	queue := &waitqueue.Queue{}
	join := func(tenant ident.Tenant, rank int) *waitqueue.Waiter {
		waiter := &waitqueue.Waiter{Tenant: tenant, Rank: rank, OnTime: now.Add(time.Second), Latest: now.Add(5 * time.Second)}
		assert.Assert(t, queue.Join(waiter, now))
		return waiter
	}
	for range 20 {
		join("hot", 1)
	}
	quiet := []*waitqueue.Waiter{join("a", 1), join("b", 1), join("c", 0)}
	taken := map[*waitqueue.Waiter]int{}
	for position := range 23 {
		taken[queue.Next()] = position
	}
	for _, waiter := range quiet {
		assert.Assert(t, taken[waiter] <= 4, "%s waits for %d others", waiter.Tenant, taken[waiter])
	}
	assert.Assert(t, queue.Next() == nil)
}

// TestMoreUrgentTenantHasMoreTurns has two tenants of different ranks keep the queue full.
func TestMoreUrgentTenantHasMoreTurns(t *testing.T) {
	now := time.Unix(100, 0)
	queue := &waitqueue.Queue{}
	for range 40 {
		for rank, tenant := range []ident.Tenant{"urgent", "other"} {
			queue.Join(&waitqueue.Waiter{Tenant: tenant, Rank: rank, OnTime: now.Add(time.Second), Latest: now.Add(5 * time.Second)}, now)
		}
	}
	turns := map[ident.Tenant]int{}
	for range 30 {
		turns[queue.Next().Tenant]++
	}
	assert.Assert(t, turns["urgent"] >= 19 && turns["urgent"] <= 21, "%v", turns)
}

// TestLineWithoutTenantsIsOrderedByTheTimeLeft draws requests of no tenant.
func TestQueueWithoutTenantsIsOrderedByTheTimeLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		queue := &waitqueue.Queue{}
		for _, left := range rapid.SliceOfN(rapid.IntRange(1, 2000), 1, 40).Draw(t, "left") {
			onTime := now.Add(time.Duration(left) * time.Millisecond)
			queue.Join(&waitqueue.Waiter{OnTime: onTime, Latest: onTime.Add(time.Second)}, now)
		}
		before := time.Time{}
		for next := queue.Next(); next != nil; next = queue.Next() {
			assert.Assert(t, !next.OnTime.Before(before))
			before = next.OnTime
		}
	})
}
