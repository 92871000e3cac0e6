package jobpeer_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/fleetfeed"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/queuecapacity"
	"mallowlatch.example/mallowlatch/internal/work"
)

// callsFile lists the calls of a build next to the samples of its wire formats, one name per line.
const callsFile = "calls.txt"

// calls returns the names of the calls between nodes.
func calls() []string {
	var names []string
	for _, description := range []drpc.Description{jobpeer.Description{}, fleetfeed.Description{}} {
		for index := range description.NumMethods() {
			name, _, _, _, _ := description.Method(index)
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// TestCallsOfEarlierBuildsAreAnswered guards against renaming or removing a call that nodes of an earlier build still make.
func TestCallsOfEarlierBuildsAreAnswered(t *testing.T) {
	if *writeForms != "" {
		folder := filepath.Join("testdata/forms", *writeForms)
		assert.NilError(t, os.MkdirAll(folder, 0o755))
		assert.NilError(t, os.WriteFile(filepath.Join(folder, callsFile), []byte(strings.Join(calls(), "\n")+"\n"), 0o644))
	}
	lists, err := filepath.Glob(filepath.Join("testdata/forms/*", callsFile))
	assert.NilError(t, err)
	assert.Assert(t, len(lists) > 0, "no lists of calls")
	known := calls()
	for _, list := range lists {
		content, err := os.ReadFile(list)
		assert.NilError(t, err)
		for name := range strings.Lines(string(content)) {
			assert.Assert(t, slices.Contains(known, strings.TrimSpace(name)), "%s: %s", list, name)
		}
	}
}

// fixedWorkers returns workers in four zones for ranking.
func fixedWorkers() []jobrecord.Worker {
	var workers []jobrecord.Worker
	for _, name := range []string{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"} {
		zone := ident.Zone("z" + string('0'+(name[1]-'0')%4))
		workers = append(workers, jobrecord.Worker{Node: ident.Node(name), Zone: zone, Address: name})
	}
	return workers
}

// TestRankingIsStableAcrossBuilds guards against a change of the hash or the rank key prefixes while nodes of an earlier
// build use the old ones: two nodes would own the same runner or hold the same tenant's account. The expected values are fixed
// results of an earlier computation and must not be adapted to the code.
func TestRankingIsStableAcrossBuilds(t *testing.T) {
	workers := fixedWorkers()
	client := newWorkerClient(t, nil)
	client.UpdateWorkers(workers, time.Now())
	for tenant, wanted := range map[ident.Tenant]string{"a": "w7", "b": "w1", "c": "w2"} {
		owner, kept := client.QuotaOwner(tenant)
		assert.Assert(t, kept)
		assert.Equal(t, owner, wanted, "tenant %s", tenant)
	}
	byNode := map[ident.Node]jobrecord.Worker{}
	for _, worker := range workers {
		byNode[worker.Node] = worker
	}
	owners := jobrecord.NewOwners(byNode)
	for runner, wanted := range map[ident.Incarnation]ident.Node{"i-1": "w1", "i-2": "w5", "i-3": "w1"} {
		owner, found := owners.Owner(work.Runner{ID: runner, Zone: "z1"})
		assert.Assert(t, found)
		assert.Equal(t, owner.Node, wanted, "runner %s", runner)
	}
	var roster queuecapacity.Roster
	var registered []queuecapacity.Worker
	for _, worker := range workers {
		registered = append(registered, queuecapacity.Worker{Node: worker.Node, Zone: worker.Zone, Address: worker.Address})
	}
	roster.Update(registered, time.Now())
	for route, wanted := range map[string]string{"r": "w4 w6 w7", "s": "w3 w2 w5"} {
		var names []string
		for _, holder := range roster.AccountHolders(route, 1, time.Now()) {
			names = append(names, string(holder.Node))
		}
		assert.Equal(t, strings.Join(names, " "), wanted, "route %s", route)
	}
}
