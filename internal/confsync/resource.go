// Package confsync distributes configuration to all nodes. Accepted changes have consecutive revisions, ordered by
// compare-and-swap on a head record in the key-value service. Every node has a copy whose revision never decreases. A few
// relays per zone watch the key-value service, and nodes exchange digests, changes and snapshots with each other, so that
// accepted changes propagate during an outage of the service.
//
// Writer accepts changes and reads and rolls back the history. Replica is a node's copy; it publishes decoded catalog
// snapshots, saves the copy to disk and reports which nodes have a revision in force. Core is the copy's decision logic
// without I/O.
package confsync

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Key names a resource.
type Key struct {
	Kind catalog.Kind
	Name string
}

// Resource is one configuration resource in encoded form. Its Value must not be modified.
type Resource struct {
	Kind catalog.Kind
	Name string
	// Revision is the revision of the change that last wrote the resource.
	Revision int64
	Value    []byte
	// Deleted marks a deletion inside a Change; a State contains no deleted resources.
	Deleted bool
}

// Key returns the resource's kind and name.
func (r Resource) Key() Key { return Key{Kind: r.Kind, Name: r.Name} }

// ChangedResource is a resource after a change and before it.
type ChangedResource struct {
	Resource Resource
	// Previous is nil if the resource did not exist. It is set only in prepared changes and in change records, which
	// Writer.History and Writer.DryRun return; nodes do not store or exchange it.
	Previous *Resource
}

// Change is one accepted change of one or more resources, which take effect together.
type Change struct {
	// Revision is one more than the revision of the previous change.
	Revision int64
	// ID is unique to the proposal, so that a lost answer can be resolved and a resend can be recognised.
	ID        string
	Author    string
	Comment   string
	At        time.Time
	Resources []ChangedResource
	// Chain is a digest over the identifiers of this change and all previous ones. Copies at the same revision with different
	// chains have diverged, which can only happen if the key-value service lost data.
	Chain uint64
}

// State is the whole configuration at one revision. It is immutable.
type State struct {
	Revision  int64
	Chain     uint64
	resources map[Key]Resource
}

// EmptyState returns the state before the first change, at revision zero.
func EmptyState() *State { return &State{resources: map[Key]Resource{}} }

// NewState returns a state with the given resources.
func NewState(revision int64, chain uint64, resources []Resource) *State {
	state := &State{Revision: revision, Chain: chain, resources: make(map[Key]Resource, len(resources))}
	for _, resource := range resources {
		state.resources[resource.Key()] = resource
	}
	return state
}

// Get returns the resource with the key and whether it exists.
func (s *State) Get(key Key) (Resource, bool) {
	resource, exists := s.resources[key]
	return resource, exists
}

// Len returns the number of resources.
func (s *State) Len() int { return len(s.resources) }

// Resources returns every resource, ordered by kind and name.
func (s *State) Resources() []Resource {
	return slices.SortedFunc(maps.Values(s.resources), compareResources)
}

// List returns the resources of one kind, ordered by name.
func (s *State) List(kind catalog.Kind) []Resource {
	var listed []Resource
	for _, resource := range s.resources {
		if resource.Kind == kind {
			listed = append(listed, resource)
		}
	}
	slices.SortFunc(listed, compareResources)
	return listed
}

func compareResources(a, b Resource) int {
	if order := strings.Compare(string(a.Kind), string(b.Kind)); order != 0 {
		return order
	}
	return strings.Compare(a.Name, b.Name)
}

// with returns the state after the next change. The caller has checked that change.Revision follows s.Revision.
func (s *State) with(change Change) *State {
	next := &State{Revision: change.Revision, Chain: change.Chain, resources: maps.Clone(s.resources)}
	for _, changed := range change.Resources {
		if changed.Resource.Deleted {
			delete(next.resources, changed.Resource.Key())
			continue
		}
		next.resources[changed.Resource.Key()] = changed.Resource
	}
	return next
}

// before returns the state before the change, which must include its previous resources. The result has no Chain.
func (s *State) before(change Change) *State {
	earlier := &State{Revision: change.Revision - 1, resources: maps.Clone(s.resources)}
	for _, changed := range change.Resources {
		if changed.Previous == nil {
			delete(earlier.resources, changed.Resource.Key())
			continue
		}
		earlier.resources[changed.Resource.Key()] = *changed.Previous
	}
	return earlier
}

// Decode decodes a state into a catalog snapshot at the state's revision. On an error the node continues to serve its current
// snapshot, while its copy still advances and propagates to other nodes.
type Decode func(state *State) (*catalog.Snapshot, error)

// Peer identifies a node and its zone.
type Peer struct {
	Node ident.Node
	Zone ident.Zone
}

// PeerSource lists the other live nodes according to this node's view. Membership implements it. The order of the list should
// be stable, because relays are chosen again whenever the list or its order changes.
type PeerSource interface {
	Peers() []Peer
}
