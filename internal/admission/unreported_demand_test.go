package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
)

// TestUnreportedDemandKeepsTheLimit has nodes with random demand report once. The shares of the reporting nodes plus the
// unreported demand of the others must not exceed the limit.
func TestUnreportedDemandKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 100.0
		fixed := newClock()
		var names []ident.Node
		for index := range rapid.IntRange(1, 20).Draw(t, "nodes") {
			names = append(names, ident.Node(fmt.Sprint("n", index)))
		}
		home, sum := newHome(), 0.0
		demands := map[ident.Node]float64{}
		for _, name := range names {
			controller := New(Config{
				Node: name, Catalog: configuration(catalog.Tenant{Name: "t", RequestsPerSecond: rate}), Now: fixed.Now,
				Nodes: func() []ident.Node { return names },
			})
			held := controller.limit(tenantRequests("t"))
			held.rate = rate
			held.demand.add(rapid.Float64Range(0, 200).Draw(t, "demand"), fixed.Now())
			demands[name] = held.demand.current(fixed.Now())
			for _, report := range controller.Reports() {
				home.report(tenantRequests("t"), name, float64(report.GetDemands()[0].GetRateMilli())/milli, fixed.Now())
				delete(demands, name)
				sum += held.demand.current(fixed.Now())
			}
		}
		allowed := 0.0
		for _, reporting := range home.limits[tenantRequests("t")] {
			allowed += rate * share(reporting.rate, total{demand: sum, until: fixed.Now().Add(time.Second)}, len(names), fixed.Now())
		}
		for _, unreported := range demands {
			allowed += unreported
		}
		assert.Assert(t, allowed <= rate*1.0001, "%f of %f", allowed, rate)
	})
}

// TestAdmitRecordsFleetRate checks that a request records the fleet-wide rate, which Reports uses to decide whether
// demand must be reported.
func TestAdmitRecordsFleetRate(t *testing.T) {
	fixed := newClock()
	controller := New(Config{
		Node: "n", Catalog: configuration(catalog.Tenant{Name: "t", RequestsPerSecond: 7}), Now: fixed.Now,
		Nodes: func() []ident.Node { return []ident.Node{"n", "o"} },
	})
	_, refused := controller.Admit(t.Context(), &inference.Request{Tenant: "t", Service: "s"})
	assert.NilError(t, refused)
	assert.Equal(t, controller.limits[tenantRequests("t")].rate, 7.0)
}
