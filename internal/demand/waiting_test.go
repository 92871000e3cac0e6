package demand

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func someWait(onTime int) []Waiting { return []Waiting{{Service: "s", OnTime: onTime, LeftMs: 200}} }

// TestOwnerIsAskedAsOftenAsWhatWaitsChanges names when a worker that rations is told what waits, given what it was told and how long ago.
func TestOwnerIsAskedAsOftenAsWhatWaitsChanges(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		knows, waits []Waiting
		since        time.Duration
		due          bool
	}{
		"nothing waits":          {since: time.Hour},
		"the first one waits":    {waits: someWait(1), since: 20 * time.Millisecond, due: true},
		"right after a report":   {waits: someWait(1), since: 19 * time.Millisecond},
		"as many wait":           {knows: someWait(1), waits: someWait(1), since: 49 * time.Millisecond},
		"as many wait for long":  {knows: someWait(1), waits: someWait(1), since: RefreshEvery, due: true},
		"less time is left":      {knows: someWait(1), waits: []Waiting{{Service: "s", OnTime: 1, LeftMs: 100}}, since: 49 * time.Millisecond},
		"one became late":        {knows: someWait(1), waits: []Waiting{{Service: "s", Late: 1}}, since: 20 * time.Millisecond, due: true},
		"nothing waits any more": {knows: someWait(1), since: 20 * time.Millisecond, due: true},
	} {
		t.Run(name, func(t *testing.T) {
			known := &correspondent{waiting: c.knows, lastAt: now.Add(-c.since)}
			assert.Equal(t, known.lacksWaiting(c.waits, now), c.due)
			known.notBefore = now.Add(time.Millisecond)
			assert.Assert(t, !known.lacksWaiting(c.waits, now), "a worker that does not answer is left alone")
		})
	}
}

// TestWhatWaitsIsToldSoon has a request wait at a node right after its report to a worker that rations: the worker is told once askEvery is
// over, long before it would be otherwise, and again as nothing waits any more.
func TestWhatWaitsIsToldSoon(t *testing.T) {
	teller, work, workers := startAsked(t)
	told := func() (waiting []Waiting, reports int) {
		workers.mutex.Lock()
		defer workers.mutex.Unlock()
		reports = len(workers.reports["near-1"])
		return workers.reports["near-1"][reports-1].Waiting, reports
	}
	for _, waiting := range [][]Waiting{someWait(2), nil} {
		work.mutex.Lock()
		owned := work.online["near-1"]
		owned.Waiting = waiting
		work.online["near-1"] = owned
		work.mutex.Unlock()
		began := time.Now()
		teller.Changed(true)
		eventually(t, func() bool { last, _ := told(); return len(last) == len(waiting) })
		assert.Assert(t, time.Since(began) < IdleRefreshEvery/2, "told after %v", time.Since(began))
	}
}

// TestReportsAndSharesWithoutRationAreAsBefore has nothing of it said where no place is rationed.
func TestReportsAndSharesWithoutRationAreAsBefore(t *testing.T) {
	report, err := json.Marshal(Report{Node: "f", Counts: []Count{}})
	assert.NilError(t, err)
	assert.Equal(t, string(report), `{"node":"f","incarnation":0,"sequence":0,"counts":[]}`)
	share, err := json.Marshal(Share{Runner: "a", Others: 1})
	assert.NilError(t, err)
	assert.Equal(t, string(share), `{"runner":"a","others":1,"batch":0}`)
}
