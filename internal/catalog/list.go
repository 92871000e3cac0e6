package catalog

import "sort"

// objectPointer is the pointer to a typed resource, for example *Tenant.
type objectPointer[T any] interface {
	*T
	object
}

// pointer returns a pointer to a copy of the map's value, or a nil object.
func pointer[K comparable, T any, P objectPointer[T]](values map[K]T, key K) object {
	value, exists := values[key]
	if !exists {
		return nil
	}
	return P(&value)
}

func pointers[K comparable, T any, P objectPointer[T]](values map[K]T) []object {
	objects := make([]object, 0, len(values))
	for _, value := range values {
		objects = append(objects, P(&value))
	}
	return objects
}

func (s *Snapshot) keyByID(id string) object {
	for _, key := range s.Keys {
		if key.ID == id {
			return &key
		}
	}
	return nil
}

// List returns the resources of a kind, ordered by name.
func (s *Snapshot) List(kind Kind) []Resource {
	objects := s.objects(kind)
	sort.Slice(objects, func(i, j int) bool { return objects[i].name() < objects[j].name() })
	resources := make([]Resource, 0, len(objects))
	for _, typed := range objects {
		resources = append(resources, s.encode(typed))
	}
	return resources
}

// Resources returns every resource, ordered by kind (see Kinds) and name.
func (s *Snapshot) Resources() []Resource {
	var resources []Resource
	for _, kind := range Kinds() {
		resources = append(resources, s.List(kind)...)
	}
	return resources
}

func (s *Snapshot) objects(kind Kind) []object {
	switch kind {
	case KindTenant:
		return pointers(s.Tenants)
	case KindKey:
		return pointers(s.Keys)
	case KindService:
		return pointers(s.Services)
	case KindModel:
		return pointers(s.Models)
	case KindAdapter:
		return pointers(s.Adapters)
	case KindPolicy:
		return pointers(s.Policies)
	case KindZone:
		return pointers(s.Zones)
	case KindDrain:
		return pointers(s.Drains)
	default:
		return nil
	}
}

// encode cannot fail: the typed resources hold only strings, finite numbers, lists and maps.
func (s *Snapshot) encode(typed object) Resource {
	resource, err := Encode(typed)
	if err != nil {
		panic("encoding a checked resource: " + err.Error())
	}
	resource.Revision = s.Revisions[resource.Reference()]
	return resource
}
