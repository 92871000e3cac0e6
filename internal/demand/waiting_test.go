package demand

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func waitingRequests(onTime int) []Waiting {
	return []Waiting{{Service: "s", OnTime: onTime, LeftMs: 200}}
}

// TestWaitingRequestsMakeAReportDue lists when a worker that grants slots has to be called, given the previous
// report and the time since.
func TestWaitingRequestsMakeAReportDue(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		reported, current []Waiting
		since             time.Duration
		due               bool
	}{
		"nothing waits":          {since: time.Hour},
		"the first one waits":    {current: waitingRequests(1), since: 20 * time.Millisecond, due: true},
		"right after a report":   {current: waitingRequests(1), since: 19 * time.Millisecond},
		"as many wait":           {reported: waitingRequests(1), current: waitingRequests(1), since: 49 * time.Millisecond},
		"as many wait for long":  {reported: waitingRequests(1), current: waitingRequests(1), since: RefreshInterval, due: true},
		"less time is left":      {reported: waitingRequests(1), current: []Waiting{{Service: "s", OnTime: 1, LeftMs: 100}}, since: 49 * time.Millisecond},
		"one became late":        {reported: waitingRequests(1), current: []Waiting{{Service: "s", Late: 1}}, since: 20 * time.Millisecond, due: true},
		"nothing waits any more": {reported: waitingRequests(1), since: 20 * time.Millisecond, due: true},
	} {
		t.Run(name, func(t *testing.T) {
			state := &workerState{waiting: c.reported, calledAt: now.Add(-c.since)}
			assert.Equal(t, state.waitingDue(c.current, now), c.due)
			state.notBefore = now.Add(time.Millisecond)
			assert.Assert(t, !state.waitingDue(c.current, now), "a report is due during the backoff after a failure")
		})
	}
}

// TestWaitingRequestsAreReportedSoon has a request wait at a node right after a report to a worker that grants
// slots. The worker is called again once waitingReportInterval is over, long before an idle report is due, and
// again when nothing waits any more.
func TestWaitingRequestsAreReportedSoon(t *testing.T) {
	reporter, work, workers := startReporter(t)
	lastWaiting := func() (waiting []Waiting, reports int) {
		workers.mutex.Lock()
		defer workers.mutex.Unlock()
		reports = len(workers.reports["near-1"])
		return workers.reports["near-1"][reports-1].Waiting, reports
	}
	for _, waiting := range [][]Waiting{waitingRequests(2), nil} {
		work.mutex.Lock()
		owned := work.online["near-1"]
		owned.Waiting = waiting
		work.online["near-1"] = owned
		work.mutex.Unlock()
		began := time.Now()
		reporter.Changed(true)
		eventually(t, func() bool { last, _ := lastWaiting(); return len(last) == len(waiting) })
		assert.Assert(t, time.Since(began) < IdleRefreshInterval/2, "reported after %v", time.Since(began))
	}
}

// TestReportsAndSharesWithoutRationOmitItsFields checks the encoding of reports and shares where no slots are
// granted one by one.
func TestReportsAndSharesWithoutRationOmitItsFields(t *testing.T) {
	report, err := json.Marshal(Report{Node: "f", Counts: []Count{}})
	assert.NilError(t, err)
	assert.Equal(t, string(report), `{"node":"f","incarnation":0,"sequence":0,"counts":[]}`)
	share, err := json.Marshal(Share{Runner: "a", Others: 1})
	assert.NilError(t, err)
	assert.Equal(t, string(share), `{"runner":"a","others":1,"batch":0}`)
}
