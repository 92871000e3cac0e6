package online_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// busyCaller takes a given time for each request, and counts the requests and the most that ran at once.
type busyCaller struct {
	scriptedCaller
	takes time.Duration

	mutex               sync.Mutex
	sent, running, most int
	refuses             int
}

func (c *busyCaller) Send(ctx context.Context, _ work.Attempt) (*work.Reply, error) {
	c.mutex.Lock()
	c.sent++
	refused := c.refuses > 0
	if refused {
		c.refuses--
	} else {
		c.running++
		c.most = max(c.most, c.running)
	}
	c.mutex.Unlock()
	if refused {
		full := answer(http.StatusServiceUnavailable, "full")
		full.NotRun = true
		return full, nil
	}
	defer func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.running--
	}()
	select {
	case <-time.After(c.takes):
		return answer(http.StatusOK, "done"), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

const (
	slots = 4
	// queued is how many more requests may wait at a runner with that many slots.
	queued = 1
)

// busySite returns a forwarder with one runner.
func busySite(caller work.Caller) *online.Forwarder {
	table := runnertable.New("z")
	table.Replace([]work.Runner{{ID: "1", Service: "s", Zone: "z", Slots: slots}}, time.Now(), true)
	return &online.Forwarder{Runners: table, Caller: caller, Logger: zerolog.Nop(), Now: time.Now}
}

// result is how a request ended, and how long it took.
type result struct {
	err  error
	took time.Duration
}

// serveAll sends requests at the same moment and returns their results in the order of their ends.
func serveAll(ctx context.Context, forwarder *online.Forwarder, requests int) []result {
	route := &work.Route{
		Name: "r", Kind: work.Idempotent, MaximumAttempts: 1, Objective: 300 * time.Millisecond,
		Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}
	ended := make(chan result, requests)
	for range requests {
		go func() {
			began := time.Now()
			request := &work.Request{ID: ident.Request("q"), Arrived: began, Deadline: began.Add(5 * time.Second)}
			err := forwarder.Serve(ctx, route, request, &recorder{})
			ended <- result{err: err, took: time.Since(began)}
		}()
	}
	var results []result
	for range requests {
		results = append(results, <-ended)
	}
	return results
}

// TestRequestsWaitAtTheFrontNotTheRunner sends more requests than a runner has slots. No more than a few may wait at the
// runner, and each must get a slot in turn.
func TestRequestsWaitAtTheFrontNotTheRunner(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 20 * time.Millisecond}
		const requests = 20
		for _, got := range serveAll(t.Context(), busySite(caller), requests) {
			assert.NilError(t, got.err)
		}
		assert.Equal(t, caller.most, slots+queued)
		assert.Equal(t, caller.sent, requests)
	})
}

// TestRequestsThatCannotBeOnTimeAreRejectedAtOnce sends a burst to a node that knows how long its runner takes. Requests that
// would be late must be rejected at once as not run, with a retry delay; the others must be served on time.
func TestRequestsThatCannotBeOnTimeAreRejectedAtOnce(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 100 * time.Millisecond}
		forwarder := busySite(caller)
		serveAll(t.Context(), forwarder, slots)
		served := 0
		for _, got := range serveAll(t.Context(), forwarder, 60) {
			var rejection *failure.Error
			if !errors.As(got.err, &rejection) {
				assert.NilError(t, got.err)
				assert.Assert(t, got.took <= 400*time.Millisecond, "served after %v", got.took)
				served++
				continue
			}
			assert.Equal(t, got.took, time.Duration(0), "rejected after %v", got.took)
			assert.Equal(t, rejection.Outcome, outcome.NotRun)
			assert.Assert(t, rejection.RetryAfter >= 300*time.Millisecond && rejection.RetryAfter <= 2400*time.Millisecond, "%v", rejection.RetryAfter)
		}
		assert.Assert(t, served >= 2*(slots+queued) && served <= 4*(slots+queued), "%d were served", served)
	})
}

// TestRequestWaitsAfterFullRunnerRefuses has the only runner refuse a request twice: the request must get a slot afterwards.
func TestRequestWaitsAfterFullRunnerRefuses(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Millisecond, refuses: 2}
		got := serveAll(t.Context(), busySite(caller), 1)[0]
		assert.NilError(t, got.err)
		assert.Equal(t, caller.sent, 3)
	})
}

// TestCallersThatLeaveAreRemovedFromTheQueue has callers leave while their requests wait behind others. None of these requests
// may be sent when slots become free, and the node must serve later requests.
func TestCallersThatLeaveAreRemovedFromTheQueue(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 50 * time.Millisecond}
		forwarder := busySite(caller)
		var holders sync.WaitGroup
		holders.Go(func() { serveAll(t.Context(), forwarder, slots+queued) })
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		for _, got := range serveAll(ctx, forwarder, 15) {
			assert.Assert(t, got.err != nil)
			assert.Equal(t, got.took, 10*time.Millisecond)
		}
		holders.Wait()
		assert.Equal(t, caller.sent, slots+queued, "a request was sent whose caller had left")
		for _, got := range serveAll(t.Context(), forwarder, 10) {
			assert.NilError(t, got.err)
		}
	})
}

// TestRequestWhoseCallerLeftTakesNoSlot has callers leave before their requests are handled, as after a freeze of the node. No
// slot may count as used afterwards.
func TestRequestWhoseCallerLeftTakesNoSlot(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Millisecond}
		forwarder := busySite(caller)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		serveAll(ctx, forwarder, 3)
		assert.Equal(t, caller.sent, 0)
		assert.Equal(t, len(forwarder.Runners.Online(time.Now())), 0, "slots are taken by requests that ended")
	})
}
