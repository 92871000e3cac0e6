package routetable_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/keyhash"
	"mallowlatch.example/mallowlatch/internal/routetable"
	"mallowlatch.example/mallowlatch/internal/work"
)

func withKeys(version int64, keys map[ident.Tenant][]string) *work.Catalog {
	catalog := &work.Catalog{Version: version, Keyed: true}
	for name, held := range keys {
		tenant := work.Tenant{Name: name}
		for _, key := range held {
			tenant.Keys = append(tenant.Keys, keyhash.Of(key))
		}
		catalog.Tenants = append(catalog.Tenants, tenant)
	}
	return catalog
}

// TestKeysFollowConfiguration adds a key, moves one to another tenant and checks the lookups and the difference.
func TestKeysFollowConfiguration(t *testing.T) {
	before := withKeys(1, map[ident.Tenant][]string{"a": {"one", "two"}, "b": {"three"}})
	after := withKeys(2, map[ident.Tenant][]string{"a": {"one"}, "b": {"three", "two", "four"}})
	table := &routetable.Table{}
	assert.Assert(t, table.Holder(keyhash.Of("one")) == nil)
	assert.Assert(t, table.Adopt(before))
	assert.Equal(t, table.Holder(keyhash.Of("two")).Name, ident.Tenant("a"))
	assert.Assert(t, table.Adopt(after))
	assert.Equal(t, table.Holder(keyhash.Of("two")).Name, ident.Tenant("b"))
	assert.Assert(t, !table.Adopt(before), "an older configuration was adopted")
	assert.Assert(t, table.Holder(keyhash.Of("five")) == nil)
	assert.Equal(t, table.Tenant("b").Name, ident.Tenant("b"))

	change := routetable.CompareKeys(before, after)
	assert.Equal(t, len(change.Added), 2)
	assert.DeepEqual(t, change.Removed, []keyhash.Digest{keyhash.Of("two")})
	unchanged := routetable.CompareKeys(after, after)
	assert.Equal(t, len(unchanged.Added)+len(unchanged.Removed), 0)
}

func TestPublicBatchRouteAcceptsJobsWithoutKey(t *testing.T) {
	table := &routetable.Table{}
	assert.Assert(t, !table.PublicJobs("h"))
	table.Adopt(&work.Catalog{Version: 1, Routes: []work.Route{
		{Host: "h", Kind: work.Batch, Public: true}, {Host: "online", Kind: work.Streaming, Public: true}, {Host: "kept", Kind: work.Batch},
	}})
	assert.Assert(t, table.PublicJobs("H:80") && !table.PublicJobs("online") && !table.PublicJobs("kept"))
}
