package jobclient_test

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobclient"
	"mallowlatch.example/mallowlatch/internal/jobstore"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shard/shardtest"
)

const errLost = failure.Kind("test: lost")

// fault is what happens to a proposal or a call.
type fault int

const (
	none fault = iota
	// refused: nothing happens.
	refused
	// answerLost: it takes effect, its sender is told nothing.
	answerLost
	// late: it takes effect some steps later, its sender is told nothing.
	late
	// doubled: it takes effect, and again some steps later.
	doubled
	faults
)

// fataler is what testing and rapid tests share.
type fataler interface {
	Fatalf(format string, arguments ...any)
}

// world is one shard on two nodes. Its log is replicated by assumption: package shard's own tests are about that.
type world struct {
	t       fataler
	now     time.Time
	state   *shardtest.State
	machine shard.Machine
	index   uint64
	leader  ident.Node
	// known is the leader the directory names. It may be the one before.
	known ident.Node
	round uint64
	nodes map[ident.Node]*worldNode
	// proposalFault and callFault befall the next proposal and the next call.
	proposalFault, callFault fault
	// pending are proposals and calls that take effect later.
	pending []func()
	ids     int
}

type worldNode struct {
	world    *world
	name     ident.Node
	server   *jobstore.Server
	registry *jobstore.Registry
	// believes is the round in which the node thinks it leads, or zero. A deposed leader may go on believing.
	believes uint64
}

func newWorld(t fataler) *world {
	w := &world{t: t, now: time.Unix(1_700_000_000, 0), state: shardtest.NewState(), machine: jobstore.NewMachine(), leader: "a", nodes: map[ident.Node]*worldNode{}}
	settings := jobstore.DefaultSettings()
	settings.Now = func() time.Time { return w.now }
	settings.NewID = w.newID
	settings.LedgerTimeout = time.Minute
	for _, name := range []ident.Node{"a", "b"} {
		node := &worldNode{world: w, name: name}
		node.server = jobstore.NewServer(0, node, settings, zerolog.Nop(), nil)
		node.registry = jobstore.NewRegistry()
		node.registry.Add(node.server)
		w.nodes[name] = node
	}
	w.changeLeader("a", true)
	return w
}

// changeLeader begins a new term. The old leader and the directory may not notice; the old leader can neither read nor
// propose any more.
func (w *world) changeLeader(leader ident.Node, notices bool) {
	if notices && leader != w.leader {
		w.nodes[w.leader].believes = 0
	}
	if notices {
		w.known = leader
	}
	w.round++
	w.leader = leader
	w.nodes[leader].believes = w.round
}

// newID returns ids that sort by time and are the same in every run of a schedule.
func (w *world) newID() string {
	w.ids++
	return fmt.Sprintf("%08d", w.ids)
}

func (w *world) client(self ident.Node) *jobclient.Client {
	return jobclient.New(jobclient.Options{Self: self, Dialer: w, Directory: w, Logger: zerolog.Nop(), Backoff: time.Nanosecond, Attempts: 3, NewID: w.newID})
}

// Shards implements jobclient.Directory.
func (w *world) Shards() int { return 1 }

// Leader implements jobclient.Directory.
func (w *world) Leader(ident.Shard) (ident.Node, bool) { return w.known, true }

// Conn implements transport.Dialer.
func (w *world) Conn(_ context.Context, node ident.Node) (drpc.Conn, error) {
	return &faultyConn{node: w.nodes[node], world: w}, nil
}

// heal ends all faults and lets everything that is late happen.
func (w *world) heal() {
	w.proposalFault, w.callFault = none, none
	for len(w.pending) > 0 {
		w.deliver(0)
	}
}

func (w *world) deliver(position int) {
	happen := w.pending[position]
	w.pending = append(w.pending[:position:position], w.pending[position+1:]...)
	happen()
}

func (w *world) apply(command []byte) []byte {
	w.index++
	reply, err := w.machine.Apply(w.state, w.index, command)
	if err != nil {
		w.t.Fatalf("applying: %v", err)
	}
	return reply
}

// Propose implements shard.Replica.
func (n *worldNode) Propose(_ context.Context, command []byte, _ int) ([]byte, error) {
	w := n.world
	if w.leader != n.name {
		return nil, &shard.NotLeaderError{Leader: w.leader}
	}
	befalls := w.proposalFault
	w.proposalFault = none
	switch befalls {
	case refused:
		return nil, shard.ErrUnavailable
	case late:
		w.pending = append(w.pending, func() { w.apply(command) })
		return nil, shard.ErrOutcomeUnknown
	}
	reply := w.apply(command)
	switch befalls {
	case answerLost:
		return nil, shard.ErrOutcomeUnknown
	case doubled:
		w.pending = append(w.pending, func() { w.apply(command) })
	}
	return reply, nil
}

// View implements shard.Replica.
func (n *worldNode) View(_ context.Context, read func(shard.Reader) error) error {
	if n.world.leader != n.name {
		return &shard.NotLeaderError{Leader: n.world.leader}
	}
	return read(n.world.state)
}

// Leading implements shard.Replica.
func (n *worldNode) Leading() (shard.Leadership, bool) {
	return shard.Leadership{Epoch: 1, Round: n.believes}, n.believes > 0
}

// faultyConn is a connection on which calls get lost, late or doubled. It calls the node without a network.
type faultyConn struct {
	drpc.Conn
	node  *worldNode
	world *world
}

// receivers are the job store's calls by name.
var receivers = func() map[string]drpc.Receiver {
	found := map[string]drpc.Receiver{}
	description := pb.DRPCJobStoreDescription{}
	for number := range description.NumMethods() {
		name, _, receiver, _, _ := description.Method(number)
		found[name] = receiver
	}
	return found
}()

// Invoke implements drpc.Conn.
func (c *faultyConn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	w := c.world
	befalls := w.callFault
	w.callFault = none
	request := proto.Clone(in.(proto.Message))
	deliver := func() drpc.Message {
		answer, err := receivers[rpc](c.node.registry, ctx, proto.Clone(request), nil)
		if err != nil {
			w.t.Fatalf("%s: %v", rpc, err)
		}
		return answer
	}
	switch befalls {
	case refused:
		return fmt.Errorf("sending %s: %w", rpc, errLost)
	case late:
		w.pending = append(w.pending, func() { deliver() })
		return fmt.Errorf("waiting for %s: %w", rpc, errLost)
	case doubled:
		w.pending = append(w.pending, func() { deliver() })
	}
	answer := deliver()
	if befalls == answerLost {
		return fmt.Errorf("waiting for %s: %w", rpc, errLost)
	}
	proto.Merge(out.(proto.Message), proto.Clone(answer.(proto.Message)))
	return nil
}

// newRequest returns an empty request of a call.
func newRequest(rpc string) proto.Message {
	description := pb.DRPCJobStoreDescription{}
	for number := range description.NumMethods() {
		name, _, _, method, _ := description.Method(number)
		if name == rpc {
			return reflect.New(reflect.TypeOf(method).In(2).Elem()).Interface().(proto.Message)
		}
	}
	return nil
}
