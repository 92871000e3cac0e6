package shardmap

import (
	"context"
	"fmt"
	"sync"

	"storj.io/drpc"

	pb "mallowlatch.example/mallowlatch/internal/shardmap/shardmappb"
)

// Source provides the routes read from the key-value service. Routes returns false until the replica sets were read once.
type Source interface {
	Routes() ([]Route, bool)
}

// Server serves the routes of a source to other nodes. It is safe for concurrent use.
type Server struct {
	source Source

	mutex   sync.Mutex
	history *history
}

var _ pb.DRPCShardMapServer = (*Server)(nil)

// NewServer returns a server. identity is a random non-zero number that each process chooses at start; it tells the versions
// of different servers apart.
func NewServer(source Source, identity uint64) *Server {
	return &Server{source: source, history: newHistory(identity)}
}

// Register registers the service with the peer listener.
func (s *Server) Register(mux drpc.Mux) error {
	if err := pb.DRPCRegisterShardMap(mux, s); err != nil {
		return fmt.Errorf("register shard map: %w", err)
	}
	return nil
}

// Read returns the routes that changed after the reader's version.
func (s *Server) Read(_ context.Context, request *pb.ReadRequest) (*pb.ReadReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	routes, ready := s.source.Routes()
	if !ready {
		return nil, fmt.Errorf("read routes: %w", ErrNotReady)
	}
	s.history.observe(routes)
	known := version{source: request.GetKnown().GetSource(), sequence: request.GetKnown().GetSequence()}
	return &pb.ReadReply{
		Version: &pb.Version{Source: s.history.version.source, Sequence: s.history.version.sequence},
		Routes:  encodeRoutes(s.history.since(known)),
	}, nil
}
