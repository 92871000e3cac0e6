package shardsim

import (
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	"mallowlatch.example/mallowlatch/internal/shard/shardtest"
)

// disk is what survives a crash, apart from applied state that was not synced yet.
type disk struct {
	incarnation string
	hard        shard.HardState
	// entries follow base, the last entry that was compacted.
	entries  []shard.Entry
	base     uint64
	baseTerm shard.Term
	state    *shardtest.State
	applied  uint64
	// syncedApplied is the applied index a crash may fall back to.
	syncedApplied uint64
}

// FirstIndex implements shard.LogReader.
func (d *disk) FirstIndex() uint64 { return d.base + 1 }

// LastIndex implements shard.LogReader.
func (d *disk) LastIndex() uint64 { return d.base + uint64(len(d.entries)) }

// Term implements shard.LogReader.
func (d *disk) Term(index uint64) (shard.Term, error) {
	if index == d.base {
		return d.baseTerm, nil
	}
	if index < d.base || index > d.LastIndex() {
		return shard.Term{}, fmt.Errorf("term of %d on a disk of %d to %d: %w", index, d.base, d.LastIndex(), ErrViolated)
	}
	return d.entries[index-d.base-1].Term, nil
}

// Entries implements shard.LogReader.
func (d *disk) Entries(low, high uint64, maximumBytes int) ([]shard.Entry, error) {
	if low <= d.base {
		return nil, fmt.Errorf("entry %d was compacted: %w", low, ErrViolated)
	}
	first := low - d.base - 1
	last := min(first+uint64(maximumBytes/20), uint64(len(d.entries)), high-d.base)
	return d.entries[first:last:last], nil
}

func (d *disk) write(output shard.Output, staged *shardtest.State) {
	if output.HardState != nil {
		d.hard = *output.HardState
	}
	if output.Install != nil {
		d.state, d.applied = staged, output.Install.Index
		d.entries, d.base, d.baseTerm = nil, output.Install.Index, output.Install.Term
	}
	if len(output.Append) > 0 {
		keep := output.Append[0].Index - d.base - 1
		if keep < uint64(len(d.entries)) {
			// Messages may still refer to the replaced entries.
			d.entries = d.entries[:keep:keep]
		}
		d.entries = append(d.entries, output.Append...)
	}
	d.syncedApplied = d.applied
}

// compactStep is how many entries are compacted at once.
const compactStep = 16

func (d *disk) compact(index uint64) {
	index = min(index, d.syncedApplied)
	if index < d.base+compactStep {
		return
	}
	d.baseTerm = d.entries[index-d.base-1].Term
	d.entries = append([]shard.Entry(nil), d.entries[index-d.base:]...)
	d.base = index
}

// node is a simulated machine with one replica.
type node struct {
	simulation *Simulation
	name       ident.Node
	disk       *disk
	driver     *shard.Driver
	// lives counts starts, so that what was begun in an earlier life ends with it.
	lives     int
	running   bool
	syncing   bool
	paused    time.Duration
	slowUntil time.Duration
	offset    time.Duration
	inbox     []func() error
	staged    *shardtest.State
	waiting   map[uint64]waiter
	draining  bool
	// heard is when the last message of each other replica was taken in.
	heard map[ident.Node]time.Duration
	// atSync is a fault that waits for the next sync to begin: the moment when most is in flight.
	atSync func()
}

type waiter struct {
	term shard.Term
	done func(reply []byte, acknowledged bool)
}

func newNode(s *Simulation, name ident.Node) *node {
	created := &node{simulation: s, name: name}
	created.offset = s.between(0, time.Hour)
	created.blankDisk()
	return created
}

func (s *Simulation) node(name ident.Node) *node {
	for _, found := range s.nodes {
		if found.name == name {
			return found
		}
	}
	return nil
}

func (n *node) blankDisk() {
	incarnation := fmt.Sprintf("%s-%08x", n.name, n.simulation.random.Uint32())
	n.disk = &disk{incarnation: incarnation, state: shardtest.NewState()}
}

func (n *node) member() shard.Member {
	return shard.Member{Node: n.name, Incarnation: n.disk.incarnation}
}

func (n *node) clock() time.Duration { return n.simulation.now + n.offset }

func (n *node) start() {
	s := n.simulation
	n.lives++
	n.running = true
	n.syncing = false
	n.inbox = nil
	n.staged = nil
	n.waiting = map[uint64]waiter{}
	n.heard = map[ident.Node]time.Duration{}
	seed := s.random.Uint64()
	core := shard.NewCore(0, n.member(), n.disk.hard, n.disk, n.disk.applied, settings(s.options, seed), n.clock())
	n.driver = shard.NewDriver(core, planSettings(s.options), seed)
	n.tick(n.lives)
	n.poll(n.lives)
	n.collect(n.lives)
}

func (n *node) crash() {
	n.running = false
	n.lives++
	for _, lost := range n.waiting {
		lost.done(nil, false)
	}
	n.waiting = nil
	if n.disk.applied > n.disk.syncedApplied {
		n.disk.state = n.simulation.checker.stateAt(n.simulation, n.disk.syncedApplied)
		n.disk.applied = n.disk.syncedApplied
	}
}

func (n *node) tick(life int) {
	if n.lives != life {
		return
	}
	s := n.simulation
	s.After(tickEvery, func() { n.tick(life) })
	n.input(func() error {
		request, due, err := n.driver.Tick(n.clock(), s.world())
		if due {
			n.noteAlone(request)
			s.store.call(n, request)
		}
		return err
	})
}

// noteAlone notes for how long a replica that asks to go on alone had heard nothing of those that it drops.
func (n *node) noteAlone(request shard.StoreRequest) {
	s := n.simulation
	current, _ := s.store.current()
	if request.Swap == nil || len(request.Swap.Members) > 1 || len(current.Members) < 2 {
		return
	}
	for _, member := range current.Members {
		if request.Swap.Has(member) {
			continue
		}
		if silence := s.now - n.heard[member.Node]; s.Alone == 0 || silence < s.Alone {
			s.Alone = silence
		}
	}
}

// poll reads the replica set now and then, as a watch may have missed it.
func (n *node) poll(life int) {
	if n.lives != life {
		return
	}
	s := n.simulation
	s.After(s.between(pollEvery/2, pollEvery), func() { n.poll(life) })
	if s.store.reachable(n.name) {
		configuration, revision := s.store.current()
		n.input(func() error { n.driver.Observe(configuration, revision); return nil })
	}
}

// collect removes the data of a replica that is out of its set, as a host does: it reads the stored set, and decides when
// the answer is there.
func (n *node) collect(life int) {
	if n.lives != life {
		return
	}
	s := n.simulation
	s.After(s.between(collectEvery/2, collectEvery), func() { n.collect(life) })
	if !s.store.reachable(n.name) || n.disk.LastIndex() == 0 {
		return
	}
	stored, _ := s.store.current()
	s.After(s.between(time.Millisecond, 300*time.Millisecond), func() {
		if n.lives == life {
			n.input(func() error { n.remove(stored); return nil })
		}
	})
}

func (n *node) remove(stored shard.Configuration) {
	s := n.simulation
	if !shard.MayRemove(n.driver.Core.Status(n.clock()), stored, s.world(), planSettings(s.options)) {
		return
	}
	s.Removed++
	s.checker.removed(s, n)
	tombstone := n.driver.Core.Tombstone()
	incarnation := n.disk.incarnation
	n.crash()
	n.disk = &disk{incarnation: incarnation, hard: tombstone, state: shardtest.NewState()}
	n.start()
}

// input queues an action of the replica: it waits for a paused process and for the disk.
func (n *node) input(action func() error) {
	if !n.running {
		return
	}
	n.inbox = append(n.inbox, action)
	n.work()
}

func (n *node) work() {
	for n.running && !n.syncing && n.simulation.now >= n.paused {
		if !n.driver.Core.HasWork() {
			if len(n.inbox) == 0 {
				break
			}
			action := n.inbox[0]
			n.inbox = n.inbox[1:]
			if err := action(); err != nil {
				n.simulation.fail("%s: %v", n.name, err)
				return
			}
			continue
		}
		n.perform(n.driver.Core.Take())
	}
}

func (n *node) perform(output shard.Output) {
	s := n.simulation
	for _, message := range output.Messages {
		s.send(message)
	}
	for _, member := range output.SendSnapshots {
		s.sendSnapshot(n, member)
	}
	if !output.NeedsSync() {
		n.finish(output)
		return
	}
	n.syncing = true
	if strike := n.atSync; strike != nil {
		n.atSync = nil
		defer strike()
	}
	life := n.lives
	latency := s.between(time.Millisecond, longestSync)
	if s.now < n.slowUntil {
		latency *= 200
	}
	s.After(latency, func() {
		if n.lives != life {
			return
		}
		n.syncing = false
		n.disk.write(output, n.staged)
		n.finish(output)
		n.work()
	})
}

// finish does what may only follow the sync.
func (n *node) finish(output shard.Output) {
	s := n.simulation
	if err := n.driver.Core.Persisted(output); err != nil {
		s.fail("%s: %v", n.name, err)
	}
	for _, message := range output.AfterSync {
		s.send(message)
	}
	for _, entry := range output.Committed {
		n.apply(entry)
	}
	n.disk.compact(n.driver.Core.Compactable(s.options.Retained))
	if _, leading := n.driver.Core.Leadership(n.clock()); leading {
		s.checker.leading(s, n)
	}
}

func (n *node) apply(entry shard.Entry) {
	s := n.simulation
	s.checker.applied(s, n, entry)
	var reply []byte
	if len(entry.Command) > 0 {
		var err error
		if reply, err = s.options.Machine.Apply(n.disk.state, entry.Index, entry.Command); err != nil {
			s.fail("%s: applying %d: %v", n.name, entry.Index, err)
		}
	}
	n.disk.applied = entry.Index
	if waiting, found := n.waiting[entry.Index]; found {
		delete(n.waiting, entry.Index)
		acknowledged := waiting.term == entry.Term
		if acknowledged {
			s.checker.acknowledged(s, entry)
		}
		waiting.done(reply, acknowledged)
	}
}

// world is what every host knows: which nodes live, and which places the shard wants.
func (s *Simulation) world() shard.World {
	world := shard.World{Fleet: len(s.nodes)}
	for _, known := range s.nodes {
		if known.draining {
			world.Draining = append(world.Draining, known.name)
			continue
		}
		world.Places++
		if known.running && s.now >= known.paused {
			world.Desired = append(world.Desired, known.member())
			world.Disks = append(world.Disks, known.member())
		}
	}
	return world
}
