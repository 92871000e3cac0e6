package transport

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

func TestForgetDropsOnlyIdleTargetsThatAreNotKept(t *testing.T) {
	pool := NewPool(PoolOptions{Lookup: func(ident.Node) (string, bool) { return "", false }})
	replaced, busy := target{"a", "127.0.0.1:1"}, target{"b", "127.0.0.1:2"}
	present, seed := target{"a", "127.0.0.1:3"}, target{"", "127.0.0.1:4"}
	for _, where := range []target{replaced, busy, present, seed} {
		pool.peerOf(where)
	}
	pool.peerOf(busy).slots <- struct{}{}
	keep := func(node ident.Node, address string) bool {
		return node == "" || target{node, address} == present
	}

	pool.Forget(keep)
	assert.Equal(t, len(pool.peers), 3)
	_, held := pool.peers[replaced]
	assert.Check(t, !held)

	<-pool.peerOf(busy).slots
	pool.Forget(keep)
	assert.Equal(t, len(pool.peers), 2)
	assert.NilError(t, pool.Close())
}

// TestPauseAfterFailedAttemptsIsBounded has a peer refuse ten attempts one after the other. A pool that is told so connects soon after
// the peer is up; one that is not may pause for up to two seconds.
func TestPauseAfterFailedAttemptsIsBounded(t *testing.T) {
	for _, c := range []struct{ longest, least, most time.Duration }{
		{0, 900 * time.Millisecond, DefaultLongestBackoff},
		{50 * time.Millisecond, 0, 50 * time.Millisecond},
	} {
		pool := NewPool(PoolOptions{PrivateNetwork: true, LongestBackoff: c.longest})
		known := pool.peerOf(target{address: "127.0.0.1:1"})
		for range 10 {
			pool.record(known, ErrUnreachable)
		}
		pause := pool.backoff(known)
		assert.Assert(t, pause >= c.least && pause <= c.most, "%v", pause)
		assert.NilError(t, pool.Close())
	}
}
