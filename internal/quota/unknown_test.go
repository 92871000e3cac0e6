package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// TestOwnerWithoutTheConfigurationKeepsToTheLimit has the owner be a worker that has just started, as after a loss of all machines, and knows no
// tenant yet; nodes that do send many times the limit. What gets through in a window is what any window may have.
func TestOwnerWithoutTheConfigurationKeepsToTheLimit(t *testing.T) {
	limit := Limit{Rate: 10, Burst: 10}
	now := time.Unix(1000, 0)
	ledger := NewLedger(simWindow, now)
	meters := []*Meter{}
	for _, node := range []ident.Node{"a", "b", "c"} {
		meters = append(meters, NewMeter(node, 1, simWindow, now))
	}
	through := 0
	for end := now.Add(simWindow); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for _, meter := range meters {
			if meter.Take("hot", limit, now).Decision == Ask {
				meter.Wait("hot", limit)
				for _, spending := range meter.Due(func(ident.Tenant) string { return "owner" }, now) {
					answer := ledger.Settle(spending, func(ident.Tenant) (Limit, bool) { return Limit{}, false }, now)
					assert.Assert(t, meter.Settle(spending, answer, now))
				}
				meter.Leave("hot")
			}
			if meter.Take("hot", limit, now).Decision == Admit {
				through++
			}
		}
	}
	assert.Assert(t, float64(through) <= limit.window(simWindow)*(1+simOverage)+simSlack, "%d in a window", through)
	assert.Assert(t, float64(through) >= limit.window(simWindow)/2, "%d in a window: what is within the limit is served", through)
}
