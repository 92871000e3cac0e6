package jobpeer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/subset"
	"mallowlatch.example/mallowlatch/internal/work"
)

// reviewInterval is the time between two checks whether a chosen worker has more nodes than the others.
const reviewInterval = 5 * time.Second

// ownerMap is a node's view of the workers: which of them it works with, and which runners each of them owns. It is made anew
// when the workers or the runners change, and only compared otherwise. It is safe for concurrent use.
type ownerMap struct {
	mutex sync.Mutex
	// listed are the workers that the map was made from, table the generation of the runners.
	listed []jobrecord.Worker
	table  uint64
	owners *jobrecord.Owners
	chosen subset.Chosen
	// owned holds the runners of each worker, by address.
	owned map[string]*ownedRunners
	// nodes is the number of nodes that report to each worker, as it said last. avoided are the workers of this zone that were
	// given up because they had more than others.
	nodes    map[ident.Node]int
	avoided  map[ident.Node]bool
	reviewed time.Time
}

// ownedRunners are the runners that a worker owns, and their fingerprint.
type ownedRunners struct {
	runners     []ident.Incarnation
	fingerprint uint32
}

// update brings the map up to date and makes the table prefer the runners of the chosen workers of this zone, unless all of the
// zone's workers are chosen.
func (m *ownerMap) update(node ident.Node, zone ident.Zone, workers []jobrecord.Worker, table *runnertable.Table, now time.Time) subset.Chosen {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	generation := table.Generation()
	sameWorkers := m.owners != nil && (work.SameList(m.listed, workers) || slices.Equal(m.listed, workers))
	if sameWorkers && !m.givesUp(now) && generation == m.table {
		return m.chosen
	}
	if !sameWorkers {
		m.setWorkers(workers)
	}
	m.chosen = subset.Choose(node, zone, candidates(workers), m.avoided)
	if !sameWorkers || generation != m.table {
		m.table = generation
		m.assignRunners(table)
	}
	table.Prefer(m.preferred())
	return m.chosen
}

func (m *ownerMap) setWorkers(workers []jobrecord.Worker) {
	m.listed = workers
	byNode := make(map[ident.Node]jobrecord.Worker, len(workers))
	for _, worker := range workers {
		byNode[worker.Node] = worker
	}
	if m.owners == nil {
		m.owners = jobrecord.NewOwners(byNode)
		return
	}
	m.owners.SetWorkers(byNode)
}

func candidates(workers []jobrecord.Worker) []subset.Worker {
	listed := make([]subset.Worker, 0, len(workers))
	for _, worker := range workers {
		listed = append(listed, subset.Worker{Node: worker.Node, Zone: worker.Zone, Address: worker.Address})
	}
	return listed
}

// givesUp decides at most once per reviewInterval whether this node gives up a chosen worker. The caller holds the mutex.
func (m *ownerMap) givesUp(now time.Time) bool {
	if m.chosen.All || now.Sub(m.reviewed) < reviewInterval {
		return false
	}
	m.reviewed = now
	worker, overloaded := subset.Overloaded(m.chosen.Near, m.nodes, rand.Float64())
	if !overloaded {
		return false
	}
	if m.avoided == nil || len(m.avoided) >= subset.MaxNear {
		m.avoided = map[ident.Node]bool{}
	}
	m.avoided[worker] = true
	return true
}

// assignRunners finds the runners of each worker. The caller holds the mutex.
func (m *ownerMap) assignRunners(table *runnertable.Table) {
	m.owned = make(map[string]*ownedRunners, len(m.owned))
	for _, zone := range table.Zones() {
		runners := table.InZone(zone)
		m.owners.Trim(zone, len(runners))
		for _, runner := range runners {
			if owner, found := m.owners.Owner(runner); found {
				m.add(owner.Address, runner.ID)
			}
		}
	}
}

func (m *ownerMap) add(address string, runner ident.Incarnation) {
	owned := m.owned[address]
	if owned == nil {
		owned = &ownedRunners{}
		m.owned[address] = owned
	}
	owned.runners = append(owned.runners, runner)
	owned.fingerprint += demand.RunnerFingerprint(runner)
}

// preferred returns the runners of the chosen workers of this zone, or nil if all of the zone's workers are chosen. The caller
// holds the mutex.
func (m *ownerMap) preferred() []ident.Incarnation {
	if m.chosen.All {
		return nil
	}
	var runners []ident.Incarnation
	for _, worker := range m.chosen.Near {
		if owned := m.owned[worker.Address]; owned != nil {
			runners = append(runners, owned.runners...)
		}
	}
	return runners
}

// owner returns the owner of a runner among the workers that the map was made from.
func (m *ownerMap) owner(runner work.Runner) (jobrecord.Worker, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.owners == nil {
		return jobrecord.Worker{}, false
	}
	return m.owners.Owner(runner)
}

// ownedBy returns the runners of the worker at an address, or nil if it owns none.
func (m *ownerMap) ownedBy(address string) *ownedRunners {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.owned[address]
}

// record stores how many nodes report to a worker.
func (m *ownerMap) record(worker ident.Node, nodes int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.nodes == nil {
		m.nodes = map[ident.Node]int{}
	}
	m.nodes[worker] = nodes
}

// complete adds the runners that a worker left out of an answer because there is no work at them.
func (o *ownedRunners) complete(answer *demand.Answer) {
	listed := make(map[ident.Incarnation]bool, len(answer.Shares))
	for _, share := range answer.Shares {
		listed[share.Runner] = true
	}
	for _, runner := range o.runners {
		if !listed[runner] {
			answer.Shares = append(answer.Shares, demand.Share{Runner: runner})
		}
	}
}
