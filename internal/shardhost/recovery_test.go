package shardhost_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shardhost/shardhosttest"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// TestCatchUpUnderLoadEnds replaces a disk while commands are committed, with a state that takes many times as long to
// send as the log is kept. It failed when the log behind a state on its way was dropped: each state was too old when it
// arrived, and another one was sent for as long as the load lasted.
func TestCatchUpUnderLoadEnds(t *testing.T) {
	f, wiped := newLargeFixture(t, shardhosttest.Options{CatchUpRate: 1 << 20})
	fleet := f.fleet
	leader := fleet.Host(f.leader(1)).Replica(0)

	defer proposeAllTheTime(leader)()
	assert.NilError(t, fleet.Start(wiped))
	f.awaitMember(wiped)
}

// proposeAllTheTime has commands proposed without a pause until the returned function is called.
func proposeAllTheTime(leader shard.Replica) (end func()) {
	var load sync.WaitGroup
	var ended atomic.Bool
	for number := range 16 {
		load.Go(func() {
			for !ended.Load() {
				_, _ = leader.Propose(context.Background(), []byte(fmt.Sprint(number)), 0)
			}
		})
	}
	return func() {
		ended.Store(true)
		load.Wait()
	}
}

// sentStates counts the states that were sent whole, by their log lines.
type sentStates struct{ count atomic.Int64 }

// Write implements io.Writer.
func (s *sentStates) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"shard_snapshot_sent"`)) {
		s.count.Add(1)
	}
	return len(line), nil
}

// TestMemberThatHasCaughtUpNeedsNoSecondState has a node whose disk was wiped catch up while commands are committed faster than
// few entries of the log last. Once it is a member its set commits nothing without it: a second state would hold up every command
// for as long as it takes to send.
func TestMemberThatHasCaughtUpNeedsNoSecondState(t *testing.T) {
	states := &sentStates{}
	f, wiped := newLargeFixture(t, shardhosttest.Options{CatchUpRate: 4 << 20, Logger: zerolog.New(states)})
	leader := f.fleet.Host(f.leader(1)).Replica(0)
	defer proposeAllTheTime(leader)()
	before := states.count.Load()
	assert.NilError(t, f.fleet.Start(wiped))
	f.awaitMember(wiped)
	assert.Equal(t, states.count.Load()-before, int64(1))
}

// newLargeFixture returns a fleet of three with a state of about 7 MB, behind which the log was dropped, and a node whose
// disk was wiped and that the set goes on without.
func newLargeFixture(t *testing.T, options shardhosttest.Options) (*fixture, int) {
	options.Nodes, options.Shards, options.RetainedEntries = 3, 1, 20
	options.Machine = func(ident.Shard) shard.Machine { return putMachine{} }
	fleet := shardhosttest.New(options)
	assert.NilError(t, fleet.StartAll())
	t.Cleanup(func() { assert.NilError(t, fleet.Close()) })
	f := &fixture{t: t, fleet: fleet, acknowledged: map[string]bool{}}
	leader := fleet.Host(f.leader(3)).Replica(0)
	large := make([]byte, 6<<10)
	for range largeCommands {
		assert.NilError(t, proposeSurely(leader, large))
	}
	wiped := followerOf(fleet)
	assert.NilError(t, fleet.Wipe(wiped))
	f.eventually(func() bool {
		status, _ := fleet.Host(f.leader(1)).Status(0)
		return len(status.Configuration.Members) == 2
	})
	return f, wiped
}

const largeCommands = 1200

func (f *fixture) awaitMember(number int) {
	f.t.Helper()
	f.eventually(func() bool {
		host := f.fleet.Host(number)
		status, exists := host.Status(0)
		return exists && status.Configuration.Has(host.Member()) && status.Activated == status.Configuration.Epoch
	})
}

// breaker breaks each stream that carries a state after a few chunks.
type breaker struct {
	transport.Dialer
	sent *atomic.Int64
}

const chunksOfAStream = 8

func (b breaker) Conn(ctx context.Context, node ident.Node) (drpc.Conn, error) {
	conn, err := b.Dialer.Conn(ctx, node)
	return breakingConn{Conn: conn, sent: b.sent}, err
}

type breakingConn struct {
	drpc.Conn
	sent *atomic.Int64
}

func (c breakingConn) NewStream(ctx context.Context, rpc string, encoding drpc.Encoding) (drpc.Stream, error) {
	if !strings.HasSuffix(rpc, "/Install") {
		return c.Conn.NewStream(ctx, rpc, encoding)
	}
	breaking, cancel := context.WithCancel(ctx)
	stream, err := c.Conn.NewStream(breaking, rpc, encoding)
	return &breakingStream{Stream: stream, cancel: cancel, sent: c.sent}, err
}

type breakingStream struct {
	drpc.Stream
	cancel context.CancelFunc
	sent   *atomic.Int64
	parts  int
}

func (s *breakingStream) MsgSend(message drpc.Message, encoding drpc.Encoding) error {
	if s.parts++; s.parts > chunksOfAStream {
		// The chunks under way arrive before the stream ends.
		time.Sleep(50 * time.Millisecond)
		s.cancel()
	}
	s.sent.Add(1)
	return s.Stream.MsgSend(message, encoding)
}

// TestInterruptedTransferIsResumed breaks every stream of a state long before its end. It failed, with no end, when each
// attempt began anew.
func TestInterruptedTransferIsResumed(t *testing.T) {
	var sent atomic.Int64
	f, wiped := newLargeFixture(t, shardhosttest.Options{
		Dialer: func(pool transport.Dialer) transport.Dialer { return breaker{Dialer: pool, sent: &sent} },
	})
	assert.NilError(t, f.fleet.Start(wiped))
	f.awaitMember(wiped)
	t.Logf("%d parts sent", sent.Load())
	var held int
	assert.NilError(t, f.fleet.Stop(f.leader(3)))
	f.eventually(func() bool {
		err := f.fleet.Host(f.leader(2)).Replica(0).View(context.Background(), func(state shard.Reader) error {
			held = 0
			return state.Scan(nil, nil, func(_, _ []byte) bool { held++; return true })
		})
		return err == nil
	})
	assert.Equal(t, held, largeCommands)
}
