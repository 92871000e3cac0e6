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

// flat puts all zones equally far from each other.
func flat(ident.Zone, ident.Zone) float64 { return 1 }

// TestPlannerChoosesAsAnew changes members, zones and runners at random and compares the planner's choices, which it keeps
// from plan to plan, with those made anew.
func TestPlannerChoosesAsAnew(t *testing.T) {
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
			planner.Plan(now, runners, members, flat)
			for _, runner := range runners {
				expected, any := ownership.Choose(runner.ID, runner.Zone, members, flat)
				owner, known := planner.Owner(runner.ID, now)
				assert.Equal(t, known, any, "runner %s", runner.ID)
				assert.Equal(t, owner, expected.Node, "runner %s", runner.ID)
			}
		}
	})
}

// BenchmarkPlan is one plan of a node of the design size.
func BenchmarkPlan(b *testing.B) {
	planner := ownership.NewPlanner(ownership.DefaultConfig(), "node-000")
	var members []membership.Member
	for index := range 330 {
		members = append(members, membership.Member{Node: ident.Node(fmt.Sprintf("node-%03d", index)), Zone: ident.Zone(fmt.Sprint("zone-", index%11))})
	}
	var runners []ownership.Runner
	for index := range 880 {
		runners = append(runners, ownership.Runner{ID: ident.Runner(fmt.Sprintf("10.%d.0.%d:9000", index%11, index/11)), Zone: ident.Zone(fmt.Sprint("zone-", index%11))})
	}
	now := time.Unix(1_800_000_000, 0)
	for b.Loop() {
		now = now.Add(500 * time.Millisecond)
		planner.Plan(now, runners, members, flat)
	}
}
