// Package membershipsim runs the failure detectors of many nodes in simulated time over a simulated network, for the
// tests of package membership.
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
	// tickInterval is how often the detector of a node is woken.
	tickInterval = 200 * time.Millisecond
	// callOverhead is what a call adds to its messages on the wire, in bytes each way: drpc's frames, the call's name
	// and the records of TLS.
	callOverhead = 80
)

// Link describes what the network does to messages between two nodes.
type Link struct {
	// Cut loses every message.
	Cut bool
	// Loss is the share of messages lost, 0 to 1.
	Loss float64
	// Delay is the one-way time; half of it again is added at random.
	Delay time.Duration
}

// Network says what the network does between two nodes at the moment.
type Network func(from, to membership.Self) Link

// Traffic counts what a node sent and received.
type Traffic struct {
	MessagesOut, MessagesIn int64
	BytesOut, BytesIn       int64
}

// Node is a simulated node.
type Node struct {
	Self    membership.Self
	Core    *membership.Core
	Traffic Traffic
	// Up is false for a node that is switched off.
	Up bool
	// Paused nodes neither run nor read; messages to them wait.
	Paused  bool
	waiting []membership.Message
	life    int
}

// Simulation is a fleet of nodes in simulated time. The same seed gives the same run.
type Simulation struct {
	Config  membership.Config
	Network Network
	// Encode sends messages through their wire form, to count bytes and processor time.
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

// Add starts a node that joins by the seeds.
func (s *Simulation) Add(self membership.Self, seeds []string) *Node {
	node := &Node{Self: self}
	s.Nodes[self.Node] = node
	s.Order = append(s.Order, node)
	s.byAddress[self.PeerAddress] = node
	s.Start(node, seeds)
	return node
}

// Start starts a node that is new or switched off, with an empty memory.
func (s *Simulation) Start(node *Node, seeds []string) {
	node.Self.Started = s.now
	random := rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
	node.Core = membership.NewCore(s.Config, node.Self, seeds, random, s.now)
	node.Up = true
	node.waiting = nil
	node.life++
	s.scheduleTick(node, node.life, s.random.Int64N(int64(tickInterval)))
}

// Stop switches a node off without a word.
func (s *Simulation) Stop(node *Node) { node.Up = false }

// Exit ends a node by plan: it tells a few peers and is gone.
func (s *Simulation) Exit(node *Node) {
	s.send(node, node.Core.Exit(s.now))
	node.Up = false
}

// Resume ends a pause; the messages that waited are read first.
func (s *Simulation) Resume(node *Node) {
	node.Paused = false
	waiting := node.waiting
	node.waiting = nil
	for _, message := range waiting {
		s.send(node, node.Core.Step(message, s.now))
	}
}

// Run lets simulated time pass.
func (s *Simulation) Run(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(*simulated)
		s.now = next.at
		next.act()
	}
	s.now = end
}

// RunUntil lets time pass until the condition holds, looked at once a tick, and says whether it did within the limit.
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
	heap.Push(&s.events, &simulated{at: s.now.Add(after), sequence: s.sequence, act: act})
}

func (s *Simulation) scheduleTick(node *Node, life int, after int64) {
	s.schedule(time.Duration(after), func() {
		if !node.Up || node.life != life {
			return
		}
		if !node.Paused {
			s.send(node, node.Core.Tick(s.now))
		}
		s.scheduleTick(node, life, int64(tickInterval))
	})
}

func (s *Simulation) send(from *Node, messages []membership.Outgoing) {
	for _, out := range messages {
		to, known := s.byAddress[out.Address]
		if !known {
			continue
		}
		message, bytes := s.carry(out.Message)
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

// carry returns the message as it arrives and its bytes on the wire.
func (s *Simulation) carry(message membership.Message) (membership.Message, int64) {
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
	return decoded, int64(len(encoded)) + callOverhead
}

func (s *Simulation) deliver(to *Node, message membership.Message, bytes int64) {
	if !to.Up {
		return
	}
	if to.Paused {
		to.waiting = append(to.waiting, message)
		return
	}
	to.Traffic.MessagesIn++
	to.Traffic.BytesIn += bytes
	s.send(to, to.Core.Step(message, s.now))
}

// simulated is something that happens at a time.
type simulated struct {
	at       time.Time
	sequence uint64
	act      func()
}

type eventQueue []*simulated

// Len, Less, Swap, Push and Pop implement heap.Interface; events of one time keep their order.
func (q eventQueue) Len() int { return len(q) }

// Less orders by time, then by the order of scheduling.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *eventQueue) Push(added any) { *q = append(*q, added.(*simulated)) }

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	removed := (*q)[last]
	*q = (*q)[:last]
	return removed
}
