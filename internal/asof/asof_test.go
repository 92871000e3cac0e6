package asof_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/asof"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func TestZeroFactIsOlderThanAnyBound(t *testing.T) {
	var fact asof.Fact[int]
	assert.Assert(t, !fact.Within(100*365*24*time.Hour, start))
}

// TestFactKeepsNewestValue renews a fact in random order and checks that it has the value and the age of the latest time.
func TestFactKeepsNewestValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		moments := rapid.SliceOfNDistinct(rapid.IntRange(0, 10_000), 1, 20, rapid.ID[int]).Draw(t, "moments")
		var fact asof.Fact[int]
		newest := -1
		for _, moment := range moments {
			accepted := fact.Renew(moment, start.Add(time.Duration(moment)*time.Millisecond))
			assert.Equal(t, accepted, moment > newest)
			newest = max(newest, moment)
		}
		now := start.Add(time.Minute)
		age := now.Sub(start) - time.Duration(newest)*time.Millisecond
		assert.Equal(t, fact.Value(), newest)
		assert.Equal(t, fact.Age(now), age)
		assert.Assert(t, fact.Within(age+1, now) && !fact.Within(age, now))
	})
}
