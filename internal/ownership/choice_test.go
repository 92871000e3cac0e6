package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/ownership"
)

// equalDistance returns the same distance between all zones.
func equalDistance(ident.Zone, ident.Zone) float64 { return 1 }

// TestCachedChoicesEqualFreshOnes changes members, zones and runners at random and compares the planner's choices, which are cached
// between plans, with those of Choose.
func TestCachedChoicesEqualFreshOnes(t *testing.T) {
	zones := []ident.Zone{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		planner := ownership.NewPlanner(ownership.DefaultConfig(), "n0")
		var members []membership.Member
		for index := range 6 {
			members = append(members, membership.Member{Node: ident.Node(fmt.Sprint("n", index)), Zone: zones[index%2]})
		}
		runners := []ownership.Runner{{ID: "r0", Zone: "a"}, {ID: "r1", Zone: "b"}, {ID: "r2", Zone: "c"}}
		now := time.Unix(1_800_000_000, 0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			changed := rapid.IntRange(0, len(members)-1).Draw(t, "member")
			members[changed].State = membership.State(rapid.IntRange(0, 3).Draw(t, "state"))
			if rapid.IntRange(0, 4).Draw(t, "moves") == 0 {
				members[changed].Zone = rapid.SampledFrom(zones).Draw(t, "member's zone")
				runners[0].Zone = rapid.SampledFrom(zones).Draw(t, "runner's zone")
			}
			now = now.Add(time.Second)
			planner.Plan(now, runners, members, equalDistance)
			for _, runner := range runners {
				expected, any := ownership.Choose(runner.ID, runner.Zone, members, equalDistance)
				owner, known := planner.Owner(runner.ID, now)
				assert.Equal(t, known, any, "runner %s", runner.ID)
				assert.Equal(t, owner, expected.Node, "runner %s", runner.ID)
			}
		}
	})
}

// BenchmarkPlan measures one plan of a node at the design size.
func BenchmarkPlan(b *testing.B) {
	planner := ownership.NewPlanner(ownership.DefaultConfig(), "node-000")
	var members []membership.Member
	for index := range 330 {
		members = append(members, membership.Member{
			Node: ident.Node(fmt.Sprintf("node-%03d", index)), Zone: ident.Zone(fmt.Sprint("zone-", index%11)),
		})
	}
	var runners []ownership.Runner
	for index := range 880 {
		runners = append(runners, ownership.Runner{
			ID: ident.Runner(fmt.Sprintf("10.%d.0.%d:9000", index%11, index/11)), Zone: ident.Zone(fmt.Sprint("zone-", index%11)),
		})
	}
	now := time.Unix(1_800_000_000, 0)
	for b.Loop() {
		now = now.Add(500 * time.Millisecond)
		planner.Plan(now, runners, members, equalDistance)
	}
}

// TestNewNodeLeavesOtherZonesAlone starts a node before the members of another zone are known to it: it must not query their
// runners at once, and does so if no member of that zone has appeared after ForeignDelay.
func TestNewNodeLeavesOtherZonesAlone(t *testing.T) {
	config := ownership.DefaultConfig()
	planner := ownership.NewPlanner(config, "n0")
	members := []membership.Member{{Node: "n0", Zone: "a"}}
	runners := []ownership.Runner{{ID: "own", Zone: "a"}, {ID: "foreign", Zone: "b"}}
	start := time.Unix(1_800_000_000, 0)
	requestedAt := map[ident.Runner]time.Duration{}
	for now := start; now.Before(start.Add(2 * config.ForeignDelay)); now = now.Add(500 * time.Millisecond) {
		for _, runner := range planner.Plan(now, runners, members, equalDistance) {
			if _, before := requestedAt[runner]; !before {
				requestedAt[runner] = now.Sub(start)
			}
			planner.Failed(runner, now)
		}
	}
	assert.Equal(t, requestedAt["own"], time.Duration(0))
	assert.Equal(t, requestedAt["foreign"], config.ForeignDelay)
}
