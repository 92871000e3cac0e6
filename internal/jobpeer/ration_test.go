package jobpeer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// waitingRequests is a node with a request that waits for each of two services, and counts the grants it is told of.
type waitingRequests struct{ granted int }

func (w *waitingRequests) Waiting() []demand.Waiting {
	return []demand.Waiting{{Service: "other", OnTime: 1}, {Service: "s", OnTime: 2}}
}

func (w *waitingRequests) Granted() { w.granted++ }

// TestThoseThatRationAreToldWhatWaits has a runner in each of two zones. The owner that rations hears what waits for the service of its runner
// and of nothing else, the other one nothing; one of another zone hears only where the own zone has no runner of the service.
func TestThoseThatRationAreToldWhatWaits(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	near := work.Runner{ID: "near", Service: "s", Zone: "a", Slots: 8, State: work.Ready}
	far := work.Runner{ID: "far", Service: "s", Zone: "b", Slots: 8, State: work.Ready}
	for name, c := range map[string]struct {
		runners  []work.Runner
		rationed ident.Incarnation
		told     string
	}{
		"nothing is rationed":           {runners: []work.Runner{near, far}},
		"the own zone's is":             {runners: []work.Runner{near, far}, rationed: "near", told: "1"},
		"another zone's is":             {runners: []work.Runner{near, far}, rationed: "far"},
		"there are runners there alone": {runners: []work.Runner{far}, rationed: "far", told: "2"},
	} {
		t.Run(name, func(t *testing.T) {
			holders := &Holders{Zone: "a", Now: func() time.Time { return now }}
			holders.Learn([]jobrecord.Worker{{Node: "1", Address: "1", Zone: "a"}, {Node: "2", Address: "2", Zone: "b"}}, now)
			table, requests := runnertable.New("a"), &waitingRequests{}
			table.Replace(c.runners, now, true)
			online := &OnlineWork{Holders: holders, Runners: table, Waiters: requests, Now: holders.Now}
			online.Take("1", &demand.Answer{Shares: []demand.Share{{Runner: c.rationed, Rationed: true}}}, now)
			assert.Equal(t, requests.granted, 0)
			for address, owned := range online.Online() {
				if address != c.told {
					assert.Equal(t, len(owned.Waiting), 0, "%s is told", address)
					continue
				}
				assert.DeepEqual(t, owned.Waiting, []demand.Waiting{{Service: "s", OnTime: 2}})
			}
			online.Take("1", &demand.Answer{Shares: []demand.Share{{Runner: c.rationed, Rationed: true, Granted: 1}}}, now)
			assert.Equal(t, requests.granted, 1)
		})
	}
}
