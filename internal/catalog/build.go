package catalog

import (
	"fmt"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Build checks the whole configuration and returns its snapshot. Every problem of every resource, and every reference
// to a resource that does not exist, is listed in one *InvalidError. The snapshot's revision is the largest revision
// of a resource; a caller that knows of a newer one (a deletion) raises it before publishing.
func Build(resources []Resource) (*Snapshot, error) { return BuildAfter(Empty(), resources) }

// BuildAfter is Build with an earlier snapshot at hand: resources at the revision that they have there are taken from
// it, without being decoded and checked by themselves again, which is most of the work.
func BuildAfter(previous *Snapshot, resources []Resource) (*Snapshot, error) {
	snapshot, problems := assemble(previous, resources, decodeStrict)
	problems = append(problems, checkReferences(snapshot)...)
	if err := asError(problems); err != nil {
		return nil, err
	}
	return snapshot, nil
}

// Load returns the snapshot of a configuration that was accepted earlier, perhaps by a newer program. A node must go
// on serving whatever it reads, so Load skips fields it does not know and leaves out resources it cannot decode; it
// returns what it left out for the log.
func Load(resources []Resource) (*Snapshot, []Problem) { return LoadAfter(Empty(), resources) }

// LoadAfter is Load with an earlier snapshot at hand, from which it takes unchanged resources as BuildAfter does.
func LoadAfter(previous *Snapshot, resources []Resource) (*Snapshot, []Problem) {
	return assemble(previous, resources, decodeLenient)
}

// assemble inserts every resource that decode returns. A faulty one that decode returns all the same is inserted too,
// so that resources which refer to it are not reported as well.
func assemble(previous *Snapshot, resources []Resource, decode func(Resource) (object, []Problem)) (*Snapshot, []Problem) {
	assembling := assembly{snapshot: emptyLike(previous)}
	reused := newReuse(previous)
	for _, resource := range resources {
		if subject := reused.find(resource); subject != nil {
			assembling.insert(subject, resource.Revision)
			continue
		}
		subject, problems := decode(resource)
		assembling.problems = append(assembling.problems, problems...)
		if subject != nil {
			assembling.insert(subject, resource.Revision)
		}
	}
	return assembling.snapshot, assembling.problems
}

// assembly is a snapshot under construction.
type assembly struct {
	snapshot *Snapshot
	problems []Problem
}

func (a *assembly) insert(subject object, revision int64) {
	reference := Reference{Kind: subject.kind(), Name: subject.name()}
	list := &problemList{kind: reference.Kind, name: reference.Name}
	if _, seen := a.snapshot.Revisions[reference]; seen {
		list.add("", "stands twice")
	}
	if key, isKey := subject.(*Key); isKey {
		checkDigestUnused(a.snapshot, key, list)
	}
	if len(list.problems) > 0 {
		a.problems = append(a.problems, list.problems...)
		return
	}
	subject.insert(a.snapshot)
	a.snapshot.Revisions[reference] = revision
	a.snapshot.Revision = max(a.snapshot.Revision, revision)
}

// reuse finds resources that an earlier snapshot holds at the same revision.
type reuse struct {
	previous *Snapshot
	keys     map[string]Key
}

func newReuse(previous *Snapshot) reuse {
	found := reuse{previous: previous, keys: make(map[string]Key, len(previous.Keys))}
	for _, key := range previous.Keys {
		found.keys[key.ID] = key
	}
	return found
}

// find returns the object, or nil if it must be decoded. Revision zero stands for a resource that was never stored.
func (r reuse) find(resource Resource) object {
	reference := resource.Reference()
	if resource.Revision == 0 || r.previous.Revisions[reference] != resource.Revision {
		return nil
	}
	if resource.Kind == KindKey {
		return pointer(r.keys, resource.Name)
	}
	return r.previous.typed(reference)
}

// checkDigestUnused refuses two keys with one secret: Snapshot.Keys is indexed by digest, so one would hide the other.
func checkDigestUnused(snapshot *Snapshot, key *Key, list *problemList) {
	if other, taken := snapshot.Keys[key.Digest]; taken {
		list.add("digest", "is that of key %q too; every key needs its own secret", other.ID)
	}
}

// emptyLike returns an empty snapshot with room for as many resources as the earlier one has, since growing its maps
// would cost more than filling them.
func emptyLike(previous *Snapshot) *Snapshot {
	snapshot := Empty()
	snapshot.Tenants = make(map[ident.Tenant]Tenant, len(previous.Tenants))
	snapshot.Keys = make(map[string]Key, len(previous.Keys))
	snapshot.Revisions = make(map[Reference]int64, len(previous.Revisions))
	return snapshot
}

// checkReferences lists every reference to a resource that does not exist.
func checkReferences(snapshot *Snapshot) []Problem {
	var problems []Problem
	for _, key := range snapshot.Keys {
		list := &problemList{kind: KindKey, name: key.ID}
		if key.Tenant != "" {
			requireTenant(snapshot, list, "tenant", key.Tenant)
		}
		problems = append(problems, list.problems...)
	}
	for _, adapter := range snapshot.Adapters {
		list := &problemList{kind: KindAdapter, name: adapter.Name}
		requireModel(snapshot, list, adapter.Model)
		problems = append(problems, list.problems...)
	}
	for _, zone := range snapshot.Zones {
		list := &problemList{kind: KindZone, name: string(zone.Name)}
		for _, other := range sortedKeys(zone.Distance) {
			requireZone(snapshot, list, "distance."+other, ident.Zone(other))
		}
		problems = append(problems, list.problems...)
	}
	for _, service := range snapshot.Services {
		problems = append(problems, checkServiceReferences(snapshot, service)...)
	}
	return problems
}

func checkServiceReferences(snapshot *Snapshot, service Service) []Problem {
	list := &problemList{kind: KindService, name: service.Name}
	requireModel(snapshot, list, service.Model)
	if service.Adapter != "" {
		requireAdapterOf(snapshot, list, service)
	}
	if _, exists := snapshot.Policies[service.Policy]; service.Policy != "" && !exists {
		list.add("policy", "there is no policy %q", service.Policy)
	}
	for _, tenant := range service.Tenants {
		requireTenant(snapshot, list, "tenants", tenant)
	}
	for _, zone := range service.Zones {
		requireZone(snapshot, list, "zones", zone)
	}
	return list.problems
}

func requireModel(snapshot *Snapshot, list *problemList, model string) {
	if _, exists := snapshot.Models[model]; !exists {
		list.add("model", "there is no model %q", model)
	}
}

func requireAdapterOf(snapshot *Snapshot, list *problemList, service Service) {
	adapter, exists := snapshot.Adapters[service.Adapter]
	if !exists {
		list.add("adapter", "there is no adapter %q", service.Adapter)
		return
	}
	if adapter.Model != service.Model {
		list.add("adapter", "%q is for model %q, not %q", adapter.Name, adapter.Model, service.Model)
	}
}

func requireTenant(snapshot *Snapshot, list *problemList, field string, tenant ident.Tenant) {
	if _, exists := snapshot.Tenants[tenant]; !exists {
		list.add(field, "there is no tenant %q", tenant)
	}
}

func requireZone(snapshot *Snapshot, list *problemList, field string, zone ident.Zone) {
	if _, exists := snapshot.Zones[zone]; !exists {
		list.add(field, "there is no zone %q", zone)
	}
}

// Find returns one resource in its stored form, or ErrNotFound.
func (s *Snapshot) Find(reference Reference) (Resource, error) {
	typed := s.typed(reference)
	if typed == nil {
		return Resource{}, fmt.Errorf("finding %s: %w", reference, ErrNotFound)
	}
	return s.encode(typed), nil
}

// typed returns the object named by the reference, or nil.
func (s *Snapshot) typed(reference Reference) object {
	switch reference.Kind {
	case KindTenant:
		return pointer(s.Tenants, ident.Tenant(reference.Name))
	case KindService:
		return pointer(s.Services, reference.Name)
	case KindModel:
		return pointer(s.Models, reference.Name)
	case KindAdapter:
		return pointer(s.Adapters, reference.Name)
	case KindPolicy:
		return pointer(s.Policies, reference.Name)
	case KindZone:
		return pointer(s.Zones, ident.Zone(reference.Name))
	case KindDrain:
		return pointer(s.Drains, reference.Name)
	case KindKey:
		return s.keyByID(reference.Name)
	default:
		return nil
	}
}
