package shardhost

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	pb "mallowlatch.example/mallowlatch/internal/shardhost/shardhostpb"
	"mallowlatch.example/mallowlatch/internal/shardlog"
)

const (
	snapshotChunkBytes = 256 << 10
	// snapshotStall is how long one chunk may take before the stream counts as broken. A whole state may take hours.
	snapshotStall = 5 * time.Minute
)

// errRefused means that a state arrived whole and was of no use to the receiver.
const errRefused = failure.Kind("shard host: state refused")

// sendSnapshot sends the applied state beside the replica's goroutine, which goes on.
func (r *replica) sendSnapshot(to shard.Member) error {
	view := r.transfers.takeView(to, r.log.FirstIndex())
	if view == nil {
		opened, err := r.log.View()
		if err != nil {
			return err
		}
		view = opened
	}
	status := r.driver.Core.Status(r.host.now())
	index, _, failed := view.Position()
	if failed == nil {
		r.driver.Core.SnapshotStarted(to, index)
	}
	r.host.tomb.Go(func() error {
		err := r.streamSnapshot(view, status, to)
		logger := r.host.options.Logger
		if err != nil && r.ctx.Err() == nil {
			event.ShardSnapshotFailed.Log(logger).Uint32("shard", uint32(r.id)).Str("to", string(to.Node)).Err(err).Send()
		} else if err == nil {
			event.ShardSnapshotSent.Log(logger).Uint32("shard", uint32(r.id)).Str("to", string(to.Node)).Send()
		}
		if err != nil && failed == nil && !errors.Is(err, errRefused) {
			r.transfers.keepView(to, view, index)
		} else {
			_ = view.Close()
		}
		// In either case nothing is on its way any more but the receipt, if there is one.
		select {
		case <-r.stopped:
		case r.inbox <- func() error { r.driver.Core.SnapshotEnded(to, err == nil); return nil }:
		}
		return nil
	})
	return nil
}

func (r *replica) streamSnapshot(view *shardlog.View, status shard.Status, to shard.Member) error {
	select {
	case r.host.sending <- struct{}{}:
		defer func() { <-r.host.sending }()
	case <-r.ctx.Done():
		return nil
	}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	stalled := time.AfterFunc(snapshotStall, cancel)
	defer stalled.Stop()
	index, term, err := view.Position()
	if err != nil {
		return err
	}
	conn, err := r.host.options.Dialer.Conn(ctx, to.Node)
	if err != nil {
		return fmt.Errorf("dialling %s: %w", to.Node, err)
	}
	client := pb.NewDRPCShardsClient(conn)
	behind := r.askStaged(ctx, client, to, position{index: index, term: term})
	stream, err := client.Install(ctx)
	if err != nil {
		return fmt.Errorf("opening a stream to %s: %w", to.Node, err)
	}
	defer func() { _ = stream.Close() }()
	header := &pb.SnapshotHeader{
		Shard: uint32(r.id), From: encodeMember(r.host.self), To: encodeMember(to),
		LeaderTerm: encodeTerm(status.Term), Index: index, Term: encodeTerm(term),
		Configuration: encodeConfiguration(&status.Configuration), Resumed: behind != nil, After: behind,
	}
	if err := stream.Send(&pb.SnapshotPart{Header: header}); err != nil {
		return fmt.Errorf("sending a header: %w", err)
	}
	if err := view.Export(behind, snapshotChunkBytes, func(pairs []shardlog.Pair) error {
		if err := r.host.paceCatchUp(ctx, pairs); err != nil {
			return err
		}
		stalled.Reset(snapshotStall)
		return sendPairs(stream, pairs)
	}); err != nil {
		return err
	}
	// Without the end mark the receiver must not install: a stream that broke off is no whole state.
	if err := stream.Send(&pb.SnapshotPart{End: true}); err != nil {
		return fmt.Errorf("sending the end: %w", err)
	}
	answer, err := stream.CloseAndRecv()
	if err != nil {
		return fmt.Errorf("awaiting the receipt: %w", err)
	}
	if !answer.GetAccepted() {
		return fmt.Errorf("sending to %s: %w", to.Node, errRefused)
	}
	return nil
}

// paceCatchUp waits until a chunk may go out: all states sent from here share one rate, so that commits keep their part
// of the disk and the network.
func (h *Host) paceCatchUp(ctx context.Context, pairs []shardlog.Pair) error {
	size := 0
	for _, pair := range pairs {
		size += len(pair.Key) + len(pair.Value)
	}
	h.metrics.catchUp.Add(float64(size))
	for size > 0 {
		part := min(size, h.pace.Burst())
		if err := h.pace.WaitN(ctx, part); err != nil {
			return fmt.Errorf("pacing a state: %w", err)
		}
		size -= part
	}
	return nil
}

func sendPairs(stream pb.DRPCShards_InstallClient, pairs []shardlog.Pair) error {
	part := &pb.SnapshotPart{}
	for _, pair := range pairs {
		part.Pairs = append(part.Pairs, &pb.Pair{Key: pair.Key, Value: pair.Value})
	}
	if err := stream.Send(part); err != nil {
		return fmt.Errorf("sending a chunk: %w", err)
	}
	return nil
}

// Install receives a state beside the present one and offers it to the replica.
func (s *server) Install(stream pb.DRPCShards_InstallStream) error {
	first, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receiving a header: %w", err)
	}
	header := first.GetHeader()
	snapshot, err := s.snapshotOf(stream.Context(), header)
	if err != nil {
		return err
	}
	select {
	case s.host.receiving <- struct{}{}:
		defer func() { <-s.host.receiving }()
	case <-stream.Context().Done():
		return fmt.Errorf("awaiting a turn: %w", stream.Context().Err())
	case <-s.host.ctx.Done():
		return fmt.Errorf("shard %d: stopping: %w", snapshot.Shard, shard.ErrUnavailable)
	}
	local, err := s.host.openReplica(snapshot.Shard)
	if err != nil {
		return err
	}
	received, err := local.beginReceiving(header, snapshot)
	if err != nil {
		return err
	}
	staged := received.staged
	snapshot.Staging = staged.Number()
	if err := receivePairs(stream, received); err != nil {
		received.since = time.Now()
		return errors.Join(err, local.transfers.keepReceived(received))
	}
	accepted, err := local.install(stream.Context(), snapshot, staged)
	if err != nil {
		return err
	}
	return stream.SendAndClose(&pb.Installed{Accepted: accepted})
}

func (s *server) snapshotOf(ctx context.Context, header *pb.SnapshotHeader) (shard.Snapshot, error) {
	snapshot := shard.Snapshot{
		Shard: ident.Shard(header.GetShard()), From: decodeMember(header.GetFrom()), To: decodeMember(header.GetTo()),
		LeaderTerm: decodeTerm(header.GetLeaderTerm()), Index: header.GetIndex(), Term: decodeTerm(header.GetTerm()),
	}
	configuration := decodeConfiguration(header.GetConfiguration())
	known := int(snapshot.Shard) < s.host.options.Shards
	if header == nil || configuration == nil || snapshot.To != s.host.self || !known || !s.host.tomb.Alive() {
		return shard.Snapshot{}, fmt.Errorf("snapshot for %v: %w", snapshot.To, ErrProtocol)
	}
	snapshot.Configuration = *configuration
	return snapshot, s.authentic(ctx, snapshot.From.Node)
}

// beginReceiving goes on with what an earlier stream brought of the same state, or begins anew.
func (r *replica) beginReceiving(header *pb.SnapshotHeader, snapshot shard.Snapshot) (*partial, error) {
	of := position{index: snapshot.Index, term: snapshot.Term}
	var behind []byte
	if header.GetResumed() {
		behind = header.GetAfter()
	}
	kept, err := r.transfers.takeReceived(of, behind)
	if err != nil || kept != nil {
		return kept, err
	}
	if header.GetResumed() {
		return nil, fmt.Errorf("shard %d: nothing to resume: %w", r.id, ErrProtocol)
	}
	return &partial{staged: r.log.Stage(), of: of}, nil
}

// receivePairs stages the pairs. Without the end mark the state is not whole.
func receivePairs(stream pb.DRPCShards_InstallStream, received *partial) error {
	for {
		part, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("receiving a chunk: %w", err)
		}
		if part.GetEnd() {
			return nil
		}
		pairs := make([]shardlog.Pair, 0, len(part.GetPairs()))
		for _, pair := range part.GetPairs() {
			pairs = append(pairs, shardlog.Pair{Key: pair.GetKey(), Value: pair.GetValue()})
		}
		if err := received.staged.Add(pairs); err != nil {
			return err
		}
		if len(pairs) > 0 {
			received.lastKey = pairs[len(pairs)-1].Key
		}
	}
}

// install offers a received state to the replica. Only a refused state is dropped here: an accepted one is the state.
func (r *replica) install(ctx context.Context, snapshot shard.Snapshot, staged *shardlog.Staged) (bool, error) {
	done := make(chan bool, 1)
	action := func() error {
		accepted := r.driver.Core.Install(r.host.now(), snapshot)
		done <- accepted
		if accepted {
			return nil
		}
		return staged.Discard()
	}
	select {
	case r.inbox <- action:
	case <-r.stopped:
		return false, fmt.Errorf("shard %d: stopped: %w", r.id, shard.ErrUnavailable)
	case <-ctx.Done():
		return false, fmt.Errorf("shard %d: %w: %w", r.id, shard.ErrUnavailable, ctx.Err())
	}
	select {
	case accepted := <-done:
		return accepted, nil
	case <-r.stopped:
		return false, fmt.Errorf("shard %d: stopped: %w", r.id, shard.ErrUnavailable)
	}
}
