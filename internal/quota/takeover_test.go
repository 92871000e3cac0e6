package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
