package jobworker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// fairnessWorker returns a worker whose configuration has two tenants of different priorities, without a runner, so that
// slots are scarce.
func fairnessWorker() *Worker {
	w := newOrderWorker()
	w.Runners, w.gauges, w.jobs = runnertable.New("a"), map[ident.Incarnation]*runnerGauge{}, map[ident.Job]*jobRun{}
	catalog := *w.Routes.Catalog()
	catalog.Version++
	catalog.Tenants = []work.Tenant{{Name: "small"}, {Name: "hot"}, {Name: "lesser", Priority: 1}}
	w.Routes.Adopt(&catalog)
	return w
}

// itemsOf returns items of a tenant's jobs, of a thousand tokens each, submitted 10 ms apart, the first the longest ago.
func itemsOf(tenant ident.Tenant, count int, age time.Duration) []*itemRun {
	var items []*itemRun
	for index := range count {
		item := waitingItem(fmt.Sprintf("%s-%02d", tenant, index), age-time.Duration(index)*10*time.Millisecond, 1000)
		item.job.header.Tenant = tenant
		items = append(items, item)
	}
	return items
}

func fairOrderOf(w *Worker, items []*itemRun) string {
	var names []string
	for _, next := range w.inFairOrder(w.byUrgency(items, orderStart), orderStart) {
		names = append(names, string(next.item.job.header.Tenant))
	}
	return strings.Join(names, " ")
}

// TestTenantWithManyItemsDelaysNoOther has many items of one tenant due before a few of another: the tenants take turns.
func TestTenantWithManyItemsDelaysNoOther(t *testing.T) {
	items := append(itemsOf("hot", 5, 5*time.Second), itemsOf("small", 2, time.Second)...)
	assert.Equal(t, fairOrderOf(fairnessWorker(), items), "hot small hot small hot hot hot")
}

// TestTurnsAreByTokensAndRank has a tenant of half the weight, and one whose items are twice as long.
func TestTurnsAreByTokensAndRank(t *testing.T) {
	assert.Equal(t, fairOrderOf(fairnessWorker(), append(itemsOf("hot", 4, 5*time.Second), itemsOf("lesser", 3, time.Second)...)), "hot lesser hot hot lesser hot lesser")
	long := itemsOf("hot", 3, 5*time.Second)
	for _, item := range long {
		item.item.Tokens = 2000
	}
	assert.Equal(t, fairOrderOf(fairnessWorker(), append(long, itemsOf("small", 5, time.Second)...)), "hot small small hot small small hot small")
}

// TestRunningItemsCountTowardsAShare has items of one tenant running already: those of the other come first.
func TestRunningItemsCountTowardsAShare(t *testing.T) {
	w := fairnessWorker()
	running := itemsOf("hot", 2, 5*time.Second)
	for index, item := range running {
		item.running, item.job.items = true, []*itemRun{item}
		w.jobs[ident.Job(fmt.Sprint(index))] = item.job
	}
	items := append(itemsOf("hot", 2, 5*time.Second), itemsOf("small", 3, time.Second)...)
	assert.Equal(t, fairOrderOf(w, items), "small small hot small hot")
}

// TestLateItemsStayBehind has a tenant with few items, all of them late: they come after all items that can be in time.
func TestLateItemsStayBehind(t *testing.T) {
	items := append(itemsOf("hot", 3, 5*time.Second), itemsOf("small", 2, 19*time.Second)...)
	assert.Equal(t, fairOrderOf(fairnessWorker(), items), "hot hot hot small small")
}

// TestDueTimeOrderWhileAllAreOnTime has enough slots for all items.
func TestDueTimeOrderWhileAllAreOnTime(t *testing.T) {
	w, _ := demandWorker(t)
	w.Routes = fairnessWorker().Routes
	w.Now = func() time.Time { return orderStart }
	w.duration = 10 * time.Millisecond
	items := append(itemsOf("hot", 5, 5*time.Second), itemsOf("small", 2, time.Second)...)
	assert.Assert(t, w.ownedSlots(orderStart) >= 0)
	ordered := w.byUrgency(items, orderStart)
	if late := countLate(ordered, 4, w.duration, orderStart); late != 0 {
		t.Fatalf("%d are late with four slots", late)
	}
	w.jobs["job"].items[0].item.Path = "/p/x"
	w.jobs["job"].header.Host = "h"
	w.Routes.Adopt(&work.Catalog{Version: 9, Routes: []work.Route{{
		Host: "h", PathPrefix: "/p/", Kind: work.Batch, CompletionObjective: 20 * time.Second, Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}}, Tenants: w.Routes.Catalog().Tenants})
	assert.Assert(t, w.ownedSlots(orderStart) > 0, "no slots")
	assert.Equal(t, fairOrderOf(w, items), "hot hot hot hot hot small small")
}

// TestItemsOfOneTenantKeepTheirOrder draws items of one tenant, or of no tenant: they are ordered by due time only.
func TestItemsOfOneTenantKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := fairnessWorker()
		tenant := ident.Tenant(rapid.SampledFrom([]string{"", "hot"}).Draw(t, "tenant"))
		var items []*itemRun
		for index := range rapid.IntRange(0, 20).Draw(t, "items") {
			age := time.Duration(rapid.IntRange(0, 30_000).Draw(t, "age")) * time.Millisecond
			item := waitingItem(fmt.Sprint("j-", index), age, rapid.IntRange(0, 3000).Draw(t, "tokens"))
			item.job.header.Tenant = tenant
			items = append(items, item)
		}
		ordered := w.byUrgency(items, orderStart)
		fair := w.inFairOrder(w.byUrgency(items, orderStart), orderStart)
		for index := range ordered {
			assert.Equal(t, ordered[index].item, fair[index].item)
		}
	})
}

// TestAccountHolderAnswersWithTenantBounds has a node report a tenant with much work and one of half the weight, which
// together want more slots than there are: slots are divided by weight. A report without uses, as older builds send it, is
// answered without bounds.
func TestAccountHolderAnswersWithTenantBounds(t *testing.T) {
	w, _ := demandWorker(t)
	w.Routes.Adopt(&work.Catalog{Version: 2, Tenants: []work.Tenant{{Name: "hot"}, {Name: "lesser", Priority: 1}}})
	assert.Equal(t, len(w.Demand(demandReport("older", 1, 1)).Bounds), 0)
	report := demandReport("f", 1, 4)
	report.Uses = []demand.Use{{Service: "s", Tenant: "hot", Taken: 3, Waiting: 9}, {Service: "s", Tenant: "lesser", Taken: 3, Waiting: 9}}
	bounds := w.Demand(report).Bounds
	assert.DeepEqual(t, bounds, []demand.Bound{
		{Service: "s", Slots: 6}, {Service: "s", Tenant: "hot", Slots: 4}, {Service: "s", Tenant: "lesser", Slots: 2},
	})
	assert.DeepEqual(t, w.Demand(demandReport("older", 2, 1)).Bounds, []demand.Bound{{Service: "s", Slots: 6}})
}
