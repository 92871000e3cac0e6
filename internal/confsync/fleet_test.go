package confsync_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/lab/confsim"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

var counter = confsync.Key{Kind: "services", Name: "counter"}

// increment returns a proposal that adds one to the counter in the given state.
func increment(state *confsync.State, id string) confsync.Proposal {
	current, _ := state.Get(counter)
	value, _ := strconv.Atoi(string(current.Value))
	return confsync.Proposal{
		ID:        id,
		Mutations: []confsync.Mutation{{Key: counter, Value: []byte(strconv.Itoa(value + 1))}},
		Expected:  map[confsync.Key]int64{counter: current.Revision},
	}
}

func simOptions(seed uint64, zones, nodes int) confsim.Options {
	return confsim.Options{
		Seed:           seed,
		Zones:          zones,
		Nodes:          nodes,
		Timing:         confsync.DefaultTiming(),
		ZoneDelay:      time.Millisecond,
		CrossDelay:     20 * time.Millisecond,
		StoreDelay:     5 * time.Millisecond,
		DetectionDelay: 3 * time.Second,
	}
}

// fleetRun applies random actions and faults to a simulated fleet and collects the outcomes reported to operators.
type fleetRun struct {
	t        *rapid.T
	fleet    *confsim.Fleet
	outcomes []confsim.Outcome
	begun    int
	down     map[*confsim.Node]*confsync.State
}

func (r *fleetRun) node() *confsim.Node {
	return rapid.SampledFrom(r.fleet.Nodes()).Draw(r.t, "node")
}

// submit starts a change at a random node and returns the node, or nil if the node is down.
func (r *fleetRun) submit() *confsim.Node {
	node := r.node()
	if _, down := r.down[node]; down {
		return nil
	}
	r.begun++
	proposal := increment(node.State(), fmt.Sprintf("change-%d", r.begun))
	r.fleet.Submit(node, proposal, func(ended confsim.Outcome) { r.outcomes = append(r.outcomes, ended) })
	return node
}

// randomAction applies one random action to the fleet.
func (r *fleetRun) randomAction(zones []ident.Zone) {
	switch rapid.SampledFrom([]string{
		"submit", "race", "submit", "lose contact", "outage", "cut", "stop", "restart", "pause", "faults", "compact",
	}).Draw(r.t, "action") {
	case "submit":
		r.submit()
	case "race":
		r.submit()
		r.submit()
	case "lose contact":
		node := r.submit()
		if node != nil {
			node.SetStoreFaults(kvtest.Faults{LoseContact: true})
		}
	case "outage":
		r.fleet.SetOutage(rapid.Bool().Draw(r.t, "outage"))
	case "cut":
		r.fleet.SetCut(rapid.SampledFrom(zones).Draw(r.t, "zone"), rapid.Bool().Draw(r.t, "cut"))
	case "stop":
		node := r.node()
		r.down[node] = node.State()
		node.Stop()
	case "restart":
		r.restart(r.node())
	case "pause":
		r.node().SetPaused(rapid.Bool().Draw(r.t, "paused"))
	case "faults":
		r.node().SetStoreFaults(kvtest.Faults{
			LoseAnswer:  rapid.Float64Range(0, 0.6).Draw(r.t, "lose answer"),
			LoseRequest: rapid.Float64Range(0, 0.4).Draw(r.t, "lose request"),
			RateLimited: rapid.Float64Range(0, 0.5).Draw(r.t, "rate limited"),
		})
	case "compact":
		r.fleet.Data().Compact(r.fleet.Data().Revision())
	}
}

// restart starts a stopped node either with the copy it had when it stopped or, as after losing its disk, empty.
func (r *fleetRun) restart(node *confsim.Node) {
	saved, down := r.down[node]
	if !down {
		return
	}
	delete(r.down, node)
	if rapid.Bool().Draw(r.t, "disk lost") {
		saved = confsync.EmptyState()
	}
	node.Restart(saved)
}

// heal removes every fault and runs the fleet for 30 simulated seconds so that it converges.
func (r *fleetRun) heal(zones []ident.Zone) {
	for _, zone := range zones {
		r.fleet.SetCut(zone, false)
	}
	r.fleet.SetOutage(false)
	for _, node := range r.fleet.Nodes() {
		node.SetStoreFaults(kvtest.Faults{})
		node.SetPaused(false)
		if saved, down := r.down[node]; down {
			node.Restart(saved)
		}
	}
	r.fleet.Run(30 * time.Second)
}

// check compares the outcomes reported to operators and the state of every node with the log of accepted changes.
func (r *fleetRun) check() {
	assert.Equal(r.t, r.fleet.Violation, "")
	store := kvtest.NewStore(r.fleet.Data(), 1)
	local := confsync.NewCore(confsync.Peer{Node: "checker"}, confsync.DefaultTiming(), 1, time.Now())
	writer := confsync.NewWriter(store, &coreCopy{local})
	log, err := writer.History(context.Background(), 0, 1000)
	assert.NilError(r.t, err)

	accepted := map[string]int64{}
	for i, change := range log {
		assert.Equal(r.t, change.Revision, int64(len(log)-i))
		// Each increment builds on the previous one, so no update is lost.
		assert.Equal(r.t, string(change.Resources[0].Resource.Value), strconv.Itoa(len(log)-i))
		_, twice := accepted[change.ID]
		assert.Assert(r.t, !twice, "%s accepted twice", change.ID)
		accepted[change.ID] = change.Revision
	}
	for _, ended := range r.outcomes {
		revision, landed := accepted[ended.ID]
		var failed *failure.Error
		switch {
		case ended.Err == nil:
			assert.Equal(r.t, revision, ended.Change.Revision, "%s was answered as accepted", ended.ID)
		case errors.As(ended.Err, &failed) && failed.Outcome == outcome.NotRun:
			assert.Assert(r.t, !landed, "%s was answered as not accepted: %v", ended.ID, ended.Err)
		default:
			assert.Assert(r.t, errors.As(ended.Err, &failed) && failed.Code == failure.CodeConfigUnknown)
		}
	}
	for _, node := range r.fleet.Nodes() {
		state := node.State()
		assert.Equal(r.t, state.Revision, int64(len(log)), "%s", node.Peer().Node)
		if len(log) > 0 {
			assert.Equal(r.t, state.Chain, log[0].Chain)
			held, _ := state.Get(counter)
			assert.DeepEqual(r.t, held, log[0].Resources[0].Resource)
		}
	}
}

// TestAcceptedChangesHoldEverywhere combines random concurrent changes, lost and duplicated messages between nodes, lost answers
// and lost or rate-limited requests to the key-value service, outages, partitions, stops, lost disks, pauses and compactions. No
// node's revision may decrease, operators must receive correct outcomes, no update may be lost, and after the faults end every
// node must have every accepted change.
func TestAcceptedChangesHoldEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		options := simOptions(rapid.Uint64().Draw(t, "seed"), zones, rapid.IntRange(zones, 12).Draw(t, "nodes"))
		options.Forgetful = rapid.Bool().Draw(t, "forgetful")
		options.Loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		options.Duplicate = rapid.Float64Range(0, 0.3).Draw(t, "duplicate")
		run := &fleetRun{t: t, fleet: confsim.New(options), down: map[*confsim.Node]*confsync.State{}}
		for range rapid.IntRange(5, 40).Draw(t, "actions") {
			run.randomAction(run.fleet.Zones())
			run.fleet.Run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		run.heal(run.fleet.Zones())
		run.check()
	})
}

// coreCopy implements confsync.LocalCopy with a bare core.
type coreCopy struct{ core *confsync.Core }

func (c *coreCopy) State() *confsync.State                   { return c.core.State() }
func (c *coreCopy) Learn(changes []confsync.Change)          { c.core.Learn(time.Now(), changes) }
func (c *coreCopy) Install(state *confsync.State)            { c.core.Install(time.Now(), state) }
func (c *coreCopy) Recent(id string) (confsync.Change, bool) { return c.core.Recent(id) }
