package load

import (
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// A start counts by the engine's time of it, only for items of cancelled jobs, and is late beyond the bound alone.
func TestCancelLedgerCountsStarts(t *testing.T) {
	answered := time.Unix(1000, 0)
	runs := map[string]enginesim.Run{
		"job-a/0/lease": {Last: answered.Add(-time.Second)},
		"job-a/1/lease": {Last: answered.Add(4 * time.Second)},
		"job-a/2/lease": {Last: answered.Add(6 * time.Second)},
		"job-b/0/lease": {Last: answered.Add(9 * time.Second)},
		"online":        {Last: answered.Add(9 * time.Second)},
	}
	var ledger CancelLedger
	ledger.countStarts(runs, map[string]time.Time{"job-a": answered}, 5*time.Second)
	assert.Equal(t, ledger, CancelLedger{StartsAfter: 2, LateStarts: 1, LatestStart: 6})
}

// Every answer to a resend is booked under what it says.
func TestResendLedger(t *testing.T) {
	refusal := fmt.Errorf("%w: %w: 422 idempotency_key_reused", errRefused, errAnswer)
	recorder := newRecorder(Options{})
	recorder.resent(1, "", fmt.Errorf("%w: 503", errAnswer))
	recorder.resent(1, "", fmt.Errorf("calling: %w", io.ErrUnexpectedEOF))
	assert.Equal(t, recorder.jobOfHeap(1), "")
	for _, job := range []string{"a", "a", "b"} {
		recorder.resent(1, job, nil)
	}
	recorder.resent(2, "a", nil)
	recorder.resent(2, "", refusal)
	recorder.otherSent(refusal)
	recorder.otherSent(nil)
	recorder.otherSent(fmt.Errorf("%w: 503", errAnswer))
	expected := ResendLedger{
		Sent: 7, Answered: 4, GivenUp: 1, Unavailable: 1, Doubled: 1, Foreign: 1, WrongRefusals: 1, OthersRefused: 1, OthersAccepted: 1,
	}
	assert.Equal(t, recorder.resend, expected)
	recorder.resend.countUntold(map[string]enginesim.Run{"a/0/x": {}, "c/0/x": {}, "c/1/x": {}, "d": {}}, recorder.heaps)
	assert.Equal(t, recorder.resend.UntoldJobs, 1)
}

// Counts never shrink, and a job that is being cancelled stays so.
func TestProgressNeverGoesBack(t *testing.T) {
	state := func(status string, completed, failed int) batchObject {
		made := batchObject{ID: "job", Status: status}
		made.RequestCounts.Completed, made.RequestCounts.Failed = completed, failed
		return made
	}
	cases := []struct {
		before, now batchObject
		backwards   int
	}{
		{state("in_progress", 3, 1), state("in_progress", 3, 1), 0},
		{state("in_progress", 3, 1), state("in_progress", 2, 2), 1},
		{state("in_progress", 3, 1), state("in_progress", 4, 0), 1},
		{state("cancelling", 3, 1), state("cancelled", 4, 6), 0},
		{state("cancelling", 3, 1), state("in_progress", 3, 1), 1},
		{state("cancelling", 3, 1), state("completed", 9, 1), 1},
	}
	for _, test := range cases {
		run := &Run{recorder: newRecorder(Options{}), started: time.Now()}
		run.progressed(test.before, test.now)
		assert.Equal(t, run.recorder.batch.Backwards, test.backwards, "%v to %v", test.before, test.now)
	}
}

func TestCancelsAreSeeded(t *testing.T) {
	options := Options{Duration: time.Minute, BatchEvery: time.Second, BatchItems: 1, Seed: 3, CancelShare: 0.5, CancelWithin: time.Second}
	cancelled := 0
	for index, heap := range Plan(options).Batch {
		assert.Equal(t, heap.CancelAfter, Plan(options).Batch[index].CancelAfter)
		assert.Assert(t, heap.CancelAfter <= options.CancelWithin+1)
		if heap.CancelAfter > 0 {
			cancelled++
		}
	}
	assert.Assert(t, cancelled > 20 && cancelled < 40, "%d", cancelled)
}

// An item's runs count under every lease, and only those of jobs that must run at most once.
func TestItemRunsAddUpOverLeases(t *testing.T) {
	items := map[string]int{}
	once := map[string]bool{"a": true}
	countItems(map[string]enginesim.Run{"a/0/x": {Runs: 1}, "a/1/x": {Runs: 1}, "b/0/x": {Runs: 2}}, once, items)
	assert.Equal(t, moreThanOnce(items), 0)
	countItems(map[string]enginesim.Run{"a/0/y": {Runs: 1}, "online": {Runs: 3}}, once, items)
	assert.Equal(t, moreThanOnce(items), 1)
}
