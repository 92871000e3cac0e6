package waitqueue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/waitqueue"
)

// yieldingQueue returns a queue in which the requests of one tenant yield.
func yieldingQueue(slots int, run time.Duration) *waitqueue.Queue {
	queue := busyQueue(slots, run)
	queue.Yields = func(waiter *waitqueue.Waiter) bool { return waiter.Tenant == "hot" }
	return queue
}

func waiterOf(tenant ident.Tenant, kind int, at time.Time) *waitqueue.Waiter {
	waiter := arriving(at)
	waiter.Tenant, waiter.Kind = tenant, kind
	return waiter
}

// TestYieldingRequestsWaitBehindOthers has requests of a tenant over its share wait, and one of another tenant arrive after
// them. It must be served first, and wait no longer than if they were not there.
func TestYieldingRequestsWaitBehindOthers(t *testing.T) {
	queue := yieldingQueue(10, 200*time.Millisecond)
	first, second := waiterOf("hot", 0, start), waiterOf("hot", 0, start)
	assert.Assert(t, queue.Join(first, start) && queue.Join(second, start))
	other := waiterOf("other", 0, start.Add(time.Millisecond))
	assert.Assert(t, !queue.MustWait(other))
	assert.Assert(t, queue.MustWait(waiterOf("hot", 0, start)))
	assert.Assert(t, queue.Join(other, start.Add(time.Millisecond)))
	assert.Equal(t, queue.Next(), other)
	assert.Equal(t, queue.Next(), first)
	assert.Equal(t, queue.Next(), second)
}

// TestMoreUrgentKindGoesFirstAmongYielding has the less urgent kind arrive first.
func TestMoreUrgentKindGoesFirstAmongYielding(t *testing.T) {
	queue := yieldingQueue(10, 200*time.Millisecond)
	less, more := waiterOf("hot", 2, start), waiterOf("hot", 1, start.Add(time.Millisecond))
	assert.Assert(t, queue.Join(less, start) && queue.Join(more, start.Add(time.Millisecond)))
	assert.Equal(t, queue.Next(), more)
	assert.Equal(t, queue.Next(), less)
}

// TestYieldsThatIsAlwaysFalseChangesNothing draws operations on a queue with a Yields function that is always false, and on
// one without: both must treat all requests alike.
func TestYieldsThatIsAlwaysFalseChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "places")
		plain, asking := busyQueue(slots, 100*time.Millisecond), busyQueue(slots, 100*time.Millisecond)
		asking.Yields = func(*waitqueue.Waiter) bool { return false }
		now, twins := start, map[*waitqueue.Waiter]*waitqueue.Waiter{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "comes") {
				tenant, kind := ident.Tenant(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant")), rapid.IntRange(0, 2).Draw(t, "kind")
				one, other := waiterOf(tenant, kind, now), waiterOf(tenant, kind, now)
				assert.Equal(t, plain.MustWait(one), asking.MustWait(other))
				joined := plain.Join(one, now)
				assert.Equal(t, joined, asking.Join(other, now))
				twins[one] = other
				continue
			}
			one, other := plain.Next(), asking.Next()
			assert.Equal(t, one == nil, other == nil)
			if one == nil {
				continue
			}
			assert.Equal(t, twins[one], other)
			plain.RecordWait(one, now)
			asking.RecordWait(other, now)
		}
		assert.Equal(t, plain.ExpectedWait(), asking.ExpectedWait())
	})
}

// TestExtraIsBoundedByNodesSlots has nodes with few and with many slots. Each may let an eighth of its slots be taken at a
// check, so that all nodes together take an eighth of theirs, and a node that uses none must get its first slot after a few
// checks.
func TestExtraIsBoundedByNodesSlots(t *testing.T) {
	for _, slots := range []int{0, 1, 4, 8, 100} {
		queue := busyQueue(max(slots, 1), 100*time.Millisecond)
		if slots == 0 {
			queue.SlotFreed(100*time.Millisecond, start)
		}
		taken := 0
		for range 80 {
			taken += queue.ExtraYielding()
		}
		assert.Equal(t, taken, max(10*slots, 20))
	}
}
