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

const tolerance = 1e-6

// TestSharesAreMaxMin draws claims and checks that shares are max-min fair: no slot is left over that some claim
// wants, no claim gets more than it wants, and a claim that gets less than it wants has no less for its weight
// than any other.
func TestSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := float64(rapid.IntRange(0, 200).Draw(t, "places"))
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fairshare.Claim {
			return fairshare.Claim{Weight: fairshare.Weight(rapid.IntRange(0, 6).Draw(t, "rank")), Wants: rapid.IntRange(0, 80).Draw(t, "wants")}
		}), 0, 30).Draw(t, "claims")
		shares := fairshare.Shares(slots, claims)
		sum, wants, most := 0.0, 0.0, 0.0
		for index, share := range shares {
			sum += share
			wants += float64(claims[index].Wants)
			most = max(most, share/claims[index].Weight)
			assert.Assert(t, share <= float64(claims[index].Wants)+tolerance && share >= 0)
		}
		assert.Assert(t, math.Abs(sum-min(slots, wants)) < tolerance, "%v of %v slots are allocated, %v are wanted", sum, slots, wants)
		for index, share := range shares {
			if share < float64(claims[index].Wants)-tolerance {
				assert.Assert(t, share/claims[index].Weight >= most-tolerance, "claim %v has a smaller share for its weight than others: %v", claims[index], shares)
			}
		}
	})
}

// fleetOf returns a fleet with the given number of slots, in which all tenants have the same weight.
func fleetOf(slots int) func(string) fairshare.Fleet {
	return func(string) fairshare.Fleet {
		return fairshare.Fleet{Slots: slots, Weight: func(ident.Tenant) float64 { return 1 }, Weights: tenants}
	}
}

// reporter reports to an account as one node does.
type reporter struct {
	account  *fairshare.Account
	node     ident.Node
	sequence int64
}

func (r *reporter) send(slots int, now time.Time, uses ...demand.Use) map[ident.Tenant]int {
	r.sequence++
	report := &demand.Report{Node: r.node, Incarnation: 1, Sequence: r.sequence, Uses: uses}
	r.account.Record(report, now)
	bounds := map[ident.Tenant]int{}
	for _, bound := range r.account.Bounds(report, fleetOf(slots), now) {
		bounds[bound.Tenant] = bound.Slots
	}
	return bounds
}

func use(tenant ident.Tenant, taken, waiting int) demand.Use {
	return demand.Use{Service: "s", Tenant: tenant, Taken: taken, Waiting: waiting}
}

// TestNobodyIsBoundedWhileSlotsSuffice has one tenant use nearly all slots while no request waits.
func TestNobodyIsBoundedWhileSlotsSuffice(t *testing.T) {
	node := reporter{account: &fairshare.Account{}, node: "a"}
	assert.Equal(t, len(node.send(100, start, use("hot", 90, 0), use("other", 5, 0))), 0)
}

// TestTenantAloneIsNotBounded has requests of a single tenant wait.
func TestTenantAloneIsNotBounded(t *testing.T) {
	node := reporter{account: &fairshare.Account{}, node: "a"}
	assert.DeepEqual(t, node.send(100, start, use("alone", 100, 40)), map[ident.Tenant]int{"": 0})
	assert.Equal(t, len(node.send(100, start.Add(time.Second), use("alone", 90, 40), use("other", 10, 0))), 2)
	assert.DeepEqual(t, node.send(100, start.Add(2*time.Second), use("alone", 100, 40)), map[ident.Tenant]int{"": 0})
}

// TestNobodyIsBoundedBeforeRunnersAreKnown guards against bounding all tenants of a starting site to the few slots
// that the first requests get. At first all requests wait because no runner is known; then some have slots while
// the others are about to get theirs.
func TestNobodyIsBoundedBeforeRunnersAreKnown(t *testing.T) {
	node := reporter{account: &fairshare.Account{}, node: "a"}
	nobody := map[ident.Tenant]int{"": 0}
	assert.DeepEqual(t, node.send(100, start, use("a", 0, 20), use("b", 0, 20)), nobody)
	assert.DeepEqual(t, node.send(100, start.Add(200*time.Millisecond), use("a", 2, 18), use("b", 3, 17)), nobody)
	assert.DeepEqual(t, node.send(100, start.Add(400*time.Millisecond), use("a", 20, 1), use("b", 20, 1)), nobody)
	// After peakWindow the slots in use are what is available: here slots for a quarter of the requests.
	bounds := node.send(100, start.Add(2*time.Second), use("a", 20, 60), use("b", 5, 0))
	assert.Equal(t, bounds["a"], 20)
}

// TestOnlyTenantsOverTheirShareAreBounded has one tenant want most of the slots beside two that want few.
func TestOnlyTenantsOverTheirShareAreBounded(t *testing.T) {
	node := reporter{account: &fairshare.Account{}, node: "a"}
	bounds := node.send(100, start, use("hot", 80, 40), use("b", 15, 1), use("c", 5, 0))
	assert.DeepEqual(t, bounds, map[ident.Tenant]int{"": 100, "hot": 79})
}

// TestPartsOfTheNodesAddUpToTheShare draws the nodes' requests of a tenant over its share. The nodes' bounds add
// up to the share, rounded up, and each differs by less than one slot from the node's exact part.
func TestPartsOfTheNodesAddUpToTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := &fairshare.Account{}
		nodes := rapid.IntRange(1, 40).Draw(t, "nodes")
		var reporters []*reporter
		var hot []demand.Use
		wants, others := 0, 0
		for index := range nodes {
			reporters = append(reporters, &reporter{account: account, node: ident.Node(fmt.Sprint("n", index))})
			hot = append(hot, use("hot", rapid.IntRange(1, 9).Draw(t, "taken"), rapid.IntRange(1, 9).Draw(t, "waiting")))
			wants += hot[index].Taken + hot[index].Waiting
			others += hot[index].Taken
		}
		for index, one := range reporters {
			one.send(1000, start, hot[index], use("", 2, 0))
		}
		now := start.Add(100 * time.Millisecond)
		reporters[0].send(1000, now, hot[0], use("", 2, 0))
		share := float64(others)
		sum := 0
		for index, one := range reporters {
			got := one.send(1000, now, hot[index], use("", 2, 0))["hot"]
			part := share * float64(hot[index].Taken+hot[index].Waiting) / float64(wants)
			assert.Assert(t, float64(got) > part-1 && float64(got) < part+1, "bound of %d slots for a part of %v", got, part)
			sum += got
		}
		assert.Equal(t, sum, int(math.Ceil(share-tolerance)))
	})
}

// TestNodeWhosePartIsBelowOneSlotGetsOneInTurn has forty nodes share nine of ten slots for a minute.
func TestNodeWhosePartIsBelowOneSlotGetsOneInTurn(t *testing.T) {
	account := &fairshare.Account{}
	var reporters []*reporter
	for index := range 40 {
		reporters = append(reporters, &reporter{account: account, node: ident.Node(fmt.Sprint("n", index))})
	}
	had := map[ident.Node]int{}
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(250 * time.Millisecond) {
		for index, one := range reporters {
			uses := []demand.Use{use("hot", 1, 1)}
			if index == 0 {
				uses = append(uses, use("other", 1, 0))
			}
			had[one.node] += one.send(10, now, uses...)["hot"]
		}
	}
	for _, one := range reporters {
		assert.Assert(t, had[one.node] > 0, "node %s never has a slot", one.node)
	}
}

// TestNewestReportOfEachNodeCounts takes a report that was overtaken by the next one, and one of an earlier
// process.
func TestNewestReportOfEachNodeCounts(t *testing.T) {
	account := &fairshare.Account{}
	take := func(incarnation, sequence int64, taken int) {
		account.Record(&demand.Report{Node: "a", Incarnation: incarnation, Sequence: sequence, Uses: []demand.Use{use("hot", taken, 5)}}, start)
	}
	take(2, 2, 10)
	take(2, 1, 70)
	take(1, 9, 80)
	node := reporter{account: account, node: "b"}
	assert.DeepEqual(t, node.send(100, start, use("c", 10, 4)), map[ident.Tenant]int{"": 20, "c": 10})
}

// TestReportOfASilentNodeExpires has a node with all slots become unresponsive. Its tenant's demand stops
// counting, and no bound based on it remains.
func TestReportOfASilentNodeExpires(t *testing.T) {
	account := &fairshare.Account{}
	silent, active := reporter{account: account, node: "a"}, reporter{account: account, node: "b"}
	silent.send(100, start, use("hot", 90, 30))
	bounds := active.send(100, start.Add(demand.Lifetime), use("hot", 6, 6), use("c", 4, 1))
	assert.Equal(t, bounds[""], 100)
	bounds = active.send(100, start.Add(2*demand.Lifetime), use("hot", 6, 6), use("c", 4, 1))
	assert.Equal(t, bounds[""], 10)
	assert.Equal(t, bounds["hot"], 5)
	// Bounds end a second after the last request waited.
	assert.Equal(t, len(active.send(100, start.Add(2*demand.Lifetime+1100*time.Millisecond), use("hot", 6, 0))), 0)
}

// TestBoundsDoNotFlap has a tenant alternate between slightly more than its share and just its share. It stays
// bounded, until it has wanted clearly less for a second.
func TestBoundsDoNotFlap(t *testing.T) {
	node := reporter{account: &fairshare.Account{}, node: "a"}
	now, changes, before := start, 0, false
	for index := range 40 {
		now = now.Add(100 * time.Millisecond)
		bounds := node.send(100, now, use("hot", 58+5*(index%2), 1), use("c", 40, 1))
		_, bounded := bounds["hot"]
		if bounded != before {
			changes++
		}
		before = bounded
	}
	assert.Assert(t, before && changes == 1, "%d changes", changes)
	for range 15 {
		now = now.Add(100 * time.Millisecond)
		_, before = node.send(100, now, use("hot", 30, 1), use("c", 40, 1))["hot"]
	}
	assert.Assert(t, !before)
}

// TestTenantThatWantsNearlyItsShareStaysBounded has two tenants want more than half of the slots each; then one of
// them wants slightly less, and later much less.
func TestTenantThatWantsNearlyItsShareStaysBounded(t *testing.T) {
	node := reporter{account: &fairshare.Account{}, node: "a"}
	now := start
	boundedAfter := func(taken int) bool {
		bounded := false
		for range 25 {
			now = now.Add(100 * time.Millisecond)
			_, bounded = node.send(1000, now, use("a", 55, 5), use("b", taken, 1))["b"]
		}
		return bounded
	}
	assert.Assert(t, boundedAfter(58))
	assert.Assert(t, boundedAfter(51))
	assert.Assert(t, !boundedAfter(30))
}

// TestTenantBelowItsPartOfAllIsNeverBounded draws the requests of tenants at one node, with more tenants than are
// reported by name. A tenant that wants no more slots than its share if all tenants wanted more is not bounded.
func TestTenantBelowItsPartOfAllIsNeverBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local := &fairshare.LocalUsage{}
		local.RecordWait(start)
		total := 0
		counts := map[ident.Tenant]int{}
		for index := range rapid.IntRange(2, tenants).Draw(t, "tenants") {
			counts[tenantName(index)] = rapid.IntRange(0, 30).Draw(t, "taken")
			total += counts[tenantName(index)]
			for range counts[tenantName(index)] {
				local.Acquire(tenantName(index))
			}
		}
		node := reporter{account: &fairshare.Account{}, node: "a"}
		uses := local.Uses("s", map[ident.Tenant]int{tenantName(0): 1}, nil, start)
		bounds := node.send(10_000, start, uses...)
		for tenant, bound := range bounds {
			if tenant == "" {
				continue
			}
			assert.Assert(t, bound >= total/tenants, "tenant %s is bounded to %d of %d slots", tenant, bound, total)
			assert.Assert(t, counts[tenant]+1 > total/tenants, "tenant %s is bounded with %d of %d slots", tenant, counts[tenant], total)
		}
	})
}

// TestUsesNameTheLargestAndAddUp draws the requests of tenants at a node. Only the largest tenants are named, and
// the sums are complete.
func TestUsesNameTheLargestAndAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local, waiting, taken := &fairshare.LocalUsage{}, map[ident.Tenant]int{}, 0
		for index := range rapid.IntRange(0, 50).Draw(t, "tenants") {
			for range rapid.IntRange(0, 5).Draw(t, "taken") {
				local.Acquire(tenantName(index))
				taken++
			}
			waiting[tenantName(index)] = rapid.IntRange(0, 3).Draw(t, "waiting")
		}
		assert.Equal(t, len(local.Uses("s", waiting, nil, start)), 0, "uses are reported while slots are not scarce")
		local.RecordWait(start)
		uses := local.Uses("s", waiting, nil, start)
		least, others := math.MaxInt, 0
		for _, reported := range uses {
			taken -= reported.Taken
			waits := waiting[reported.Tenant]
			if reported.Tenant == "" {
				others = reported.Taken + reported.Waiting
				continue
			}
			assert.Equal(t, reported.Waiting, waits)
			least = min(least, reported.Taken+reported.Waiting)
		}
		assert.Equal(t, taken, 0)
		assert.Assert(t, len(uses) <= 7, "%d uses are reported", len(uses))
		assert.Assert(t, others == 0 || least > 0)
		assert.Equal(t, len(local.Uses("s", waiting, nil, start.Add(1100*time.Millisecond))), 0, "uses are reported a second after the last request waited")
	})
}

// TestWithoutTenantsNothingIsReportedAndNothingYields draws events at a node whose requests have no tenant, with
// any answers of the account holder.
func TestWithoutTenantsNothingIsReportedAndNothingYields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local := &fairshare.LocalUsage{}
		now := start
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				local.Acquire("")
			case 1:
				local.Release("")
			case 2:
				local.RecordWait(now)
			case 3:
				local.ApplyBounds([]demand.Bound{{Service: "s", Slots: 3}, {Service: "s", Tenant: "a"}}, now)
			}
			assert.Equal(t, len(local.Uses("s", map[ident.Tenant]int{"": 4}, nil, now)), 0)
			assert.Assert(t, !local.Yields("", rapid.Bool().Draw(t, "less urgent"), now))
		}
	})
}

// TestRequestsBeyondTheBoundYield has a tenant with a bound of two slots, and a less urgent kind of request.
func TestRequestsBeyondTheBoundYield(t *testing.T) {
	local := &fairshare.LocalUsage{}
	local.ApplyBounds([]demand.Bound{{Service: "s", Slots: 10}, {Service: "s", Tenant: "hot", Slots: 2}}, start)
	local.Acquire("hot")
	assert.Assert(t, !local.Yields("hot", false, start))
	local.Acquire("hot")
	assert.Assert(t, local.Yields("hot", false, start) && !local.Yields("other", false, start))
	assert.Assert(t, local.Yields("other", true, start), "a less urgent request does not yield while a tenant is bounded")
	local.Release("hot")
	assert.Assert(t, !local.Yields("hot", false, start))
	local.Acquire("hot")
	assert.Assert(t, !local.Yields("hot", false, start.Add(demand.Lifetime)), "an expired bound counts")
	assert.Assert(t, !local.Yields("other", true, start.Add(demand.Lifetime)))
	// An answer that was overtaken changes nothing.
	local.ApplyBounds([]demand.Bound{{Service: "s", Tenant: "hot", Slots: 9}}, start.Add(-time.Millisecond))
	assert.Assert(t, local.Yields("hot", false, start))
}

// TestTurnsAreInProportionToWeights has three tenants, one with half the weight and one that has received
// something before.
func TestTurnsAreInProportionToWeights(t *testing.T) {
	turns := fairshare.NewWeightedScheduler(func(tenant ident.Tenant) float64 {
		if tenant == "half" {
			return 0.5
		}
		return 1
	})
	turns.Charge("had", 40)
	var elements []ident.Tenant
	for range 30 {
		elements = append(elements, "half", "had", "whole")
	}
	self := func(element ident.Tenant) ident.Tenant { return element }
	counts := map[ident.Tenant]int{}
	for _, element := range fairshare.Interleave(turns, elements, self, func(ident.Tenant) int { return 10 })[:20] {
		counts[element]++
	}
	// For its weight, each tenant has received as much as the others, within one turn.
	for _, amount := range []int{10 * counts["whole"], 20 * counts["half"], 40 + 10*counts["had"]} {
		assert.Assert(t, amount >= 80 && amount <= 100, "%v", counts)
	}
}

// TestBytesOfUsesAtTheDesignSize has 330 nodes with ten requests each, of 2,200 tenants, some of them waiting.
// While slots are scarce, a node's reports of uses and the bounds that it receives take no more than half of the 3
// kB a second that it may spend on control traffic.
func TestBytesOfUsesAtTheDesignSize(t *testing.T) {
	const nodes, most = 330, 1500
	random := rand.New(rand.NewPCG(1, 2))
	account := &fairshare.Account{}
	total, answers := 0, 0
	for index := range nodes {
		local, waiting := &fairshare.LocalUsage{}, map[ident.Tenant]int{}
		local.RecordWait(start)
		for range 10 {
			tenant := ident.Tenant(fmt.Sprintf("tenant-%04d", int(2200*random.Float64()*random.Float64())))
			local.Acquire(tenant)
			waiting[tenant] += random.IntN(2)
		}
		report := &demand.Report{Node: ident.Node(fmt.Sprint("n", index)), Incarnation: 1, Sequence: 1, Uses: local.Uses("service-07", waiting, nil, start)}
		account.Record(report, start)
		reported, err := json.Marshal(report.Uses)
		assert.NilError(t, err)
		total += len(reported)
		fleet := func(string) fairshare.Fleet {
			return fairshare.Fleet{Slots: 2000, Weight: func(ident.Tenant) float64 { return 1 }, Weights: 2200}
		}
		answer, err := json.Marshal(account.Bounds(report, fleet, start.Add(time.Duration(index)*10*time.Millisecond)))
		assert.NilError(t, err)
		answers += len(answer)
	}
	each, answer := total/nodes, answers/nodes
	// A node has work at a fifth of the workers, so the account holder answers as often as the node reports uses,
	// plus twice a second.
	reportsPerSecond := float64(time.Second) / float64(demand.UsesInterval)
	perSecond := int(float64(each)*reportsPerSecond + float64(answer)*(reportsPerSecond+2))
	t.Logf("%d bytes reported, %d answered, %d a second", each, answer, perSecond)
	assert.Assert(t, perSecond <= most, "%d bytes a second", perSecond)
}
