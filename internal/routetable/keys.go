package routetable

import (
	"bytes"
	"slices"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/keyhash"
	"mallowlatch.example/mallowlatch/internal/work"
)

// KeyChange is how the keys of a configuration differ from those of another, in the order of their hashes. A key that goes from one
// tenant to another is in both lists.
type KeyChange struct {
	Added, Removed []keyhash.Digest
}

// CompareKeys returns which keys came and went between two configurations.
func CompareKeys(before, after *work.Catalog) KeyChange {
	had, has := holders(before), holders(after)
	return KeyChange{Added: lacking(has, had), Removed: lacking(had, has)}
}

func holders(catalog *work.Catalog) map[keyhash.Digest]ident.Tenant {
	byKey := map[keyhash.Digest]ident.Tenant{}
	for _, tenant := range catalog.Tenants {
		for _, key := range tenant.Keys {
			byKey[key] = tenant.Name
		}
	}
	return byKey
}

// lacking returns the keys of some holders that others do not have, or that another tenant has there.
func lacking(some, others map[keyhash.Digest]ident.Tenant) []keyhash.Digest {
	var keys []keyhash.Digest
	for key, holder := range some {
		if other, known := others[key]; !known || other != holder {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(first, second keyhash.Digest) int { return bytes.Compare(first[:], second[:]) })
	return keys
}
