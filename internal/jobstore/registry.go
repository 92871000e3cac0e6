package jobstore

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/ident"
	pb "mallowlatch.example/mallowlatch/internal/jobstore/jobstorepb"
)

// HomeShard returns the shard that keeps everything of a tenant: the one with the highest rendezvous score. The number
// of shards is fixed for the life of the fleet's data.
func HomeShard(tenant ident.Tenant, shards int) ident.Shard {
	var best ident.Shard
	var highest uint64
	for number := range shards {
		key := appendNumber([]byte(tenant), uint32(number))
		if score := xxhash.Sum64(key); number == 0 || score > highest {
			best, highest = ident.Shard(number), score
		}
	}
	return best
}

func appendNumber(key []byte, number uint32) []byte {
	return append(key, byte(number>>24), byte(number>>16), byte(number>>8), byte(number))
}

// Registry routes calls to the servers of the shards that have a replica on this node.
type Registry struct {
	mutex   sync.RWMutex
	servers map[ident.Shard]*Server
}

var _ pb.DRPCJobStoreServer = (*Registry)(nil)

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[ident.Shard]*Server{}}
}

// Register makes the registry answer the job store's calls on a mux.
func Register(mux drpc.Mux, registry *Registry) error {
	if err := pb.DRPCRegisterJobStore(mux, registry); err != nil {
		return fmt.Errorf("registering the job store: %w", err)
	}
	return nil
}

// Add makes a shard's server known. It replaces an earlier server of the shard.
func (r *Registry) Add(server *Server) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.servers[server.shard] = server
}

// Remove forgets a shard's server.
func (r *Registry) Remove(id ident.Shard) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.servers, id)
}

func (r *Registry) server(id uint32) *Server {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.servers[ident.Shard(id)]
}

// absent is the status of a call on a shard that has no replica here: nothing was done.
func absent() *pb.Status { return &pb.Status{Redirected: true} }
