package catalog_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// fleet returns a configuration with two keys a tenant and the services, models and zones of the size to design for.
func fleet(t testing.TB, tenants int) []catalog.Resource {
	t.Helper()
	var resources []catalog.Resource
	add := func(typed any) {
		resource, err := catalog.Encode(typed)
		assert.NilError(t, err)
		resource.Revision = int64(len(resources) + 1)
		resources = append(resources, resource)
	}
	for index := range 11 {
		add(&catalog.Zone{Name: ident.Zone(fmt.Sprint("zone-", index)), Region: "r"})
	}
	for index := range 29 {
		add(&catalog.Model{Name: fmt.Sprint("model-", index), Version: "v1", MemoryBytes: 1 << 34})
		add(&catalog.Policy{Name: fmt.Sprint("policy-", index), Priority: "-deadline_seconds - 3600.0 * tenant_share"})
	}
	for index := range tenants {
		tenant := ident.Tenant(fmt.Sprint("tenant-", index))
		add(&catalog.Tenant{Name: tenant, Weight: 1, RequestsPerSecond: 10, MaxJobs: 100})
		for key := range 2 {
			add(&catalog.Key{ID: fmt.Sprintf("key-%d-%d", index, key), Tenant: tenant, Role: catalog.RoleCaller, Digest: fmt.Sprintf("%064x", 2*index+key)})
		}
	}
	for index := range 100 {
		add(&catalog.Service{Name: fmt.Sprint("service-", index), Model: fmt.Sprint("model-", index%29), Policy: fmt.Sprint("policy-", index%29), MaxTokens: 100})
	}
	return resources
}

var fleetSizes = []int{550, 1100, 2200, 4400}

func BenchmarkBuild(b *testing.B) {
	for _, tenants := range fleetSizes {
		resources := fleet(b, tenants)
		b.Run(fmt.Sprint("tenants=", tenants), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := catalog.Build(resources); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLoad measures what a node does for each change of configuration.
func BenchmarkLoad(b *testing.B) {
	for _, tenants := range fleetSizes {
		resources := fleet(b, tenants)
		b.Run(fmt.Sprint("tenants=", tenants), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				catalog.Load(resources)
			}
			before := heapInUse()
			snapshot, _ := catalog.Load(resources)
			b.ReportMetric(float64(heapInUse()-before), "B/snapshot")
			runtime.KeepAlive(snapshot)
			runtime.KeepAlive(resources)
		})
	}
}

// BenchmarkLoadAfter measures the same with the earlier snapshot at hand and one resource changed.
func BenchmarkLoadAfter(b *testing.B) {
	for _, tenants := range fleetSizes {
		resources := fleet(b, tenants)
		previous, _ := catalog.Load(resources)
		resources[len(resources)-1].Revision++
		b.Run(fmt.Sprint("tenants=", tenants), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				catalog.LoadAfter(previous, resources)
			}
		})
	}
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
