// Package membershipsim runs the failure detectors of many nodes in simulated time over a simulated network for tests.
package membershipsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/membership/membershippb"
)

const (
	// tickInterval is the time between two ticks of a node's detector.
	tickInterval = 200 * time.Millisecond
	// callOverheadBytes is the overhead of a call on the wire in each direction: drpc frames, the name of the RPC and TLS
	// records.
	callOverheadBytes = 80
)

// Link describes the network between two nodes.
type Link struct {
	// Cut drops every message.
	Cut bool
	// Loss is the fraction of messages lost, from 0 to 1.
	Loss float64
	// Delay is the minimum one-way delay; a random delay of up to half of it is added.
	Delay time.Duration
}

// Network returns the current state of the link between two nodes.
type Network func(from, to membership.Self) Link

// Traffic counts the messages and bytes sent and received by a node.
type Traffic struct {
	MessagesOut, MessagesIn int64
	BytesOut, BytesIn       int64
}

// Node is a simulated node.
type Node struct {
	Self    membership.Self
	Core    *membership.Core
	Traffic Traffic
	// Up is false for a stopped node.
	Up bool
	// Paused nodes neither run nor read; messages to them are buffered.
	Paused     bool
	buffered   []membership.Message
	generation int
}

// Simulation is a fleet of nodes in simulated time. A simulated run is deterministic for a given seed.
type Simulation struct {
	Config  membership.Config
	Network Network
	// Encode makes messages pass through their wire format, to count bytes and include the processor time of encoding.
	Encode bool
	Nodes  map[ident.Node]*Node
	// Order lists the nodes in the order in which they were added.
	Order []*Node

	now       time.Time
	random    *rand.Rand
	events    eventQueue
	sequence  uint64
	byAddress map[string]*Node
}

// NewSimulation returns an empty fleet.
func NewSimulation(seed uint64, config membership.Config, network Network) *Simulation {
	return &Simulation{
		Config:    config,
		Network:   network,
		Nodes:     map[ident.Node]*Node{},
		now:       time.Unix(1_800_000_000, 0),
		random:    rand.New(rand.NewPCG(seed, seed)),
		byAddress: map[string]*Node{},
	}
}

// Now returns the simulated time.
func (s *Simulation) Now() time.Time { return s.now }

// Random returns the simulation's source of randomness.
func (s *Simulation) Random() *rand.Rand { return s.random }

// Add adds and starts a node that joins through the seeds.
func (s *Simulation) Add(self membership.Self, seeds []string) *Node {
	node := &Node{Self: self}
	s.Nodes[self.Node] = node
	s.Order = append(s.Order, node)
	s.byAddress[self.PeerAddress] = node
	s.Start(node, seeds)
	return node
}

// Start starts a new or stopped node, without any state of an earlier run.
func (s *Simulation) Start(node *Node, seeds []string) {
	node.Self.Started = s.now
	random := rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
	node.Core = membership.NewCore(s.Config, node.Self, seeds, random, s.now)
	node.Up = true
	node.buffered = nil
	node.generation++
	s.scheduleTick(node, node.generation, s.random.Int64N(int64(tickInterval)))
}

// Stop stops a node without an announcement.
func (s *Simulation) Stop(node *Node) { node.Up = false }

// Exit stops a node as planned, after it has announced its exit to a few peers.
func (s *Simulation) Exit(node *Node) {
	s.send(node, node.Core.Exit(s.now))
	node.Up = false
}

// Resume ends the pause of a node; the buffered messages are processed first.
func (s *Simulation) Resume(node *Node) {
	node.Paused = false
	buffered := node.buffered
	node.buffered = nil
	for _, message := range buffered {
		s.send(node, node.Core.Step(message, s.now))
	}
}

// Run advances the simulated time by the duration.
func (s *Simulation) Run(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(*scheduledEvent)
		s.now = next.at
		next.act()
	}
	s.now = end
}

// RunUntil advances the time until the condition, checked once per tick, holds. It reports whether it did within the
// limit.
func (s *Simulation) RunUntil(limit time.Duration, condition func() bool) bool {
	for end := s.now.Add(limit); s.now.Before(end); s.Run(tickInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}

func (s *Simulation) schedule(after time.Duration, act func()) {
	s.sequence++
	heap.Push(&s.events, &scheduledEvent{at: s.now.Add(after), sequence: s.sequence, act: act})
}

func (s *Simulation) scheduleTick(node *Node, generation int, after int64) {
	s.schedule(time.Duration(after), func() {
		if !node.Up || node.generation != generation {
			return
		}
		if !node.Paused {
			s.send(node, node.Core.Tick(s.now))
		}
		s.scheduleTick(node, generation, int64(tickInterval))
	})
}

func (s *Simulation) send(from *Node, messages []membership.Outgoing) {
	for _, out := range messages {
		to, known := s.byAddress[out.Address]
		if !known {
			continue
		}
		message, bytes := s.encodeDecode(out.Message)
		from.Traffic.MessagesOut++
		from.Traffic.BytesOut += bytes
		link := s.Network(from.Self, to.Self)
		if link.Cut || s.random.Float64() < link.Loss {
			continue
		}
		delay := link.Delay + time.Duration(s.random.Int64N(int64(link.Delay)/2+1))
		s.schedule(delay, func() { s.deliver(to, message, bytes) })
	}
}

// encodeDecode returns the message as received and its size on the wire in bytes.
func (s *Simulation) encodeDecode(message membership.Message) (membership.Message, int64) {
	if !s.Encode {
		return message, 0
	}
	encoded, err := proto.Marshal(message.Encode())
	if err != nil {
		panic(fmt.Sprintf("encode: %v", err))
	}
	received := new(membershippb.Message)
	if err := proto.Unmarshal(encoded, received); err != nil {
		panic(fmt.Sprintf("unmarshal: %v", err))
	}
	decoded, err := membership.Decode(received)
	if err != nil {
		panic(fmt.Sprintf("decode: %v", err))
	}
	return decoded, int64(len(encoded)) + callOverheadBytes
}

func (s *Simulation) deliver(to *Node, message membership.Message, bytes int64) {
	if !to.Up {
		return
	}
	if to.Paused {
		to.buffered = append(to.buffered, message)
		return
	}
	to.Traffic.MessagesIn++
	to.Traffic.BytesIn += bytes
	s.send(to, to.Core.Step(message, s.now))
}

// scheduledEvent is an action scheduled for a point in simulated time.
type scheduledEvent struct {
	at       time.Time
	sequence uint64
	act      func()
}

type eventQueue []*scheduledEvent

// Len returns the number of events. Len, Less, Swap, Push and Pop implement heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by time, then by the order of scheduling.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(added any) { *q = append(*q, added.(*scheduledEvent)) }

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	*q = (*q)[:last]
	return removed
}
