package shardhost_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardhost"
	"mallowlatch.example/mallowlatch/internal/shardhost/shardhosttest"
)

// setMachine stores each command as a key, and counts how often it was applied in the value.
type setMachine struct{}

func (setMachine) Apply(transaction shard.Transaction, _ uint64, command []byte) ([]byte, error) {
	count, err := transaction.Get(command)
	if err != nil {
		return nil, err
	}
	return command, transaction.Set(command, append(count, 'x'))
}

type fixture struct {
	t            *testing.T
	fleet        *shardhosttest.Fleet
	acknowledged map[string]bool
	number       int
}

func newFixture(t *testing.T, nodes int) *fixture {
	return newFixtureOf(t, shardhosttest.Options{Nodes: nodes, Shards: 2, RetainedEntries: 20})
}

func newFixtureOf(t *testing.T, options shardhosttest.Options) *fixture {
	options.Machine = func(ident.Shard) shard.Machine { return setMachine{} }
	fleet := shardhosttest.New(options)
	f := &fixture{t: t, fleet: fleet, acknowledged: map[string]bool{}}
	assert.NilError(t, fleet.StartAll())
	t.Cleanup(func() { assert.NilError(t, fleet.Close()) })
	return f
}

// leader waits for a node that leads shard 0 with at least so many members.
func (f *fixture) leader(members int) int {
	f.t.Helper()
	deadline := time.Now().Add(40 * time.Second)
	for time.Now().Before(deadline) {
		for number := range 5 {
			if number >= len(f.hosts()) || f.hosts()[number] == nil {
				continue
			}
			host := f.hosts()[number]
			status, exists := host.Status(0)
			if _, leading := host.Replica(0).Leading(); leading && exists && len(status.Configuration.Members) >= members {
				return number
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatal("no leader")
	return -1
}

func (f *fixture) hosts() []*shardhost.Host {
	var hosts []*shardhost.Host
	for number := range f.nodeCount() {
		hosts = append(hosts, f.fleet.Host(number))
	}
	return hosts
}

func (f *fixture) nodeCount() int { return f.fleet.Size() }

// propose commits so many commands, each with as many tries as it takes.
func (f *fixture) propose(count int) {
	f.t.Helper()
	for range count {
		f.number++
		command := fmt.Sprintf("command-%d", f.number)
		for !f.acknowledged[command] {
			host := f.fleet.Host(f.leader(1))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			reply, err := host.Replica(0).Propose(ctx, []byte(command), 0)
			cancel()
			if err == nil {
				assert.Equal(f.t, string(reply), command)
				f.acknowledged[command] = true
			}
		}
	}
}

// verify reads at the leader and finds every acknowledged command.
func (f *fixture) verify() {
	f.t.Helper()
	f.propose(1)
	for command := range f.acknowledged {
		var value []byte
		for value == nil {
			err := f.fleet.Host(f.leader(1)).Replica(0).View(context.Background(), func(state shard.Reader) error {
				found, err := state.Get([]byte(command))
				assert.Assert(f.t, err != nil || found != nil, "%s was lost", command)
				value = found
				return err
			})
			var notLeader *shard.NotLeaderError
			assert.Assert(f.t, err == nil || errors.As(err, &notLeader), "%v", err)
		}
	}
}

func TestTwoDisksLostAtOnce(t *testing.T) {
	f := newFixture(t, 4)
	leader := f.leader(3)
	f.propose(200)
	status, _ := f.fleet.Host(leader).Status(0)
	lost := 0
	for number := range f.nodeCount() {
		member := f.fleet.Host(number).Member()
		if status.Configuration.Has(member) && lost < 2 {
			lost++
			assert.NilError(t, f.fleet.Wipe(number))
		}
	}
	assert.Equal(t, lost, 2)
	f.propose(20)
	f.verify()
	assert.NilError(t, f.fleet.StartAll())
	f.leader(3)
	f.verify()
}

// TestStoppedHostLeavesNoCallOpen keeps a failure of a fleet of processes: the streams that other replicas held open kept
// the listener of a stopping node waiting until its time was up.
func TestStoppedHostLeavesNoCallOpen(t *testing.T) {
	f := newFixture(t, 3)
	leader := f.leader(3)
	f.propose(10)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	cut, err := f.fleet.StopWithin(ctx, leader)
	assert.NilError(t, err)
	assert.NilError(t, cut, "calls were still open")
}

func TestLeaderChangesWithoutKeyValueService(t *testing.T) {
	f := newFixture(t, 3)
	leader := f.leader(3)
	f.propose(10)
	f.fleet.KV.SetFaults(kvtest.Faults{Outage: true})
	before := f.fleet.KV.Calls()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(t, f.fleet.Host(leader).Drain(ctx))
	assert.Assert(t, f.leader(3) != leader)
	f.propose(10)
	f.verify()
	t.Logf("%d calls in the outage", f.fleet.KV.Calls()-before)
}

func TestTooFewCopiesIsRefused(t *testing.T) {
	f := newFixture(t, 3)
	host := f.fleet.Host(f.leader(3))
	_, err := host.Replica(0).Propose(context.Background(), []byte("x"), 4)
	assert.ErrorIs(t, err, shard.ErrTooFewCopies)
	for number := range 3 {
		if follower := f.fleet.Host(number); follower != host {
			var notLeader *shard.NotLeaderError
			_, err := follower.Replica(0).Propose(context.Background(), []byte("x"), 0)
			assert.Assert(t, errors.As(err, &notLeader))
			assert.Equal(t, notLeader.Leader, host.Member().Node)
		}
	}
}

// TestNothingIsAcknowledgedOnFewerCopies proposes for three copies while one has just died. It failed before replies were
// checked against the set that committed: the entry went on into a set of two.
func TestNothingIsAcknowledgedOnFewerCopies(t *testing.T) {
	f := newFixture(t, 3)
	leader := f.leader(3)
	assert.NilError(t, f.fleet.Stop((leader+1)%3))
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	_, err := f.fleet.Host(leader).Replica(0).Propose(ctx, []byte("three copies"), 3)
	assert.Assert(t, err != nil)
	f.leader(2)
	f.propose(1)
}

func TestLostAnswersOfTheStore(t *testing.T) {
	f := newFixture(t, 4)
	f.leader(3)
	f.propose(10)
	f.fleet.KV.SetFaults(kvtest.Faults{LoseAnswer: 0.5, LoseRequest: 0.3})
	assert.NilError(t, f.fleet.Stop(f.leader(3)))
	f.propose(10)
	f.leader(3)
	f.verify()
}

func TestPlacesSpreadZones(t *testing.T) {
	var nodes []shardhost.NodeInfo
	for number := range 9 {
		nodes = append(nodes, shardhost.NodeInfo{
			Node: ident.Node(fmt.Sprint(number)), Zone: ident.Zone(fmt.Sprint(number % 3)), Alive: true,
		})
	}
	load := map[ident.Node]int{}
	for id := range ident.Shard(300) {
		places := shardhost.Places(id, nodes)
		assert.Equal(t, len(places), 9)
		zones := map[ident.Zone]bool{}
		for _, place := range places[:3] {
			zones[place.Zone] = true
			load[place.Node]++
		}
		assert.Equal(t, len(zones), 3)
	}
	for node, shards := range load {
		assert.Assert(t, shards > 60 && shards < 140, "%s has %d", node, shards)
	}
}

// TestReadingOutlivesItsHost ends a host, and closes its store, while a caller of it reads a shard. The reading found "pebble: closed"
// and ended the process before the store waited for it.
func TestReadingOutlivesItsHost(t *testing.T) {
	f := newFixture(t, 3)
	f.propose(1)
	leader := f.leader(3)
	host := f.fleet.Host(leader)
	stopped := make(chan error, 1)
	begun := false
	err := host.Replica(0).View(context.Background(), func(state shard.Reader) error {
		begun = true
		go func() { stopped <- f.fleet.Stop(leader) }()
		<-host.Dead()
		// The host has ended, and its store is closed next: there is time for that before the reading goes on.
		select {
		case err := <-stopped:
			stopped <- err
		case <-time.After(300 * time.Millisecond):
		}
		found, err := state.Get([]byte("command-1"))
		assert.Check(t, err != nil || len(found) > 0)
		return err
	})
	assert.Assert(t, begun)
	var notLeader *shard.NotLeaderError
	assert.Assert(t, errors.As(err, &notLeader), "%v", err)
	assert.NilError(t, <-stopped)
	assert.Assert(t, host.Replica(0).View(context.Background(), func(shard.Reader) error { return nil }) != nil)
}
