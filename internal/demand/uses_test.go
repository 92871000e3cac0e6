package demand

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUsesAreToldNowAndThen has a node with work at a worker tell it each 50 ms: what tenants take goes along at once, and then with every eighth
// report; a worker that is to be told nothing of tenants hears nothing.
func TestUsesAreToldNowAndThen(t *testing.T) {
	now := time.Unix(100, 0)
	known := &correspondent{}
	uses := []Use{{Service: "s", Tenant: "a", Taken: 3}}
	counts := []Count{{Runner: "r", Online: 1}}
	told := 0
	for range 17 {
		if known.lacks(counts, IdleRefreshEvery, now) || known.lacksUses(uses, now) {
			report := known.next(counts, now)
			if report.Uses = known.nextUses(uses, now); report.Uses != nil {
				told++
			}
		}
		now = now.Add(RefreshEvery)
	}
	assert.Equal(t, told, 3)
	assert.Assert(t, !known.lacksUses(nil, now.Add(time.Hour)))
}

// TestUsesAreToldToAWorkerWithoutWorkOfThisNode has nothing but uses to tell, to a worker of another zone.
func TestUsesAreToldToAWorkerWithoutWorkOfThisNode(t *testing.T) {
	now := time.Unix(100, 0)
	known := &correspondent{lastAt: now}
	assert.Assert(t, !known.lacks(nil, 9*time.Second, now.Add(time.Millisecond)))
	assert.Assert(t, known.lacksUses([]Use{{Service: "s", Tenant: "a", Taken: 3}}, now.Add(time.Millisecond)))
	known.notBefore = now.Add(time.Second)
	assert.Assert(t, !known.lacksUses([]Use{{Service: "s", Tenant: "a", Taken: 3}}, now.Add(time.Millisecond)), "it did not answer a moment ago")
}
