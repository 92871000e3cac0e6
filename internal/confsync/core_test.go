package confsync_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lab/confsim"
)

// accept submits a change at a node and runs the fleet until the change is accepted.
func accept(t *testing.T, fleet *confsim.Fleet, node *confsim.Node, id string) confsim.Outcome {
	t.Helper()
	var ended *confsim.Outcome
	fleet.Submit(node, increment(node.State(), id), func(outcome confsim.Outcome) { ended = &outcome })
	for range 6000 {
		if ended != nil {
			assert.NilError(t, ended.Err)
			return *ended
		}
		fleet.Run(time.Millisecond)
	}
	t.Fatal("the change did not end")
	return confsim.Outcome{}
}

// TestOutageRightAfterAccept starts an outage of the key-value service as soon as a change is accepted, at any node and at one
// that is not a relay. Every node must receive the change from other nodes within the objective of two simulated seconds.
func TestOutageRightAfterAccept(t *testing.T) {
	for seed := range uint64(20) {
		for _, anyNode := range []bool{true, false} {
			fleet := confsim.New(simOptions(seed, 11, 110))
			fleet.Run(5 * time.Second)
			acceptor := fleet.Nodes()[seed]
			if !anyNode {
				acceptor = firstWithoutRelay(t, fleet.Nodes()[seed:])
			}
			accepted := accept(t, fleet, acceptor, "first")
			fleet.SetOutage(true)
			fleet.Run(2 * time.Second)
			assert.Equal(t, fleet.Lowest(), accepted.Change.Revision, "seed %d, any node: %v", seed, anyNode)
			assert.Equal(t, fleet.Violation, "")
		}
	}
}

// firstWithoutRelay returns the first node that is not a relay.
func firstWithoutRelay(t *testing.T, nodes []*confsim.Node) *confsim.Node {
	t.Helper()
	index := slices.IndexFunc(nodes, func(node *confsim.Node) bool { return !node.Relay() })
	assert.Assert(t, index >= 0)
	return nodes[index]
}

// TestAcceptorFailsDuringOutage permanently stops the node that accepted a change, and starts an outage of the key-value service,
// as soon as the operator is answered. The change must still reach every remaining node.
func TestAcceptorFailsDuringOutage(t *testing.T) {
	for seed := range uint64(20) {
		fleet := confsim.New(simOptions(seed, 11, 110))
		fleet.Run(5 * time.Second)
		acceptor := fleet.Nodes()[seed]
		accepted := int64(0)
		fleet.Submit(acceptor, increment(acceptor.State(), "first"), func(ended confsim.Outcome) {
			assert.NilError(t, ended.Err)
			accepted = ended.Change.Revision
			fleet.SetOutage(true)
			acceptor.Stop()
		})
		fleet.Run(3 * time.Second)
		assert.Equal(t, accepted, int64(1))
		assert.Equal(t, fleet.Lowest(), accepted, "seed %d", seed)
	}
}

// TestStaleNodeReturns pauses one node for twenty changes and restarts another from an old saved copy during an outage. Neither
// may revert a change, and both must catch up from other nodes.
func TestStaleNodeReturns(t *testing.T) {
	fleet := confsim.New(simOptions(7, 3, 9))
	fleet.Run(5 * time.Second)
	accept(t, fleet, fleet.Nodes()[0], "before")
	fleet.Run(3 * time.Second)
	paused, stopped := fleet.Nodes()[4], fleet.Nodes()[5]
	old := stopped.State()
	paused.SetPaused(true)
	stopped.Stop()
	for i := range 20 {
		accept(t, fleet, fleet.Nodes()[i%4], fmt.Sprint("change-", i))
		fleet.Run(time.Second)
	}
	fleet.SetOutage(true)
	paused.SetPaused(false)
	stopped.Restart(old)
	fleet.Run(10 * time.Second)
	assert.Equal(t, fleet.Lowest(), int64(21))
	assert.Equal(t, fleet.Violation, "")
}

// TestNodeThatMissedTheAnnouncementsCatchesUpDuringAnOutage has a node receive nothing while a change is announced, and an
// outage begin at once. The node must have the change within the objective of 6 s, from the digests of other nodes.
func TestNodeThatMissedTheAnnouncementsCatchesUpDuringAnOutage(t *testing.T) {
	for seed := range uint64(20) {
		fleet := confsim.New(simOptions(seed, 3, 9))
		fleet.Run(5 * time.Second)
		missing := fleet.Nodes()[4]
		missing.SetPaused(true)
		accepted := accept(t, fleet, fleet.Nodes()[0], "announced")
		fleet.SetOutage(true)
		fleet.Run(2 * time.Second)
		missing.SetPaused(false)
		fleet.Run(6 * time.Second)
		assert.Equal(t, fleet.Lowest(), accepted.Change.Revision, "seed %d", seed)
	}
}

// TestCutZoneCatchesUp partitions a zone, changes the configuration, and heals the partition during an outage. The zone must
// catch up from other nodes.
func TestCutZoneCatchesUp(t *testing.T) {
	fleet := confsim.New(simOptions(3, 4, 16))
	fleet.Run(5 * time.Second)
	cut := fleet.Zones()[2]
	fleet.SetCut(cut, true)
	accepted := accept(t, fleet, fleet.Nodes()[0], "while cut")
	fleet.Run(20 * time.Second)
	assert.Equal(t, fleet.Lowest(), int64(0))
	fleet.SetOutage(true)
	fleet.SetCut(cut, false)
	fleet.Run(6 * time.Second)
	assert.Equal(t, fleet.Lowest(), accepted.Change.Revision)
}

func newCore(node ident.Node) *confsync.Core {
	return confsync.NewCore(confsync.Peer{Node: node, Zone: "z"}, confsync.DefaultTiming(), 1, time.Unix(0, 0))
}

// TestWholeCopyWhenChangesAreGone brings an empty copy up to date from one that retains no individual changes, which requires a
// snapshot.
func TestWholeCopyWhenChangesAreGone(t *testing.T) {
	now := time.Unix(0, 0)
	writer, _, source, _ := newWriter(1)
	_, err := writer.Apply(context.Background(), put("a", "1"))
	assert.NilError(t, err)
	full, empty := newCore("full"), newCore("empty")
	full.Install(now, source.State())
	full.Drain()

	delta := full.HandleDigest(now, confsync.Digest{From: confsync.Peer{Node: "empty", Zone: "z"}})
	assert.Assert(t, delta.Snapshot)
	from := confsync.Peer{Node: "full", Zone: "z"}
	empty.HandleDelta(now, from, delta)
	sends := empty.Drain()
	assert.Equal(t, len(sends), 1)
	assert.Assert(t, sends[0].Snapshot)
	empty.HandleSnapshot(now, from, full.State())
	assert.Equal(t, empty.State(), full.State())
}

// TestLongTailComesInParts brings a copy up to date that lacks more changes than fit in one answer.
func TestLongTailComesInParts(t *testing.T) {
	now := time.Unix(0, 0)
	writer, _, source, _ := newWriter(1)
	value := string(make([]byte, 50<<10))
	for i := range 10 {
		_, err := writer.Apply(context.Background(), put(fmt.Sprint(i), value))
		assert.NilError(t, err)
	}
	behind := newCore("behind")
	from := confsync.Peer{Node: "source", Zone: "z"}
	behind.HandleDigest(now, confsync.Digest{From: from, Revision: 10})
	rounds := 0
	for sends := behind.Drain(); len(sends) > 0; sends = behind.Drain() {
		pulled := false
		for _, send := range sends {
			if send.To == from && !pulled {
				pulled = true
				behind.HandleDelta(now, from, source.core.HandleDigest(now, send.Digest))
			}
		}
		if !pulled {
			break
		}
		rounds++
	}
	assert.Equal(t, behind.State().Revision, int64(10))
	assert.Assert(t, rounds > 1)
}

// TestRelayCountPerZone checks that exactly RelaysPerZone nodes of each zone act as relays.
func TestRelayCountPerZone(t *testing.T) {
	fleet := confsim.New(simOptions(1, 11, 330))
	fleet.Run(time.Second)
	relays := map[ident.Zone]int{}
	for _, node := range fleet.Nodes() {
		if node.Relay() {
			relays[node.Peer().Zone]++
		}
	}
	for _, zone := range fleet.Zones() {
		assert.Equal(t, relays[zone], confsync.DefaultTiming().RelaysPerZone)
	}
}

// TestOnlyRelaysCallTheService runs 330 idle nodes for a simulated minute. Only relays may call the key-value service.
func TestOnlyRelaysCallTheService(t *testing.T) {
	fleet := confsim.New(simOptions(1, 11, 330))
	fleet.Run(time.Minute)
	for _, node := range fleet.Nodes() {
		if !node.Relay() {
			assert.Equal(t, node.Store().Calls(), 0)
		}
	}
}

// TestRestartWithoutDiskDuringOutage restarts a non-relay node with an empty copy during an outage. It must obtain the copy from
// its peers within 100 ms, without waiting for its first periodic digest.
func TestRestartWithoutDiskDuringOutage(t *testing.T) {
	for seed := range uint64(20) {
		fleet := confsim.New(simOptions(seed, 3, 12))
		fleet.Run(5 * time.Second)
		accept(t, fleet, fleet.Nodes()[0], "first")
		fleet.Run(3 * time.Second)
		fleet.SetOutage(true)
		nodes := fleet.Nodes()
		restarted := nodes[slices.IndexFunc(nodes, func(node *confsim.Node) bool { return !node.Relay() })]
		restarted.Stop()
		fleet.Run(10 * time.Second)
		restarted.Restart(confsync.EmptyState())
		fleet.Run(100 * time.Millisecond)
		assert.Equal(t, restarted.State().Revision, int64(1), "seed %d", seed)
	}
}

// TestAnyMessageIsHarmless sends a copy digests, answers and snapshots with arbitrary numbers. It must not panic, and its
// revision must not decrease.
func TestAnyMessageIsHarmless(t *testing.T) {
	revisions := rapid.OneOf(rapid.Int64(), rapid.Int64Range(-2, 12))
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		core := newCore("n")
		core.Install(now, confsync.NewState(rapid.Int64Range(0, 5).Draw(t, "start"), 7, nil))
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			before := core.State().Revision
			from := confsync.Peer{Node: ident.Node(rapid.SampledFrom([]string{"a", "b", "n", ""}).Draw(t, "from")), Zone: "z"}
			revision := revisions.Draw(t, "revision")
			chain := rapid.SampledFrom([]uint64{0, 7, 9}).Draw(t, "chain")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				core.HandleDigest(now, confsync.Digest{From: from, Revision: revision, Chain: chain})
			case 1:
				core.HandleDelta(now, from, confsync.Delta{
					Revision: revision, Chain: chain, Snapshot: rapid.Bool().Draw(t, "snapshot"),
					Changes: []confsync.Change{{Revision: revisions.Draw(t, "change"), Chain: chain}, {Revision: before + 1}},
				})
			case 2:
				core.HandleSnapshot(now, from, confsync.NewState(revision, chain, nil))
			default:
				core.Learn(now, []confsync.Change{{Revision: before + 1, ID: "x", Chain: nextOf(core.State().Chain, "x")}})
			}
			core.Tick(now)
			core.Drain()
			assert.Assert(t, core.State().Revision >= before)
		}
	})
}
