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

// paceShare returns what an owner sends a node about a runner's pace.
func paceShare(w *Worker, node ident.Node, sequence int64) demand.Share {
	return w.Demand(&demand.Report{Node: node, Sequence: sequence}).Shares[0]
}

// TestOwnerPassesOnPaceOfRequestsAndItems has a node report that a runner is slow, and an item show that it no longer is.
// A second node is sent the newer state, and the older one does not return.
func TestOwnerPassesOnPaceOfRequestsAndItems(t *testing.T) {
	w, _ := demandWorker(t)
	now := time.Unix(1000, 0)
	w.Now = func() time.Time { return now }
	assert.Equal(t, paceShare(w, "second", 1).Pace, work.Pace(0), "nothing is known and nothing is sent")
	w.Demand(&demand.Report{Node: "first", Sequence: 1, Counts: []demand.Count{{Runner: "r", Pace: 2.5, PaceAgeMs: 40}}})
	now = now.Add(60 * time.Millisecond)
	share := paceShare(w, "second", 2)
	assert.Equal(t, share.Pace, work.Pace(2.5))
	assert.Equal(t, share.PaceAgeMs, int64(100))
	item, err := w.Runners.StartAt("r", runnertable.PickRequest{Service: "s", Class: runnertable.Batch}, now)
	assert.NilError(t, err)
	item.HeadReceived(&work.Load{Slots: 4, Pace: 1}, now)
	item.End()
	w.Demand(&demand.Report{Node: "first", Sequence: 2, Counts: []demand.Count{{Runner: "r", Pace: 2.5, PaceAgeMs: 100}}})
	share = paceShare(w, "second", 3)
	assert.Equal(t, share.Pace, work.Pace(1))
	assert.Equal(t, share.PaceAgeMs, int64(0))
	now = now.Add(5 * time.Second)
	share = paceShare(w, "second", 4)
	assert.Equal(t, share.Pace, work.Pace(0), "the slow phase is outdated for every node")
}

// TestOlderBuildsExchangeNoPace checks what is sent when nothing is known, and the report of a build that sends no pace.
func TestOlderBuildsExchangeNoPace(t *testing.T) {
	w, _ := demandWorker(t)
	var report demand.Report
	assert.NilError(t, json.Unmarshal([]byte(`{"node":"old","sequence":1,"counts":[{"runner":"r","online":1}]}`), &report))
	answer := w.Demand(&report)
	encoded, err := json.Marshal(answer.Shares)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `[{"runner":"r","others":0,"batch":4}]`)
	encoded, err = json.Marshal(demand.Count{Runner: "r", Online: 1, PaceReceivedAt: time.Now()})
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `{"runner":"r","online":1}`)
}

// TestItemsAreBegunAtRunnersOfTheUsualPaceFirst has two runners with equal free slots, one of them slow: items start there
// only when the other has correspondingly fewer free slots. Without pace data the choice is unchanged.
func TestItemsAreBegunAtRunnersOfTheUsualPaceFirst(t *testing.T) {
	w := idleWorker(t)
	now := time.Now()
	w.Now = func() time.Time { return now }
	var runners []work.Runner
	for _, id := range []ident.Incarnation{"a", "b"} {
		runners = append(runners, work.Runner{ID: id, Service: "s", Version: "v1", Zone: "a", Slots: 9})
		w.gaugeOf(id).gauge.Observe(work.Load{}, 0, 0, now)
	}
	w.Runners.Replace(runners, now, true)
	w.Demand(&demand.Report{Node: "front", Sequence: 1})
	pick := func() ident.Incarnation {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		id, found := w.pickFrom(w.owned("s"), runnerSearch{}, now)
		assert.Assert(t, found)
		return id
	}
	start := func() {
		_, err := w.Runners.StartAt("b", runnertable.PickRequest{Service: "s", Class: runnertable.Batch}, now)
		assert.NilError(t, err)
	}
	assert.Equal(t, pick(), ident.Incarnation("a"))
	w.Demand(&demand.Report{Node: "front", Sequence: 2, Counts: []demand.Count{{Runner: "a", Pace: 3}}})
	for range 6 {
		assert.Equal(t, pick(), ident.Incarnation("b"))
		start()
	}
	assert.Equal(t, w.Runners.Own("a", runnertable.Batch), 0)
	start()
	assert.Equal(t, pick(), ident.Incarnation("a"), "a slow slot is better than none")
}
