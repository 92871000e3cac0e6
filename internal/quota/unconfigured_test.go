package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// TestOwnerWithoutTheConfigurationKeepsToTheLimit has the owner be a worker that has just started, as after a simultaneous restart
// of all machines, and has no configuration of any tenant yet, while nodes that have it send many times the limit. The requests
// admitted in a window must stay within the usual bound.
func TestOwnerWithoutTheConfigurationKeepsToTheLimit(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 10}
	now := time.Unix(1000, 0)
	ledger := NewLedger(simWindow, now)
	meters := []*Meter{}
	for _, node := range []ident.Node{"a", "b", "c"} {
		meters = append(meters, NewMeter(node, 1, simWindow, now))
	}
	admitted := 0
	for end := now.Add(simWindow); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for _, meter := range meters {
			if meter.Take("hot", limit, now).Decision == Ask {
				meter.BeginWait("hot", limit)
				for _, spending := range meter.DueReports(func(ident.Tenant) string { return "owner" }, now) {
					answer := ledger.ApplyReport(spending, func(ident.Tenant) (Limit, bool) { return Limit{}, false }, now)
					assert.Assert(t, meter.ApplyAnswer(spending, answer, now))
				}
				meter.EndWait("hot")
			}
			if meter.Take("hot", limit, now).Decision == Admit {
				admitted++
			}
		}
	}
	assert.Assert(t, float64(admitted) <= limit.allowance(simWindow)*(1+simOverage)+simSlack, "%d requests in a window", admitted)
	assert.Assert(t, float64(admitted) >= limit.allowance(simWindow)/2,
		"only %d requests in a window: requests within the limit were refused", admitted)
}
