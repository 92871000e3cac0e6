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

// waitingRequests is a node with requests that wait for two services. It counts the grants that it is notified of.
type waitingRequests struct{ granted int }

func (w *waitingRequests) WaitingReport() []demand.Waiting {
	return []demand.Waiting{{Service: "other", OnTime: 1}, {Service: "s", OnTime: 2}}
}

func (w *waitingRequests) SlotsGranted() { w.granted++ }

// TestRationingWorkersReceiveWaitingRequests has up to one runner in each of two zones. A worker that rations a runner must receive
// the requests waiting for that runner's service and no others; other workers receive none. A worker of another zone receives
// them only if this zone has no runner of the service.
func TestRationingWorkersReceiveWaitingRequests(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	near := work.Runner{ID: "near", Service: "s", Zone: "a", Slots: 8, State: work.Ready}
	far := work.Runner{ID: "far", Service: "s", Zone: "b", Slots: 8, State: work.Ready}
	for name, c := range map[string]struct {
		runners  []work.Runner
		rationed ident.Incarnation
		reported string
	}{
		"no runner is rationed":                  {runners: []work.Runner{near, far}},
		"the runner of this zone is rationed":    {runners: []work.Runner{near, far}, rationed: "near", reported: "1"},
		"the runner of another zone is rationed": {runners: []work.Runner{near, far}, rationed: "far"},
		"only another zone has a runner":         {runners: []work.Runner{far}, rationed: "far", reported: "2"},
	} {
		t.Run(name, func(t *testing.T) {
			client := &WorkerClient{Zone: "a", Now: func() time.Time { return now }}
			client.UpdateWorkers([]jobrecord.Worker{{Node: "1", Address: "1", Zone: "a"}, {Node: "2", Address: "2", Zone: "b"}}, now)
			table, requests := runnertable.New("a"), &waitingRequests{}
			table.Replace(c.runners, now, true)
			online := &OnlineWork{Client: client, Runners: table, Waiters: requests, Now: client.Now}
			online.Take("1", &demand.Answer{Shares: []demand.Share{{Runner: c.rationed, Rationed: true}}}, now)
			assert.Equal(t, requests.granted, 0)
			for address, owned := range online.Online(nil) {
				if address != c.reported {
					assert.Equal(t, len(owned.Waiting), 0, "worker %s receives waiting requests", address)
					continue
				}
				assert.DeepEqual(t, owned.Waiting, []demand.Waiting{{Service: "s", OnTime: 2}})
			}
			online.Take("1", &demand.Answer{Shares: []demand.Share{{Runner: c.rationed, Rationed: true, Granted: 1}}}, now)
			assert.Equal(t, requests.granted, 1)
		})
	}
}
