package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/membership/membershipsim"
)

// convergenceTime is more than a fleet of test size needs to form.
const convergenceTime = 90 * time.Second

func newConvergedFleet(t *rapid.T, shape membershipsim.Shape, network membershipsim.Network) *membershipsim.Simulation {
	fleet := membershipsim.NewFleet(rapid.Uint64().Draw(t, "seed"), shape, membership.DefaultConfig(), network)
	if !fleet.RunUntil(convergenceTime, fleet.Agree) {
		t.Fatalf("no agreement: %s", fleet.Disagreement())
	}
	return fleet
}

func drawShape(t *rapid.T) membershipsim.Shape {
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	return membershipsim.Shape{Zones: zones, Nodes: zones * rapid.IntRange(2, 6).Draw(t, "nodes of a zone")}
}

func stateOf(viewer *membershipsim.Node, node ident.Node) membership.State {
	member, known := viewer.Core.Member(node)
	if !known {
		return membership.Dead
	}
	return member.State
}

func allSee(fleet *membershipsim.Simulation, node ident.Node, state membership.State) func() bool {
	return func() bool {
		for _, viewer := range fleet.Order {
			if viewer.Up && viewer.Self.Node != node && stateOf(viewer, node) != state {
				return false
			}
		}
		return true
	}
}

func TestDeadNodeIsFoundWithinBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		fleet := newConvergedFleet(t, shape, membershipsim.Healthy)
		victim := rapid.SampledFrom(fleet.Order).Draw(t, "victim")
		fleet.Stop(victim)
		bound := fleet.Config.DetectionBound(shape.Nodes/shape.Zones) + 2*fleet.Config.BridgePeriod
		if shape.Nodes == 2 {
			bound = fleet.Config.IsolatedDetectionBound(shape.Nodes)
		}
		if !fleet.RunUntil(bound, allSee(fleet, victim.Self.Node, membership.Dead)) {
			t.Fatalf("%s is not dead in every view after %s", victim.Self.Node, bound)
		}
	})
}

// The last live node of a zone receives messages only from other zones, and rarely. It must not consider itself isolated,
// or it would repeatedly revert its suspicion of the dead peer.
func TestLastNodeOfAZoneFindsTheDead(t *testing.T) {
	t.Parallel()
	shape := membershipsim.Shape{Zones: 2, Nodes: 4}
	for seed := range uint64(100) {
		fleet := membershipsim.NewFleet(seed, shape, membership.DefaultConfig(), membershipsim.Healthy)
		assert.Assert(t, fleet.RunUntil(convergenceTime, fleet.Agree), "seed %d: %s", seed, fleet.Disagreement())
		victim := fleet.Order[1]
		fleet.Stop(victim)
		bound := fleet.Config.DetectionBound(shape.Nodes/shape.Zones) + 2*fleet.Config.BridgePeriod
		found := fleet.RunUntil(bound, allSee(fleet, victim.Self.Node, membership.Dead))
		assert.Check(t, found, "seed %d: not dead in every view after %s", seed, bound)
	}
}

func TestLiveNodesSurviveLoss(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		fleet := newConvergedFleet(t, drawShape(t), membershipsim.Lossy(0.05))
		end := fleet.Now().Add(time.Minute)
		for fleet.Now().Before(end) {
			fleet.Run(2 * time.Second)
			for _, viewer := range fleet.Order {
				for _, member := range viewer.Core.View().Members {
					if member.State == membership.Dead {
						t.Fatalf("%s declared %s dead", viewer.Self.Node, member.Node)
					}
				}
			}
		}
	})
}

// After a network partition of any part of the fleet and any duration heals, all nodes agree, even if nodes died,
// restarted or were replaced during the partition.
func TestAgreementAfterHeal(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		side := map[ident.Node]bool{}
		cut := false
		fleet := newConvergedFleet(t, shape, func(from, to membership.Self) membershipsim.Link {
			link := membershipsim.Healthy(from, to)
			link.Cut = cut && side[from.Node] != side[to.Node]
			return link
		})
		wholeZones := rapid.Bool().Draw(t, "cut along zones")
		for index, node := range fleet.Order {
			side[node.Self.Node] = rapid.Bool().Draw(t, "side")
			if wholeZones {
				side[node.Self.Node] = side[fleet.Order[index%shape.Zones].Self.Node]
			}
		}
		cut = true
		fleet.Run(time.Duration(rapid.IntRange(1, 120).Draw(t, "cut seconds")) * time.Second)
		churn(t, fleet, shape)
		fleet.Run(time.Duration(rapid.IntRange(0, 60).Draw(t, "more seconds")) * time.Second)
		cut = false
		if !fleet.RunUntil(3*time.Minute, fleet.Agree) {
			t.Fatalf("no agreement after the heal: %s", fleet.Disagreement())
		}
	})
}

// churn restarts, replaces or stops some nodes, but not the seeds.
func churn(t *rapid.T, fleet *membershipsim.Simulation, shape membershipsim.Shape) {
	for _, node := range fleet.Order[min(len(fleet.Order), 2*shape.Zones):] {
		switch rapid.IntRange(0, 5).Draw(t, "fate") {
		case 0:
			fleet.Stop(node)
		case 1:
			fleet.Stop(node)
			fleet.Run(500 * time.Millisecond)
			fleet.Start(node, shape.Seeds())
		case 2:
			fleet.Exit(node)
			replacement := shape.NodeAt(len(fleet.Order))
			replacement.Zone, replacement.Region = node.Self.Zone, node.Self.Region
			fleet.Add(replacement, shape.Seeds())
		}
	}
}

func TestAnnouncedLeaveIsSeenWithinSeconds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		fleet := newConvergedFleet(t, drawShape(t), membershipsim.Healthy)
		leaver := rapid.SampledFrom(fleet.Order).Draw(t, "leaver")
		leaver.Core.Leave()
		if !fleet.RunUntil(10*time.Second, allSee(fleet, leaver.Self.Node, membership.Leaving)) {
			t.Fatalf("%s is not leaving in every view", leaver.Self.Node)
		}
		fleet.Exit(leaver)
		if !fleet.RunUntil(15*time.Second, allSee(fleet, leaver.Self.Node, membership.Dead)) {
			t.Fatalf("%s is not dead in every view", leaver.Self.Node)
		}
	})
}

// A process that resumes after a pause does not declare others dead and becomes a live member again.
func TestResumedNodeDeclaresNoOtherDead(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		fleet := newConvergedFleet(t, drawShape(t), membershipsim.Healthy)
		pausedNode := rapid.SampledFrom(fleet.Order).Draw(t, "sleeper")
		pausedNode.Paused = true
		fleet.Run(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		fleet.Resume(pausedNode)
		for range 20 {
			fleet.Run(2 * time.Second)
			for _, viewer := range fleet.Order {
				for _, member := range viewer.Core.View().Members {
					if member.State == membership.Dead && member.Node != pausedNode.Self.Node {
						t.Fatalf("%s has %s as dead", viewer.Self.Node, member.Node)
					}
				}
			}
		}
		if !fleet.RunUntil(30*time.Second, fleet.Agree) {
			t.Fatalf("no agreement: %s", fleet.Disagreement())
		}
	})
}

// Two nodes that cannot reach each other but can both reach a third do not suspect each other.
func TestBrokenLinkCausesNoSuspicion(t *testing.T) {
	shape := membershipsim.Shape{Nodes: 4, Zones: 1}
	cut := false
	fleet := membershipsim.NewFleet(1, shape, membership.DefaultConfig(), func(from, to membership.Self) membershipsim.Link {
		link := membershipsim.Healthy(from, to)
		link.Cut = cut && from.Node < "node-002" && to.Node < "node-002"
		return link
	})
	assert.Assert(t, fleet.RunUntil(convergenceTime, fleet.Agree), fleet.Disagreement())
	cut = true
	for range 60 {
		fleet.Run(time.Second)
		assert.Assert(t, fleet.Agree(), fleet.Disagreement())
	}
}

// A node whose own link fails temporarily causes no suspicions once the link is restored.
func TestIsolatedNodeCausesNoSuspicion(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cut := ident.Node("")
		shape := membershipsim.Shape{Zones: rapid.IntRange(1, 2).Draw(t, "zones")}
		shape.Nodes = shape.Zones * rapid.IntRange(3, 6).Draw(t, "nodes of a zone")
		fleet := newConvergedFleet(t, shape, func(from, to membership.Self) membershipsim.Link {
			link := membershipsim.Healthy(from, to)
			link.Cut = from.Node == cut || to.Node == cut
			return link
		})
		isolatedNode := rapid.SampledFrom(fleet.Order).Draw(t, "lonely").Self.Node
		cut = isolatedNode
		fleet.Run(time.Duration(rapid.IntRange(5, 20).Draw(t, "seconds")) * time.Second)
		cut = ""
		for range 50 {
			fleet.Run(200 * time.Millisecond)
			for _, viewer := range fleet.Order {
				for _, member := range viewer.Core.View().Members {
					if viewer.Self.Node != isolatedNode && member.Node != isolatedNode && member.State != membership.Alive {
						t.Fatalf("%s has %s as %s", viewer.Self.Node, member.Node, member.State)
					}
				}
			}
		}
		if !fleet.RunUntil(30*time.Second, fleet.Agree) {
			t.Fatalf("no agreement: %s", fleet.Disagreement())
		}
	})
}

// Members of a partitioned zone see each other as alive and the members of other zones as suspect, not dead, and vice
// versa.
func TestPartitionedZoneIsSuspect(t *testing.T) {
	shape := membershipsim.Shape{Nodes: 24, Zones: 4}
	cut := false
	fleet := membershipsim.NewFleet(1, shape, membership.DefaultConfig(), func(from, to membership.Self) membershipsim.Link {
		link := membershipsim.Healthy(from, to)
		link.Cut = cut && (from.Zone == "zone-03") != (to.Zone == "zone-03")
		return link
	})
	assert.Assert(t, fleet.RunUntil(convergenceTime, fleet.Agree), fleet.Disagreement())
	cut = true
	fleet.Run(fleet.Config.ReachableWithin + 5*time.Second)
	for _, viewer := range fleet.Order {
		for _, member := range viewer.Core.View().Members {
			want := membership.Alive
			if (viewer.Self.Zone == "zone-03") != (member.Zone == "zone-03") {
				want = membership.Suspect
			}
			assert.Equal(t, member.State, want, fmt.Sprint(viewer.Self.Node, member.Node))
		}
	}
}

// A zone that is lost as a whole has no members left to declare each other dead; the other zones treat its members as
// suspect because the zone is unreachable.
func TestLostZoneIsSuspect(t *testing.T) {
	shape := membershipsim.Shape{Nodes: 24, Zones: 4}
	fleet := membershipsim.NewFleet(1, shape, membership.DefaultConfig(), membershipsim.Healthy)
	assert.Assert(t, fleet.RunUntil(convergenceTime, fleet.Agree), fleet.Disagreement())
	for _, node := range fleet.Order {
		if node.Self.Zone == "zone-02" {
			fleet.Stop(node)
		}
	}
	fleet.Run(fleet.Config.ReachableWithin + 5*time.Second)
	assert.Assert(t, fleet.Agree(), fleet.Disagreement())
	for _, node := range fleet.Order {
		if node.Self.Zone == "zone-02" {
			fleet.Start(node, shape.Seeds())
		}
	}
	assert.Assert(t, fleet.RunUntil(time.Minute, fleet.Agree), fleet.Disagreement())
}
