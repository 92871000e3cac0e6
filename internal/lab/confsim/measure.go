package confsim

import (
	"fmt"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrUnsettled means that a change was not in force everywhere at the end of a measurement.
const ErrUnsettled = failure.Kind("confsim: a change did not reach every node")

// Measurement is a run of changes over a fleet.
type Measurement struct {
	// Changes is how many changes are made, one every Interval, each at a random node.
	Changes  int
	Interval time.Duration
	// ValueBytes is the size of the resource that each change writes.
	ValueBytes int
	// OutageAfterAccept starts an outage of the key-value service at the instant each change is accepted, and ends it
	// before the next.
	OutageAfterAccept bool
	// Idle is how long the fleet runs without changes first, to count its idle traffic.
	Idle time.Duration
}

// Result is what a measurement found.
type Result struct {
	Nodes int
	Zones int
	// IdleMessages and IdleBytes are per node and second: what a node sends and receives, without framing.
	IdleMessages float64
	IdleBytes    float64
	// ChangeMessages and ChangeBytes are per node and change, beyond the idle traffic.
	ChangeMessages float64
	ChangeBytes    float64
	// StoreCalls is how many calls a second the whole fleet makes of the key-value service while idle. A simulated
	// relay reads the head every two seconds in place of a watch.
	StoreCalls float64
	// NodeDelays holds, sorted, the time from commit to in force for every node and change; SlowestDelays that of the
	// slowest node of each change.
	NodeDelays    []time.Duration
	SlowestDelays []time.Duration
}

// settleTime lets a fleet come up before it is measured.
const settleTime = 10 * time.Second

// Measure runs a measurement.
func Measure(options Options, measurement Measurement) (Result, error) {
	fleet := New(options)
	fleet.Run(settleTime)
	result := Result{Nodes: options.Nodes, Zones: options.Zones}
	messages, bytes, calls := fleet.Messages, fleet.MessageBytes, fleet.storeCalls()
	fleet.Run(measurement.Idle)
	// Each message is sent by one node and received by another: both spend it.
	perNodeSecond := 2 / float64(options.Nodes) / measurement.Idle.Seconds()
	result.IdleMessages = float64(fleet.Messages-messages) * perNodeSecond
	result.IdleBytes = float64(fleet.MessageBytes-bytes) * perNodeSecond
	result.StoreCalls = float64(fleet.storeCalls()-calls) / measurement.Idle.Seconds()

	messages, bytes = fleet.Messages, fleet.MessageBytes
	started := fleet.Now()
	for i := range measurement.Changes {
		if err := fleet.measureChange(measurement, i, &result); err != nil {
			return result, err
		}
	}
	seconds := fleet.Now().Sub(started).Seconds()
	perNodeChange := 2 / float64(options.Nodes) / float64(measurement.Changes)
	idleShare := seconds / float64(measurement.Changes)
	result.ChangeMessages = float64(fleet.Messages-messages)*perNodeChange - result.IdleMessages*idleShare
	result.ChangeBytes = float64(fleet.MessageBytes-bytes)*perNodeChange - result.IdleBytes*idleShare
	slices.Sort(result.NodeDelays)
	slices.Sort(result.SlowestDelays)
	return result, nil
}

// measureChange makes one change, runs the interval, and notes when each node had the change in force.
func (f *Fleet) measureChange(measurement Measurement, number int, result *Result) error {
	var ended Outcome
	node := f.nodes[f.random.IntN(len(f.nodes))]
	proposal := confsync.Proposal{
		ID: fmt.Sprintf("01JE00000000000000000%05d", number),
		Mutations: []confsync.Mutation{{
			Key:   confsync.Key{Kind: "services", Name: fmt.Sprintf("service-%02d", number%50)},
			Value: make([]byte, measurement.ValueBytes),
		}},
	}
	f.Submit(node, proposal, func(outcome Outcome) {
		ended = outcome
		if measurement.OutageAfterAccept {
			f.SetOutage(true)
		}
	})
	f.Run(measurement.Interval)
	f.SetOutage(false)
	if ended.Err != nil {
		return fmt.Errorf("change %d: %w", number, ended.Err)
	}
	var slowest time.Duration
	for _, node := range f.nodes {
		at, reached := node.Reached(ended.Change.Revision)
		if !reached {
			return fmt.Errorf("change %d at %s: %w", number, node.peer.Node, ErrUnsettled)
		}
		delay := max(0, at.Sub(ended.Committed))
		result.NodeDelays = append(result.NodeDelays, delay)
		slowest = max(slowest, delay)
	}
	result.SlowestDelays = append(result.SlowestDelays, slowest)
	return nil
}

func (f *Fleet) storeCalls() int {
	calls := 0
	for _, node := range f.nodes {
		calls += node.store.Calls()
	}
	return calls
}

// Quantile returns a quantile of sorted delays.
func Quantile(sorted []time.Duration, quantile float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	index := int(quantile * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}
