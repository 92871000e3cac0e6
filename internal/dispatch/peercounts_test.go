package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/machine"
)

// TestPeerCountsConvergeAndRunOut delivers a peer's counts lost, twice and out of order, and lets the peer go at any time.
// The newest count that arrived holds; a peer that says no more is forgotten, and sooner if it is known to be gone.
func TestPeerCountsConvergeAndRunOut(t *testing.T) {
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
		var last, gone time.Time
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "elapsed")) * time.Millisecond)
			if !gone.IsZero() && now.Sub(gone) >= goneTime {
				assert.Equal(t, known(), 0, "the count of a peer that is gone")
			}
			if rapid.IntRange(0, 5).Draw(t, "goes") == 0 && gone.IsZero() && newest > 0 {
				gone = now
				table.ObservePeerGone("p", now)
				continue
			}
			sequence := uint64(rapid.IntRange(1, 20).Draw(t, "sequence"))
			if !gone.IsZero() || (newest > 0 && sequence <= newest && now.Sub(last) >= hintTime) {
				continue
			}
			// The count is a function of the sequence: a repeated message says the same.
			table.ObservePeer(ident.Node("p"), sequence, "r", int(sequence), now)
			if sequence > newest {
				newest, count, last = sequence, int(sequence), now
			}
			assert.Equal(t, known(), count, "the newest count")
		}
		now = now.Add(hintTime)
		assert.Equal(t, known(), 0, "the count of a silent peer")
	})
}
