package shardhost

import (
	"context"
	"errors"
	"fmt"
	"io"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/shard"
	pb "mallowlatch.example/mallowlatch/internal/shardhost/shardhostpb"
)

// server answers the calls of other hosts.
type server struct{ host *Host }

// ends are the two identities of a stream, which its first batch names.
type ends struct{ from, to shard.Member }

// Deliver takes messages until the sender ends the stream or this host stops: a sender never ends one by itself, and an
// open call would hold up the stop of the listener.
func (s *server) Deliver(stream pb.DRPCShards_DeliverStream) error {
	forget := context.AfterFunc(s.host.ctx, func() { _ = stream.Close() })
	defer forget()
	var known ends
	for {
		batch, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&pb.Delivered{})
		}
		if err != nil {
			return fmt.Errorf("receiving messages: %w", err)
		}
		if batch.GetFrom() != nil {
			known = ends{from: decodeMember(batch.GetFrom()), to: decodeMember(batch.GetTo())}
			if err := s.check(stream.Context(), known); err != nil {
				return err
			}
		}
		if err := s.take(known, batch); err != nil {
			return err
		}
	}
}

// check refuses streams of pretenders, and those meant for an earlier disk of this node, which is gone with its promises.
func (s *server) check(ctx context.Context, named ends) error {
	if err := s.authentic(ctx, named.from.Node); err != nil {
		return err
	}
	if named.to != s.host.self {
		return fmt.Errorf("messages for incarnation %q: %w", named.to.Incarnation, ErrProtocol)
	}
	return nil
}

func (s *server) take(known ends, batch *pb.Batch) error {
	if known.to != s.host.self {
		return fmt.Errorf("messages without an introduction: %w", ErrProtocol)
	}
	s.host.metrics.messages.WithLabelValues("received").Add(float64(len(batch.GetEnvelopes())))
	for _, envelope := range batch.GetEnvelopes() {
		message, err := decodeMessage(known.from, known.to, envelope)
		if err != nil {
			return err
		}
		if local := s.receiver(message); local != nil {
			local.step(message)
		}
	}
	return nil
}

// authentic checks that the sender is who the connection says it is.
func (s *server) authentic(ctx context.Context, claimed ident.Node) error {
	if s.host.options.Peer == nil {
		return nil
	}
	if peer, known := s.host.options.Peer(ctx); !known || peer != claimed {
		return fmt.Errorf("messages of %q over a connection of %q: %w", claimed, peer, ErrProtocol)
	}
	return nil
}

// receiver returns the replica a message is for. A leader's message to a node without one makes it a learner.
func (s *server) receiver(message shard.Message) *replica {
	if local := s.host.replica(message.Shard); local != nil {
		return local
	}
	if _, isAppend := message.Body.(shard.AppendRequest); !isAppend || !s.host.tomb.Alive() {
		return nil
	}
	if int(message.Shard) >= s.host.options.Shards {
		return nil
	}
	opened, err := s.host.openReplica(message.Shard)
	if err != nil {
		return nil
	}
	return opened
}

// Describe names the disk of this node.
func (s *server) Describe(context.Context, *pb.DescribeRequest) (*pb.Description, error) {
	return &pb.Description{Incarnation: s.host.self.Incarnation}, nil
}
