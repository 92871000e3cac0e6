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

// turnWorker is a worker whose configuration has two tenants of different ranks, without a runner: places are scarce.
func turnWorker() *Worker {
	w := newOrderWorker()
	w.Runners, w.gauges, w.jobs = runnertable.New("a"), map[ident.Incarnation]*gauged{}, map[ident.Job]*jobRun{}
	catalog := *w.Routes.Catalog()
	catalog.Version++
	catalog.Tenants = []work.Tenant{{Name: "small"}, {Name: "hot"}, {Name: "lesser", Priority: 1}}
	w.Routes.Adopt(&catalog)
	return w
}

// itemsOf are items of a tenant's jobs, of a thousand tokens each, submitted a second apart, the first the longest ago.
func itemsOf(tenant ident.Tenant, count int, age time.Duration) []*itemRun {
	var items []*itemRun
	for index := range count {
		item := waitingItem(fmt.Sprintf("%s-%02d", tenant, index), age-time.Duration(index)*10*time.Millisecond, 1000)
		item.job.header.Tenant = tenant
		items = append(items, item)
	}
	return items
}

func turnsOf(w *Worker, items []*itemRun) string {
	var names []string
	for _, prospect := range w.inTurn(w.prospects(items, orderStart), orderStart) {
		names = append(names, string(prospect.item.job.header.Tenant))
	}
	return strings.Join(names, " ")
}

// TestTenantWithManyItemsHoldsUpNoOther has a tenant's many items be due before another's few: they take turns.
func TestTenantWithManyItemsHoldsUpNoOther(t *testing.T) {
	items := append(itemsOf("hot", 5, 5*time.Second), itemsOf("small", 2, time.Second)...)
	assert.Equal(t, turnsOf(turnWorker(), items), "hot small hot small hot hot hot")
}

// TestTurnsAreByTokensAndRank has a tenant of half the weight, and one whose items are twice as long.
func TestTurnsAreByTokensAndRank(t *testing.T) {
	assert.Equal(t, turnsOf(turnWorker(), append(itemsOf("hot", 4, 5*time.Second), itemsOf("lesser", 3, time.Second)...)), "hot lesser hot hot lesser hot lesser")
	long := itemsOf("hot", 3, 5*time.Second)
	for _, item := range long {
		item.item.Tokens = 2000
	}
	assert.Equal(t, turnsOf(turnWorker(), append(long, itemsOf("small", 5, time.Second)...)), "hot small small hot small small hot small")
}

// TestWhatRunsCountsAsHad has a tenant's items run already: the other's come first.
func TestWhatRunsCountsAsHad(t *testing.T) {
	w := turnWorker()
	running := itemsOf("hot", 2, 5*time.Second)
	for index, item := range running {
		item.running, item.job.items = true, []*itemRun{item}
		w.jobs[ident.Job(fmt.Sprint(index))] = item.job
	}
	items := append(itemsOf("hot", 2, 5*time.Second), itemsOf("small", 3, time.Second)...)
	assert.Equal(t, turnsOf(w, items), "small small hot small hot")
}

// TestWhatCannotBeInTimeStaysBehind has a tenant with few items, all of them late: they come after all that can be in time.
func TestWhatCannotBeInTimeStaysBehind(t *testing.T) {
	items := append(itemsOf("hot", 3, 5*time.Second), itemsOf("small", 2, 19*time.Second)...)
	assert.Equal(t, turnsOf(turnWorker(), items), "hot hot hot small small")
}

// TestWhileAllWillBeInTimeTheOrderIsThatOfDueTimes has places for all.
func TestWhileAllWillBeInTimeTheOrderIsThatOfDueTimes(t *testing.T) {
	w, _ := demandWorker(t)
	w.Routes = turnWorker().Routes
	w.Now = func() time.Time { return orderStart }
	w.duration = 10 * time.Millisecond
	items := append(itemsOf("hot", 5, 5*time.Second), itemsOf("small", 2, time.Second)...)
	assert.Assert(t, w.places(orderStart) >= 0)
	ordered := w.prospects(items, orderStart)
	if late := lateHere(ordered, 4, w.duration, orderStart); late != 0 {
		t.Fatalf("%d are late with four places", late)
	}
	w.jobs["job"].items[0].item.Path = "/p/x"
	w.jobs["job"].header.Host = "h"
	w.Routes.Adopt(&work.Catalog{Version: 9, Routes: []work.Route{{
		Host: "h", PathPrefix: "/p/", Kind: work.Batch, CompletionObjective: 20 * time.Second, Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}}, Tenants: w.Routes.Catalog().Tenants})
	assert.Assert(t, w.places(orderStart) > 0, "no places")
	assert.Equal(t, turnsOf(w, items), "hot hot hot hot hot small small")
}

// TestItemsOfOneTenantKeepTheirOrder draws items of one tenant, or of nobody: the order is that of the due times alone.
func TestItemsOfOneTenantKeepTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := turnWorker()
		tenant := ident.Tenant(rapid.SampledFrom([]string{"", "hot"}).Draw(t, "tenant"))
		var items []*itemRun
		for index := range rapid.IntRange(0, 20).Draw(t, "items") {
			age := time.Duration(rapid.IntRange(0, 30_000).Draw(t, "age")) * time.Millisecond
			item := waitingItem(fmt.Sprint("j-", index), age, rapid.IntRange(0, 3000).Draw(t, "tokens"))
			item.job.header.Tenant = tenant
			items = append(items, item)
		}
		ordered := w.prospects(items, orderStart)
		taken := w.inTurn(w.prospects(items, orderStart), orderStart)
		for index := range ordered {
			assert.Equal(t, ordered[index].item, taken[index].item)
		}
	})
}

// TestKeeperAnswersWithTheBoundsOfItsConfiguration has a node tell of a hot tenant and of one of half the weight, both of which want more than there is:
// places are divided by weight. A report without uses, as builds before tell it, is answered without bounds.
func TestKeeperAnswersWithTheBoundsOfItsConfiguration(t *testing.T) {
	w, _ := demandWorker(t)
	w.Routes.Adopt(&work.Catalog{Version: 2, Tenants: []work.Tenant{{Name: "hot"}, {Name: "lesser", Priority: 1}}})
	assert.Equal(t, len(w.Demand(tell("older", 1, 1)).Bounds), 0)
	report := tell("f", 1, 4)
	report.Uses = []demand.Use{{Service: "s", Tenant: "hot", Taken: 3, Waiting: 9}, {Service: "s", Tenant: "lesser", Taken: 3, Waiting: 9}}
	bounds := w.Demand(report).Bounds
	assert.DeepEqual(t, bounds, []demand.Bound{
		{Service: "s", Places: 6}, {Service: "s", Tenant: "hot", Places: 4}, {Service: "s", Tenant: "lesser", Places: 2},
	})
	assert.DeepEqual(t, w.Demand(tell("older", 2, 1)).Bounds, []demand.Bound{{Service: "s", Places: 6}})
}
