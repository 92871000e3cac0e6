package shardhost_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardhost"
	"mallowlatch.example/mallowlatch/internal/shardhost/shardhosttest"
)

// TestOnlyReplicaLeavesAfterAnotherJoined stops the node that holds the only copy as planned. It failed when a stop waited
// for the leadership to go and not for the set: the successor's set still named the stopped disk.
func TestOnlyReplicaLeavesAfterAnotherJoined(t *testing.T) {
	plan := shardhosttest.FastPlan()
	plan.Copies = 1
	f := newFixtureOf(t, shardhosttest.Options{Nodes: 3, Shards: 2, RetainedEntries: 20, Plan: plan})
	leaving := f.leader(1)
	f.propose(50)
	host := f.fleet.Host(leaving)
	f.fleet.Announce(leaving)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	assert.NilError(t, host.Leave(ctx))
	f.requireSet(0, 1, host)
	assert.NilError(t, f.fleet.Stop(leaving))
	f.verify()
}

// TestFollowerLeavesAfterItsReplacementJoined failed in the same way: a follower has no leadership to hand over, and left
// at once.
func TestFollowerLeavesAfterItsReplacementJoined(t *testing.T) {
	f := newFixture(t, 4)
	leader := f.leader(3)
	f.propose(20)
	status, _ := f.fleet.Host(leader).Status(0)
	for number, host := range f.hosts() {
		if number == leader || !status.Configuration.Has(host.Member()) {
			continue
		}
		f.fleet.Announce(number)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		assert.NilError(t, host.Leave(ctx))
		f.requireSet(0, 3, host)
		break
	}
	f.verify()
}

// requireSet checks the stored set of a shard: its size, and that it does without a host.
func (f *fixture) requireSet(id ident.Shard, members int, without *shardhost.Host) {
	f.t.Helper()
	pair, err := f.fleet.KV.Get(context.Background(), fmt.Sprint(shardhost.DefaultPrefix, id))
	assert.NilError(f.t, err)
	var stored shard.Configuration
	assert.NilError(f.t, json.Unmarshal(pair.Value, &stored))
	assert.Equal(f.t, len(stored.Members), members, "%s", pair.Value)
	assert.Assert(f.t, !stored.Has(without.Member()), "%s", pair.Value)
}

// TestLeaveSaysWhenItCannot stops nodes that the shards cannot do without.
func TestLeaveSaysWhenItCannot(t *testing.T) {
	t.Run("no other disk", func(t *testing.T) {
		f := newFixture(t, 1)
		host := f.fleet.Host(f.leader(1))
		assert.ErrorIs(t, host.Leave(context.Background()), shardhost.ErrNoOtherDisk)
		assert.Assert(t, len(host.Held()) > 0)
	})
	t.Run("the whole fleet stops", func(t *testing.T) {
		f := newFixture(t, 3)
		f.leader(3)
		for number := range f.nodeCount() {
			f.fleet.Announce(number)
		}
		assert.ErrorIs(t, f.fleet.Host(0).Leave(context.Background()), shardhost.ErrNoOtherDisk)
	})
	t.Run("key-value service away", func(t *testing.T) {
		f := newFixture(t, 4)
		leaving := f.leader(3)
		f.fleet.KV.SetFaults(kvtest.Faults{Outage: true})
		f.fleet.Announce(leaving)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		err := f.fleet.Host(leaving).Leave(ctx)
		assert.ErrorIs(t, err, shardhost.ErrStillNeeded)
		assert.ErrorIs(t, err, shardhost.ErrStoreAway)
	})
}

// TestReplicaOutOfItsSetIsRemovedAndComesBackBlank drops a member by a planned stop that is taken back. Its data goes
// after the grace time, and when its place is wanted again it is filled anew.
func TestReplicaOutOfItsSetIsRemovedAndComesBackBlank(t *testing.T) {
	plan := shardhosttest.FastPlan()
	plan.RemoveAfter = time.Second
	f := newFixtureOf(t, shardhosttest.Options{Nodes: 4, Shards: 1, RetainedEntries: 20, Plan: plan})
	status, _ := f.fleet.Host(f.leader(3)).Status(0)
	f.propose(50)
	dropped := slices.IndexFunc(f.hosts(), func(host *shardhost.Host) bool {
		return status.Configuration.Has(host.Member())
	})
	f.fleet.Announce(dropped)
	host := f.fleet.Host(dropped)
	f.eventually(func() bool {
		_, exists := host.Status(0)
		return !exists
	})
	held, err := f.fleet.Store(dropped).Shards()
	assert.NilError(t, err)
	assert.Equal(t, len(held), 0)
	f.propose(50)
	assert.NilError(t, f.fleet.Stop(dropped))
	assert.NilError(t, f.fleet.Start(dropped))
	f.eventually(func() bool {
		status, exists := f.fleet.Host(dropped).Status(0)
		return exists && status.Configuration.Has(host.Member()) && status.Activated == status.Configuration.Epoch
	})
	f.verify()
}

func (f *fixture) eventually(holds func() bool) {
	f.t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
	f.t.Fatal("it never did")
}
