package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// TestIsolatedNodeServesTenantFarBelowItsLimit partitions a node of a small site from all owners: once with a share computed from
// few requests, once without a share of the tenant. The limit, and so the overage that a window may have, is a thousand times the
// number of requests: none may be refused.
func TestIsolatedNodeServesTenantFarBelowItsLimit(t *testing.T) {
	const requestsPerWindow = 100
	for _, c := range []struct {
		name   string
		tenant ident.Tenant
	}{{"share from few requests", "a"}, {"no share", "other"}} {
		t.Run(c.name, func(t *testing.T) {
			r := newReportRig(t)
			r.limit = Limit{Rate: 100_000, Burst: 100_000}
			for range 3 {
				r.request(c.tenant)
				r.advance(time.Second)
			}
			for request := range requestsPerWindow {
				assert.Equal(t, r.meter.TakeIsolated("a", r.limit, r.now).Decision, Admit, "request %d", request)
				r.now = r.now.Add(simWindow / requestsPerWindow)
			}
		})
	}
}

// admittedInIsolation returns the number of requests of a tenant admitted in one window by nodes that are all partitioned at once
// from an owner which grants the whole limit to others. draw selects the nodes' names, whose hashes decide which nodes may admit a
// fractional request.
func admittedInIsolation(draw, nodes int, limit Limit) int {
	now := time.Unix(1000, 0)
	admitted := 0
	for node := range nodes {
		meter := NewMeter(ident.Node(fmt.Sprint(draw, "-", node)), 1, simWindow, now.Add(-time.Hour))
		meter.BeginWait("other", limit)
		for _, spending := range meter.DueReports(func(ident.Tenant) string { return "owner" }, now) {
			meter.ApplyAnswer(spending, &Answer{Nodes: nodes, Epoch: 1, Credits: []Credit{{Tenant: "other", Amount: 1}}}, now)
		}
		for meter.TakeIsolated("a", limit, now).Decision == Admit {
			admitted++
		}
	}
	return admitted
}

// checkIsolation checks, for sites of several sizes, that the requests admitted by isolated nodes fit into the overage that a
// window may have.
func checkIsolation(t *testing.T, limit Limit) {
	t.Helper()
	for _, nodes := range []int{1, 9, 61, 330} {
		most := 0
		for draw := range 20 {
			most = max(most, admittedInIsolation(draw, nodes, limit))
		}
		above := limit.allowance(simWindow)*simOverage + simSlack
		assert.Check(t, float64(most) <= above, "%d nodes, %+v: %d above the limit, at most %.0f allowed", nodes, limit, most, above)
	}
}

// TestIsolatedNodesStayWithinOverage uses limits whose spare fraction is more than a few requests.
func TestIsolatedNodesStayWithinOverage(t *testing.T) {
	for _, limit := range []Limit{{Rate: 150, Burst: 300}, {Rate: 3000}, {Rate: 100_000, Burst: 100_000}} {
		checkIsolation(t, limit)
	}
}

// TestIsolatedNodesOfSmallLimitStayWithinOverage uses a limit whose spare fraction is a few requests, which nodes selected by a
// hash admit.
func TestIsolatedNodesOfSmallLimitStayWithinOverage(t *testing.T) {
	checkIsolation(t, Limit{Rate: 2})
}
