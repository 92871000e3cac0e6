package jobworker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// waitingAnswer returns the shares that a worker sends to a node that has just started and has waiting requests.
func waitingAnswer(w *Worker, node ident.Node, sequence int64, onTime int) map[ident.Incarnation]demand.Share {
	report := &demand.Report{Node: node, Sequence: sequence, AgeMs: 50}
	if onTime > 0 {
		report.Waiting = []demand.Waiting{{Service: "s", OnTime: onTime, LeftMs: 250}}
	}
	shares := map[ident.Incarnation]demand.Share{}
	for _, share := range w.Demand(report).Shares {
		shares[share.Runner] = share
	}
	return shares
}

// TestOwnerGrantsEachFreeSlotOnce has orphaned runs in all slots but one of two runners, and two nodes with a request
// each. One of them is granted the slot and the other none, until the first reports that it no longer waits. While they
// wait, the runners with orphans are read more often than usual; once there are no orphans nothing is rationed.
func TestOwnerGrantsEachFreeSlotOnce(t *testing.T) {
	w, caller := startedWorker(t, true)
	caller.set("a", 7)
	caller.set("b", 8)
	sequence := int64(0)
	next := func(node ident.Node, onTime int) map[ident.Incarnation]demand.Share {
		sequence++
		return waitingAnswer(w, node, sequence, onTime)
	}
	eventually(t, "both runners were read", func() bool { return next("h", 0)["a"].Orphans == 7 && next("i", 0)["b"].Orphans == 8 })
	first := next("f", 1)
	assert.Assert(t, first["a"].Rationed && first["b"].Rationed)
	assert.Equal(t, first["a"].Granted, 1)
	assert.Equal(t, first["b"].Granted, 0)
	second := next("g", 1)
	assert.Assert(t, second["a"].Rationed)
	assert.Equal(t, second["a"].Granted, 0, "the slot is granted twice")
	next("f", 0)
	assert.Equal(t, next("g", 1)["a"].Granted, 1)
	before, began := caller.reportCount("b"), time.Now()
	for time.Since(began) < 300*time.Millisecond {
		next("g", 1)
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, caller.reportCount("b")-before >= 6, "read %d times in 0.3 s", caller.reportCount("b")-before)
	caller.set("a", 0)
	caller.set("b", 0)
	eventually(t, "the runs are over", func() bool { return !next("g", 1)["a"].Rationed })
}

// TestOwnerRestartedAloneRationsNothing has a worker start while others are alive: its runners are full, and nodes wait.
func TestOwnerRestartedAloneRationsNothing(t *testing.T) {
	w, _ := startedWorker(t, false)
	eventually(t, "the runners are known", func() bool { return len(waitingAnswer(w, "f", 1, 1)) == 2 })
	for _, share := range waitingAnswer(w, "f", 2, 1) {
		assert.Assert(t, !share.Rationed && share.Granted == 0)
	}
}
