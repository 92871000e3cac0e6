package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// TestSharesOfPartitionedNodesOutliveTheirOwner partitions three of nine nodes that have shares of a limit, while the load is
// three times the limit, and then loses the owner. Neither the next owner nor the first one, back with an empty ledger, receives
// reports from the three nodes, and each must reserve what they use. A simulated run admitted 731 requests where 730 are allowed,
// because both owners granted the whole limit to the nodes that reported.
func TestSharesOfPartitionedNodesOutliveTheirOwner(t *testing.T) {
	const partitionedNodes = 3
	for _, ownerBackAfter := range []time.Duration{2700 * time.Millisecond, 5 * time.Second, time.Minute} {
		p := scenario{nodes: 9, owners: 2, limit: Limit{Rate: 75, Burst: 271}, demand: 3, spread: 9}
		for seed := uint64(1); seed <= 10; seed++ {
			sim := simulate(p, seed, func(sim *simulation) strategy {
				limiter := newCredits(sim)
				sim.after(10*time.Second, func() {
					for node := range partitionedNodes {
						sim.partitioned[node] = true
					}
				})
				sim.after(10*time.Second+100*time.Millisecond, func() { sim.loseOwner(limiter, 0, ownerBackAfter) })
				return limiter
			})
			assert.Check(t, sim.broken == "", "owner back after %v, seed %d: %s", ownerBackAfter, seed, sim.broken)
			assert.Check(t, sim.served() > 0)
		}
	}
}

// TestReleasedShareIsNotReserved has one of two nodes admit nothing more while the owner is lost, so that it releases its share of
// half the limit. The node reports the release to the next owner, which then reserves nothing: the other node can use the whole
// limit. Without this, the owner took the node for partitioned, and half of the limit was unused for a minute.
func TestReleasedShareIsNotReserved(t *testing.T) {
	const tenant, waitingRequests = ident.Tenant("a"), 30
	busy, idle := newReportRig(t), newReportRig(t)
	idle.meter, idle.ledger = NewMeter("idle", 1, simWindow, idle.now.Add(-time.Hour)), busy.ledger
	both := []*reportRig{busy, idle}
	advance := func(duration time.Duration) {
		for _, r := range both {
			r.advance(duration)
		}
	}
	for _, r := range both {
		r.limit = Limit{Rate: 10, Burst: 40}
		for range 10 {
			r.request(tenant)
		}
	}
	// Both nodes receive their shares and each other's. Then the owner is lost until the idle node's window is empty.
	for range 2 {
		advance(1100 * time.Millisecond)
		for _, r := range both {
			r.request(tenant)
		}
	}
	for range int(simWindow/time.Second) + 1 {
		busy.meter.AdmitUncounted(tenant, busy.limit, busy.now)
		for _, r := range both {
			r.now = r.now.Add(time.Second)
			r.meter.DueReports(func(ident.Tenant) string { return "" }, r.now)
		}
	}
	second := NewLedger(simWindow, busy.now.Add(-time.Hour))
	for _, r := range both {
		r.owner, r.ledger = "second", second
	}
	advance(time.Second)
	for range waitingRequests {
		busy.meter.BeginWait(tenant, busy.limit)
	}
	busy.report()
	for range waitingRequests {
		assert.Equal(t, busy.meter.Take(tenant, busy.limit, busy.now).Decision, Admit)
	}
}
