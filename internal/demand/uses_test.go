package demand

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUsesAreReportedAtIntervals has a node with work at a worker report every 50 ms. The uses are part of the
// first and of every eighth report; without uses no report is due.
func TestUsesAreReportedAtIntervals(t *testing.T) {
	now := time.Unix(100, 0)
	state := &workerState{}
	uses := []Use{{Service: "s", Tenant: "a", Taken: 3}}
	counts := []Count{{Runner: "r", Online: 1}}
	reported := 0
	for range 17 {
		if state.reportDue(counts, IdleRefreshInterval, now) || state.usesDue(uses, now) {
			report := state.nextReport(counts, now)
			if report.Uses = state.nextUses(uses, now); report.Uses != nil {
				reported++
			}
		}
		now = now.Add(RefreshInterval)
	}
	assert.Equal(t, reported, 3)
	assert.Assert(t, !state.usesDue(nil, now.Add(time.Hour)))
}

// TestUsesAreReportedToAWorkerWithoutWorkOfThisNode has only uses to report, to a worker of another zone.
func TestUsesAreReportedToAWorkerWithoutWorkOfThisNode(t *testing.T) {
	now := time.Unix(100, 0)
	state := &workerState{calledAt: now}
	assert.Assert(t, !state.reportDue(nil, 9*time.Second, now.Add(time.Millisecond)))
	assert.Assert(t, state.usesDue([]Use{{Service: "s", Tenant: "a", Taken: 3}}, now.Add(time.Millisecond)))
	state.notBefore = now.Add(time.Second)
	assert.Assert(t, !state.usesDue([]Use{{Service: "s", Tenant: "a", Taken: 3}}, now.Add(time.Millisecond)), "a report is due during the backoff after a failure")
}
