package shardhost_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardhost/shardhosttest"
)

// putMachine stores each command under its index.
type putMachine struct{}

func (putMachine) Apply(transaction shard.Transaction, index uint64, command []byte) ([]byte, error) {
	return nil, transaction.Set(binary.BigEndian.AppendUint64(nil, index), command)
}

const (
	benchCommandBytes = 512
	benchLargeBytes   = 16 << 10
	benchProposers    = 256
)

func benchFixture(b *testing.B, options shardhosttest.Options) (*shardhosttest.Fleet, shard.Replica) {
	options.Machine = func(ident.Shard) shard.Machine { return putMachine{} }
	options.Folder = b.TempDir()
	if options.Settings == nil {
		options.Settings = shardhosttest.FastSettings()
		options.Settings.Lease, options.Settings.Election = 2*time.Second, 3*time.Second
	}
	fleet := shardhosttest.New(options)
	assert.NilError(b, fleet.StartAll())
	b.Cleanup(func() { assert.NilError(b, fleet.Close()) })
	return fleet, benchLeader(b, fleet, min(options.Nodes, 3))
}

func benchLeader(b *testing.B, fleet *shardhosttest.Fleet, members int) shard.Replica {
	return shardLeader(b, fleet, 0, members)
}

func shardLeader(b *testing.B, fleet *shardhosttest.Fleet, id ident.Shard, members int) shard.Replica {
	for range 6000 {
		for number := range fleet.Size() {
			host := fleet.Host(number)
			if host == nil {
				continue
			}
			status, _ := host.Status(id)
			if _, leads := host.Replica(id).Leading(); leads && len(status.Configuration.Members) == members {
				return host.Replica(id)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("no leader")
	return nil
}

func proposeMany(b *testing.B, replica shard.Replica, count int) {
	proposeSized(b, replica, count, benchCommandBytes)
}

func proposeSized(b *testing.B, replica shard.Replica, count, size int) {
	var next atomic.Int64
	var proposers sync.WaitGroup
	for proposer := range benchProposers {
		proposers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(proposer), 1))
			for next.Add(1) <= int64(count) {
				command := make([]byte, size)
				for position := 0; position < len(command); position += 8 {
					binary.LittleEndian.PutUint64(command[position:], random.Uint64())
				}
				if err := proposeSurely(replica, command); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	proposers.Wait()
}

// proposeSurely tries again what was definitely not applied.
func proposeSurely(replica shard.Replica, command []byte) error {
	for {
		_, err := replica.Propose(context.Background(), command, 0)
		var notLeader *shard.NotLeaderError
		if !errors.As(err, &notLeader) && !errors.Is(err, shard.ErrUnavailable) {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkCommit compares group commit with one commit for each command, on three replicas of one machine's disk.
func BenchmarkCommit(b *testing.B) {
	for name, batch := range map[string]int{"group": 0, "single": 1} {
		b.Run(name, func(b *testing.B) {
			fleet, replica := benchFixture(b, shardhosttest.Options{Nodes: 3, Shards: 1, MaximumBatch: batch})
			proposeMany(b, replica, 100)
			syncs, written := usage(fleet)
			b.ResetTimer()
			proposeMany(b, replica, b.N)
			b.StopTimer()
			syncsAfter, writtenAfter := usage(fleet)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
			b.ReportMetric(float64(syncsAfter-syncs)/float64(b.N)/3, "syncs/command/disk")
			b.ReportMetric(float64(writtenAfter-written)/float64(b.N)/3, "log-bytes/command/disk")
		})
	}
}

func usage(fleet *shardhosttest.Fleet) (syncs int64, written uint64) {
	for number := range fleet.Size() {
		used := fleet.Store(number).Usage()
		syncs += used.Syncs
		written += used.WrittenBytes
	}
	return syncs, written
}

// BenchmarkReplacement measures how long a wiped member takes to be a member again, by size of the state.
func BenchmarkReplacement(b *testing.B) {
	for _, megabytes := range []int{16, 128} {
		b.Run(fmt.Sprintf("%dMB", megabytes), func(b *testing.B) {
			fleet, replica := benchFixture(b, shardhosttest.Options{Nodes: 3, Shards: 1, RetainedEntries: 100})
			proposeMany(b, replica, megabytes<<20/benchCommandBytes)
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				wiped := followerOf(fleet)
				assert.NilError(b, fleet.Wipe(wiped))
				benchLeader(b, fleet, 2)
				b.StartTimer()
				assert.NilError(b, fleet.Start(wiped))
				benchLeader(b, fleet, 3)
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N), "s/replacement")
		})
	}
}

// BenchmarkRecovery measures how long a wiped node takes until it is a member of all its shards again, by the number of
// shards, with two streams of state at once and a rate that does not bind; 64 MB of state for each shard.
func BenchmarkRecovery(b *testing.B) {
	const megabytes = 64
	for _, shards := range []int{1, 2, 4} {
		b.Run(fmt.Sprintf("%dshards", shards), func(b *testing.B) {
			fleet, _ := benchFixture(b, shardhosttest.Options{
				Nodes: 3, Shards: shards, RetainedEntries: 100, CatchUpRate: 4 << 30,
			})
			for number := range shards {
				proposeSized(b, shardLeader(b, fleet, ident.Shard(number), 3), megabytes<<20/benchLargeBytes, benchLargeBytes)
			}
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				wiped := followerOf(fleet)
				assert.NilError(b, fleet.Wipe(wiped))
				for number := range shards {
					shardLeader(b, fleet, ident.Shard(number), 2)
				}
				b.StartTimer()
				assert.NilError(b, fleet.Start(wiped))
				for number := range shards {
					shardLeader(b, fleet, ident.Shard(number), 3)
				}
			}
			seconds := b.Elapsed().Seconds() / float64(b.N)
			b.ReportMetric(seconds, "s/recovery")
			b.ReportMetric(seconds/(float64(shards*megabytes)/1024), "s/GB")
		})
	}
}

func followerOf(fleet *shardhosttest.Fleet) int {
	for number := range fleet.Size() {
		if _, leads := fleet.Host(number).Replica(0).Leading(); !leads {
			return number
		}
	}
	return 0
}

// BenchmarkReplicaMemory measures the heap of an idle replica that leads a shard of one copy.
func BenchmarkReplicaMemory(b *testing.B) {
	const shards = 200
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	fleet, _ := benchFixture(b, shardhosttest.Options{Nodes: 1, Shards: shards})
	for len(fleet.Host(0).Led()) < shards {
		time.Sleep(10 * time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for range b.N {
		fleet.Host(0).Led()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/shards, "heap-bytes/replica")
}

// BenchmarkFailover measures how long proposals wait, at production's times, after a member has died.
func BenchmarkFailover(b *testing.B) {
	for _, victim := range []string{"follower", "leader"} {
		b.Run(victim, func(b *testing.B) {
			settings, plan := shard.DefaultSettings(), shard.DefaultPlanSettings()
			options := shardhosttest.Options{Nodes: 3, Shards: 1, Settings: &settings, Plan: &plan}
			fleet, replica := benchFixture(b, options)
			var total time.Duration
			for range b.N {
				proposeMany(b, replica, 100)
				killed := followerOf(fleet)
				if victim == "leader" {
					killed = leaderOf(fleet)
				}
				began := time.Now()
				assert.NilError(b, fleet.Stop(killed))
				survivor := benchLeader(b, fleet, 2)
				assert.NilError(b, proposeSurely(survivor, []byte("after")))
				total += time.Since(began)
				assert.NilError(b, fleet.Start(killed))
				replica = benchLeader(b, fleet, 3)
			}
			b.ReportMetric(total.Seconds()/float64(b.N), "s/failover")
		})
	}
}

func leaderOf(fleet *shardhosttest.Fleet) int {
	for number := range fleet.Size() {
		if _, leads := fleet.Host(number).Replica(0).Leading(); leads {
			return number
		}
	}
	return 0
}
