package jobworker

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/simulated"
)

// followingWorker returns a worker of a fleet that knows of one open job and its holder.
func followingWorker(t *testing.T, holder ident.Node) *Worker {
	t.Helper()
	w, workers := fleetWorker(t, 2)
	w.open, w.Logger = map[ident.Job]*openJob{}, zerolog.Nop()
	w.live = &jobrecord.Live{
		Open:    map[ident.Job]jobrecord.Open{"job": {ID: "job", Route: "r", Revision: 1}},
		Claimed: map[ident.Job]ident.Node{"job": holder}, Workers: workers, Revision: 2,
	}
	w.reconcile()
	return w
}

// TestHolderOfAnOpenJobIsNamed has a job be claimed, lose its claim and end, and the node that held it leave.
func TestHolderOfAnOpenJobIsNamed(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		w := followingWorker(t, "w-1-2")
		named := Holder{Address: "w-1-2", Known: true}
		assert.Equal(t, w.Holder("job"), named)
		assert.Equal(t, w.Holder("other"), Holder{Known: true})
		delete(w.live.Claimed, "job")
		w.reconcile()
		assert.Equal(t, w.Holder("job"), Holder{Known: true})
		w.live.Claimed["job"] = "w-1-2"
		w.reconcile()
		delete(w.live.Open, "job")
		w.reconcile()
		assert.Equal(t, w.Holder("job"), named)
		delete(w.live.Workers, "w-1-2")
		w.reconcile()
		assert.Equal(t, w.Holder("job"), Holder{Known: true})
	})
}

// TestPastHolderIsForgotten waits for as long as a worker has the results of an ended job in memory.
func TestPastHolderIsForgotten(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		w := followingWorker(t, "w-1-2")
		delete(w.live.Open, "job")
		w.reconcile()
		time.Sleep(finishedTTL + time.Second)
		w.reconcile()
		assert.Equal(t, w.Holder("job"), Holder{Known: true})
		assert.Equal(t, len(w.pastHolders.byJob)+len(w.pastHolders.order), 0)
	})
}

// TestWorkerThatFollowsNothingDeniesNoHolder has a worker hear of no change for longer than its view may be old, as in an outage of
// the store. It must still name the holder that it knows.
func TestWorkerThatFollowsNothingDeniesNoHolder(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		w := followingWorker(t, "w-1-2")
		time.Sleep(w.maxLiveAge() + time.Millisecond)
		assert.Equal(t, w.Holder("job"), Holder{Address: "w-1-2"})
		assert.Equal(t, w.Holder("other"), Holder{})
	})
}

// TestUnsureHolderNamesNobody asks the worker that holds the job itself.
func TestUnsureHolderNamesNobody(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		assert.Equal(t, followingWorker(t, "w-0-0").Holder("job"), Holder{})
	})
}
