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

// passed is a message as another node gets it.
func passed[T any](t assert.TestingT, message *T) (got *T, bytes int) {
	encoded, err := jsoncall.Encoding{}.Marshal(message)
	assert.NilError(t, err)
	got = new(T)
	assert.NilError(t, jsoncall.Encoding{}.Unmarshal(encoded, got))
	return got, len(encoded)
}

// asker is a node that asks a feed.
type asker struct {
	copy    fleetfeed.Copy
	workers uint64
}

// ask has the node ask for what is there, and returns the list that it has then and the bytes of the answer.
func (a *asker) ask(t assert.TestingT, feed *fleetfeed.Feed) ([]work.Runner, int) {
	known := &fleetfeed.Known{}
	a.copy.Tell(known)
	known.WorkersPrint = a.workers
	known, _ = passed(t, known)
	snapshot, err := feed.Snapshot(context.Background(), known)
	assert.NilError(t, err)
	snapshot, bytes := passed(t, snapshot)
	assert.NilError(t, a.copy.Complete(snapshot))
	a.workers = snapshot.WorkersPrint
	return snapshot.Runners, bytes
}

func listed(runners []work.Runner) map[ident.Incarnation]work.Runner {
	found := map[ident.Incarnation]work.Runner{}
	for _, runner := range runners {
		found[runner.ID] = runner
	}
	return found
}

// TestNodeHasTheListOfItsFeed draws readings of few and many runners, which a node hears of or misses, and feeds that start anew or another
// that the node asks meanwhile: what it makes of the changes is the newest list of the feed that answered.
func TestNodeHasTheListOfItsFeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		newFeed := func() *fleetfeed.Feed { return fleetfeed.New(func() time.Time { return now }) }
		feeds := []*fleetfeed.Feed{newFeed(), newFeed()}
		most := rapid.SampledFrom([]int{3, 8, 150}).Draw(t, "runners")
		node := &asker{}
		var list []work.Runner
		for range rapid.IntRange(1, 40).Draw(t, "readings") {
			now = now.Add(time.Second)
			list = append([]work.Runner{}, list...)
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				id := ident.Incarnation(fmt.Sprint("i-", rapid.IntRange(1, most).Draw(t, "runner")))
				list = changed(list, id, rapid.IntRange(0, 2).Draw(t, "slots"))
			}
			which := rapid.IntRange(0, 1).Draw(t, "feed")
			if rapid.IntRange(0, 9).Draw(t, "starts anew") == 0 {
				feeds[which] = newFeed()
			}
			feeds[which].Read(list, now.Unix(), now)
			if rapid.Bool().Draw(t, "heard") {
				got, _ := node.ask(t, feeds[which])
				assert.Equal(t, len(got), len(list))
				assert.DeepEqual(t, listed(got), listed(list))
			}
		}
	})
}

// changed returns the list with a runner that has so many slots, or without it where it is to have none.
func changed(list []work.Runner, id ident.Incarnation, slots int) []work.Runner {
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

// fleet are runners as registries name them.
func fleet(runners int) []work.Runner {
	var list []work.Runner
	for index := range runners {
		list = append(list, work.Runner{
			ID: ident.Incarnation(fmt.Sprintf("i-%010x", index*7919)), Service: "assistants", Address: fmt.Sprintf("10.%d.64.%d:8387", index%11, index%250),
			Zone: ident.Zone(fmt.Sprint("zone-", index%11)), Slots: 6, State: work.Ready, Registered: int64(1000 + index),
		})
	}
	return list
}

// TestReadingOfALargeFleetIsTheChangesAlone has a node hear a reading of 880 runners each second, one of which changes. A node may spend 3 kB
// a second on control, of which the fleet is one part among six.
func TestReadingOfALargeFleetIsTheChangesAlone(t *testing.T) {
	now := time.Unix(100, 0)
	feed := fleetfeed.New(func() time.Time { return now })
	list, node := fleet(880), &asker{}
	// As many workers as a fleet of that size has.
	var workers []fleetfeed.Worker
	for index := range 45 {
		workers = append(workers, fleetfeed.Worker{Node: ident.Node(fmt.Sprint("worker-", index)), Zone: "zone-1", Address: fmt.Sprintf("10.1.64.%d:8402", index)})
	}
	feed.Workers = func() []fleetfeed.Worker { return workers }
	feed.Read(list, 1, now)
	_, whole := node.ask(t, feed)
	for reading := range 20 {
		now = now.Add(time.Second)
		list = append([]work.Runner{}, list...)
		list[reading*40].State = work.Draining
		feed.Read(list, int64(2+reading), now)
		got, bytes := node.ask(t, feed)
		assert.DeepEqual(t, got, list)
		assert.Assert(t, bytes < 500, "%d bytes", bytes)
	}
	plain, err := json.Marshal(list)
	assert.NilError(t, err)
	t.Logf("whole %d bytes, %d as they are", whole, len(plain))
	// After a loss of all nodes 330 of them ask the three that read first, over links of 30 megabits a second: packed to a fifth the lists
	// are there within half a second, in which a request can wait for them.
	assert.Assert(t, whole < len(plain)/5, "%d bytes of %d", whole, len(plain))
}

// TestWorkersAreToldWhenTheyChange asks a feed whose workers come and go: they are told once, in whatever order they are listed.
func TestWorkersAreToldWhenTheyChange(t *testing.T) {
	now := time.Unix(100, 0)
	feed := fleetfeed.New(func() time.Time { return now })
	feed.Read(fleet(2), 1, now)
	first, second := fleetfeed.Worker{Node: "a", Zone: "z", Address: "1"}, fleetfeed.Worker{Node: "b", Zone: "z", Address: "2"}
	moved := fleetfeed.Worker{Node: "b", Zone: "z", Address: "3"}
	print := uint64(0)
	for _, step := range []struct {
		workers []fleetfeed.Worker
		told    int
	}{
		{nil, 0}, {[]fleetfeed.Worker{first}, 1}, {[]fleetfeed.Worker{first, second}, 2}, {[]fleetfeed.Worker{second, first}, 0},
		{[]fleetfeed.Worker{first, moved}, 2}, {nil, 0},
	} {
		feed.Workers = func() []fleetfeed.Worker { return step.workers }
		snapshot, err := feed.Snapshot(t.Context(), &fleetfeed.Known{WorkersPrint: print})
		assert.NilError(t, err)
		assert.Equal(t, len(snapshot.Workers), step.told)
		assert.Equal(t, snapshot.WorkersPrint == 0, len(step.workers) == 0)
		print = snapshot.WorkersPrint
	}
}

// TestNodeOfAnOlderBuildIsToldTheListWhole asks as a node does that knows nothing of changes.
func TestNodeOfAnOlderBuildIsToldTheListWhole(t *testing.T) {
	now := time.Unix(100, 0)
	feed := fleetfeed.New(func() time.Time { return now })
	feed.Read(fleet(880), 1, now)
	for range 2 {
		now = now.Add(time.Second)
		feed.Read(fleet(881), now.Unix(), now)
		snapshot, err := feed.Snapshot(t.Context(), &fleetfeed.Known{})
		assert.NilError(t, err)
		assert.DeepEqual(t, snapshot.Runners, fleet(881))
		assert.Assert(t, snapshot.Since == 0 && snapshot.Packed == nil)
	}
}

// TestEntriesOfOneIDAreToldWhole lists two entries with one id, as a registry with entries of another writer may: changes could not tell them
// apart.
func TestEntriesOfOneIDAreToldWhole(t *testing.T) {
	now := time.Unix(100, 0)
	feed := fleetfeed.New(func() time.Time { return now })
	node := &asker{}
	for _, list := range [][]work.Runner{
		{{ID: "i-1", Address: "a"}},
		{{ID: "i-1", Address: "a"}, {ID: "i-1", Address: "b"}},
		{{ID: "i-1", Address: "b"}, {ID: "i-1", Address: "c"}},
		{{ID: "i-1", Address: "c"}},
	} {
		now = now.Add(time.Second)
		feed.Read(list, now.Unix(), now)
		got, _ := node.ask(t, feed)
		assert.DeepEqual(t, got, list)
	}
}

// TestChangesToAnotherListAreAGap gives a node changes to a list that it does not have, and a list that was cut on its way: it says so, and is
// told the whole list next.
func TestChangesToAnotherListAreAGap(t *testing.T) {
	copy := &fleetfeed.Copy{}
	assert.NilError(t, copy.Complete(&fleetfeed.Snapshot{Incarnation: 1, Reading: 3, Runners: fleet(2)}))
	assert.ErrorIs(t, copy.Complete(&fleetfeed.Snapshot{Incarnation: 1, Reading: 5, Since: 4}), fleetfeed.ErrGap)
	asked := &fleetfeed.Known{}
	copy.Tell(asked)
	assert.DeepEqual(t, asked, &fleetfeed.Known{Unpacks: true})
	assert.NilError(t, copy.Complete(&fleetfeed.Snapshot{Incarnation: 1, Reading: 3, Runners: fleet(2)}))
	assert.ErrorIs(t, copy.Complete(&fleetfeed.Snapshot{Incarnation: 2, Reading: 5, Since: 3}), fleetfeed.ErrGap)
	assert.NilError(t, copy.Complete(&fleetfeed.Snapshot{Incarnation: 1, Reading: 3, Runners: fleet(2)}))
	other := &fleetfeed.Snapshot{Incarnation: 1, Reading: 4, Since: 3, Gone: []ident.Incarnation{"i-other"}, Length: 1}
	assert.ErrorIs(t, copy.Complete(other), fleetfeed.ErrGap)
	assert.ErrorIs(t, copy.Complete(&fleetfeed.Snapshot{Packed: []byte{1, 2}}), jsoncall.ErrDamaged)
}
