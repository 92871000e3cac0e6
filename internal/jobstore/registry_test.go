package jobstore_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobstore"
)

// A tenant's data is on the disks of its home shard, so a change of these values loses sight of what is stored.
func TestHomeShardNeverChanges(t *testing.T) {
	tests := []struct {
		tenant            ident.Tenant
		of16, of64, of300 ident.Shard
	}{
		{"acme", 8, 28, 149},
		{"desk", 15, 15, 228},
		{"planning", 7, 59, 199},
		{"tenant-17", 0, 0, 82},
		{"é", 10, 10, 92},
	}
	for _, test := range tests {
		assert.Equal(t, jobstore.HomeShard(test.tenant, 1), ident.Shard(0), "%s", test.tenant)
		assert.Equal(t, jobstore.HomeShard(test.tenant, 16), test.of16, "%s", test.tenant)
		assert.Equal(t, jobstore.HomeShard(test.tenant, 64), test.of64, "%s", test.tenant)
		assert.Equal(t, jobstore.HomeShard(test.tenant, 300), test.of300, "%s", test.tenant)
	}
}
