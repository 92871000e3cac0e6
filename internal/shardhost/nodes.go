package shardhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	pb "mallowlatch.example/mallowlatch/internal/shardhost/shardhostpb"
)

const (
	nodesEvery = 500 * time.Millisecond
	// describeEvery is how often the incarnation of a node's disk is asked for anew.
	describeEvery   = 10 * time.Second
	describeTimeout = time.Second
)

// nodeTracker keeps what the planning of sets needs to know of the nodes, and asks them for their incarnations.
type nodeTracker struct {
	host *Host

	mutex    sync.Mutex
	nodes    []NodeInfo
	lastSeen map[ident.Node]time.Time
	asked    map[ident.Node]time.Time
	disks    map[ident.Node]string
	places   map[ident.Shard][]NodeInfo
	draining []ident.Node
	suspects []ident.Node
	// fleet is the number of nodes seen within DeadAfter, draining ones included.
	fleet int
}

func newNodeTracker(host *Host) *nodeTracker {
	tracker := &nodeTracker{
		host: host, lastSeen: map[ident.Node]time.Time{}, asked: map[ident.Node]time.Time{},
		disks: map[ident.Node]string{},
	}
	tracker.update(time.Now())
	return tracker
}

func (t *nodeTracker) run() error {
	ticker := time.NewTicker(nodesEvery)
	defer ticker.Stop()
	ctx := t.host.ctx
	for {
		t.update(time.Now())
		for _, node := range t.toDescribe(time.Now()) {
			t.describe(ctx, node)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// update takes the membership's view. A node that is gone keeps its places for DeadAfter: a restart moves nothing.
func (t *nodeTracker) update(now time.Time) {
	seen := t.host.options.Nodes()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.nodes = nil
	t.draining = nil
	t.suspects = nil
	t.fleet = 0
	for _, node := range seen {
		if node.Alive || t.lastSeen[node.Node].IsZero() {
			t.lastSeen[node.Node] = now
		}
		if node.Incarnation != "" {
			t.disks[node.Node] = node.Incarnation
		}
		if node.Draining {
			t.draining = append(t.draining, node.Node)
		}
		if !node.Alive {
			t.suspects = append(t.suspects, node.Node)
			// It may come back with another disk: asked as soon as it does.
			delete(t.asked, node.Node)
		}
		if now.Sub(t.lastSeen[node.Node]) >= t.host.options.DeadAfter {
			continue
		}
		t.fleet++
		if !node.Draining {
			t.nodes = append(t.nodes, node)
		}
	}
	t.disks[t.host.self.Node] = t.host.self.Incarnation
	t.places = map[ident.Shard][]NodeInfo{}
}

// ranked returns the nodes for a shard, the best first. The caller holds the mutex.
func (t *nodeTracker) ranked(id ident.Shard) []NodeInfo {
	known, found := t.places[id]
	if !found {
		known = Places(id, t.nodes)
		known = known[:min(len(known), t.host.options.Plan.Copies)]
		t.places[id] = known
	}
	return known
}

// world is what the planning of a shard's set goes by.
func (t *nodeTracker) world(id ident.Shard) shard.World {
	drainingHere := t.host.isDraining()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	world := shard.World{Draining: t.draining, Suspected: t.suspects, Places: len(t.nodes), Fleet: t.fleet}
	if drainingHere {
		world.Draining = append(slices.Clone(world.Draining), t.host.self.Node)
	}
	for _, node := range t.nodes {
		if incarnation := t.disks[node.Node]; incarnation != "" && node.Alive {
			world.Disks = append(world.Disks, shard.Member{Node: node.Node, Incarnation: incarnation})
		}
	}
	for _, node := range t.ranked(id) {
		if incarnation := t.disks[node.Node]; incarnation != "" && node.Alive {
			world.Desired = append(world.Desired, shard.Member{Node: node.Node, Incarnation: incarnation})
		}
	}
	return world
}

// toDescribe returns live nodes whose incarnation should be asked for.
func (t *nodeTracker) toDescribe(now time.Time) []ident.Node {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var due []ident.Node
	for _, node := range t.nodes {
		recent := now.Sub(t.asked[node.Node]) < describeEvery && t.disks[node.Node] != ""
		if node.Alive && node.Incarnation == "" && node.Node != t.host.self.Node && !recent {
			t.asked[node.Node] = now
			due = append(due, node.Node)
		}
	}
	return due
}

func (t *nodeTracker) describe(ctx context.Context, node ident.Node) {
	asking, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	conn, err := t.host.options.Dialer.Conn(asking, node)
	if err != nil {
		return
	}
	description, err := pb.NewDRPCShardsClient(conn).Describe(asking, &pb.DescribeRequest{})
	if err != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.disks[node] = description.GetIncarnation()
}

// firstSet returns the set a new shard should start with, and this node's rank in it. It reports false until the
// incarnations of all its places are known.
func (t *nodeTracker) firstSet(id ident.Shard) (members []shard.Member, rank int, known bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	rank = -1
	for position, node := range t.ranked(id) {
		incarnation := t.disks[node.Node]
		if incarnation == "" || !node.Alive {
			return nil, 0, false
		}
		if node.Node == t.host.self.Node {
			rank = position
		}
		members = append(members, shard.Member{Node: node.Node, Incarnation: incarnation})
	}
	return members, rank, rank >= 0
}

// othersStay reports whether another node with a disk lives and is not about to stop.
func (t *nodeTracker) othersStay() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, node := range t.nodes {
		if node.Alive && node.Node != t.host.self.Node {
			return true
		}
	}
	return false
}
