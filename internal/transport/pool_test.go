package transport

import (
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

func TestForgetDropsOnlyIdleTargetsThatAreNotKept(t *testing.T) {
	pool := NewPool(PoolOptions{Lookup: func(ident.Node) (string, bool) { return "", false }})
	replaced, busy := target{"a", "127.0.0.1:1"}, target{"b", "127.0.0.1:2"}
	present, seed := target{"a", "127.0.0.1:3"}, target{"", "127.0.0.1:4"}
	for _, destination := range []target{replaced, busy, present, seed} {
		pool.peerOf(destination)
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
