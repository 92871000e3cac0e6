package jobpeer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// tenantUses reports preset slot use and records the received bounds.
type tenantUses struct {
	uses    []demand.Use
	learned []demand.Bound
}

func (t *tenantUses) UsageReport() []demand.Use { return t.uses }

func (t *tenantUses) ApplyBounds(bounds []demand.Bound, _ time.Time) { t.learned = bounds }

// TestSlotUseIsReportedToOneAccountHolder has nodes that list the workers in different orders report a service to the same
// worker, whether or not they have work at its runners, and to the next worker if that one does not answer.
func TestSlotUseIsReportedToOneAccountHolder(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	workers := []jobrecord.Worker{
		{Node: "w-1", Zone: "a", Address: "1"}, {Node: "w-2", Zone: "a", Address: "2"}, {Node: "w-3", Zone: "b", Address: "3"},
	}
	tenants := &tenantUses{uses: []demand.Use{
		{Service: "s", Tenant: "hot", Taken: 3}, {Service: "other", Tenant: "hot", Taken: 1}, {Service: "s", Taken: 2},
	}}
	reportedTo := func(work *OnlineWork, service string) string {
		found := ""
		for address, owned := range work.Online(nil) {
			for _, use := range owned.Uses {
				if use.Service == service {
					assert.Assert(t, found == "" || found == address, "two workers receive a report")
					found = address
				}
			}
		}
		return found
	}
	var first string
	for _, listed := range [][]jobrecord.Worker{workers, {workers[2], workers[0], workers[1]}} {
		h := &WorkerClient{Zone: "a", Now: func() time.Time { return now }}
		h.UpdateWorkers(listed, now)
		work := &OnlineWork{Client: h, Runners: runnertable.New("a"), Tenants: tenants, Now: h.Now}
		holder := reportedTo(work, "s")
		assert.Assert(t, holder != "" && (first == "" || first == holder))
		first = holder
		h.skip(holder)
		next := reportedTo(work, "s")
		assert.Assert(t, next != "" && next != holder, "%q after %q", next, holder)
		now = now.Add(2 * skipDuration)
		assert.Equal(t, reportedTo(work, "s"), holder)
	}
}

// TestBoundsInAnswersArePassedOn checks that bounds in a worker's answer are passed on, and that an answer of a build without
// bounds does not replace them.
func TestBoundsInAnswersArePassedOn(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	tenants := &tenantUses{}
	work := &OnlineWork{Client: &WorkerClient{Now: func() time.Time { return now }}, Runners: runnertable.New("a"), Tenants: tenants}
	bounds := []demand.Bound{{Service: "s", Tenant: ident.Tenant("hot"), Slots: 2}}
	work.Take("1", &demand.Answer{Bounds: bounds}, now)
	work.Take("2", &demand.Answer{}, now)
	assert.DeepEqual(t, tenants.learned, bounds)
}
