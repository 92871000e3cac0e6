// Package shardsim runs the real replication code of a shard over a simulated network, clock, disks and key-value
// service, all drawn from one seed, and checks what must hold from outside.
package shardsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// ErrViolated means that the simulated shard broke a rule.
const ErrViolated = failure.Kind("shard simulation: rule violated")

// Options describe a simulated shard.
type Options struct {
	Seed uint64
	// Nodes is the number of nodes with a disk; the shard starts on the first Copies of them.
	Nodes  int
	Copies int
	// Machine returns the state machine; it keeps no memory, so all replicas may share one.
	Machine shard.Machine
	// Retained is the number of applied entries that stay in the log.
	Retained uint64
	// HairTrigger makes replicas give each other up before a lease is over.
	HairTrigger bool
	// Prompt has no message arrive long after it was sent.
	Prompt bool
}

// Times of the simulated replicas: those of production, shortened alike.
const (
	tickEvery       = 50 * time.Millisecond
	pollEvery       = 2 * time.Second
	snapshotTakes   = 100 * time.Millisecond
	longestDelay    = 10 * time.Millisecond
	longestStraggle = 4 * time.Second
	longestSync     = 8 * time.Millisecond
	aloneAfter      = 4 * time.Second
	collectEvery    = 200 * time.Millisecond
	removeAfter     = 300 * time.Millisecond
)

func settings(options Options, seed uint64) shard.Settings {
	chosen := shard.Settings{
		Heartbeat: 100 * time.Millisecond, Lease: 300 * time.Millisecond, Election: 500 * time.Millisecond,
		MaximumAppendBytes: 200, MaximumInflight: 4, Seed: seed,
	}
	if options.HairTrigger {
		chosen.Lease = 1500 * time.Millisecond
		chosen.Election = 1600 * time.Millisecond
	}
	return chosen
}

func planSettings(options Options) shard.PlanSettings {
	plan := shard.PlanSettings{
		SuspectAfter: 1500 * time.Millisecond, SuspectedAfter: 700 * time.Millisecond, AloneAfter: aloneAfter, RemoveAfter: removeAfter,
		Copies: options.Copies, CaughtUp: 10,
	}
	if options.HairTrigger {
		// Much shorter than the lease, so that only the lease keeps reads fresh.
		plan.SuspectAfter = 100 * time.Millisecond
		plan.SuspectedAfter = 100 * time.Millisecond
		plan.AloneAfter = 100 * time.Millisecond
	}
	return plan
}

// Simulation is one simulated shard. It is not safe for concurrent use.
type Simulation struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	order   uint64
	nodes   []*node
	store   *store
	network network
	checker *checker
	err     error
	// hostileUntil is when the last injected fault is due; until then faults also follow changes of the set.
	hostileUntil time.Duration
	// Counts of what happened, for reports.
	Proposed, Messages, Acknowledged, Unknown, Refused, Reads, Wipes, Crashes, Swaps int
	// Vacated counts planned stops that ended with the node replaced.
	Vacated int
	// Removed counts replicas that removed their data.
	Removed int
	// Alone is the shortest time for which a replica that asked to go on alone had taken in no message of any member that it dropped;
	// zero where none asked.
	Alone time.Duration
}

// New returns a simulation whose replica set is stored and whose nodes have started.
func New(options Options) *Simulation {
	s := &Simulation{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0x9e3779b97f4a7c15)),
		network: network{cut: map[link]time.Duration{}},
	}
	s.checker = newChecker(options.Machine)
	s.store = &store{simulation: s, unreachable: map[ident.Node]time.Duration{}, pending: map[ident.Node]int{}}
	for number := range options.Nodes {
		s.nodes = append(s.nodes, newNode(s, ident.Node(fmt.Sprintf("n%d", number))))
	}
	first := shard.Configuration{Epoch: 1}
	for _, started := range s.nodes[:options.Copies] {
		first.Members = append(first.Members, started.member())
		first.Seasoned = append(first.Seasoned, started.member())
	}
	if options.Seed%2 == 1 {
		// The service keeps whatever order a set was written in.
		slices.Reverse(first.Members)
	}
	s.store.write(first)
	for _, started := range s.nodes {
		started.start()
	}
	return s
}

// Now returns the simulated time.
func (s *Simulation) Now() time.Duration { return s.now }

// Err returns the first violation or failure of a replica, or nil.
func (s *Simulation) Err() error { return s.err }

func (s *Simulation) fail(format string, arguments ...any) {
	if s.err == nil {
		text := fmt.Sprintf(format, arguments...)
		s.err = fmt.Errorf("seed %d at %v: %s: %w", s.options.Seed, s.now, text, ErrViolated)
	}
}

// After runs the action at a later simulated time.
func (s *Simulation) After(delay time.Duration, action func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now + delay, order: s.order, action: action})
}

// Run lets the simulation go on for a time, or until a rule is violated.
func (s *Simulation) Run(duration time.Duration) error {
	end := s.now + duration
	for len(s.events) > 0 && s.events[0].at <= end && s.err == nil {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.action()
	}
	s.now = max(s.now, end)
	return s.err
}

func (s *Simulation) chance(probability float64) bool { return s.random.Float64() < probability }

func (s *Simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

type event struct {
	at     time.Duration
	order  uint64
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(added any) { *q = append(*q, added.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}
