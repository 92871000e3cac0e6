package quota

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// The design size: the load that one of many nodes has, and the bytes per second that it may exchange with the owners for that.
const (
	designNodes, designOwners, designTenants = 330, 45, 2200
	designRequestsPerSecond                  = 2500.0
	designBytesPerSecond                     = 3000
)

// TestReportTrafficAtDesignSize has one of many nodes serve its part of the peak, of tenants of very different sizes, and adds up
// the bytes of its reports to the owners and of their answers.
func TestReportTrafficAtDesignSize(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	meter := NewMeter("front-region-a-zone-1-117", 1, simWindow, now.Add(-time.Hour))
	ledgers := map[string]*Ledger{}
	for owner := range designOwners {
		ledgers[fmt.Sprint(owner)] = NewLedger(simWindow, now.Add(-time.Hour))
	}
	owner := func(tenant ident.Tenant) string {
		return fmt.Sprint(len(tenant) * int(tenant[len(tenant)-1]) % designOwners)
	}
	limit := Limit{Rate: 100, Burst: 100}
	limitOf := func(ident.Tenant) (Limit, bool) { return limit, true }
	const duration, step = 30 * time.Second, 10 * time.Millisecond
	bytesSent, messages, refused := 0, 0, 0
	report := func() {
		for name, spending := range meter.DueReports(owner, now) {
			answer := ledgers[name].ApplyReport(spending, limitOf, now)
			for _, message := range []any{spending, answer} {
				encoded, err := json.Marshal(message)
				assert.NilError(t, err)
				bytesSent += len(encoded)
			}
			meter.ApplyAnswer(spending, answer, now)
			messages++
		}
	}
	for end := now.Add(duration); now.Before(end); now = now.Add(step) {
		if random.Float64() < designRequestsPerSecond/designNodes*step.Seconds() {
			// The largest tenants have most of the requests.
			tenant := ident.Tenant(fmt.Sprintf("tenant-%d", int(math.Exp(random.Float64()*math.Log(designTenants)))))
			if meter.Take(tenant, limit, now).Decision == Ask {
				meter.BeginWait(tenant, limit)
				report()
				if meter.Take(tenant, limit, now).Decision != Admit {
					refused++
				}
				meter.EndWait(tenant)
			}
		}
		if now.UnixMilli()%100 == 0 {
			report()
		}
	}
	t.Logf("%.0f bytes and %.1f messages a second", float64(bytesSent)/duration.Seconds(), float64(messages)/duration.Seconds())
	assert.Equal(t, refused, 0)
	assert.Assert(t, float64(bytesSent)/duration.Seconds() <= designBytesPerSecond)
}

// TestLedgerMemoryAtDesignSize fills one ledger with the entries of all owners: each node has reported as many tenants as it
// serves in a window.
func TestLedgerMemoryAtDesignSize(t *testing.T) {
	now := time.Unix(1000, 0)
	before := heapInUse()
	ledger := NewLedger(simWindow, now.Add(-time.Hour))
	each := int(designRequestsPerSecond / designNodes * simWindow.Seconds())
	for node := range designNodes {
		spending := &NodeReport{Node: ident.Node(fmt.Sprint(node)), Incarnation: 1}
		for tenant := range each {
			name := ident.Tenant(fmt.Sprint((node*each + tenant) % designTenants))
			spending.Spent = append(spending.Spent, TenantReport{Tenant: name, Recent: []int{1}})
		}
		ledger.ApplyReport(spending, func(ident.Tenant) (Limit, bool) { return Limit{Rate: 10, Burst: 10}, true }, now)
	}
	taken := heapInUse() - before
	t.Logf("%.1f MB for all owners together, %.2f MB for each of %d", float64(taken)/1e6, float64(taken)/1e6/designOwners, designOwners)
	assert.Assert(t, taken/designOwners < 1<<20)
	runtime.KeepAlive(ledger)
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
