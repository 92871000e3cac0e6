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

// TestWorkersAreDoubtedAfterWhatMayHaveTakenThemOffTheList has a worker start with a new disk, start again, and see an outage.
func TestWorkersAreDoubtedAfterWhatMayHaveTakenThemOffTheList(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "handoff")
	now := time.Unix(1000, 0)
	w := &Worker{Options: DefaultOptions, Now: func() time.Time { return now }, started: now}
	opened := func() *handoff.Log {
		log, err := handoff.Open(folder, 1<<20)
		assert.NilError(t, err)
		return log
	}
	w.Handoff = opened()
	assert.Assert(t, !w.DoubtsWorkers(), "a new site is sure of what it knows")
	w.Handoff = opened()
	assert.Assert(t, w.DoubtsWorkers(), "a worker that was started again may have missed an outage")
	now = now.Add(doubtFor)
	assert.Assert(t, !w.DoubtsWorkers())
	w.noteOutage(true)
	now = now.Add(w.Options.OutageAfter + time.Millisecond)
	assert.Assert(t, w.DoubtsWorkers())
	w.noteOutage(false)
	now = now.Add(doubtFor - time.Millisecond)
	assert.Assert(t, w.DoubtsWorkers())
	now = now.Add(time.Millisecond)
	assert.Assert(t, !w.DoubtsWorkers())
}

// TestWorkerKnowsWhichJobsTheStoreHas asks for a job that is open, one that was finished here, and one that it has not heard of.
func TestWorkerKnowsWhichJobsTheStoreHas(t *testing.T) {
	w := &Worker{open: map[ident.Job]*openJob{"open": {}}}
	w.finished.keep(nil, &jobRun{header: &jobrecord.Header{ID: "finished"}}, time.Unix(1000, 0))
	assert.Assert(t, w.Accepted("open"))
	assert.Assert(t, w.Accepted("finished"))
	assert.Assert(t, !w.Accepted("unheard"))
}
