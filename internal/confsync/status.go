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

// Limits of a status report.
const (
	// reportTimeout limits the report of one zone, and statusTimeout the report of all zones.
	reportTimeout = 1 * time.Second
	statusTimeout = 2 * time.Second
	// reportParallelism limits the number of nodes queried concurrently.
	reportParallelism = 16
	// statusPollPeriod is the interval between polls of WaitInForce.
	statusPollPeriod = 250 * time.Millisecond
)

// ZoneStatus reports how far a zone has put a revision in force.
type ZoneStatus struct {
	Zone ident.Zone `json:"zone"`
	// Reachable is false if no queried node of the zone answered; LowestRevision and Behind are then not meaningful.
	Reachable bool `json:"reachable"`
	// LowestRevision is the lowest revision in force on the nodes of the zone that answered.
	LowestRevision int64 `json:"lowest_revision"`
	// Nodes is the number of live nodes in the zone.
	Nodes int `json:"nodes"`
	// Behind lists the live nodes that do not have the revision in force or did not answer.
	Behind []ident.Node `json:"behind,omitempty"`
}

// Status reports how far the fleet has put a revision in force.
type Status struct {
	Revision int64        `json:"revision"`
	Zones    []ZoneStatus `json:"zones"`
}

// InForce reports whether every node of every reachable zone has the revision in force.
func (s Status) InForce() bool {
	return !slices.ContainsFunc(s.Zones, func(zone ZoneStatus) bool { return zone.Reachable && len(zone.Behind) > 0 })
}

// Status queries every live zone in this node's view for whether a revision is in force. A fully partitioned zone eventually
// leaves that view and is then missing from the result.
func (r *Replica) Status(ctx context.Context, revision int64) Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r.refreshPeers()
	zones := r.zoneMembers()
	status := Status{Revision: revision, Zones: make([]ZoneStatus, len(zones))}
	var group errgroup.Group
	for i, members := range zones {
		group.Go(func() error {
			status.Zones[i] = r.fetchZoneStatus(ctx, members, revision)
			return nil
		})
	}
	// The functions return no error.
	_ = group.Wait()
	return status
}

// WaitInForce polls until every reachable zone has the revision in force or ctx is done, and returns the last status.
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

// zoneMembers returns the live nodes grouped by zone, relays first. This node is included only if it is a relay.
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

// maxReportAttempts is the number of nodes of a zone that are queried for its report before it counts as unreachable.
const maxReportAttempts = 3

func (r *Replica) fetchZoneStatus(ctx context.Context, members []Peer, revision int64) ZoneStatus {
	zone := members[0].Zone
	if zone == r.options.Self.Zone {
		return r.zoneReport(ctx, revision)
	}
	for _, member := range members[:min(maxReportAttempts, len(members))] {
		report, err := r.fetchZoneReport(ctx, member.Node, revision)
		if err == nil {
			return report
		}
	}
	return ZoneStatus{Zone: zone, Nodes: len(members)}
}

func (r *Replica) fetchZoneReport(ctx context.Context, node ident.Node, revision int64) (ZoneStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout+reportTimeout/2)
	defer cancel()
	connection, err := r.options.Dialer.Conn(ctx, node)
	if err != nil {
		return ZoneStatus{}, fmt.Errorf("connect to %s: %w", node, err)
	}
	wire, err := confsyncpb.NewDRPCSyncClient(connection).ZoneReport(ctx, &confsyncpb.ReportRequest{Revision: revision})
	if err != nil {
		return ZoneStatus{}, fmt.Errorf("fetch zone report from %s: %w", node, err)
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

// zoneReport queries every live node of this node's zone.
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
			revisions[i] = r.fetchRevision(ctx, peer.Node)
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

// unknownRevision is the revision of a node that did not answer.
const unknownRevision = -1

// fetchRevision returns the revision in force on a node, or unknownRevision. The digest has no node name, so that the node does
// not treat it as a comparison of copies.
func (r *Replica) fetchRevision(ctx context.Context, node ident.Node) int64 {
	answer, err := r.callExchange(ctx, node, Digest{})
	if err != nil {
		return unknownRevision
	}
	return answer.GetInForce()
}
