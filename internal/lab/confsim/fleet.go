package confsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/lab/virtualtime"
)

// Options describe a fleet.
type Options struct {
	Seed  uint64
	Zones int
	// Nodes is the number of nodes over all zones, dealt out in turn.
	Nodes  int
	Timing confsync.Timing
	// ZoneDelay and CrossDelay are the one-way delays of links within a zone and between zones; each message takes
	// between one and two times that.
	ZoneDelay  time.Duration
	CrossDelay time.Duration
	// StoreDelay is the one-way delay to the key-value service.
	StoreDelay time.Duration
	// Loss is the chance that a message is lost, Duplicate that a request arrives twice.
	Loss      float64
	Duplicate float64
	// DetectionDelay is after how long, at most, a node's list of live peers shows a cut, a stop or a return.
	DetectionDelay time.Duration
	// Forgetful nodes never find a change by its identifier, like those that have just taken in a whole copy.
	Forgetful bool
}

// Fleet is a simulated fleet.
type Fleet struct {
	options Options
	clock   *virtualtime.Clock
	random  *rand.Rand
	data    *kvtest.Data
	// late is a client of the key-value service without faults, for requests that were held up.
	late   *kvtest.Store
	nodes  []*Node
	byName map[ident.Node]*Node
	// cut holds the zones that are cut off from all others and from the key-value service.
	cut    map[ident.Zone]bool
	outage bool
	// Violation is the first breach of an invariant that was seen, or empty.
	Violation string
	// Messages and MessageBytes count what nodes sent to each other, requests and answers, without framing.
	Messages     int64
	MessageBytes int64
}

// New returns a running fleet of empty nodes at the simulated instant zero.
func New(options Options) *Fleet {
	fleet := &Fleet{
		options: options,
		clock:   virtualtime.New(virtualtime.Epoch),
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		byName:  map[ident.Node]*Node{},
		cut:     map[ident.Zone]bool{},
	}
	fleet.data = kvtest.NewData(fleet.Now)
	fleet.late = kvtest.NewStore(fleet.data, options.Seed)
	for i := range options.Nodes {
		node := newNode(fleet, confsync.Peer{
			Node: ident.Node(fmt.Sprintf("node-%03d", i)),
			Zone: ident.Zone(fmt.Sprintf("zone-%02d", i%options.Zones)),
		}, options.Seed+uint64(i)+1)
		fleet.nodes = append(fleet.nodes, node)
		fleet.byName[node.peer.Node] = node
	}
	for _, node := range fleet.nodes {
		node.start(confsync.EmptyState())
	}
	for _, node := range fleet.nodes {
		node.refreshPeers()
	}
	return fleet
}

// Now returns the simulated instant.
func (f *Fleet) Now() time.Time { return f.clock.Now() }

// Run runs the fleet for a simulated duration.
func (f *Fleet) Run(duration time.Duration) { f.clock.RunUntil(f.Now().Add(duration)) }

// Nodes returns the nodes.
func (f *Fleet) Nodes() []*Node { return f.nodes }

// Zones returns the names of the zones.
func (f *Fleet) Zones() []ident.Zone {
	zones := make([]ident.Zone, 0, f.options.Zones)
	for i := range f.options.Zones {
		zones = append(zones, f.nodes[i].peer.Zone)
	}
	return zones
}

// Data returns the state of the key-value service.
func (f *Fleet) Data() *kvtest.Data { return f.data }

// SetOutage starts or ends an outage of the key-value service.
func (f *Fleet) SetOutage(outage bool) {
	f.outage = outage
	f.applyStoreFaults()
}

// SetCut cuts a zone off from the others and the key-value service, or heals the cut.
func (f *Fleet) SetCut(zone ident.Zone, cut bool) {
	f.cut[zone] = cut
	f.applyStoreFaults()
	f.viewsChanged()
}

func (f *Fleet) applyStoreFaults() {
	for _, node := range f.nodes {
		faults := node.storeFaults
		faults.Outage = f.outage || f.cut[node.peer.Zone]
		node.store.SetFaults(faults)
	}
}

// reachable reports whether a message between the zones gets through.
func (f *Fleet) reachable(from, to ident.Zone) bool { return from == to || !f.cut[from] && !f.cut[to] }

// viewsChanged has every node's list of live peers follow within the detection delay.
func (f *Fleet) viewsChanged() {
	for _, node := range f.nodes {
		f.clock.After(f.draw(f.options.DetectionDelay), node.refreshPeers)
	}
}

func (f *Fleet) draw(bound time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(bound) + 1))
}

// linkDelay draws the one-way delay of a message.
func (f *Fleet) linkDelay(from, to ident.Zone) time.Duration {
	base := f.options.CrossDelay
	if from == to {
		base = f.options.ZoneDelay
	}
	return base + f.draw(base)
}

// violate notes a breach of an invariant.
func (f *Fleet) violate(format string, arguments ...any) {
	if f.Violation == "" {
		f.Violation = fmt.Sprintf(format, arguments...)
	}
}

// Lowest returns the lowest revision of a running node.
func (f *Fleet) Lowest() int64 {
	lowest := int64(-1)
	for _, node := range f.nodes {
		if !node.running {
			continue
		}
		if revision := node.core.State().Revision; lowest < 0 || revision < lowest {
			lowest = revision
		}
	}
	return lowest
}
