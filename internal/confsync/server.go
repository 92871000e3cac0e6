package confsync

import (
	"context"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/confsync/confsyncpb"
)

// snapshotPartBytes bounds the values in one part of a whole copy, beyond its first resource.
const snapshotPartBytes = 64 << 10

// server answers other nodes.
type server struct {
	replica *Replica
}

// Exchange implements the service.
func (s *server) Exchange(_ context.Context, wire *confsyncpb.Digest) (*confsyncpb.Delta, error) {
	digest := digestFromWire(wire)
	var delta Delta
	s.replica.update(func(core *Core, now time.Time) {
		if digest.From.Node == "" {
			// A question for a report, not a copy to compare with.
			delta = Delta{Revision: core.State().Revision, Chain: core.State().Chain}
			return
		}
		delta = core.HandleDigest(now, digest)
	})
	answer := deltaToWire(delta)
	answer.InForce = s.replica.Current().Revision
	return answer, nil
}

// Snapshot implements the service.
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
	// The last part is sent even if it is empty: it carries the revision.
	if err := stream.Send(part); err != nil {
		return fmt.Errorf("send part: %w", err)
	}
	return nil
}

// ZoneReport implements the service.
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
