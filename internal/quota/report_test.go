package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// reportRig is a node with one owner and their common clock.
type reportRig struct {
	t      *testing.T
	now    time.Time
	meter  *Meter
	ledger *Ledger
	limit  Limit
	// owner is the owner's name.
	owner string
	// old makes the owner answer like a build without epochs.
	old bool
}

func newReportRig(t *testing.T) *reportRig {
	now := time.Unix(1000, 0)
	return &reportRig{
		t: t, now: now, owner: "first", limit: Limit{Rate: 100, Burst: 100},
		meter: NewMeter("node", 1, simWindow, now.Add(-time.Hour)), ledger: NewLedger(simWindow, now.Add(-time.Hour)),
	}
}

// report delivers the due reports and returns them.
func (r *reportRig) report() []*NodeReport {
	var reports []*NodeReport
	for _, spending := range r.meter.DueReports(func(ident.Tenant) string { return r.owner }, r.now) {
		answer := r.ledger.ApplyReport(spending, func(ident.Tenant) (Limit, bool) { return r.limit, true }, r.now)
		if r.old {
			answer.Epoch = 0
		}
		assert.Assert(r.t, r.meter.ApplyAnswer(spending, answer, r.now))
		reports = append(reports, spending)
	}
	return reports
}

// request simulates a request, which asks the owner if it must.
func (r *reportRig) request(tenant ident.Tenant) {
	if r.meter.Take(tenant, r.limit, r.now).Decision == Admit {
		return
	}
	r.meter.BeginWait(tenant, r.limit)
	r.report()
	assert.Equal(r.t, r.meter.Take(tenant, r.limit, r.now).Decision, Admit)
	r.meter.EndWait(tenant)
}

// counted returns the number of a tenant's requests that the owner has counted.
func (r *reportRig) counted(tenant ident.Tenant) int {
	entry := r.ledger.tenants[tenant]
	if entry == nil {
		return 0
	}
	return entry.allSpent.total(r.ledger.clock.index(r.now))
}

// advance advances the clock and returns the reports sent meanwhile.
func (r *reportRig) advance(duration time.Duration) []*NodeReport {
	var reports []*NodeReport
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(100 * time.Millisecond) {
		reports = append(reports, r.report()...)
	}
	return reports
}

// TestReportsOmitWhatTheOwnerHasCounted checks that the owner counts the requests for which it granted credit, so that the node
// need not report them again, only that nothing was admitted since.
func TestReportsOmitWhatTheOwnerHasCounted(t *testing.T) {
	r := newReportRig(t)
	for _, tenant := range []ident.Tenant{"a", "b", "c"} {
		r.request(tenant)
		assert.Equal(t, r.counted(tenant), 1)
	}
	reports := r.advance(2 * time.Second)
	assert.Assert(t, len(reports) <= 2, "%d messages", len(reports))
	for _, spending := range reports {
		assert.Equal(t, len(spending.Spent), 0)
		assert.Assert(t, spending.Kept != 0)
	}
	assert.Equal(t, r.counted("a"), 1)
	// Requests admitted without credit are reported.
	r.meter.AdmitUncounted("a", r.limit, r.now)
	r.advance(looseReportInterval + 200*time.Millisecond)
	assert.Equal(t, r.counted("a"), 2)
}

// TestOwnerThatLostItsLedgerGetsFullReports restarts an owner under the same name: the next report reveals this, and the one after
// it lists all tenants.
func TestOwnerThatLostItsLedgerGetsFullReports(t *testing.T) {
	r := newReportRig(t)
	tenants := []ident.Tenant{"a", "b", "c"}
	for _, tenant := range tenants {
		r.request(tenant)
	}
	r.advance(time.Second)
	r.ledger = NewLedger(simWindow, r.now)
	r.advance(looseReportedAfter)
	for _, tenant := range tenants {
		assert.Equal(t, r.counted(tenant), 1, "%s", tenant)
	}
}

// TestUnusedCreditIsGivenBack leaves the credit of an abandoned request unused: the owner counts it only until the next report.
func TestUnusedCreditIsGivenBack(t *testing.T) {
	r := newReportRig(t)
	r.meter.BeginWait("a", r.limit)
	r.report()
	r.meter.EndWait("a")
	assert.Equal(t, r.counted("a"), 1)
	r.meter.AdmitUncounted("a", r.limit, r.now)
	r.advance(tightReportInterval + 200*time.Millisecond)
	assert.Equal(t, r.counted("a"), 1, "only the admitted request counts, not the abandoned one")
}

// TestOlderBuilds has an owner, and then a node, of a build without epochs: each report lists everything.
func TestOlderBuilds(t *testing.T) {
	r := newReportRig(t)
	r.old = true
	r.request("a")
	r.request("b")
	times := 0
	for _, spending := range r.advance(3 * time.Second) {
		assert.Equal(t, spending.Kept, uint32(0))
		times += len(spending.Spent)
	}
	assert.Assert(t, times >= 2*int(3*time.Second/tightReportInterval)-2, "%d", times)
	assert.Equal(t, r.counted("a"), 1)

	node := &NodeReport{Node: "older", Incarnation: 1, AgeMs: time.Hour.Milliseconds(), Spent: []TenantReport{{Tenant: "c", Recent: []int{1}, Want: 1}}}
	limit := func(ident.Tenant) (Limit, bool) { return r.limit, true }
	assert.Equal(t, r.ledger.ApplyReport(node, limit, r.now).Credits[0].Amount, 1)
	assert.Equal(t, r.counted("c"), 2)
	// It reports the request that waited like any other.
	node.Spent[0] = TenantReport{Tenant: "c", Recent: []int{2}}
	r.ledger.ApplyReport(node, limit, r.now)
	assert.Equal(t, r.counted("c"), 2)
}

// TestOwnerThatTakesOverATenantFarBelowItsLimitRefusesNothing has many requests arrive together after the node received its share.
// The share was computed from a few requests, so the owner must not infer from it that all of them are a large part of the limit.
// An owner that did refused callers of a tenant far below its limit.
func TestOwnerThatTakesOverATenantFarBelowItsLimitRefusesNothing(t *testing.T) {
	r := newReportRig(t)
	r.limit = Limit{Rate: 100_000, Burst: 100_000}
	r.request("a")
	r.advance(time.Second)
	r.request("a")
	for range 60 {
		r.meter.AdmitUncounted("a", r.limit, r.now)
	}
	r.owner, r.ledger = "second", NewLedger(simWindow, r.now.Add(-time.Hour))
	for range 20 {
		r.request("a")
		r.advance(100 * time.Millisecond)
	}
}

// TestEndedProcessReservesNothing kills and restarts the only node of a tenant, while the tenant's callers move to another node.
// The killed process is not partitioned: its node reports other tenants. The requests it admitted must count for one window and no
// longer, so that a small tenant is served again within seconds and not refused for a minute.
func TestEndedProcessReservesNothing(t *testing.T) {
	r := newReportRig(t)
	r.limit = Limit{Rate: 1, Burst: 1}
	r.request("small")
	// The owner sends shares once all nodes had time to report the tenant.
	r.now = r.now.Add(2 * time.Second)
	r.request("small")
	r.meter = NewMeter("node", 2, simWindow, r.now)
	for range 10 {
		r.now = r.now.Add(time.Second)
		r.request("other")
	}
	r.meter = NewMeter("another", 1, simWindow, r.now.Add(-time.Hour))
	for range 3 {
		r.request("small")
		r.now = r.now.Add(time.Second)
	}
}
