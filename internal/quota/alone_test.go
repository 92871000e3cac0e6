package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// TestNodeThatReachesNoOwnerServesATenantFarBelowItsLimit has a node of a small site be cut off from all owners: one that was told a share
// by its few requests, and one that was told no share of the tenant. The limit is a thousand times what comes, and so are the places that
// any window may have above it: nobody is told to come back.
func TestNodeThatReachesNoOwnerServesATenantFarBelowItsLimit(t *testing.T) {
	const inAWindow = 100
	for _, c := range []struct {
		name string
		told ident.Tenant
	}{{"a share by few requests", "a"}, {"no share", "other"}} {
		t.Run(c.name, func(t *testing.T) {
			r := newTellerRig(t)
			r.limit = Limit{Rate: 100_000, Burst: 100_000}
			for range 3 {
				r.request(c.told)
				r.pass(time.Second)
			}
			for request := range inAWindow {
				assert.Equal(t, r.meter.TakeAlone("a", r.limit, r.now).Decision, Admit, "request %d", request)
				r.now = r.now.Add(simWindow / inAWindow)
			}
		})
	}
}

// throughAlone is how many requests of a tenant nodes let through in one window that are all cut off at once from an owner which gives the whole
// limit to others. Their names, of which the draw is one of many, choose who may let through a part of a request.
func throughAlone(draw, nodes int, limit Limit) int {
	now := time.Unix(1000, 0)
	through := 0
	for node := range nodes {
		meter := NewMeter(ident.Node(fmt.Sprint(draw, "-", node)), 1, simWindow, now.Add(-time.Hour))
		meter.Wait("other", limit)
		for _, spending := range meter.Due(func(ident.Tenant) string { return "owner" }, now) {
			meter.Settle(spending, &Answer{Nodes: nodes, Epoch: 1, Credits: []Credit{{Tenant: "other", Amount: 1}}}, now)
		}
		for meter.TakeAlone("a", limit, now).Decision == Admit {
			through++
		}
	}
	return through
}

// checkAlone has nodes of sites of several sizes be alone: what they let through together fits into what a window may have above the limit.
func checkAlone(t *testing.T, limit Limit) {
	t.Helper()
	for _, nodes := range []int{1, 9, 61, 330} {
		most := 0
		for draw := range 20 {
			most = max(most, throughAlone(draw, nodes, limit))
		}
		above := limit.window(simWindow)*simOverage + simSlack
		assert.Check(t, float64(most) <= above, "%d nodes, %+v: %d above the limit, %.0f may be", nodes, limit, most, above)
	}
}

// TestAllNodesAloneStayWithinWhatAWindowMayHaveAbove has limits of which the spare part is more than a few requests.
func TestAllNodesAloneStayWithinWhatAWindowMayHaveAbove(t *testing.T) {
	for _, limit := range []Limit{{Rate: 150, Burst: 300}, {Rate: 3000}, {Rate: 100_000, Burst: 100_000}} {
		checkAlone(t, limit)
	}
}

// TestNodesAloneOfASmallLimitStayWithinItsSpare has a limit whose spare part is a few requests, which nodes chosen by a hash let through.
func TestNodesAloneOfASmallLimitStayWithinItsSpare(t *testing.T) {
	checkAlone(t, Limit{Rate: 2})
}
