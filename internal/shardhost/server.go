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

// Deliver takes messages until the sender ends the stream.
func (s *server) Deliver(stream pb.DRPCShards_DeliverStream) error {
	for {
		batch, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&pb.Delivered{})
		}
		if err != nil {
			return fmt.Errorf("receiving messages: %w", err)
		}
		if err := s.take(stream.Context(), batch); err != nil {
			return err
		}
	}
}

func (s *server) take(ctx context.Context, batch *pb.Batch) error {
	from, to := decodeMember(batch.GetFrom()), decodeMember(batch.GetTo())
	if err := s.authentic(ctx, from.Node); err != nil {
		return err
	}
	if to != s.host.self {
		// Meant for an earlier disk of this node, which is gone with its promises.
		return fmt.Errorf("messages for incarnation %q: %w", to.Incarnation, ErrProtocol)
	}
	s.host.metrics.messages.WithLabelValues("received").Add(float64(len(batch.GetEnvelopes())))
	for _, envelope := range batch.GetEnvelopes() {
		message, err := decodeMessage(from, to, envelope)
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
