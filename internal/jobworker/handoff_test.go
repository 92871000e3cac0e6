package jobworker

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// TestDoubtsWorkersAfterRestartAndOutage has a worker start with a new disk, restart, and see an outage.
func TestDoubtsWorkersAfterRestartAndOutage(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "handoff")
	now := time.Unix(1000, 0)
	w := &Worker{Options: DefaultOptions, Now: func() time.Time { return now }, started: now}
	opened := func() *handoff.Log {
		log, err := handoff.Open(folder, 1<<20)
		assert.NilError(t, err)
		return log
	}
	w.Handoff = opened()
	assert.Assert(t, !w.MayMissWorkers(), "a new site does not doubt its workers")
	w.Handoff = opened()
	assert.Assert(t, w.MayMissWorkers(), "a restarted worker may have missed an outage")
	now = now.Add(doubtPeriod)
	assert.Assert(t, !w.MayMissWorkers())
	w.recordRenewal(true)
	now = now.Add(w.Options.OutageAfter + time.Millisecond)
	assert.Assert(t, w.MayMissWorkers())
	w.recordRenewal(false)
	now = now.Add(doubtPeriod - time.Millisecond)
	assert.Assert(t, w.MayMissWorkers())
	now = now.Add(time.Millisecond)
	assert.Assert(t, !w.MayMissWorkers())
}

// TestWorkerKnowsWhichJobsTheStoreHas asks for an open job, one that was finished here, and an unknown one.
func TestWorkerKnowsWhichJobsTheStoreHas(t *testing.T) {
	w := &Worker{open: map[ident.Job]*openJob{"open": {}}}
	w.finished.add(nil, &jobRun{header: &jobrecord.Header{ID: "finished"}}, time.Unix(1000, 0))
	assert.Assert(t, w.Accepted("open"))
	assert.Assert(t, w.Accepted("finished"))
	assert.Assert(t, !w.Accepted("unheard"))
}
