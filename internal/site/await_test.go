package site_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/site"
)

const (
	// atOnce and poll bound the wait of a request that is not held, and the time between two checks.
	atOnce, poll = 240 * time.Millisecond, 25 * time.Millisecond
	budget       = 5 * time.Second
)

// awaited returns how long a request waits at a node that knows the fleet some time after the request arrived, while other nodes
// are seen to start for another time.
func awaited(knownAfter, togetherFor, budget time.Duration) time.Duration {
	arrived := time.Now()
	start := &site.Start{
		Known:    func() bool { return time.Since(arrived) >= knownAfter },
		Together: func() bool { return time.Since(arrived) < togetherFor },
		Now:      time.Now,
	}
	start.Await(context.Background(), arrived, budget)
	return time.Since(arrived)
}

// TestRequestWaitsUntilAFleetOfAnySizeIsKnown starts all nodes of fleets whose lists take longer the larger they are: 300, 10,000 and
// 20,000 runners.
func TestRequestWaitsUntilAFleetOfAnySizeIsKnown(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		for _, known := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			took := awaited(known, time.Minute, budget)
			assert.Check(t, took >= known && took <= known+poll, "%v where the fleet is known after %v", took, known)
		}
	})
}

// TestRequestDoesNotWaitWhereItsNodeStartsAlone has no other node start, or those that do stop answering.
func TestRequestDoesNotWaitWhereItsNodeStartsAlone(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		for _, together := range []time.Duration{0, time.Second} {
			took, until := awaited(time.Minute, together, budget), max(together, atOnce)
			assert.Check(t, took >= until && took <= until+poll, "%v where others start for %v", took, together)
		}
	})
}

// TestRequestThatCannotBeServedInTimeDoesNotWait has clients that wait for a short time, and no other than the usual one.
func TestRequestThatCannotBeServedInTimeDoesNotWait(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		for _, budget := range []time.Duration{100 * time.Millisecond, time.Second} {
			took, until := awaited(time.Minute, time.Minute, budget), max(budget-atOnce, atOnce)
			assert.Check(t, took >= until && took <= until+poll, "%v of %v", took, budget)
		}
	})
}
