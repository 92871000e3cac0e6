package confsync

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"mallowlatch.example/mallowlatch/internal/confsync/confsyncpb"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Bounds of a report.
const (
	// reportTimeout bounds one zone's report, and statusTimeout that of all zones.
	reportTimeout = 1 * time.Second
	statusTimeout = 2 * time.Second
	// reportParallelism bounds how many nodes are asked at once.
	reportParallelism = 16
	// statusPollPeriod is how often WaitInForce asks again.
	statusPollPeriod = 250 * time.Millisecond
)

// ZoneStatus is a zone's state of a revision.
type ZoneStatus struct {
	Zone ident.Zone `json:"zone"`
	// Reachable is false if no node of the zone could be asked; the other fields then say nothing.
	Reachable bool `json:"reachable"`
	// LowestRevision is the lowest revision in force on the zone's nodes that could be asked.
	LowestRevision int64 `json:"lowest_revision"`
	// Nodes is how many live nodes the zone has.
	Nodes int `json:"nodes"`
	// Behind lists the live nodes that do not have the revision in force, or could not be asked.
	Behind []ident.Node `json:"behind,omitempty"`
}

// Status is the fleet's state of a revision.
type Status struct {
	Revision int64        `json:"revision"`
	Zones    []ZoneStatus `json:"zones"`
}

// InForce reports whether every node of every reachable zone has the revision in force.
func (s Status) InForce() bool {
	return !slices.ContainsFunc(s.Zones, func(zone ZoneStatus) bool { return zone.Reachable && len(zone.Behind) > 0 })
}

// Status asks every live zone, by this node's view, whether a revision is in force. A zone that is cut off altogether
// leaves that view after a while and is then missing from the answer.
func (r *Replica) Status(ctx context.Context, revision int64) Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r.refreshPeers()
	zones := r.zoneMembers()
	status := Status{Revision: revision, Zones: make([]ZoneStatus, len(zones))}
	var group errgroup.Group
	for i, members := range zones {
		group.Go(func() error {
			status.Zones[i] = r.askZone(ctx, members, revision)
			return nil
		})
	}
	// The functions return no error.
	_ = group.Wait()
	return status
}

// WaitInForce asks until every reachable zone has the revision in force or ctx ends, and returns the last answer.
func (r *Replica) WaitInForce(ctx context.Context, revision int64) (Status, error) {
	for {
		status := r.Status(ctx, revision)
		if status.InForce() {
			return status, nil
		}
		if err := sleepContext(ctx, statusPollPeriod); err != nil {
			return status, fmt.Errorf("wait for revision %d: %w", revision, err)
		}
	}
}

// zoneMembers returns the live nodes by zone, this node's zone included, relays first.
func (r *Replica) zoneMembers() [][]Peer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var zones [][]Peer
	for _, zone := range sortedZones(r.core.relays) {
		members := slices.Clone(r.core.relays[zone])
		for _, peer := range r.core.peers {
			if peer.Zone == zone && !contains(members, peer.Node) {
				members = append(members, peer)
			}
		}
		zones = append(zones, members)
	}
	return zones
}

// maxAsked is how many nodes of a zone are tried for its report before it counts as unreachable.
const maxAsked = 3

func (r *Replica) askZone(ctx context.Context, members []Peer, revision int64) ZoneStatus {
	zone := members[0].Zone
	if zone == r.options.Self.Zone {
		return r.zoneReport(ctx, revision)
	}
	for _, member := range members[:min(maxAsked, len(members))] {
		report, err := r.askMember(ctx, member.Node, revision)
		if err == nil {
			return report
		}
	}
	return ZoneStatus{Zone: zone, Nodes: len(members)}
}

func (r *Replica) askMember(ctx context.Context, node ident.Node, revision int64) (ZoneStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout+reportTimeout/2)
	defer cancel()
	connection, err := r.options.Dialer.Conn(ctx, node)
	if err != nil {
		return ZoneStatus{}, fmt.Errorf("connect to %s: %w", node, err)
	}
	wire, err := confsyncpb.NewDRPCSyncClient(connection).ZoneReport(ctx, &confsyncpb.ReportRequest{Revision: revision})
	if err != nil {
		return ZoneStatus{}, fmt.Errorf("ask %s for its zone: %w", node, err)
	}
	report := ZoneStatus{
		Zone:           ident.Zone(wire.GetZone()),
		Reachable:      true,
		LowestRevision: wire.GetLowestRevision(),
		Nodes:          int(wire.GetNodes()),
	}
	for _, behind := range wire.GetBehind() {
		report.Behind = append(report.Behind, ident.Node(behind))
	}
	return report, nil
}

// zoneReport asks every live node of this node's own zone.
func (r *Replica) zoneReport(ctx context.Context, revision int64) ZoneStatus {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.refreshPeers()
	r.mutex.Lock()
	peers := r.core.zonePeers()
	r.mutex.Unlock()
	own := r.Current().Revision
	revisions := make([]int64, len(peers))
	var group errgroup.Group
	group.SetLimit(reportParallelism)
	for i, peer := range peers {
		group.Go(func() error {
			revisions[i] = r.askRevision(ctx, peer.Node)
			return nil
		})
	}
	// The functions return no error.
	_ = group.Wait()
	report := ZoneStatus{Zone: r.options.Self.Zone, Reachable: true, LowestRevision: own, Nodes: 1 + len(peers)}
	if own < revision {
		report.Behind = append(report.Behind, r.options.Self.Node)
	}
	for i, inForce := range revisions {
		if inForce != unknownRevision {
			report.LowestRevision = min(report.LowestRevision, inForce)
		}
		if inForce < revision {
			report.Behind = append(report.Behind, peers[i].Node)
		}
	}
	return report
}

// unknownRevision stands for a node that could not be asked.
const unknownRevision = -1

// askRevision returns the revision in force on a node. The question carries no node name, so that the node does not
// compare copies because of it.
func (r *Replica) askRevision(ctx context.Context, node ident.Node) int64 {
	answer, err := r.callExchange(ctx, node, Digest{})
	if err != nil {
		return unknownRevision
	}
	return answer.GetInForce()
}
