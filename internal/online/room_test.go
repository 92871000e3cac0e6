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

// busyCaller takes a time for each request, and counts those that came and the most that ran at once.
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
	// queued is how many requests more may wait at a runner with that many slots.
	queued = 1
)

// busySite is a forwarder with one runner.
func busySite(caller work.Caller) *online.Forwarder {
	table := runnertable.New("z")
	table.Replace([]work.Runner{{ID: "1", Service: "s", Zone: "z", Slots: slots}}, time.Now(), true)
	return &online.Forwarder{Runners: table, Caller: caller, Logger: zerolog.Nop(), Now: time.Now}
}

// result is how a request ended, and when.
type result struct {
	err  error
	took time.Duration
}

// serveAll sends requests at the same moment and returns how they ended, in the order of their ends.
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

// TestRequestsWaitWhereTheyCanBeTurnedAway has more requests come than a runner has places: no more than a few wait at the
// runner, and each gets a place in turn.
func TestRequestsWaitWhereTheyCanBeTurnedAway(t *testing.T) {
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

// TestWhatCannotBeServedInTimeIsTurnedAwayAtOnce has a burst come at a node that knows how long its runner takes. Those that
// would be late are told so at once, that they have not run, and when to come back; the others are served on time.
func TestWhatCannotBeServedInTimeIsTurnedAwayAtOnce(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: 100 * time.Millisecond}
		forwarder := busySite(caller)
		serveAll(t.Context(), forwarder, slots)
		served := 0
		for _, got := range serveAll(t.Context(), forwarder, 60) {
			var told *failure.Error
			if !errors.As(got.err, &told) {
				assert.NilError(t, got.err)
				assert.Assert(t, got.took <= 400*time.Millisecond, "served after %v", got.took)
				served++
				continue
			}
			assert.Equal(t, got.took, time.Duration(0), "turned away after %v", got.took)
			assert.Equal(t, told.Outcome, outcome.NotRun)
			assert.Assert(t, told.RetryAfter >= 300*time.Millisecond && told.RetryAfter <= 2400*time.Millisecond, "%v", told.RetryAfter)
		}
		assert.Assert(t, served >= 2*(slots+queued) && served <= 4*(slots+queued), "%d were served", served)
	})
}

// TestRefusalOfAFullRunnerIsWaitedOut has the only runner refuse a request twice: it gets its place afterwards.
func TestRefusalOfAFullRunnerIsWaitedOut(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Millisecond, refuses: 2}
		got := serveAll(t.Context(), busySite(caller), 1)[0]
		assert.NilError(t, got.err)
		assert.Equal(t, caller.sent, 3)
	})
}

// TestCallersThatLeaveGiveTheirPlaceInTheLineBack has callers leave while their requests wait behind others: nothing of them is
// sent when the places of those come free, and the node serves on.
func TestCallersThatLeaveGiveTheirPlaceInTheLineBack(t *testing.T) {
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

// TestRequestWhoseCallerLeftTakesNoPlace has callers leave before their requests are looked at, as after a freeze of the node:
// no runner is thought to work on them afterwards.
func TestRequestWhoseCallerLeftTakesNoPlace(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Millisecond}
		forwarder := busySite(caller)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		serveAll(ctx, forwarder, 3)
		assert.Equal(t, caller.sent, 0)
		assert.Equal(t, len(forwarder.Runners.Online(time.Now())), 0, "places are taken by requests that ended")
	})
}
