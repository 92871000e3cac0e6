package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/machine"
)

var begin = time.Unix(1_800_000_000, 0)

// TestOutlierIsEjectedProbedAndStartsSlowly checks ejection after consecutive failures, the doubled ejection after a failed
// probe, the slow start after a successful one, and that one failure during the slow start ejects the runner again.
func TestOutlierIsEjectedProbedAndStartsSlowly(t *testing.T) {
	var tested health
	now := begin
	tested.failed(now)
	tested.failed(now)
	tested.succeeded()
	tested.failed(now)
	tested.failed(now)
	assert.Assert(t, !tested.ejected, "a success did not reset the failure count")
	tested.failed(now)
	assert.Assert(t, tested.ejected)
	assert.Assert(t, !tested.probeDue(now.Add(firstEjection/2)))
	now = now.Add(firstEjection)
	assert.Assert(t, tested.probeDue(now))
	tested.probed(now, false)
	assert.Assert(t, !tested.probeDue(now.Add(firstEjection)), "the second ejection is longer")
	now = now.Add(2 * firstEjection)
	assert.Assert(t, tested.probeDue(now))
	tested.probed(now, true)
	assert.Assert(t, !tested.ejected)
	assert.Equal(t, tested.share(now), minSlowStartShare)
	assert.Equal(t, tested.share(now.Add(slowStartTime/2)), 0.5)
	assert.Equal(t, tested.share(now.Add(slowStartTime)), 1.0)
	tested.failed(now.Add(time.Second))
	assert.Assert(t, tested.ejected, "a failure during the slow start did not eject the runner")
}

// TestRetriesAreAShareOfTraffic checks that a node that retries whenever it can stays within the reserve and its share.
func TestRetriesAreAShareOfTraffic(t *testing.T) {
	budget := NewRetryBudget(DefaultRetryShare)
	retries := 0
	for range 1000 {
		budget.Earn()
		for budget.Spend() {
			retries++
		}
	}
	assert.Assert(t, float64(retries) <= retryReserve+1000*DefaultRetryShare, "%d retries", retries)
	assert.Assert(t, retries >= 200)
}

// TestEachSourceAloneMarksLeaving checks that each of four sources alone marks a runner as leaving and can be revoked, and
// that all but the operator's drain notify peers, once.
func TestEachSourceAloneMarksLeaving(t *testing.T) {
	list := func(state machine.State) machine.List {
		return machine.List{Runners: []machine.Runner{{ID: "r", State: state}}}
	}
	report := func(leaving bool, at time.Time) engine.LoadReport {
		return engine.LoadReport{Measured: at, Leaving: leaving}
	}
	later := begin.Add(time.Second)
	sources := map[string]struct{ mark, unmark func(*Table) }{
		"machine list": {
			func(table *Table) { table.SetMachines(list(machine.Leaving), begin) },
			func(table *Table) { table.SetMachines(list(machine.Live), begin) },
		},
		"engine report": {
			func(table *Table) { table.ObserveReport("r", report(true, begin), begin) },
			func(table *Table) { table.ObserveReport("r", report(false, later), later) },
		},
		"operator drain": {
			func(table *Table) { table.SetDrains(map[string]catalog.Drain{"runner/r": {}}) },
			func(table *Table) { table.SetDrains(nil) },
		},
		"refusal": {
			func(table *Table) { table.ObserveLeaving("r", true, begin) },
			func(table *Table) { table.ObserveReport("r", report(false, later), later) },
		},
	}
	for name, source := range sources {
		table := NewTable()
		table.SetMachines(list(machine.Live), begin)
		notified := 0
		table.OnLeaving(func(ident.Runner) { notified++ })
		assert.Assert(t, !isLeaving(t, table, begin), name)
		source.mark(table)
		source.mark(table)
		assert.Assert(t, isLeaving(t, table, begin), name)
		assert.Equal(t, notified, map[bool]int{true: 0, false: 1}[name == "operator drain"], "%s: notifications of peers", name)
		source.unmark(table)
		assert.Assert(t, !isLeaving(t, table, later), name)
	}
}

func isLeaving(t *testing.T, table *Table, now time.Time) bool {
	t.Helper()
	view, known := table.Runner("r", now)
	assert.Assert(t, known)
	return view.Leaving
}

// TestPeerCountsExpireAndIgnoreOldMessages checks messages that arrive out of order and peers that fail or restart.
func TestPeerCountsExpireAndIgnoreOldMessages(t *testing.T) {
	var tested peerCounts
	assert.Assert(t, tested.set("p", 5, 3, begin))
	assert.Assert(t, !tested.set("p", 4, 9, begin), "an older message was accepted")
	assert.Equal(t, tested.sum(begin), 3)
	assert.Assert(t, !tested.set("p", 6, 2, begin), "a decrease was reported as a rise")
	assert.Assert(t, tested.set("q", 1, 1, begin.Add(time.Second)))
	assert.Equal(t, tested.sum(begin.Add(time.Second)), 3)
	assert.Equal(t, tested.sum(begin.Add(peerCountTTL)), 1)
	assert.Assert(t, tested.set("p", 1, 1, begin.Add(peerCountTTL)), "the count of a restarted peer was ignored")
}
