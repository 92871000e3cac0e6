package admin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// tenantsPerApply keeps an apply within the writes of one transaction.
const tenantsPerApply = 100

// BenchmarkPut measures what the accepting node does for one change, the key-value service in memory included.
func BenchmarkPut(b *testing.B) {
	for _, tenants := range []int{500, 1000, 2000} {
		b.Run(fmt.Sprint("tenants=", tenants), func(b *testing.B) {
			f := newFixture(b)
			for first := 0; first < tenants; first += tenantsPerApply {
				f.applyTenants(first, tenantsPerApply)
			}
			b.ReportAllocs()
			round := 0
			for b.Loop() {
				round++
				f.putTenant(round)
			}
		})
	}
}

func (f *fixture) applyTenants(first, count int) {
	f.t.Helper()
	var body strings.Builder
	for index := range count {
		fmt.Fprintf(&body, "- {kind: tenants, revision: 0, spec: {name: tenant-%d}}\n", first+index)
	}
	f.change(call{method: "POST", path: "/admin/v1/apply", body: body.String()})
}

// putTenant writes without the checks of do, which would be measured too.
func (f *fixture) putTenant(round int) {
	body := fmt.Sprintf(`{"kind":"tenants","spec":{"max_jobs":%d}}`, round%1000+1)
	request := httptest.NewRequest("PUT", "/admin/v1/tenants/tenant-0", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+bootstrapSecret)
	request.Header.Set("If-Match", "*")
	answer := httptest.NewRecorder()
	f.handler.ServeHTTP(answer, request)
	assert.Equal(f.t, answer.Code, http.StatusOK)
}
