package conffleet

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"mallowlatch.example/mallowlatch/internal/confsync"
)

// Result is what a measurement found.
type Result struct {
	// Answered holds, sorted, the time Apply took; InForce that from its call to in force, for every node and change;
	// Slowest that of the slowest node of each change.
	Answered []time.Duration
	InForce  []time.Duration
	Slowest  []time.Duration
	// IdleWireBytes is what one node sends and receives in a second without changes, with framing and without TLS.
	IdleWireBytes float64
	// IdleCPU is the processor time of the whole process per node and second without changes, the stand-in's included.
	IdleCPU time.Duration
	// HeapBytes is the live heap of the whole process per node.
	HeapBytes float64
	// StoreCalls and StoreRefused are the key-value stand-in's, over the whole run.
	StoreCalls   int64
	StoreRefused int64
}

// settleTime lets relays start their watches, idleTime is how long idle traffic is counted.
const (
	settleTime = 3 * time.Second
	idleTime   = 10 * time.Second
)

// Measure runs a fleet and makes changes, one after the other, each at the next node in turn.
func Measure(ctx context.Context, options Options, changes int, valueBytes int) (Result, error) {
	var result Result
	fleet, err := Start(ctx, options)
	if err != nil {
		return result, err
	}
	defer fleet.Stop()
	if err := pause(ctx, settleTime); err != nil {
		return result, err
	}
	if err := fleet.measureIdle(ctx, &result); err != nil {
		return result, err
	}
	for i := range changes {
		if err := fleet.measureChange(ctx, i, valueBytes, &result); err != nil {
			return result, err
		}
	}
	result.HeapBytes = float64(liveHeap()) / float64(len(fleet.nodes))
	counters := fleet.service.Counters()
	result.StoreCalls = counters.Calls
	result.StoreRefused = counters.Limited
	slices.Sort(result.Answered)
	slices.Sort(result.InForce)
	slices.Sort(result.Slowest)
	return result, nil
}

func (f *Fleet) measureIdle(ctx context.Context, result *Result) error {
	bytes, processor := f.wireBytes.Load(), processorTime()
	if err := pause(ctx, idleTime); err != nil {
		return err
	}
	nodeSeconds := float64(len(f.nodes)) * idleTime.Seconds()
	// Each byte is sent by one node and received by another.
	result.IdleWireBytes = 2 * float64(f.wireBytes.Load()-bytes) / nodeSeconds
	result.IdleCPU = time.Duration(float64(processorTime()-processor) / nodeSeconds)
	return nil
}

// measureChange makes one change and waits until every node has it in force.
func (f *Fleet) measureChange(ctx context.Context, number, valueBytes int, result *Result) error {
	node := f.nodes[(number*7)%len(f.nodes)]
	expected := node.Replica.State().Revision + 1
	began := time.Now()
	reached := make(chan time.Duration, len(f.nodes))
	for _, other := range f.nodes {
		f.supervisor.Go(func() error {
			reached <- other.awaitInForce(f.ctx, expected, began)
			return nil
		})
	}
	_, err := node.Writer.Apply(ctx, confsync.Proposal{Mutations: []confsync.Mutation{{
		Key:   confsync.Key{Kind: "services", Name: fmt.Sprintf("service-%02d", number%50)},
		Value: make([]byte, valueBytes),
	}}})
	if err != nil {
		return fmt.Errorf("change %d: %w", number, err)
	}
	result.Answered = append(result.Answered, time.Since(began))
	var slowest time.Duration
	for range f.nodes {
		select {
		case took := <-reached:
			result.InForce = append(result.InForce, took)
			slowest = max(slowest, took)
		case <-ctx.Done():
			return fmt.Errorf("change %d: %w", number, ctx.Err())
		}
	}
	result.Slowest = append(result.Slowest, slowest)
	return nil
}

// awaitInForce waits until the node serves from the revision and returns how long that took.
func (n *Node) awaitInForce(ctx context.Context, revision int64, began time.Time) time.Duration {
	for n.Replica.Current().Revision < revision {
		select {
		case <-n.Replica.Changed(revision - 1):
		case <-ctx.Done():
			return 0
		}
	}
	return time.Since(began)
}

func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("measure: %w", ctx.Err())
	}
}

// processorTime returns the processor time the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
