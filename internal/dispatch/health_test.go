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

// TestOutlierIsEjectedProbedAndStartsSlowly walks one runner through its states.
func TestOutlierIsEjectedProbedAndStartsSlowly(t *testing.T) {
	var tested health
	now := begin
	tested.failed(now)
	tested.failed(now)
	tested.succeeded()
	tested.failed(now)
	tested.failed(now)
	assert.Assert(t, !tested.ejected, "a success between failures counts")
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
	assert.Equal(t, tested.share(now), slowStartFloor)
	assert.Equal(t, tested.share(now.Add(slowStartTime/2)), 0.5)
	assert.Equal(t, tested.share(now.Add(slowStartTime)), 1.0)
	tested.failed(now.Add(time.Second))
	assert.Assert(t, tested.ejected, "a failure while it recovers ejects at once")
}

// TestRetriesAreAShareOfTraffic spends whenever it can.
func TestRetriesAreAShareOfTraffic(t *testing.T) {
	budget := NewRetryBudget()
	retries := 0
	for range 1000 {
		budget.Earn()
		for budget.Spend() {
			retries++
		}
	}
	assert.Assert(t, float64(retries) <= retryReserve+1000*retryShare, "%d retries", retries)
	assert.Assert(t, retries >= 200)
}

// TestEachSourceAloneMarksLeaving takes the four sources one by one, and each back again.
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
		told := 0
		table.OnLeaving(func(ident.Runner) { told++ })
		assert.Assert(t, !isLeaving(t, table, begin), name)
		source.mark(table)
		source.mark(table)
		assert.Assert(t, isLeaving(t, table, begin), name)
		assert.Equal(t, told, map[bool]int{true: 0, false: 1}[name == "operator drain"], "%s: peers told", name)
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

// TestPeerCountsRunOutAndIgnoreOldMessages covers messages that overtake each other and peers that die.
func TestPeerCountsRunOutAndIgnoreOldMessages(t *testing.T) {
	var tested peerCounts
	assert.Assert(t, tested.set("p", 5, 3, begin))
	assert.Assert(t, !tested.set("p", 4, 9, begin), "an older message counts")
	assert.Equal(t, tested.sum(begin), 3)
	assert.Assert(t, !tested.set("p", 6, 2, begin), "a fall is no rise")
	assert.Assert(t, tested.set("q", 1, 1, begin.Add(time.Second)))
	assert.Equal(t, tested.sum(begin.Add(time.Second)), 3)
	assert.Equal(t, tested.sum(begin.Add(hintTime)), 1)
	assert.Assert(t, tested.set("p", 1, 1, begin.Add(hintTime)), "a peer that restarted counts again")
}
