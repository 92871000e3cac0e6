package fairshare_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/fairshare"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const slack = 1e-6

// TestSharesAreMaxMin draws claims: nothing is left over that somebody wants, nobody has more than it wants, and whoever has less than it wants
// has no less for its weight than any other.
func TestSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := float64(rapid.IntRange(0, 200).Draw(t, "places"))
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fairshare.Claim {
			return fairshare.Claim{Weight: fairshare.Weight(rapid.IntRange(0, 6).Draw(t, "rank")), Wants: rapid.IntRange(0, 80).Draw(t, "wants")}
		}), 0, 30).Draw(t, "claims")
		shares := fairshare.Shares(places, claims)
		sum, wants, most := 0.0, 0.0, 0.0
		for index, share := range shares {
			sum += share
			wants += float64(claims[index].Wants)
			most = max(most, share/claims[index].Weight)
			assert.Assert(t, share <= float64(claims[index].Wants)+slack && share >= 0)
		}
		assert.Assert(t, math.Abs(sum-min(places, wants)) < slack, "%v of %v are given out, %v are wanted", sum, places, wants)
		for index, share := range shares {
			if share < float64(claims[index].Wants)-slack {
				assert.Assert(t, share/claims[index].Weight >= most-slack, "%v has less than others: %v", claims[index], shares)
			}
		}
	})
}

// keeperFleet has slots enough that what nodes tell is what counts.
func keeperFleet(slots int) func(string) fairshare.Fleet {
	return func(string) fairshare.Fleet {
		return fairshare.Fleet{Slots: slots, Weight: func(ident.Tenant) float64 { return 1 }, Weights: tenants}
	}
}

// reporter tells a keeper as one node does.
type reporter struct {
	keeper   *fairshare.Account
	node     ident.Node
	sequence int64
}

func (r *reporter) tell(slots int, now time.Time, uses ...demand.Use) map[ident.Tenant]int {
	r.sequence++
	report := &demand.Report{Node: r.node, Incarnation: 1, Sequence: r.sequence, Uses: uses}
	r.keeper.Take(report, now)
	bounds := map[ident.Tenant]int{}
	for _, bound := range r.keeper.Bounds(report, keeperFleet(slots), now) {
		bounds[bound.Tenant] = bound.Places
	}
	return bounds
}

func use(tenant ident.Tenant, taken, waiting int) demand.Use {
	return demand.Use{Service: "s", Tenant: tenant, Taken: taken, Waiting: waiting}
}

// TestNobodyIsBoundedWhilePlacesSuffice has one tenant take nearly all places, and none wait.
func TestNobodyIsBoundedWhilePlacesSuffice(t *testing.T) {
	node := reporter{keeper: &fairshare.Account{}, node: "a"}
	assert.Equal(t, len(node.tell(100, begin, use("hot", 90, 0), use("other", 5, 0))), 0)
}

// TestTenantAloneIsNotBounded has requests of one tenant wait, and of no other.
func TestTenantAloneIsNotBounded(t *testing.T) {
	node := reporter{keeper: &fairshare.Account{}, node: "a"}
	assert.DeepEqual(t, node.tell(100, begin, use("alone", 100, 40)), map[ident.Tenant]int{"": 0})
	assert.Equal(t, len(node.tell(100, begin.Add(time.Second), use("alone", 90, 40), use("other", 10, 0))), 2)
	assert.DeepEqual(t, node.tell(100, begin.Add(2*time.Second), use("alone", 100, 40)), map[ident.Tenant]int{"": 0})
}

// TestNobodyIsBoundedBeforeRunnersWereHeardOf guards against all tenants of a site that starts being held to the few places that the first
// requests have: at first all wait, because no runner was heard of, and then some have places while the others are about to.
func TestNobodyIsBoundedBeforeRunnersWereHeardOf(t *testing.T) {
	node := reporter{keeper: &fairshare.Account{}, node: "a"}
	nobody := map[ident.Tenant]int{"": 0}
	assert.DeepEqual(t, node.tell(100, begin, use("a", 0, 20), use("b", 0, 20)), nobody)
	assert.DeepEqual(t, node.tell(100, begin.Add(200*time.Millisecond), use("a", 2, 18), use("b", 3, 17)), nobody)
	assert.DeepEqual(t, node.tell(100, begin.Add(400*time.Millisecond), use("a", 20, 1), use("b", 20, 1)), nobody)
	// Once it was seen what nodes have, that is what there is: here places for a quarter of the requests.
	bounds := node.tell(100, begin.Add(2*time.Second), use("a", 20, 60), use("b", 5, 0))
	assert.Equal(t, bounds["a"], 20)
}

// TestOnlyWhoIsOverItsShareIsBounded has one tenant want most of the places beside two that want little.
func TestOnlyWhoIsOverItsShareIsBounded(t *testing.T) {
	node := reporter{keeper: &fairshare.Account{}, node: "a"}
	bounds := node.tell(100, begin, use("hot", 80, 40), use("b", 15, 1), use("c", 5, 0))
	assert.DeepEqual(t, bounds, map[ident.Tenant]int{"": 100, "hot": 79})
}

// TestPartsOfTheNodesAddUpToTheShare draws what nodes have of a tenant over its share: their bounds add up to the share, rounded up, and none has
// more than a place beyond its part.
func TestPartsOfTheNodesAddUpToTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keeper := &fairshare.Account{}
		nodes := rapid.IntRange(1, 40).Draw(t, "nodes")
		var reporters []*reporter
		var hot []demand.Use
		wants, others := 0, 0
		for index := range nodes {
			reporters = append(reporters, &reporter{keeper: keeper, node: ident.Node(fmt.Sprint("n", index))})
			hot = append(hot, use("hot", rapid.IntRange(1, 9).Draw(t, "taken"), rapid.IntRange(1, 9).Draw(t, "waiting")))
			wants += hot[index].Taken + hot[index].Waiting
			others += hot[index].Taken
		}
		for index, one := range reporters {
			one.tell(1000, begin, hot[index], use("", 2, 0))
		}
		now := begin.Add(100 * time.Millisecond)
		reporters[0].tell(1000, now, hot[0], use("", 2, 0))
		share := float64(others)
		sum := 0
		for index, one := range reporters {
			got := one.tell(1000, now, hot[index], use("", 2, 0))["hot"]
			part := share * float64(hot[index].Taken+hot[index].Waiting) / float64(wants)
			assert.Assert(t, float64(got) > part-1 && float64(got) < part+1, "%d of a part of %v", got, part)
			sum += got
		}
		assert.Equal(t, sum, int(math.Ceil(share-slack)))
	})
}

// TestNodeWhosePartIsUnderOnePlaceGetsOneInItsTurn has forty nodes share ten places but one, for a minute.
func TestNodeWhosePartIsUnderOnePlaceGetsOneInItsTurn(t *testing.T) {
	keeper := &fairshare.Account{}
	var reporters []*reporter
	for index := range 40 {
		reporters = append(reporters, &reporter{keeper: keeper, node: ident.Node(fmt.Sprint("n", index))})
	}
	had := map[ident.Node]int{}
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(250 * time.Millisecond) {
		for index, one := range reporters {
			uses := []demand.Use{use("hot", 1, 1)}
			if index == 0 {
				uses = append(uses, use("other", 1, 0))
			}
			had[one.node] += one.tell(10, now, uses...)["hot"]
		}
	}
	for _, one := range reporters {
		assert.Assert(t, had[one.node] > 0, "%s never has a place", one.node)
	}
}

// TestNewestReportOfEachNodeCounts has a report overtaken by the next one, and one of a process that has ended.
func TestNewestReportOfEachNodeCounts(t *testing.T) {
	keeper := &fairshare.Account{}
	take := func(incarnation, sequence int64, taken int) {
		keeper.Take(&demand.Report{Node: "a", Incarnation: incarnation, Sequence: sequence, Uses: []demand.Use{use("hot", taken, 5)}}, begin)
	}
	take(2, 2, 10)
	take(2, 1, 70)
	take(1, 9, 80)
	node := reporter{keeper: keeper, node: "b"}
	assert.DeepEqual(t, node.tell(100, begin, use("c", 10, 4)), map[ident.Tenant]int{"": 20, "c": 10})
}

// TestWordOfASilentNodeEnds has a node with all places fall silent: its tenant's wants count no more, and no bound is left of it.
func TestWordOfASilentNodeEnds(t *testing.T) {
	keeper := &fairshare.Account{}
	silent, heard := reporter{keeper: keeper, node: "a"}, reporter{keeper: keeper, node: "b"}
	silent.tell(100, begin, use("hot", 90, 30))
	bounds := heard.tell(100, begin.Add(demand.Lifetime), use("hot", 6, 6), use("c", 4, 1))
	assert.Equal(t, bounds[""], 100)
	bounds = heard.tell(100, begin.Add(2*demand.Lifetime), use("hot", 6, 6), use("c", 4, 1))
	assert.Equal(t, bounds[""], 10)
	assert.Equal(t, bounds["hot"], 5)
	// Nobody waits any more: nothing is bounded, and nothing is told, a second after the last one did.
	assert.Equal(t, len(heard.tell(100, begin.Add(2*demand.Lifetime+1100*time.Millisecond), use("hot", 6, 0))), 0)
}

// TestBoundsDoNotFlap has a tenant want now somewhat more than its share and now as much: it stays bounded, and is so no more a second after it wants
// clearly less.
func TestBoundsDoNotFlap(t *testing.T) {
	node := reporter{keeper: &fairshare.Account{}, node: "a"}
	now, changes, before := begin, 0, false
	for index := range 40 {
		now = now.Add(100 * time.Millisecond)
		bounds := node.tell(100, now, use("hot", 58+5*(index%2), 1), use("c", 40, 1))
		_, bounded := bounds["hot"]
		if bounded != before {
			changes++
		}
		before = bounded
	}
	assert.Assert(t, before && changes == 1, "%d changes", changes)
	for range 15 {
		now = now.Add(100 * time.Millisecond)
		_, before = node.tell(100, now, use("hot", 30, 1), use("c", 40, 1))["hot"]
	}
	assert.Assert(t, !before)
}

// TestTenantThatWantsNearlyItsShareStaysBounded has two tenants want more than half each, and then one of them somewhat less, and much less.
func TestTenantThatWantsNearlyItsShareStaysBounded(t *testing.T) {
	node := reporter{keeper: &fairshare.Account{}, node: "a"}
	now := begin
	boundedAfter := func(taken int) bool {
		bounded := false
		for range 25 {
			now = now.Add(100 * time.Millisecond)
			_, bounded = node.tell(1000, now, use("a", 55, 5), use("b", taken, 1))["b"]
		}
		return bounded
	}
	assert.Assert(t, boundedAfter(58))
	assert.Assert(t, boundedAfter(51))
	assert.Assert(t, !boundedAfter(30))
}

// TestTenantThatWantsLessThanItsPartOfAllIsNeverBounded draws what tenants want at one node, more of them than are named. A tenant that wants no more
// places than it would have were all to want more is not bounded.
func TestTenantThatWantsLessThanItsPartOfAllIsNeverBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local := &fairshare.Local{}
		local.Waited(begin)
		total := 0
		counts := map[ident.Tenant]int{}
		for index := range rapid.IntRange(2, tenants).Draw(t, "tenants") {
			counts[tenantName(index)] = rapid.IntRange(0, 30).Draw(t, "taken")
			total += counts[tenantName(index)]
			for range counts[tenantName(index)] {
				local.Took(tenantName(index))
			}
		}
		node := reporter{keeper: &fairshare.Account{}, node: "a"}
		uses := local.Uses("s", map[ident.Tenant]int{tenantName(0): 1}, nil, begin)
		bounds := node.tell(10_000, begin, uses...)
		for tenant, bound := range bounds {
			if tenant == "" {
				continue
			}
			assert.Assert(t, bound >= total/tenants, "%s is bounded to %d of %d", tenant, bound, total)
			assert.Assert(t, counts[tenant]+1 > total/tenants, "%s has %d of %d", tenant, counts[tenant], total)
		}
	})
}

// TestUsesNameTheLargestAndAddUp draws what tenants have at a node: few are named, the largest, and all is told.
func TestUsesNameTheLargestAndAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local, waiting, taken := &fairshare.Local{}, map[ident.Tenant]int{}, 0
		for index := range rapid.IntRange(0, 50).Draw(t, "tenants") {
			for range rapid.IntRange(0, 5).Draw(t, "taken") {
				local.Took(tenantName(index))
				taken++
			}
			waiting[tenantName(index)] = rapid.IntRange(0, 3).Draw(t, "waiting")
		}
		assert.Equal(t, len(local.Uses("s", waiting, nil, begin)), 0, "places are not scarce")
		local.Waited(begin)
		uses := local.Uses("s", waiting, nil, begin)
		least, others := math.MaxInt, 0
		for _, told := range uses {
			taken -= told.Taken
			waits := waiting[told.Tenant]
			if told.Tenant == "" {
				others = told.Taken + told.Waiting
				continue
			}
			assert.Equal(t, told.Waiting, waits)
			least = min(least, told.Taken+told.Waiting)
		}
		assert.Equal(t, taken, 0)
		assert.Assert(t, len(uses) <= 7, "%d are told", len(uses))
		assert.Assert(t, others == 0 || least > 0)
		assert.Equal(t, len(local.Uses("s", waiting, nil, begin.Add(1100*time.Millisecond))), 0, "nobody has waited for a second")
	})
}

// TestWithoutTenantsNothingIsToldAndNothingYields draws what happens at a node whose requests are nobody's, whatever a keeper says.
func TestWithoutTenantsNothingIsToldAndNothingYields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local := &fairshare.Local{}
		now := begin
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				local.Took("")
			case 1:
				local.Gave("")
			case 2:
				local.Waited(now)
			case 3:
				local.Learn([]demand.Bound{{Service: "s", Places: 3}, {Service: "s", Tenant: "a"}}, now)
			}
			assert.Equal(t, len(local.Uses("s", map[ident.Tenant]int{"": 4}, nil, now)), 0)
			assert.Assert(t, !local.Yields("", rapid.Bool().Draw(t, "less urgent"), now))
		}
	})
}

// TestRequestsBeyondTheBoundYield has a tenant with a bound of two places, and a kind that is less urgent than another one.
func TestRequestsBeyondTheBoundYield(t *testing.T) {
	local := &fairshare.Local{}
	local.Learn([]demand.Bound{{Service: "s", Places: 10}, {Service: "s", Tenant: "hot", Places: 2}}, begin)
	local.Took("hot")
	assert.Assert(t, !local.Yields("hot", false, begin))
	local.Took("hot")
	assert.Assert(t, local.Yields("hot", false, begin) && !local.Yields("other", false, begin))
	assert.Assert(t, local.Yields("other", true, begin), "a less urgent kind passes a more urgent one that yields")
	local.Gave("hot")
	assert.Assert(t, !local.Yields("hot", false, begin))
	local.Took("hot")
	assert.Assert(t, !local.Yields("hot", false, begin.Add(demand.Lifetime)), "an old bound counts")
	assert.Assert(t, !local.Yields("other", true, begin.Add(demand.Lifetime)))
	// An answer that was overtaken changes nothing.
	local.Learn([]demand.Bound{{Service: "s", Tenant: "hot", Places: 9}}, begin.Add(-time.Millisecond))
	assert.Assert(t, local.Yields("hot", false, begin))
}

// TestTurnsAreInProportionToWeights has three tenants, one of them of half the weight and one with something already.
func TestTurnsAreInProportionToWeights(t *testing.T) {
	turns := fairshare.NewTurns(func(tenant ident.Tenant) float64 {
		if tenant == "half" {
			return 0.5
		}
		return 1
	})
	turns.Had("had", 40)
	var things []ident.Tenant
	for range 30 {
		things = append(things, "half", "had", "whole")
	}
	self := func(thing ident.Tenant) ident.Tenant { return thing }
	counts := map[ident.Tenant]int{}
	for _, thing := range fairshare.InTurn(turns, things, self, func(ident.Tenant) int { return 10 })[:20] {
		counts[thing]++
	}
	// For its weight, each has what the others have, but for one turn.
	for _, amount := range []int{10 * counts["whole"], 20 * counts["half"], 40 + 10*counts["had"]} {
		assert.Assert(t, amount >= 80 && amount <= 100, "%v", counts)
	}
}

// TestBytesOfWhatANodeTellsAtTheSizeToDesignFor has a node of 330 with ten requests of 2,200 tenants in progress, some of them waiting: what it tells
// and hears of tenants while places are scarce takes no more than half of the 3 kB a second that it may spend on control, and nothing while they
// are not.
func TestBytesOfWhatANodeTellsAtTheSizeToDesignFor(t *testing.T) {
	const nodes, most = 330, 1500
	random := rand.New(rand.NewPCG(1, 2))
	keeper := &fairshare.Account{}
	total, answers := 0, 0
	for index := range nodes {
		local, waiting := &fairshare.Local{}, map[ident.Tenant]int{}
		local.Waited(begin)
		for range 10 {
			tenant := ident.Tenant(fmt.Sprintf("tenant-%04d", int(2200*random.Float64()*random.Float64())))
			local.Took(tenant)
			waiting[tenant] += random.IntN(2)
		}
		report := &demand.Report{Node: ident.Node(fmt.Sprint("n", index)), Incarnation: 1, Sequence: 1, Uses: local.Uses("service-07", waiting, nil, begin)}
		keeper.Take(report, begin)
		told, err := json.Marshal(report.Uses)
		assert.NilError(t, err)
		total += len(told)
		fleet := func(string) fairshare.Fleet {
			return fairshare.Fleet{Slots: 2000, Weight: func(ident.Tenant) float64 { return 1 }, Weights: 2200}
		}
		answer, err := json.Marshal(keeper.Bounds(report, fleet, begin.Add(time.Duration(index)*10*time.Millisecond)))
		assert.NilError(t, err)
		answers += len(answer)
	}
	each, answer := total/nodes, answers/nodes
	// A node has work at a fifth of the workers, so that the keeper hears it as often as it tells, and twice a second beside.
	tells := float64(time.Second) / float64(demand.UsesEvery)
	perSecond := int(float64(each)*tells + float64(answer)*(tells+2))
	t.Logf("%d bytes told, %d answered, %d a second", each, answer, perSecond)
	assert.Assert(t, perSecond <= most, "%d bytes a second", perSecond)
}
