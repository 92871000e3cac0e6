package online_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/simulated"
)

const (
	// shortObjective is the shortest objective of a route on existing sites.
	shortObjective = 200 * time.Millisecond
	// eventInterval is the time between events, and until the first one, at the runners of these tests.
	eventInterval = 10 * time.Millisecond
	// uncontestedAllowance is how long a caller may block its runner while nobody else wants the slot.
	uncontestedAllowance = time.Second
)

// timedReader is a caller that reads at once, and records when it got its first event.
type timedReader struct {
	recorder
	first time.Time
}

func (r *timedReader) Write(bytes []byte) error {
	if r.first.IsZero() {
		r.first = time.Now()
	}
	return r.recorder.Write(bytes)
}

// stall starts requests of slow callers, and returns once they use the runner's slots.
func (s *slowCallerSite) stall(t *testing.T, serving *sync.WaitGroup, callers int, objective time.Duration, takes func(int) time.Duration) {
	t.Helper()
	for index := range callers {
		serving.Go(func() { _ = s.serveWithin(t.Context(), objective, fmt.Sprint("slow-", index), newPacedReader(takes)) })
	}
	time.Sleep(2 * eventInterval)
	assert.Equal(t, s.busy(), callers)
}

// TestWaitingRequestsGetSlotsOfStoppedCallers has callers stop in answers of 6 MB that take all slots of a runner and its
// short queue, and then sends as many other requests as it has slots. Each of these must begin within its objective, though
// the stopped callers would otherwise have kept their slots for more than a second.
func TestWaitingRequestsGetSlotsOfStoppedCallers(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numberedEvents(60, 100<<10)
		site := newSlowCallerSite(smallNode, events, always(eventInterval))
		var stopped, others sync.WaitGroup
		site.stall(t, &stopped, slots+queued, shortObjective, stopsAfter(1))
		began := time.Now()
		for index := range slots {
			others.Go(func() {
				writer := &timedReader{}
				assert.Check(t, site.serveWithin(t.Context(), shortObjective, fmt.Sprint("other-", index), writer))
				assert.Check(t, writer.body.String() == strings.Join(events, ""))
				assert.Check(t, writer.first.Sub(began) <= shortObjective, "began after %v", writer.first.Sub(began))
			})
		}
		others.Wait()
		stopped.Wait()
		assert.Equal(t, site.held.TakeTally().Held, int64(0))
		assert.Equal(t, site.busy(), 0)
	})
}

// TestOneSlotIsReclaimedWhenAllAreBlocked has callers that stopped take all slots of a runner while nobody waits at this node.
// One of them must be cut off for the next request, which may arrive at another node; the others keep their second.
func TestOneSlotIsReclaimedWhenAllAreBlocked(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		site := newSlowCallerSite(smallNode, numberedEvents(200, 100<<10), always(eventInterval))
		var stopped sync.WaitGroup
		site.stall(t, &stopped, slots, shortObjective, stopsAfter(1))
		time.Sleep(detectionTime + shortObjective/2)
		synctest.Wait()
		assert.Check(t, site.held.TakeTally().Disconnected == 1)
		assert.Check(t, site.busy() == slots-1)
		time.Sleep(uncontestedAllowance / 2)
		synctest.Wait()
		assert.Check(t, site.held.TakeTally().Disconnected == 0)
		stopped.Wait()
		assert.Check(t, site.held.TakeTally().Disconnected == slots-1)
	})
}

// TestSlowCallerIsNotCutWhileSlotsAreFree leaves a slot free. Nobody wants the slot of a caller that reads half a megabyte
// over a link that takes 0.8 s for it, which blocks the runner for more than a quarter of the objective.
func TestSlowCallerIsNotCutWhileSlotsAreFree(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numberedEvents(16, 32<<10)
		site := newSlowCallerSite(smallNode, events, always(0))
		var serving sync.WaitGroup
		for index := range slots - 1 {
			serving.Go(func() {
				writer := newPacedReader(always(50 * time.Millisecond))
				assert.Check(t, site.serveWithin(t.Context(), shortObjective, fmt.Sprint(index), writer))
				assert.Check(t, writer.body.String() == strings.Join(events, ""))
			})
		}
		serving.Wait()
		assert.Equal(t, site.held.TakeTally().Disconnected, 0)
	})
}

// TestSlowCallersOfShortAnswersAreNotCut has callers take a second over each event of streams of 2 kB that take all slots,
// while others wait: all must get every event, and nobody may be cut off.
func TestSlowCallersOfShortAnswersAreNotCut(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numberedEvents(20, 100)
		site := newSlowCallerSite(smallNode, events, always(eventInterval))
		var serving sync.WaitGroup
		for index := range 2 * (slots + queued) {
			takes := always(time.Second)
			if index >= slots+queued {
				takes = always(0)
			}
			serving.Go(func() {
				writer := newPacedReader(takes)
				assert.Check(t, site.serveWithin(t.Context(), time.Second, fmt.Sprint(index), writer))
				assert.Check(t, writer.body.String() == strings.Join(events, ""))
			})
		}
		serving.Wait()
		assert.Equal(t, site.held.TakeTally().Disconnected, 0)
	})
}

// TestTimeBlockedOnCallersIsNotCountedAsRunTime has callers that stopped keep slots for more than a second each while a slot
// is free, and then sends twice as many requests at once as the runner takes, whose answers take 100 ms. All must get a slot,
// as the runs before those callers predict, and none may be rejected.
func TestTimeBlockedOnCallersIsNotCountedAsRunTime(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		site := newSlowCallerSite(smallNode, numberedEvents(10, 100<<10), always(eventInterval))
		serveAtOnce := func(requests int) {
			var serving sync.WaitGroup
			for index := range requests {
				serving.Go(func() {
					assert.Check(t, site.serveWithin(t.Context(), 300*time.Millisecond, fmt.Sprint(index), newPacedReader(always(0))))
				})
			}
			serving.Wait()
		}
		serveAtOnce(slots)
		for range 6 {
			var stopped sync.WaitGroup
			site.stall(t, &stopped, slots-1, 300*time.Millisecond, stopsAfter(1))
			stopped.Wait()
		}
		assert.Equal(t, site.held.TakeTally().Disconnected, 6*(slots-1))
		serveAtOnce(2 * (slots + queued))
	})
}

// TestSlotOfCutCallerGoesToWaitingRequest has other nodes overfill a runner of four slots, as far as this node knows, beside
// three callers that stopped, and sends two requests. Each must begin within its objective in the slot of a cut caller, and
// the node's use of the runner must not grow.
func TestSlotOfCutCallerGoesToWaitingRequest(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numberedEvents(60, 100<<10)
		site := newSlowCallerSite(smallNode, events, always(eventInterval))
		var stopped, others sync.WaitGroup
		const slow = 3
		site.stall(t, &stopped, slow, shortObjective, stopsAfter(1))
		ctx, cancel := context.WithCancel(t.Context())
		most := 0
		var reports sync.WaitGroup
		reports.Go(func() {
			for ctx.Err() == nil {
				site.forwarder.Runners.UpdateShares([]demand.Share{{Runner: "1", Others: 2 * slots}}, time.Now())
				most = max(most, site.busy())
				time.Sleep(demand.RefreshInterval)
			}
		})
		synctest.Wait()
		began := time.Now()
		for index := range slow - 1 {
			others.Go(func() {
				writer := &timedReader{}
				assert.Check(t, site.serveWithin(t.Context(), shortObjective, fmt.Sprint("other-", index), writer))
				assert.Check(t, writer.first.Sub(began) <= shortObjective, "began after %v", writer.first.Sub(began))
			})
		}
		others.Wait()
		stopped.Wait()
		cancel()
		reports.Wait()
		assert.Check(t, most == slow)
	})
}
