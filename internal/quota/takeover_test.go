package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// TestSharesOfCutOffNodesOutliveTheirOwner has three of nine nodes cut off with their shares of a limit, of which three times as much is
// sent, and then the owner lost: neither the one that takes over nor the first one, when it is back with an empty memory, hears of them.
// The account of all nodes together must leave them what they use. It let 731 requests through where 730 may be, as a drawn play found,
// because both gave the whole limit to the nodes that they heard.
func TestSharesOfCutOffNodesOutliveTheirOwner(t *testing.T) {
	const cutOff = 3
	for _, back := range []time.Duration{2700 * time.Millisecond, 5 * time.Second, time.Minute} {
		p := plan{nodes: 9, owners: 2, limit: Limit{Rate: 75, Burst: 271}, demand: 3, spread: 9}
		for seed := uint64(1); seed <= 10; seed++ {
			w := play(p, seed, func(w *world) way {
				by := newCredits(w)
				w.after(10*time.Second, func() {
					for node := range cutOff {
						w.cut[node] = true
					}
				})
				w.after(10*time.Second+100*time.Millisecond, func() { w.loseOwner(by, 0, back) })
				return by
			})
			assert.Check(t, w.broken == "", "owner back after %v, seed %d: %s", back, seed, w.broken)
			assert.Check(t, w.served() > 0)
		}
	}
}

// TestShareThatWasGivenUpIsNotLeftOut has one of two nodes let nothing more through while the owner is lost, so that it gives up its
// share of half of the limit. The next owner hears that from it and leaves nothing out: all that is within the limit is let through at the
// other node. It took the node for cut off, and half of the limit was out of use for a minute.
func TestShareThatWasGivenUpIsNotLeftOut(t *testing.T) {
	const tenant, many = ident.Tenant("a"), 30
	busy, idle := newTellerRig(t), newTellerRig(t)
	idle.meter, idle.ledger = NewMeter("idle", 1, simWindow, idle.now.Add(-time.Hour)), busy.ledger
	both := []*tellerRig{busy, idle}
	pass := func(lasting time.Duration) {
		for _, r := range both {
			r.pass(lasting)
		}
	}
	for _, r := range both {
		r.limit = Limit{Rate: 10, Burst: 40}
		for range 10 {
			r.request(tenant)
		}
	}
	// Both are told of their shares and of the other one's, and then the owner is lost until nothing of the one is in the window.
	for range 2 {
		pass(1100 * time.Millisecond)
		for _, r := range both {
			r.request(tenant)
		}
	}
	for range int(simWindow/time.Second) + 1 {
		busy.meter.Pass(tenant, busy.limit, busy.now)
		for _, r := range both {
			r.now = r.now.Add(time.Second)
			r.meter.Due(func(ident.Tenant) string { return "" }, r.now)
		}
	}
	second := NewLedger(simWindow, busy.now.Add(-time.Hour))
	for _, r := range both {
		r.owner, r.ledger = "second", second
	}
	pass(time.Second)
	for range many {
		busy.meter.Wait(tenant, busy.limit)
	}
	busy.tell()
	for range many {
		assert.Equal(t, busy.meter.Take(tenant, busy.limit, busy.now).Decision, Admit)
	}
}
