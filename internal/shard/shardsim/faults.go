package shardsim

import (
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
)

// FaultKind is a kind of injected fault.
type FaultKind uint8

// The kinds of fault.
const (
	// Crash stops a process, losing unsynced writes, and restarts it after Duration.
	Crash FaultKind = iota
	// Wipe stops a process and restarts it after Duration with an empty data folder.
	Wipe
	// WipeTwo wipes Node and Peer at once.
	WipeTwo
	// Pause stops a process like SIGSTOP for Duration.
	Pause
	// Cut cuts both directions between Node and Peer.
	Cut
	// CutOneWay cuts messages from Node to Peer.
	CutOneWay
	// Isolate cuts Node from all others.
	Isolate
	// Loss drops a fifth of all messages.
	Loss
	// StoreOutage makes the key-value service unreachable for all.
	StoreOutage
	// StoreCut makes it unreachable for Node.
	StoreCut
	// StoreLostAnswers loses most answers to swaps, which may take effect at once, late or never.
	StoreLostAnswers
	// SlowDisk makes the syncs of Node take 200 times as long.
	SlowDisk
	// Drain announces a planned stop of Node, which then restarts.
	Drain
	// CrashAll stops every process at once.
	CrashAll
	// PlannedStop announces a stop of Node, waits until the stored set does without it, at most Duration, and stops it.
	PlannedStop
	faultKinds
)

// randomKinds are the kinds that RandomFaults draws from: kept schedules depend on their number.
const randomKinds = CrashAll + 1

// Fault is one injected fault.
type Fault struct {
	At       time.Duration
	Kind     FaultKind
	Node     int
	Peer     int
	Duration time.Duration
}

// RandomFaults draws faults over a time from the simulation's seed.
func (s *Simulation) RandomFaults(count int, over time.Duration) []Fault {
	faults := make([]Fault, count)
	for position := range faults {
		faults[position] = Fault{
			At:       s.between(0, over),
			Kind:     FaultKind(s.random.IntN(int(randomKinds))),
			Node:     s.random.IntN(s.options.Nodes),
			Peer:     s.random.IntN(s.options.Nodes),
			Duration: s.between(100*time.Millisecond, 5*time.Second),
		}
	}
	return faults
}

// RandomStops draws planned stops over a time from the simulation's seed.
func (s *Simulation) RandomStops(count int, over time.Duration) []Fault {
	faults := make([]Fault, count)
	for position := range faults {
		faults[position] = Fault{
			At:       s.between(0, over),
			Kind:     PlannedStop,
			Node:     s.random.IntN(s.options.Nodes),
			Duration: s.between(time.Second, 5*time.Second),
		}
	}
	return faults
}

// Inject schedules the faults.
func (s *Simulation) Inject(faults []Fault) {
	for _, fault := range faults {
		s.After(fault.At, func() { s.apply(fault) })
		s.hostileUntil = max(s.hostileUntil, s.now+fault.At)
	}
}

// Chances of the faults that wait for a bad moment.
const (
	atSyncChance    = 0.6
	afterSwapChance = 0.3
)

// strike runs a fault now, or when the node next begins to sync.
func (s *Simulation) strike(hit *node, fault func()) {
	if hit.running && s.chance(atSyncChance) {
		hit.atSync = fault
		return
	}
	fault()
}

// calm says that every fault that was applied has struck and is over.
func (s *Simulation) calm() bool {
	for _, hit := range s.nodes {
		if hit.atSync != nil || !hit.running || s.now < hit.paused {
			return false
		}
	}
	for _, until := range s.network.cut {
		if s.now < until {
			return false
		}
	}
	return true
}

// strikeAfterSwap hits a member just after a new set was stored, before the set is activated.
func (s *Simulation) strikeAfterSwap(configuration shard.Configuration) {
	if s.now >= s.hostileUntil || !s.chance(afterSwapChance) {
		return
	}
	member := configuration.Members[s.random.IntN(len(configuration.Members))]
	kinds := []FaultKind{Crash, Pause, Isolate, Wipe}
	fault := Fault{Kind: kinds[s.random.IntN(len(kinds))], Duration: s.between(time.Second, 5*time.Second)}
	fault.Node = s.number(member.Node)
	s.After(s.between(0, 60*time.Millisecond), func() { s.apply(fault) })
}

func (s *Simulation) number(name ident.Node) int {
	for number, known := range s.nodes {
		if known.name == name {
			return number
		}
	}
	return 0
}

// strikeBeforeSwap cuts off a replica that is about to be added, and then pauses every member that is known to hold all
// data: the newcomer is left alone with a set that was never activated.
func (s *Simulation) strikeBeforeSwap(next shard.Configuration) {
	if s.now >= s.hostileUntil || len(next.Seasoned) == len(next.Members) || !s.chance(afterSwapChance) {
		return
	}
	const away = 9 * time.Second
	for _, member := range next.Members {
		if !next.IsSeasoned(member) {
			s.apply(Fault{Kind: Isolate, Node: s.number(member.Node), Duration: time.Second})
		}
	}
	s.After(s.between(100*time.Millisecond, 300*time.Millisecond), func() {
		for _, member := range next.Seasoned {
			hit := s.node(member.Node)
			s.pause(hit, s.now+away)
		}
	})
}

// strikeAfterServing wipes every member that held all data when the set was stored, as soon as the set has acknowledged
// its first command: the others hold it too, and must be able to go on.
func (s *Simulation) strikeAfterServing() {
	configuration, _ := s.store.current()
	newcomers := len(configuration.Members) - len(configuration.Seasoned)
	if s.now >= s.hostileUntil || newcomers == 0 || !s.chance(afterSwapChance) {
		return
	}
	var doomed []*node
	for _, member := range configuration.Seasoned {
		doomed = append(doomed, s.node(member.Node))
	}
	s.After(s.between(0, 5*time.Millisecond), func() { s.wipe(s.between(time.Second, 4*time.Second), doomed...) })
}

func (s *Simulation) apply(fault Fault) {
	hit, peer := s.nodes[fault.Node], s.nodes[fault.Peer]
	until := s.now + fault.Duration
	switch fault.Kind {
	case Crash:
		s.strike(hit, func() { s.crash(hit, fault.Duration, false) })
	case Wipe:
		s.wipe(fault.Duration, hit)
	case WipeTwo:
		s.wipe(fault.Duration, hit, peer)
	case Pause:
		s.strike(hit, func() { s.pause(hit, s.now+fault.Duration) })
	case Cut:
		s.cut(hit, peer, until)
		s.cut(peer, hit, until)
	case CutOneWay:
		s.cut(hit, peer, until)
	case Isolate:
		for _, other := range s.nodes {
			s.cut(hit, other, until)
			s.cut(other, hit, until)
		}
	case Loss:
		s.network.lossUntil = max(s.network.lossUntil, until)
	case StoreOutage:
		s.store.downUntil = max(s.store.downUntil, until)
	case StoreCut:
		s.store.unreachable[hit.name] = until
	case StoreLostAnswers:
		s.store.loseUntil = max(s.store.loseUntil, until)
	case SlowDisk:
		hit.slowUntil = until
	case Drain:
		hit.draining = true
		s.After(fault.Duration, func() {
			hit.draining = false
			s.crash(hit, fault.Duration, false)
		})
	case PlannedStop:
		s.plannedStop(hit, until)
	case CrashAll:
		for _, each := range s.nodes {
			s.crash(each, fault.Duration, false)
		}
	}
}

// plannedStop does what a host does: it leaves once the stored set does without it, or its time is up, and is back a
// second later.
func (s *Simulation) plannedStop(hit *node, until time.Duration) {
	if !hit.running {
		hit.draining = false
		return
	}
	hit.draining = true
	configuration, _ := s.store.current()
	if s.now < until && configuration.Has(hit.member()) {
		s.After(tickEvery, func() { s.plannedStop(hit, until) })
		return
	}
	if s.now < until {
		s.Vacated++
	}
	hit.draining = false
	s.crash(hit, time.Second, false)
}

func (s *Simulation) cut(from, to *node, until time.Duration) {
	path := link{from: from.name, to: to.name}
	s.network.cut[path] = max(s.network.cut[path], until)
}

func (s *Simulation) pause(hit *node, until time.Duration) {
	hit.paused = max(hit.paused, until)
	s.After(hit.paused-s.now, func() { hit.work() })
}

func (s *Simulation) crash(hit *node, duration time.Duration, wipe bool) {
	if !hit.running {
		return
	}
	s.Crashes++
	hit.crash()
	if wipe {
		s.Wipes++
		hit.blankDisk()
	}
	s.After(duration, func() {
		if !hit.running {
			hit.start()
		}
	})
}

// wipe destroys disks, as long as that keeps to what is promised: one disk survives that held every committed entry when
// the set was stored, or that belongs to a set that has acknowledged a command since. A node whose swap is on its way
// counts as the last of its set: it may be about to exclude all others, which nothing can undo once its disk is gone.
func (s *Simulation) wipe(duration time.Duration, hit ...*node) {
	configuration, _ := s.store.current()
	for _, each := range hit {
		if s.store.pending[each.name] > 0 {
			return
		}
	}
	for _, survivor := range s.nodes {
		doomed := false
		for _, each := range hit {
			doomed = doomed || each == survivor
		}
		member := survivor.member()
		proof := configuration.IsSeasoned(member) || s.checker.servedEpoch == configuration.Epoch
		if !doomed && configuration.Has(member) && proof {
			for _, each := range hit {
				s.crash(each, duration, true)
			}
			return
		}
	}
}

// Heal ends all faults.
func (s *Simulation) Heal() {
	clear(s.network.cut)
	clear(s.store.unreachable)
	s.network.lossUntil, s.store.downUntil, s.store.loseUntil = 0, 0, 0
	if s.options.HairTrigger {
		// With such times a shard changes its set for ever; restart with the usual ones.
		s.options.HairTrigger = false
		for _, each := range s.nodes {
			s.crash(each, 0, false)
		}
	}
	for _, each := range s.nodes {
		each.paused, each.slowUntil, each.draining, each.atSync = 0, 0, false, nil
		if !each.running {
			each.start()
		}
		each.work()
	}
}

// Leader returns a node that serves, or nothing.
func (s *Simulation) Leader() ident.Node {
	for _, candidate := range s.nodes {
		if !candidate.running || s.now < candidate.paused {
			continue
		}
		if _, leading := candidate.driver.Core.Leadership(candidate.clock()); leading {
			return candidate.name
		}
	}
	return ""
}

// Propose gives a command to every node's replica that believes it serves, at most one of which may be right; done is
// called for each.
func (s *Simulation) Propose(command []byte, done func(reply []byte, acknowledged bool)) {
	for _, target := range s.nodes {
		target.input(func() error {
			first, term, err := target.driver.Core.Propose(target.clock(), command)
			if err != nil {
				s.Refused++
				return nil
			}
			target.waiting[first] = waiter{term: term, done: done}
			return nil
		})
	}
}

// View reads the state at every replica that believes it serves, and checks that the read is fresh.
func (s *Simulation) View(read func(shard.Reader)) {
	for _, target := range s.nodes {
		target.input(func() error {
			if _, leading := target.driver.Core.Leadership(target.clock()); leading {
				s.checker.viewed(s, target)
				read(target.disk.state)
			}
			return nil
		})
	}
}

// proposeEvery is the longest time between two proposals of Load while faults are due, proposeCalmly the longest after.
const (
	proposeEvery  = 60 * time.Millisecond
	proposeCalmly = 300 * time.Millisecond
)

// Load proposes numbered commands and reads at random times until the simulated time is reached.
func (s *Simulation) Load(until time.Duration) {
	number := 0
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		number++
		s.Proposed++
		s.Propose([]byte(fmt.Sprintf("%d-%d", s.options.Seed, number)), func(_ []byte, acknowledged bool) {
			if !acknowledged {
				s.Unknown++
			}
		})
		s.View(func(shard.Reader) {})
		longest := proposeCalmly
		if s.now < s.hostileUntil+time.Second {
			longest = proposeEvery
		}
		s.After(s.between(time.Millisecond, longest), next)
	}
	next()
}

// Schedule runs load under the faults, heals, and checks the end.
func (s *Simulation) Schedule(faults []Fault, faulty, healing time.Duration) error {
	const settle = 2 * time.Second
	s.Load(settle + faulty + healing)
	if err := s.Run(settle); err != nil {
		return err
	}
	s.Inject(faults)
	if err := s.Run(faulty); err != nil {
		return err
	}
	s.Heal()
	if err := s.Run(healing); err != nil {
		return err
	}
	s.checker.final(s)
	return s.err
}
