package shardhost_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardhost/shardhosttest"
)

// TestCatchUpUnderLoadEnds replaces a disk while commands are committed, with a state that takes many times as long to
// send as the log is kept. It failed when the log behind a state on its way was dropped: each state was too old when it
// arrived, and another one was sent for as long as the load lasted.
func TestCatchUpUnderLoadEnds(t *testing.T) {
	fleet := shardhosttest.New(shardhosttest.Options{
		Nodes: 3, Shards: 1, RetainedEntries: 20, CatchUpRate: 1 << 20,
		Machine: func(ident.Shard) shard.Machine { return putMachine{} },
	})
	assert.NilError(t, fleet.StartAll())
	t.Cleanup(func() { assert.NilError(t, fleet.Close()) })
	f := &fixture{t: t, fleet: fleet, acknowledged: map[string]bool{}}
	leader := fleet.Host(f.leader(3)).Replica(0)
	large := make([]byte, 6<<10)
	for range 1200 {
		assert.NilError(t, proposeSurely(leader, large))
	}
	wiped := followerOf(fleet)
	assert.NilError(t, fleet.Wipe(wiped))
	f.eventually(func() bool {
		status, _ := fleet.Host(f.leader(1)).Status(0)
		return len(status.Configuration.Members) == 2
	})
	leader = fleet.Host(f.leader(1)).Replica(0)

	var load sync.WaitGroup
	var ended atomic.Bool
	for number := range 16 {
		load.Go(func() {
			for !ended.Load() {
				_, _ = leader.Propose(context.Background(), []byte(fmt.Sprint(number)), 0)
			}
		})
	}
	defer load.Wait()
	defer ended.Store(true)
	assert.NilError(t, fleet.Start(wiped))
	f.eventually(func() bool {
		status, exists := fleet.Host(wiped).Status(0)
		return exists && status.Configuration.Has(fleet.Host(wiped).Member())
	})
}
