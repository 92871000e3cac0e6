package jobworker

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/handoff"
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
