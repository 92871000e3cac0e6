package routetable

import (
	"bytes"
	"slices"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/keyhash"
	"mallowlatch.example/mallowlatch/internal/work"
)

// KeyChange is the difference between the keys of two configurations, sorted by hash. A key that moved from one tenant to another
// is in both lists.
type KeyChange struct {
	Added, Removed []keyhash.Digest
}

// CompareKeys returns the keys that were added and removed between two configurations.
func CompareKeys(before, after *work.Catalog) KeyChange {
	had, has := tenantsByKey(before), tenantsByKey(after)
	return KeyChange{Added: keysOnlyIn(has, had), Removed: keysOnlyIn(had, has)}
}

// tenantsByKey returns the tenant of each key of a configuration.
func tenantsByKey(catalog *work.Catalog) map[keyhash.Digest]ident.Tenant {
	byKey := map[keyhash.Digest]ident.Tenant{}
	for _, tenant := range catalog.Tenants {
		for _, key := range tenant.Keys {
			byKey[key] = tenant.Name
		}
	}
	return byKey
}

// keysOnlyIn returns the sorted keys of some that others lack or assign to another tenant.
func keysOnlyIn(some, others map[keyhash.Digest]ident.Tenant) []keyhash.Digest {
	var keys []keyhash.Digest
	for key, holder := range some {
		if other, known := others[key]; !known || other != holder {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(first, second keyhash.Digest) int { return bytes.Compare(first[:], second[:]) })
	return keys
}
