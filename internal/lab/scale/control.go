package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/dispatch/exchange"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/machine"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/ownership"
)

const (
	// ownershipPeriod is how often a node plans its claims, listPeriod how often it reads the machine list.
	ownershipPeriod = 500 * time.Millisecond
	listPeriod      = 5 * time.Second
)

// Control is a run of the control of whole nodes in simulated time: membership, runner state and ownership, under
// online load. The same seed gives the same run.
type Control struct {
	Shape Shape
	Seed  uint64
	// Runners and Rate are the whole fleet's runners and online requests a second.
	Runners int
	Rate    float64
	// Settle is the length of a phase in which the fleet comes to rest, Steady that of steady service, Fault that of each
	// fault.
	Settle, Steady, Fault time.Duration
	// Loss is the share of messages between nodes that are lost. A call that loses one fails after its time.
	Loss float64
	// Phases are those to play, of Phases.
	Phases []string
}

// controlFleet is a control run under way.
type controlFleet struct {
	control  Control
	fleet    *Simulation
	nodes    map[ident.Node]*controlNode
	runners  []*simulatedRunner
	byID     map[ident.Runner]*simulatedRunner
	distance map[ident.Zone]map[ident.Zone]float64
	regions  map[ident.Zone]ident.Region
	cut      bool
	started  int
	// loadTime is the processor time of the load generator and of routing, which is no control work.
	loadTime time.Duration
	requests requestCounts
	owners   ownerSamples
	results  []ControlMeasurement
}

// controlNode is the control of one hollow node.
type controlNode struct {
	hollow   *Hollow
	life     int
	table    *dispatch.Table
	exchange *exchange.Core
	planner  *ownership.Planner
	accounts map[string]*account
	random   *rand.Rand

	changes uint64
	view    *membership.View
	peers   []exchange.Peer
	tellAt  time.Time
}

func newControlFleet(control Control) *controlFleet {
	f := &controlFleet{
		control: control, started: control.Shape.Nodes,
		nodes: map[ident.Node]*controlNode{}, byID: map[ident.Runner]*simulatedRunner{},
		distance: map[ident.Zone]map[ident.Zone]float64{}, regions: map[ident.Zone]ident.Region{},
	}
	f.fleet = NewSimulation(control.Seed, membership.DefaultConfig(), f.network)
	f.fleet.Encode = true
	f.addRunners()
	f.measureDistances()
	for index := range control.Shape.Nodes {
		f.addNode(control.Shape.Place(index))
	}
	f.every(time.Second, f.sampleOwners)
	return f
}

func (f *controlFleet) network(from, to membership.Self) Link {
	link := Healthy(from, to)
	link.Loss = f.control.Loss
	link.Cut = f.cut && (from.Region == "region-0") != (to.Region == "region-0")
	return link
}

func (f *controlFleet) addRunners() {
	for index := range f.control.Runners {
		place := f.control.Shape.Place(index)
		runner := &simulatedRunner{
			id:          ident.Runner(fmt.Sprintf("10.%d.%d.%d:9000", index%f.control.Shape.Zones, 128+index/250, index%250+1)),
			zone:        place.Zone,
			region:      place.Region,
			model:       fmt.Sprintf("model-%02d", index/f.control.Shape.Zones%modelCount),
			incarnation: "1",
		}
		f.runners = append(f.runners, runner)
		f.byID[runner.id] = runner
	}
}

func (f *controlFleet) measureDistances() {
	for zone := range f.control.Shape.Zones {
		place := f.control.Shape.Place(zone)
		f.regions[place.Zone] = place.Region
	}
	for from, region := range f.regions {
		f.distance[from] = map[ident.Zone]float64{}
		for to, other := range f.regions {
			f.distance[from][to] = distanceBetween(from == to, region == other)
		}
	}
}

// distanceBetween returns a delay in milliseconds.
func distanceBetween(sameZone, sameRegion bool) float64 {
	switch {
	case sameZone:
		return 0
	case sameRegion:
		return 1
	default:
		return 15
	}
}

func (f *controlFleet) addNode(self membership.Self) *controlNode {
	hollow := f.fleet.Add(self, f.seeds())
	node := &controlNode{
		hollow: hollow, accounts: map[string]*account{},
		random: rand.New(rand.NewPCG(f.fleet.random.Uint64(), f.fleet.random.Uint64())),
	}
	f.nodes[self.Node] = node
	f.begin(node)
	return node
}

// restart starts a node that was switched off, with an empty memory.
func (f *controlFleet) restart(node *controlNode) {
	f.fleet.Start(node.hollow, f.seeds())
	f.begin(node)
}

// seeds returns the addresses new nodes join by: those of the first live nodes, as the settings of machines that are
// replaced all the time must name, or the usual ones while nobody is up.
func (f *controlFleet) seeds() []string {
	var seeds []string
	for _, hollow := range f.fleet.Order {
		if hollow.Up && len(seeds) < len(f.control.Shape.Seeds()) {
			seeds = append(seeds, hollow.Self.PeerAddress)
		}
	}
	if len(seeds) == 0 {
		return f.control.Shape.Seeds()
	}
	return seeds
}

// begin gives a node new control code and starts its loops.
func (f *controlFleet) begin(node *controlNode) {
	node.life = node.hollow.life
	node.table = dispatch.NewTable()
	node.planner = ownership.NewPlanner(ownership.DefaultConfig(), node.hollow.Self.Node)
	node.changes, node.view, node.peers, node.tellAt = 0, nil, nil, time.Time{}
	node.exchange = exchange.NewCore(exchange.CoreConfig{
		Node: node.hollow.Self.Node, Zone: node.hollow.Self.Zone, Table: node.table, Peers: nodePeers{f, node},
		Intervals: exchange.Intervals{PollOwned: time.Second},
	}, f.fleet.now)
	node.table.OnOnlineChange(func(runner ident.Runner, inFlight int) { f.onlineChanged(node, runner, inFlight) })
	node.table.OnLeaving(func(runner ident.Runner) { f.leavingLearned(node, runner) })
	f.everyOf(node, node.exchange.Tick(), func() { f.look(node) })
	f.everyOf(node, ownershipPeriod, func() { f.planOwnership(node) })
	f.readList(node)
	f.everyOf(node, listPeriod, func() { f.readList(node) })
	f.scheduleRequest(node, node.life)
}

// everyOf repeats an act of a node as long as it lives.
func (f *controlFleet) everyOf(node *controlNode, period time.Duration, act func()) {
	life := node.life
	var again func()
	again = func() {
		if !node.alive(life) {
			return
		}
		act()
		f.fleet.schedule(period, again)
	}
	f.fleet.schedule(time.Duration(node.random.Int64N(int64(period))), again)
}

func (f *controlFleet) every(period time.Duration, act func()) {
	f.fleet.schedule(period, func() {
		act()
		f.every(period, act)
	})
}

func (n *controlNode) alive(life int) bool { return n.hollow.Up && n.hollow.life == life }

func (f *controlFleet) readList(node *controlNode) {
	list := machine.List{Runners: make([]machine.Runner, 0, len(f.runners))}
	for _, runner := range f.runners {
		state := machine.Live
		if runner.listedLeaving {
			state = machine.Leaving
		}
		list.Runners = append(list.Runners, machine.Runner{ID: runner.id, Zone: runner.zone, State: state})
	}
	node.table.SetMachines(list, f.fleet.now)
}

// nodePeers shows a node's membership and ownership to its exchange.
type nodePeers struct {
	fleet *controlFleet
	node  *controlNode
}

// Owner returns the owner of a runner as the node sees it.
func (p nodePeers) Owner(runner ident.Runner) (ident.Node, bool) {
	return p.node.planner.Owner(runner, p.fleet.fleet.now)
}

// Peers returns the nodes that take part, without this one.
func (p nodePeers) Peers() []exchange.Peer {
	p.node.refresh()
	return p.node.peers
}

// refresh takes a new view of the members if they changed.
func (n *controlNode) refresh() {
	if n.view != nil && n.changes == n.hollow.Core.Changes() {
		return
	}
	n.changes = n.hollow.Core.Changes()
	n.view = n.hollow.Core.View()
	n.peers = nil
	for _, member := range n.view.Members {
		takesPart := member.State == membership.Alive || member.State == membership.Leaving
		if takesPart && member.Node != n.hollow.Self.Node {
			n.peers = append(n.peers, exchange.Peer{Node: member.Node, Zone: member.Zone})
		}
	}
}
