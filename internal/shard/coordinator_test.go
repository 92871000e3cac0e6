package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCoordinatorChangesASetStoredInAnyOrder keeps a failure of a fleet of processes: a first set stored in the order of
// its places never equalled the replica's sorted one, so a wiped disk was never replaced.
func TestCoordinatorChangesASetStoredInAnyOrder(t *testing.T) {
	first, second, wiped := Member{Node: "a"}, Member{Node: "b"}, Member{Node: "c"}
	stored := Configuration{
		Epoch:    1,
		Members:  []Member{wiped, first, second},
		Seasoned: []Member{second, wiped, first},
	}
	status := Status{
		Self:          first,
		Role:          Leader,
		Configuration: stored.normalise(),
		Activated:     1,
		Others: []MemberStatus{
			{Member: second, Match: 1},
			{Member: wiped, Silence: time.Hour},
		},
	}
	settings := DefaultPlanSettings()
	coordinator := NewCoordinator(settings, 1)
	coordinator.Observe(stored, 1)

	read, due := coordinator.Tick(time.Second, status, World{})
	assert.Assert(t, due)
	assert.Assert(t, read.Swap == nil)
	coordinator.Result(time.Second, read, StoreResult{Outcome: StoreDone, Configuration: stored, Revision: 1})
	swap, due := coordinator.Tick(2*time.Second, status, World{})
	assert.Assert(t, due && swap.Swap != nil, "no change of the set was asked for")
	assert.DeepEqual(t, swap.Swap.Members, []Member{first, second})
}
