package follower

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The store's link, and the bytes of a runner's entry on it.
const (
	storeBytesPerSecond = 125e6
	entryBytes          = 300
)

// TestFallbackFitsTheStoresLink has the nodes that read for all others fail in fleets of several sizes: what the others read
// themselves within five seconds is less than a third of what the store's link carries in that time, while the relays read at once.
func TestFallbackFitsTheStoresLink(t *testing.T) {
	const within = 5 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	for _, fleet := range []struct{ nodes, workers, runners int }{{300, 45, 3000}, {985, 150, 10000}, {2000, 300, 20000}} {
		reading := 0
		for node := range fleet.nodes {
			fallback := Fallback{First: node < 7, RelaysToOthers: node < fleet.workers, Workers: fleet.workers}
			delay := fallback.delay(fleet.runners, random.Float64())
			assert.Assert(t, (delay == 0) == fallback.First)
			if delay < within {
				reading++
			}
		}
		bytes := float64(reading * fleet.runners * entryBytes)
		assert.Assert(t, bytes < within.Seconds()*storeBytesPerSecond/3, "%d of %d nodes read: %.0f bytes", reading, fleet.nodes, bytes)
	}
}

// TestShortListsAreReadAtOnce checks that nodes of a site whose list takes a page or two do not wait.
func TestShortListsAreReadAtOnce(t *testing.T) {
	for _, site := range []struct{ workers, runners int }{{0, 0}, {4, 18}, {11, 89}, {45, 295}, {45, 400}} {
		assert.Equal(t, Fallback{Workers: site.workers}.delay(site.runners, 0.99), time.Duration(0))
	}
	assert.Assert(t, Fallback{Workers: 150}.delay(0, 0) > 0, "the list of a fleet that starts is not complete")
}
