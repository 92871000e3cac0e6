package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/machine"
)

const historyLag = 200 * time.Millisecond

// fullTable returns a table with a report of ten requests on a runner, one of which ended after the report was measured and
// before it arrived.
func fullTable() *Table {
	table := NewTable()
	table.SetMachines(machine.List{Runners: []machine.Runner{{ID: "r", State: machine.Live}}}, begin)
	for range 10 {
		table.Start("r", nil)
	}
	table.Runner("r", begin)
	table.End("r")
	table.Runner("r", begin.Add(20*time.Millisecond))
	table.ObserveReport("r", fullReport(begin.Add(10*time.Millisecond)), begin.Add(historyLag))
	return table
}

func fullReport(measured time.Time) engine.LoadReport {
	return engine.LoadReport{Measured: measured, RunningOnline: 8, WaitingOnline: 2, MaxSequences: 8, Models: []engine.LoadedModel{{Name: "m"}}}
}

// TestEndedRequestsCountAgainstALateReport checks that requests that ended after the newest report was measured are subtracted
// from it.
func TestEndedRequestsCountAgainstALateReport(t *testing.T) {
	table := fullTable()
	now := begin.Add(historyLag)
	for range 3 {
		table.End("r")
	}
	view, _ := table.Runner("r", now)
	assert.Equal(t, view.SinceReport, -4)
	shared := view.ReportToShare()
	assert.Equal(t, shared.WaitingOnline, 0)
	assert.Equal(t, shared.RunningOnline, 6)
	snapshot := table.Snapshot("", nil, "m", nil, now)
	assert.Equal(t, snapshot.Runners[0].SinceReport, -4)
	// A report measured after they ended is not corrected.
	later := now.Add(historyLag)
	table.ObserveReport("r", engine.LoadReport{Measured: now.Add(time.Millisecond), RunningOnline: 6, MaxSequences: 8}, later)
	view, _ = table.Runner("r", later)
	assert.Equal(t, view.SinceReport, 0)
}

// TestSharedReportIsReplacedByNewerCounts checks that a report that is shared again with newer counts replaces the earlier
// one although its measuring time appears slightly older, because the message was faster.
func TestSharedReportIsReplacedByNewerCounts(t *testing.T) {
	table := NewTable()
	table.SetMachines(machine.List{Runners: []machine.Runner{{ID: "r", State: machine.Live}}}, begin)
	table.ObserveShared("r", fullReport(begin.Add(3*time.Millisecond)), begin.Add(historyLag))
	newer := fullReport(begin.Add(time.Millisecond))
	newer.RunningOnline, newer.WaitingOnline = 5, 0
	table.ObserveShared("r", newer, begin.Add(historyLag+time.Millisecond))
	view, _ := table.Runner("r", begin.Add(historyLag+time.Millisecond))
	assert.Equal(t, view.Report.RunningOnline, 5)
	older := fullReport(begin.Add(-time.Second))
	table.ObserveShared("r", older, begin.Add(historyLag+2*time.Millisecond))
	view, _ = table.Runner("r", begin.Add(historyLag+2*time.Millisecond))
	assert.Equal(t, view.Report.RunningOnline, 5, "an older report replaced a newer one")
}
