package jobworker

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// paceTold is what an owner tells a node of a runner's pace.
func paceTold(w *Worker, node ident.Node, sequence int64) demand.Share {
	return w.Demand(&demand.Report{Node: node, Sequence: sequence}).Shares[0]
}

// TestOwnerTellsNodesWhatOthersAndItemsHeard has one node hear that a runner is slow, and an item that it is no more. A second node hears of both, in
// that order, and the older word does not come back.
func TestOwnerTellsNodesWhatOthersAndItemsHeard(t *testing.T) {
	w, _ := demandWorker(t)
	now := time.Unix(1000, 0)
	w.Now = func() time.Time { return now }
	assert.Equal(t, paceTold(w, "second", 1).Pace, work.Pace(0), "nothing is known, and nothing told")
	w.Demand(&demand.Report{Node: "first", Sequence: 1, Counts: []demand.Count{{Runner: "r", Pace: 2.5, PaceAgeMs: 40}}})
	now = now.Add(60 * time.Millisecond)
	share := paceTold(w, "second", 2)
	assert.Equal(t, share.Pace, work.Pace(2.5))
	assert.Equal(t, share.PaceAgeMs, int64(100))
	item, err := w.Runners.StartAt("r", runnertable.Wish{Service: "s", Class: runnertable.Batch}, now)
	assert.NilError(t, err)
	item.Answered(&work.Load{Slots: 4, Pace: 1}, now)
	item.End()
	w.Demand(&demand.Report{Node: "first", Sequence: 2, Counts: []demand.Count{{Runner: "r", Pace: 2.5, PaceAgeMs: 100}}})
	share = paceTold(w, "second", 3)
	assert.Equal(t, share.Pace, work.Pace(1))
	assert.Equal(t, share.PaceAgeMs, int64(0))
	now = now.Add(5 * time.Second)
	share = paceTold(w, "second", 4)
	assert.Equal(t, share.Pace, work.Pace(0), "nobody can believe in the slow phase any more")
}

// TestOlderBuildsTellAndReadNoPace looks at what passes where nothing is known, and at a report of a build that tells none.
func TestOlderBuildsTellAndReadNoPace(t *testing.T) {
	w, _ := demandWorker(t)
	var report demand.Report
	assert.NilError(t, json.Unmarshal([]byte(`{"node":"old","sequence":1,"counts":[{"runner":"r","online":1}]}`), &report))
	answer := w.Demand(&report)
	encoded, err := json.Marshal(answer.Shares)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `[{"runner":"r","others":0,"batch":4}]`)
	encoded, err = json.Marshal(demand.Count{Runner: "r", Online: 1, Heard: time.Now()})
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `{"runner":"r","online":1}`)
}

// TestItemsAreBegunAtRunnersOfTheUsualPaceFirst has two runners with as much room, one of them slow: items go there only when the other has
// less room by as much. Without a word the choice is that of before.
func TestItemsAreBegunAtRunnersOfTheUsualPaceFirst(t *testing.T) {
	w := idleWorker(t)
	now := time.Now()
	w.Now = func() time.Time { return now }
	var runners []work.Runner
	for _, id := range []ident.Incarnation{"a", "b"} {
		runners = append(runners, work.Runner{ID: id, Service: "s", Zone: "a", Slots: 9})
		w.gaugeOf(id).gauge.Observe(work.Load{}, 0, 0, now)
	}
	w.Runners.Replace(runners, now, true)
	w.Demand(&demand.Report{Node: "front", Sequence: 1})
	roomiest := func() ident.Incarnation {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		id, found := w.roomiestOf(w.owned("s"), nil, now)
		assert.Assert(t, found)
		return id
	}
	begin := func() {
		_, err := w.Runners.StartAt("b", runnertable.Wish{Service: "s", Class: runnertable.Batch}, now)
		assert.NilError(t, err)
	}
	assert.Equal(t, roomiest(), ident.Incarnation("a"))
	w.Demand(&demand.Report{Node: "front", Sequence: 2, Counts: []demand.Count{{Runner: "a", Pace: 3}}})
	for range 6 {
		assert.Equal(t, roomiest(), ident.Incarnation("b"))
		begin()
	}
	assert.Equal(t, w.Runners.Own("a", runnertable.Batch), 0)
	begin()
	assert.Equal(t, roomiest(), ident.Incarnation("a"), "a slow place is better than none")
}
