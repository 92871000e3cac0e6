package waitline_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/waitline"
)

// yielding is a line in which the requests of one tenant yield.
func yielding(places int, run time.Duration) *waitline.Line {
	line := holding(places, run)
	line.Yields = func(waiter *waitline.Waiter) bool { return waiter.Tenant == "hot" }
	return line
}

func of(tenant ident.Tenant, kind int, at time.Time) *waitline.Waiter {
	waiter := arriving(at)
	waiter.Tenant, waiter.Kind = tenant, kind
	return waiter
}

// TestWhatYieldsWaitsBehindTheOthers has requests of a tenant over its share wait, and one of another tenant come after them: it goes first, and
// waits no longer than were they not there.
func TestWhatYieldsWaitsBehindTheOthers(t *testing.T) {
	line := yielding(10, 200*time.Millisecond)
	first, second := of("hot", 0, start), of("hot", 0, start)
	assert.Assert(t, line.Join(first, start) && line.Join(second, start))
	other := of("other", 0, start.Add(time.Millisecond))
	assert.Assert(t, !line.MustWait(other))
	assert.Assert(t, line.MustWait(of("hot", 0, start)))
	assert.Assert(t, line.Join(other, start.Add(time.Millisecond)))
	assert.Equal(t, line.Next(), other)
	assert.Equal(t, line.Next(), first)
	assert.Equal(t, line.Next(), second)
}

// TestMoreUrgentKindGoesFirstAmongThoseThatYield has a less urgent kind come first.
func TestMoreUrgentKindGoesFirstAmongThoseThatYield(t *testing.T) {
	line := yielding(10, 200*time.Millisecond)
	less, more := of("hot", 2, start), of("hot", 1, start.Add(time.Millisecond))
	assert.Assert(t, line.Join(less, start) && line.Join(more, start.Add(time.Millisecond)))
	assert.Equal(t, line.Next(), more)
	assert.Equal(t, line.Next(), less)
}

// TestLineInWhichNothingYieldsIsAsWithout draws what happens at a line that asks whether requests yield, and at one that does not: the same comes
// of all requests.
func TestLineInWhichNothingYieldsIsAsWithout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.IntRange(1, 8).Draw(t, "places")
		plain, asking := holding(places, 100*time.Millisecond), holding(places, 100*time.Millisecond)
		asking.Yields = func(*waitline.Waiter) bool { return false }
		now, twins := start, map[*waitline.Waiter]*waitline.Waiter{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "comes") {
				tenant, kind := ident.Tenant(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "tenant")), rapid.IntRange(0, 2).Draw(t, "kind")
				one, other := of(tenant, kind, now), of(tenant, kind, now)
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
			plain.Served(one, now)
			asking.Served(other, now)
		}
		assert.Equal(t, plain.Return(), asking.Return())
	})
}

// TestLooksOfThoseThatYieldAreBoundedByWhatTheNodeHas has nodes with few and with many places: all nodes together take an eighth of what they have at a
// look, and a node that has none gets its first before long.
func TestLooksOfThoseThatYieldAreBoundedByWhatTheNodeHas(t *testing.T) {
	for _, places := range []int{0, 1, 4, 8, 100} {
		line := holding(max(places, 1), 100*time.Millisecond)
		if places == 0 {
			line.Freed(100*time.Millisecond, start)
		}
		taken := 0
		for range 80 {
			taken += line.Extra()
		}
		assert.Equal(t, taken, max(10*places, 20))
	}
}
