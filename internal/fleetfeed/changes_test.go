package fleetfeed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jsoncall"
	"mallowlatch.example/mallowlatch/internal/work"
)

// roundTrip encodes and decodes a message, as on its way to another node. It also returns the encoded size.
func roundTrip[T any](t assert.TestingT, message *T) (got *T, bytes int) {
	encoded, err := jsoncall.Encoding{}.Marshal(message)
	assert.NilError(t, err)
	got = new(T)
	assert.NilError(t, jsoncall.Encoding{}.Unmarshal(encoded, got))
	return got, len(encoded)
}

// testNode is a node that requests snapshots from feeds.
type testNode struct {
	list    fleetfeed.RunnerListCopy
	workers uint64
}

// fetch requests a snapshot, and returns the node's runner list after it and the size of the answer.
func (n *testNode) fetch(t assert.TestingT, feed *fleetfeed.Feed) ([]work.Runner, int) {
	known := &fleetfeed.SnapshotRequest{}
	n.list.SetKnown(known)
	known.WorkersFingerprint = n.workers
	known, _ = roundTrip(t, known)
	snapshot, err := feed.Snapshot(context.Background(), known)
	assert.NilError(t, err)
	snapshot, bytes := roundTrip(t, snapshot)
	assert.NilError(t, n.list.Complete(snapshot))
	n.workers = snapshot.WorkersFingerprint
	return snapshot.Runners, bytes
}

func byID(runners []work.Runner) map[ident.Incarnation]work.Runner {
	found := map[ident.Incarnation]work.Runner{}
	for _, runner := range runners {
		found[runner.ID] = runner
	}
	return found
}

// TestNodeRestoresTheListOfItsFeed generates readings of few and many runners, some of which the node misses, feeds
// that restart, and switches between two feeds. The list that the node restores from the changes must always be the
// newest list of the feed that answered.
func TestNodeRestoresTheListOfItsFeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		newFeed := func() *fleetfeed.Feed { return fleetfeed.New(func() time.Time { return now }) }
		feeds := []*fleetfeed.Feed{newFeed(), newFeed()}
		most := rapid.SampledFrom([]int{3, 8, 150}).Draw(t, "runners")
		node := &testNode{}
		var list []work.Runner
		for range rapid.IntRange(1, 40).Draw(t, "readings") {
			now = now.Add(time.Second)
			list = append([]work.Runner{}, list...)
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				id := ident.Incarnation(fmt.Sprint("i-", rapid.IntRange(1, most).Draw(t, "runner")))
				list = withSlots(list, id, rapid.IntRange(0, 2).Draw(t, "slots"))
			}
			which := rapid.IntRange(0, 1).Draw(t, "feed")
			if rapid.IntRange(0, 9).Draw(t, "starts anew") == 0 {
				feeds[which] = newFeed()
			}
			feeds[which].RecordRunners(list, now.Unix(), now)
			if rapid.Bool().Draw(t, "heard") {
				got, _ := node.fetch(t, feeds[which])
				assert.Equal(t, len(got), len(list))
				assert.DeepEqual(t, byID(got), byID(list))
			}
		}
	})
}

// withSlots returns the list with a runner of the given number of slots, or without the runner if the number is zero.
func withSlots(list []work.Runner, id ident.Incarnation, slots int) []work.Runner {
	var after []work.Runner
	for _, runner := range list {
		if runner.ID != id {
			after = append(after, runner)
		}
	}
	if slots == 0 {
		return after
	}
	return append(after, work.Runner{ID: id, Service: "s", Slots: slots})
}

// fleet returns a list of runners with names as in real registries.
func fleet(runners int) []work.Runner {
	var list []work.Runner
	for index := range runners {
		list = append(list, work.Runner{
			ID: ident.Incarnation(fmt.Sprintf("i-%010x", index*7919)), Service: "assistants",
			Address: fmt.Sprintf("10.%d.64.%d:8387", index%11, index%250),
			Zone:    ident.Zone(fmt.Sprint("zone-", index%11)), Slots: 6, State: work.Ready, Registered: int64(1000 + index),
		})
	}
	return list
}

// TestReadingOfALargeFleetIsSentAsChanges has a node receive a reading of 880 runners each second, one of which
// changes. A node may spend 3 kB/s on control traffic, of which the fleet feed is one of six parts.
func TestReadingOfALargeFleetIsSentAsChanges(t *testing.T) {
	now := time.Unix(100, 0)
	feed := fleetfeed.New(func() time.Time { return now })
	list, node := fleet(880), &testNode{}
	// A fleet of this size has about this number of workers.
	var workers []fleetfeed.Worker
	for index := range 45 {
		workers = append(workers, fleetfeed.Worker{
			Node: ident.Node(fmt.Sprint("worker-", index)), Zone: "zone-1", Address: fmt.Sprintf("10.1.64.%d:8402", index),
		})
	}
	feed.Workers = func() []fleetfeed.Worker { return workers }
	feed.RecordRunners(list, 1, now)
	_, whole := node.fetch(t, feed)
	for reading := range 20 {
		now = now.Add(time.Second)
		list = append([]work.Runner{}, list...)
		list[reading*40].State = work.Draining
		feed.RecordRunners(list, int64(2+reading), now)
		got, bytes := node.fetch(t, feed)
		assert.DeepEqual(t, got, list)
		assert.Assert(t, bytes < 500, "%d bytes", bytes)
	}
	plain, err := json.Marshal(list)
	assert.NilError(t, err)
	t.Logf("full list: %d bytes compressed, %d bytes as plain JSON", whole, len(plain))
	// After a simultaneous restart of all nodes, 330 of them request the list from the three that read it first, over
	// links of 30 Mbit/s. Compressed to a fifth, the lists arrive within half a second, for which a request can wait.
	assert.Assert(t, whole < len(plain)/5, "%d bytes of %d", whole, len(plain))
}

// TestWorkersAreSentWhenTheyChange requests snapshots from a feed whose workers come and go. Each set of workers must
// be sent once, regardless of its order.
func TestWorkersAreSentWhenTheyChange(t *testing.T) {
	now := time.Unix(100, 0)
	feed := fleetfeed.New(func() time.Time { return now })
	feed.RecordRunners(fleet(2), 1, now)
	first, second := fleetfeed.Worker{Node: "a", Zone: "z", Address: "1"}, fleetfeed.Worker{Node: "b", Zone: "z", Address: "2"}
	moved := fleetfeed.Worker{Node: "b", Zone: "z", Address: "3"}
	fingerprint := uint64(0)
	for _, step := range []struct {
		workers []fleetfeed.Worker
		sent    int
	}{
		{nil, 0}, {[]fleetfeed.Worker{first}, 1}, {[]fleetfeed.Worker{first, second}, 2}, {[]fleetfeed.Worker{second, first}, 0},
		{[]fleetfeed.Worker{first, moved}, 2}, {nil, 0},
	} {
		feed.Workers = func() []fleetfeed.Worker { return step.workers }
		snapshot, err := feed.Snapshot(t.Context(), &fleetfeed.SnapshotRequest{WorkersFingerprint: fingerprint})
		assert.NilError(t, err)
		assert.Equal(t, len(snapshot.Workers), step.sent)
		assert.Equal(t, snapshot.WorkersFingerprint == 0, len(step.workers) == 0)
		fingerprint = snapshot.WorkersFingerprint
	}
}

// TestNodeOfAnOlderVersionReceivesTheFullList requests a snapshot as a node does that does not support changes.
func TestNodeOfAnOlderVersionReceivesTheFullList(t *testing.T) {
	now := time.Unix(100, 0)
	feed := fleetfeed.New(func() time.Time { return now })
	feed.RecordRunners(fleet(880), 1, now)
	for range 2 {
		now = now.Add(time.Second)
		feed.RecordRunners(fleet(881), now.Unix(), now)
		snapshot, err := feed.Snapshot(t.Context(), &fleetfeed.SnapshotRequest{})
		assert.NilError(t, err)
		assert.DeepEqual(t, snapshot.Runners, fleet(881))
		assert.Assert(t, snapshot.Since == 0 && snapshot.Packed == nil)
	}
}

// TestListWithDuplicateIDsIsSentInFull lists two entries with one id, as a registry with entries of another writer
// may. Changes could not distinguish them.
func TestListWithDuplicateIDsIsSentInFull(t *testing.T) {
	now := time.Unix(100, 0)
	feed := fleetfeed.New(func() time.Time { return now })
	node := &testNode{}
	for _, list := range [][]work.Runner{
		{{ID: "i-1", Address: "a"}},
		{{ID: "i-1", Address: "a"}, {ID: "i-1", Address: "b"}},
		{{ID: "i-1", Address: "b"}, {ID: "i-1", Address: "c"}},
		{{ID: "i-1", Address: "c"}},
	} {
		now = now.Add(time.Second)
		feed.RecordRunners(list, now.Unix(), now)
		got, _ := node.fetch(t, feed)
		assert.DeepEqual(t, got, list)
	}
}

// TestChangesToAnotherListAreAGap gives a node changes to a list that it does not have, and a truncated compressed
// list. The node must report an error and then request the full list.
func TestChangesToAnotherListAreAGap(t *testing.T) {
	nodeCopy := &fleetfeed.RunnerListCopy{}
	assert.NilError(t, nodeCopy.Complete(&fleetfeed.Snapshot{Incarnation: 1, Reading: 3, Runners: fleet(2)}))
	assert.ErrorIs(t, nodeCopy.Complete(&fleetfeed.Snapshot{Incarnation: 1, Reading: 5, Since: 4}), fleetfeed.ErrGap)
	known := &fleetfeed.SnapshotRequest{}
	nodeCopy.SetKnown(known)
	assert.DeepEqual(t, known, &fleetfeed.SnapshotRequest{Unpacks: true})
	assert.NilError(t, nodeCopy.Complete(&fleetfeed.Snapshot{Incarnation: 1, Reading: 3, Runners: fleet(2)}))
	assert.ErrorIs(t, nodeCopy.Complete(&fleetfeed.Snapshot{Incarnation: 2, Reading: 5, Since: 3}), fleetfeed.ErrGap)
	assert.NilError(t, nodeCopy.Complete(&fleetfeed.Snapshot{Incarnation: 1, Reading: 3, Runners: fleet(2)}))
	other := &fleetfeed.Snapshot{Incarnation: 1, Reading: 4, Since: 3, Gone: []ident.Incarnation{"i-other"}, Length: 1}
	assert.ErrorIs(t, nodeCopy.Complete(other), fleetfeed.ErrGap)
	assert.ErrorIs(t, nodeCopy.Complete(&fleetfeed.Snapshot{Packed: []byte{1, 2}}), jsoncall.ErrDamaged)
}

// TestSnapshotDoesNotWalkTheWorkers counts the allocations of snapshots for nodes that have the list of workers, in fleets of several
// sizes: a fingerprint allocates for each worker with a name as long as these, and is made once for each list.
func TestSnapshotDoesNotWalkTheWorkers(t *testing.T) {
	var allocations []float64
	for _, count := range []int{15, 150, 300} {
		var workers []fleetfeed.Worker
		for index := range count {
			workers = append(workers, fleetfeed.Worker{Node: ident.Node(fmt.Sprintf("worker-%040d", index)), Zone: "z", Address: "a"})
		}
		feed := fleetfeed.New(time.Now)
		feed.Workers = func() []fleetfeed.Worker { return workers }
		feed.RecordRunners([]work.Runner{{ID: "i-1"}}, 1, time.Now())
		snapshot, err := feed.Snapshot(context.Background(), &fleetfeed.SnapshotRequest{})
		assert.NilError(t, err)
		known := &fleetfeed.SnapshotRequest{WorkersFingerprint: snapshot.WorkersFingerprint}
		allocations = append(allocations, testing.AllocsPerRun(20, func() { _, _ = feed.Snapshot(context.Background(), known) }))
	}
	assert.Assert(t, allocations[2] <= allocations[0]+2, "%v", allocations)
}
