package confsync

import (
	"context"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/confsync/confsyncpb"
)

// snapshotPartBytes is the total value size at which a snapshot part is sent.
const snapshotPartBytes = 64 << 10

// server implements the RPC service that other nodes call.
type server struct {
	replica *Replica
}

// Exchange answers a peer's digest.
func (s *server) Exchange(_ context.Context, wire *confsyncpb.Digest) (*confsyncpb.Delta, error) {
	digest := digestFromWire(wire)
	var delta Delta
	s.replica.update(func(core *Core, now time.Time) {
		if digest.From.Node == "" {
			// A digest without a node name only queries the revision for a status report.
			delta = Delta{Revision: core.State().Revision, Chain: core.State().Chain}
			return
		}
		delta = core.HandleDigest(now, digest)
	})
	answer := deltaToWire(delta)
	answer.InForce = s.replica.Current().Revision
	return answer, nil
}

// Snapshot streams the whole copy in parts.
func (s *server) Snapshot(_ *confsyncpb.SnapshotRequest, stream confsyncpb.DRPCSync_SnapshotStream) error {
	state := s.replica.State()
	part := &confsyncpb.SnapshotPart{Revision: state.Revision, Chain: state.Chain}
	size := 0
	for _, resource := range state.Resources() {
		part.Resources = append(part.Resources, resourceToWire(resource))
		size += len(resource.Value)
		if size < snapshotPartBytes {
			continue
		}
		if err := stream.Send(part); err != nil {
			return fmt.Errorf("send part: %w", err)
		}
		part = &confsyncpb.SnapshotPart{Revision: state.Revision, Chain: state.Chain}
		size = 0
	}
	// The last part is sent even if it is empty, because it carries the revision.
	if err := stream.Send(part); err != nil {
		return fmt.Errorf("send part: %w", err)
	}
	return nil
}

// ZoneReport reports which nodes of this node's zone have a revision in force.
func (s *server) ZoneReport(ctx context.Context, request *confsyncpb.ReportRequest) (*confsyncpb.Report, error) {
	report := s.replica.zoneReport(ctx, request.GetRevision())
	wire := &confsyncpb.Report{
		Zone:           string(report.Zone),
		LowestRevision: report.LowestRevision,
		Nodes:          int32(report.Nodes),
	}
	for _, node := range report.Behind {
		wire.Behind = append(wire.Behind, string(node))
	}
	return wire, nil
}
