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
	// shortObjective is the shortest objective of a route of the sites so far.
	shortObjective = 200 * time.Millisecond
	// slowPrompt is the time between events, and until the first one, at the runners of these tests.
	slowPrompt = 10 * time.Millisecond
	// ownSecond is how long a caller may hold its runner up where nobody else wants the place.
	ownSecond = time.Second
)

// timedReader is a caller that reads at once, and notes when it got its first event.
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

// lag has callers stop after their first event, and returns once their runner's places are taken.
func (s *lagSite) lag(t *testing.T, serving *sync.WaitGroup, callers int, objective time.Duration, takes func(int) time.Duration) {
	t.Helper()
	for index := range callers {
		serving.Go(func() { _ = s.serveWithin(t.Context(), objective, fmt.Sprint("slow-", index), newReader(takes)) })
	}
	time.Sleep(2 * slowPrompt)
	assert.Equal(t, s.busy(), callers)
}

// TestThoseThatWaitGetThePlacesOfCallersThatStopped has callers stop in answers of 6 MB that take all places of a runner and its short
// queue, and then as many requests of others as it has slots: each of these begins within its objective, though the others would have kept
// their places for more than a second.
func TestThoseThatWaitGetThePlacesOfCallersThatStopped(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numbered(60, 100<<10)
		site := newLagSite(smallNode, events, always(slowPrompt))
		var stopped, others sync.WaitGroup
		site.lag(t, &stopped, slots+queued, shortObjective, stops(1))
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
		assert.Equal(t, site.held.Take().Held, int64(0))
		assert.Equal(t, site.busy(), 0)
	})
}

// TestLastPlaceIsNotHeldUp has callers that stopped take all slots of a runner where nobody waits at this node: one of them is cut off for
// the next request, which may be at another node, and the others keep their second.
func TestLastPlaceIsNotHeldUp(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		site := newLagSite(smallNode, numbered(200, 100<<10), always(slowPrompt))
		var stopped sync.WaitGroup
		site.lag(t, &stopped, slots, shortObjective, stops(1))
		time.Sleep(noticed + shortObjective/2)
		synctest.Wait()
		assert.Check(t, site.held.Take().Cut == 1)
		assert.Check(t, site.busy() == slots-1)
		time.Sleep(ownSecond / 2)
		synctest.Wait()
		assert.Check(t, site.held.Take().Cut == 0)
		stopped.Wait()
		assert.Check(t, site.held.Take().Cut == slots-1)
	})
}

// TestCallerThatHoldsUpAFreeFleetKeepsItsSecond leaves a slot free: nobody wants the place of a caller that reads half a megabyte over a
// link that takes 0.8 s for it, a quarter of the objective and more beyond its queue.
func TestCallerThatHoldsUpAFreeFleetKeepsItsSecond(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numbered(16, 32<<10)
		site := newLagSite(smallNode, events, always(0))
		var serving sync.WaitGroup
		for index := range slots - 1 {
			serving.Go(func() {
				writer := newReader(always(50 * time.Millisecond))
				assert.Check(t, site.serveWithin(t.Context(), shortObjective, fmt.Sprint(index), writer))
				assert.Check(t, writer.body.String() == strings.Join(events, ""))
			})
		}
		serving.Wait()
		assert.Equal(t, site.held.Take().Cut, 0)
	})
}

// TestShortAnswerIsReadLateWhoeverWaits has callers take a second over each event of streams of 2 kB that take all places, while others
// wait: all get every event, and nobody is cut off.
func TestShortAnswerIsReadLateWhoeverWaits(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numbered(20, 100)
		site := newLagSite(smallNode, events, always(slowPrompt))
		var serving sync.WaitGroup
		for index := range 2 * (slots + queued) {
			takes := always(time.Second)
			if index >= slots+queued {
				takes = always(0)
			}
			serving.Go(func() {
				writer := newReader(takes)
				assert.Check(t, site.serveWithin(t.Context(), time.Second, fmt.Sprint(index), writer))
				assert.Check(t, writer.body.String() == strings.Join(events, ""))
			})
		}
		serving.Wait()
		assert.Equal(t, site.held.Take().Cut, 0)
	})
}

// TestWaitingForACallerIsNoPartOfARun has callers that stopped keep places for more than a second each where a slot is free, and then
// twice as many requests come at once as the runner takes, whose answers take 100 ms: all get a place within 100 ms, as the runs before
// those callers say, and none is turned away.
func TestWaitingForACallerIsNoPartOfARun(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		site := newLagSite(smallNode, numbered(10, 100<<10), always(slowPrompt))
		serveAtOnce := func(requests int) {
			var serving sync.WaitGroup
			for index := range requests {
				serving.Go(func() {
					assert.Check(t, site.serveWithin(t.Context(), 300*time.Millisecond, fmt.Sprint(index), newReader(always(0))))
				})
			}
			serving.Wait()
		}
		serveAtOnce(slots)
		for range 6 {
			var stopped sync.WaitGroup
			site.lag(t, &stopped, slots-1, 300*time.Millisecond, stops(1))
			stopped.Wait()
		}
		assert.Equal(t, site.held.Take().Cut, 6*(slots-1))
		serveAtOnce(2 * (slots + queued))
	})
}

// TestPlaceOfACallerThatIsCutGoesToOneThatWaits has others keep a runner of four places over-full, as far as the node knows, beside three
// callers that stopped, and two requests come: each begins within its objective in the place of one of those, and no more work is at the
// runner than before.
func TestPlaceOfACallerThatIsCutGoesToOneThatWaits(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numbered(60, 100<<10)
		site := newLagSite(smallNode, events, always(slowPrompt))
		var stopped, others sync.WaitGroup
		const slow = 3
		site.lag(t, &stopped, slow, shortObjective, stops(1))
		ctx, cancel := context.WithCancel(t.Context())
		most := 0
		var news sync.WaitGroup
		news.Go(func() {
			for ctx.Err() == nil {
				site.forwarder.Runners.TakeShares([]demand.Share{{Runner: "1", Others: 2 * slots}}, time.Now())
				most = max(most, site.busy())
				time.Sleep(demand.RefreshEvery)
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
		news.Wait()
		assert.Check(t, most == slow)
	})
}
