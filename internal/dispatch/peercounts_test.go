package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/machine"
)

// TestPeerCountsConvergeAndExpire loses, duplicates and reorders a peer's counts and makes the peer leave at any time. It
// checks that the newest count that arrived is used, and that the count of a silent peer expires, sooner if the peer is
// known to have left.
func TestPeerCountsConvergeAndExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		start := time.Unix(1_800_000_000, 0)
		now := start
		table.SetMachines(machine.List{Runners: []machine.Runner{{ID: "r", Zone: "a", State: machine.Live}}}, now)
		known := func() int {
			view, _ := table.Runner("r", now)
			return view.PeersInFlight
		}
		newest, count := uint64(0), 0
		var last, departed time.Time
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "elapsed")) * time.Millisecond)
			if !departed.IsZero() && now.Sub(departed) >= departedCountTTL {
				assert.Equal(t, known(), 0, "the count of a peer that has left")
			}
			if rapid.IntRange(0, 5).Draw(t, "goes") == 0 && departed.IsZero() && newest > 0 {
				departed = now
				table.ObservePeerGone("p", now)
				continue
			}
			sequence := uint64(rapid.IntRange(1, 20).Draw(t, "sequence"))
			if !departed.IsZero() || (newest > 0 && sequence <= newest && now.Sub(last) >= peerCountTTL) {
				continue
			}
			// The count is a function of the sequence, so that a duplicated message has the same count.
			table.ObservePeer(ident.Node("p"), sequence, "r", int(sequence), now)
			if sequence > newest {
				newest, count, last = sequence, int(sequence), now
			}
			assert.Equal(t, known(), count, "the newest count")
		}
		now = now.Add(peerCountTTL)
		assert.Equal(t, known(), 0, "the count of a silent peer")
	})
}
