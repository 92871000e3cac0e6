package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/policy"
	"mallowlatch.example/mallowlatch/internal/policy/live"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// site is a node's policy decisions over a configuration and a view of the members that tests set.
type site struct {
	holder *catalog.Holder
	cutOff *cutOffWatch
	order  *jobOrder
	seen   *membership.View
}

func newSite(t *testing.T, whenCutOff, priority string) *site {
	t.Helper()
	snapshot := catalog.Empty()
	snapshot.Revision = 1
	snapshot.Tenants["small"] = catalog.Tenant{Name: "small", Weight: 1}
	snapshot.Tenants["large"] = catalog.Tenant{Name: "large", Weight: 3}
	snapshot.Services["rosters"] = catalog.Service{Name: "rosters", Policy: "local"}
	snapshot.Policies["local"] = catalog.Policy{Name: "local", WhenCutOff: whenCutOff, Priority: priority}
	built := &site{holder: catalog.NewHolder(), seen: &membership.View{Zone: "here"}}
	assert.NilError(t, built.holder.Publish(snapshot))
	policies := live.New(built.holder, zerolog.Nop(), time.Now)
	built.cutOff = &cutOffWatch{zone: "here", policies: policies, view: func() *membership.View { return built.seen }}
	built.order = &jobOrder{
		source:   built.holder,
		policies: policies,
		cutOff:   built.cutOff,
		running:  func() map[ident.Tenant]int { return map[ident.Tenant]int{"small": 3, "large": 3} },
	}
	return built
}

func (s *site) reach(zones ...ident.Zone) {
	s.seen = &membership.View{Zone: "here", CutOff: zones, Members: []membership.Member{
		{Node: "a", Zone: "here"}, {Node: "b", Zone: "there"}, {Node: "c", Zone: "beyond"},
	}}
}

func TestZoneIsCutOffOnlyWhenItReachesNoOther(t *testing.T) {
	built := newSite(t, `"refuse_all"`, "")
	built.reach("there")
	assert.Equal(t, built.cutOff.action("rosters", noon), policy.Serve)
	built.reach("there", "beyond")
	assert.Equal(t, built.cutOff.action("rosters", noon), policy.RefuseAll)
	assert.Assert(t, built.cutOff.refusesOnline("rosters", noon))
	built.reach()
	assert.Equal(t, built.cutOff.action("rosters", noon), policy.Serve)
}

func TestCutOffLastsFromWhenItWasFirstSeen(t *testing.T) {
	built := newSite(t, "", "")
	built.reach("there", "beyond")
	lasted, cut := built.cutOff.lasted(noon)
	assert.Assert(t, cut)
	assert.Equal(t, lasted, time.Duration(0))
	lasted, _ = built.cutOff.lasted(noon.Add(time.Minute))
	assert.Equal(t, lasted, time.Minute)
}

func TestOrderLeavesOutWorkThatACutOffSiteRefuses(t *testing.T) {
	built := newSite(t, `"refuse_batch"`, "")
	waiting := []job.Priority{{Job: "one", Service: "rosters"}, {Job: "two", Service: "other"}}
	assert.Equal(t, len(built.order.order(noon, waiting)), 2)
	built.reach("there", "beyond")
	left := built.order.order(noon, waiting)
	assert.Equal(t, len(left), 1)
	assert.Equal(t, left[0].Job, ident.Job("two"))
}

func TestPolicySeesTheTenantsShareOfRunningWork(t *testing.T) {
	built := newSite(t, "", "-tenant_share")
	waiting := []job.Priority{
		{Job: "small", Tenant: "small", Service: "rosters"},
		{Job: "large", Tenant: "large", Service: "rosters"},
		{Job: "idle", Tenant: "idle", Service: "rosters"},
	}
	// Both run three items; by weight the small tenant's part is twice its fair one, the large one's two thirds.
	ordered := built.order.order(noon, waiting)
	assert.Equal(t, ordered[0].Job, ident.Job("idle"))
	assert.Equal(t, ordered[1].Job, ident.Job("large"))
	assert.Equal(t, ordered[2].Job, ident.Job("small"))
}

func TestDemandKeepsAPeakForAWhile(t *testing.T) {
	now := noon
	meter := newDemandMeter(func() time.Time { return now })
	for range 8 {
		meter.begin("base")
	}
	for range 8 {
		meter.end("base")
	}
	assert.Equal(t, meter.demand()["base"], 8.0)
	now = now.Add(demandHalfLife)
	assert.Equal(t, meter.demand()["base"], 4.0)
	meter.begin("base")
	now = now.Add(time.Hour)
	assert.Equal(t, meter.demand()["base"], 1.0)
}
