package shardmap

import (
	"context"
	"fmt"
	"sync"

	"storj.io/drpc"

	pb "mallowlatch.example/mallowlatch/internal/shardmap/shardmappb"
)

// Source knows the routes at first hand. It reports false until it has read the replica sets once.
type Source interface {
	Routes() ([]Route, bool)
}

// Server tells other nodes the routes of a source. It is safe for concurrent use.
type Server struct {
	source Source

	mutex   sync.Mutex
	history *history
}

var _ pb.DRPCShardMapServer = (*Server)(nil)

// NewServer returns a server. Identity is a random number other than zero, drawn by each process.
func NewServer(source Source, identity uint64) *Server {
	return &Server{source: source, history: newHistory(identity)}
}

// Register adds the server's call to the peer listener.
func (s *Server) Register(mux drpc.Mux) error {
	if err := pb.DRPCRegisterShardMap(mux, s); err != nil {
		return fmt.Errorf("register shard map: %w", err)
	}
	return nil
}

// Read answers with the routes that changed after the reader's version.
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
