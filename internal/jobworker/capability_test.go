package jobworker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCapabilityDecidesWhoClaimsAndWhoLeaves guards against jobs that nobody may claim, and jobs that are passed round though no node can do better.
func TestCapabilityDecidesWhoClaimsAndWhoLeaves(t *testing.T) {
	const step, idle = time.Second, 5 * time.Second
	for _, each := range []struct {
		own, most, total int
		able             capability
		delay            time.Duration
		mayClaim         bool
		limit            time.Duration
		mayRelease       bool
	}{
		{own: 0, most: 0, total: 0, able: ownsMost, mayClaim: true, limit: idle, mayRelease: true},
		{own: 2, most: 2, total: 2, able: ownsMost, mayClaim: true, limit: idle, mayRelease: true},
		{own: 1, most: 1, total: 3, able: ownsMost, mayClaim: true, limit: idle, mayRelease: true},
		{own: 1, most: 2, total: 2, able: ownsSome, delay: 4 * step, mayClaim: true, limit: idle / 4, mayRelease: true},
		{own: 0, most: 1, total: 2, able: borrowsAll, limit: idle / 4, mayRelease: true},
		{own: 0, most: 0, total: 2, able: noRunner, delay: idle, mayClaim: true},
	} {
		assert.Equal(t, capabilityOf(each.own, each.most, each.total), each.able, "%+v", each)
		delay, mayClaim := claimDelayFor(each.able, step, idle)
		assert.Equal(t, mayClaim, each.mayClaim, "%+v", each)
		assert.Equal(t, delay, each.delay, "%+v", each)
		limit, mayRelease := idleLimit(each.able, false, idle)
		assert.Equal(t, mayRelease, each.mayRelease, "%+v", each)
		assert.Equal(t, limit, each.limit, "%+v", each)
	}
	_, mayRelease := idleLimit(ownsMost, true, idle)
	assert.Assert(t, !mayRelease, "a job that waits for its turn is released")
}
