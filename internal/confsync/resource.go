// Package confsync distributes configuration. Accepted changes form one dense sequence of revisions, ordered by
// compare-and-swap on a head record in the key-value service; every node keeps a copy that only moves forward along that
// sequence, fed by a few watchers and by exchanges between nodes.
//
// Writer accepts changes. Replica is a node's copy. Core is the copy's decision logic, apart from I/O.
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

// Resource is one configuration resource, not decoded. Its Value must not be changed.
type Resource struct {
	Kind catalog.Kind
	Name string
	// Revision is that of the change which last wrote the resource.
	Revision int64
	Value    []byte
	// Deleted marks the record of a deletion inside a Change; a State holds no deleted resources.
	Deleted bool
}

// Key returns the resource's name.
func (r Resource) Key() Key { return Key{Kind: r.Kind, Name: r.Name} }

// ChangedResource is a resource as a change leaves it, and as it was before.
type ChangedResource struct {
	Resource Resource
	// Previous is set only in changes read by Writer.History, and is nil if the resource did not exist.
	Previous *Resource
}

// Change is one accepted change of one or more resources, all in force together.
type Change struct {
	// Revision is one more than that of the change before.
	Revision int64
	// ID is unique to the proposal, so that a lost answer can be resolved and a resend recognised.
	ID        string
	Author    string
	Comment   string
	At        time.Time
	Resources []ChangedResource
	// Chain is a digest over the identifiers of this change and all before it; copies at one revision that differ in
	// it have diverged, which only a key-value service that lost its data can cause.
	Chain uint64
}

// State is the whole configuration at one revision. It is immutable.
type State struct {
	Revision  int64
	Chain     uint64
	resources map[Key]Resource
}

// EmptyState returns the configuration before the first change.
func EmptyState() *State { return &State{resources: map[Key]Resource{}} }

// NewState returns a state of the given resources.
func NewState(revision int64, chain uint64, resources []Resource) *State {
	state := &State{Revision: revision, Chain: chain, resources: make(map[Key]Resource, len(resources))}
	for _, resource := range resources {
		state.resources[resource.Key()] = resource
	}
	return state
}

// Get returns a resource.
func (s *State) Get(key Key) (Resource, bool) {
	resource, exists := s.resources[key]
	return resource, exists
}

// Len returns how many resources there are.
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

// before returns the state before a change that carries its previous resources.
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

// Decode makes a catalog snapshot of a state, at the state's revision. An error keeps the node on the snapshot it has:
// the copy itself still moves and spreads.
type Decode func(state *State) (*catalog.Snapshot, error)

// Peer is another live node.
type Peer struct {
	Node ident.Node
	Zone ident.Zone
}

// PeerSource lists the live nodes other than this one, by this node's own view. Membership implements it. A list that is
// the same in order saves the work of choosing relays anew.
type PeerSource interface {
	Peers() []Peer
}
