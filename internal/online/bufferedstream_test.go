package online_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// numberedEvents returns events with consecutive ids and data of a given size.
func numberedEvents(events, bytes int) []string {
	made := make([]string, events)
	for index := range made {
		made[index] = fmt.Sprintf("id: %d\ndata: %s\n\n", index+1, strings.Repeat("x", bytes))
	}
	return made
}

// pacedBody yields events with a pause before each, as a runner generates them whether or not they are read, until its attempt
// ends.
type pacedBody struct {
	ctx    context.Context
	events []string
	pause  func(position int) time.Duration
	given  int
	rest   string
	// made is when the last event was generated.
	made time.Time
	// ended is when the last event was read or the attempt ended; whole is set in the first case.
	ended time.Time
	whole bool
}

func (b *pacedBody) Read(buffer []byte) (int, error) {
	if b.rest == "" {
		if b.given == len(b.events) {
			b.ended, b.whole = time.Now(), true
			return 0, io.EOF
		}
		b.made = b.made.Add(b.pause(b.given))
		select {
		case <-time.After(time.Until(b.made)):
		case <-b.ctx.Done():
			b.ended = time.Now()
			return 0, b.ctx.Err()
		}
		b.rest = b.events[b.given]
		b.given++
	}
	count := copy(buffer, b.rest)
	b.rest = b.rest[count:]
	return count, nil
}

func (b *pacedBody) Close() error { return nil }

// pacedCaller is a runner that answers each request with events at a given pace.
type pacedCaller struct {
	events []string
	pause  func(position int) time.Duration
	mutex  sync.Mutex
	bodies []*pacedBody
}

func (c *pacedCaller) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	made := &pacedBody{ctx: ctx, events: c.events[attempt.ResumeAfter:], pause: c.pause, made: time.Now()}
	c.bodies = append(c.bodies, made)
	reply := stream("", true)
	reply.Body = made
	return reply, nil
}

func (c *pacedCaller) Report(context.Context, work.Runner) (work.Load, error) {
	return work.Load{}, nil
}

func (c *pacedCaller) Forget(work.Runner) {}

// pacedReader is a caller that takes some time over each event. Once cut off or stopped it accepts no more.
type pacedReader struct {
	recorder
	takes func(position int) time.Duration
	count int
	// over is closed when writes to the caller start to fail.
	over chan struct{}
	once sync.Once
}

func newPacedReader(takes func(position int) time.Duration) *pacedReader {
	return &pacedReader{takes: takes, over: make(chan struct{})}
}

func (r *pacedReader) Until(deadline time.Time) {
	time.AfterFunc(time.Until(deadline), func() { r.once.Do(func() { close(r.over) }) })
}

func (r *pacedReader) Write(bytes []byte) error {
	select {
	case <-r.over:
		return io.ErrClosedPipe
	case <-time.After(r.takes(r.count)):
	}
	select {
	case <-r.over:
		return io.ErrClosedPipe
	default:
	}
	r.count++
	_, err := r.body.Write(bytes)
	return err
}

func always(duration time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return duration }
}

// stopsAfter reads some events at once and then blocks.
func stopsAfter(after int) func(int) time.Duration {
	return func(position int) time.Duration {
		if position < after {
			return 0
		}
		return time.Hour
	}
}

// slowCallerSite is a front with one runner of four slots.
type slowCallerSite struct {
	forwarder *online.Forwarder
	caller    *pacedCaller
	held      *memorybudget.NodeBudget
}

func newSlowCallerSite(memory int64, events []string, pause func(int) time.Duration) *slowCallerSite {
	table := runnertable.New("z")
	table.Replace([]work.Runner{{ID: "1", Service: "s", Version: "v1", Zone: "z", Slots: 4}}, time.Now(), true)
	site := &slowCallerSite{
		caller: &pacedCaller{events: events, pause: pause},
		held:   memorybudget.New[ident.Tenant, string](memorybudget.LimitsOf(memory)),
	}
	site.forwarder = &online.Forwarder{Runners: table, Caller: site.caller, MemoryBudget: site.held, Logger: zerolog.Nop(), Now: time.Now}
	return site
}

// serve relays one stream to a caller that waits for a minute.
func (s *slowCallerSite) serve(ctx context.Context, connection string, writer work.AnswerWriter) error {
	return s.serveWithin(ctx, time.Second, connection, writer)
}

// serveWithin is serve on a route with a given objective.
func (s *slowCallerSite) serveWithin(ctx context.Context, objective time.Duration, connection string, writer work.AnswerWriter) error {
	route := &work.Route{
		Name: "r", Kind: work.Streaming, Resumable: true, MaximumAttempts: 2, Objective: objective, Pause: pauseAllowed,
		Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}
	request := &work.Request{ID: "q", Connection: connection, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	return s.forwarder.Serve(ctx, route, request, writer)
}

// busy returns how many of the runner's slots the node uses.
func (s *slowCallerSite) busy() int { return s.forwarder.Runners.Own("1", runnertable.Online) }

const (
	smallNode = 136 << 20
	// detectionTime is how long it may take until the node reads on after a caller stopped. The slot counts as used for as
	// long, which is about the objective of online requests on existing sites.
	detectionTime = 300 * time.Millisecond
	// runnerWriteTimeout is the time after which a runner may cut off an answer that is not read; runners allow some seconds.
	runnerWriteTimeout = 2 * time.Second
)

// TestRunnerIsReadAtFullSpeedForSlowCallers has callers take a second over each event of a stream that is generated in 400 ms.
// The runner must be read to the end as if they were fast, apart from the two checks, 300 ms, that detection takes, and its
// slot released; the callers still get every event.
func TestRunnerIsReadAtFullSpeedForSlowCallers(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numberedEvents(20, 100)
		site := newSlowCallerSite(smallNode, events, always(20*time.Millisecond))
		began := time.Now()
		var serving sync.WaitGroup
		for index := range 4 {
			serving.Go(func() {
				writer := newPacedReader(always(time.Second))
				assert.Check(t, site.serve(t.Context(), fmt.Sprint(index), writer))
				assert.Check(t, writer.body.String() == strings.Join(events, ""))
			})
		}
		time.Sleep(20*20*time.Millisecond + detectionTime)
		synctest.Wait()
		assert.Equal(t, site.busy(), 0, "slots are taken by answers that were generated")
		assert.Assert(t, site.held.TakeTally().Held > 0)
		serving.Wait()
		for _, body := range site.caller.bodies {
			assert.Assert(t, body.whole)
			assert.Assert(t, body.ended.Sub(began) <= 20*20*time.Millisecond+detectionTime, "read after %v", body.ended.Sub(began))
		}
		assert.Equal(t, site.held.TakeTally().Held, int64(0))
	})
}

// TestCallerWithShortSlowReadsReleasesSlot has a caller take 60 ms over each event of a stream that is generated in 400 ms.
// Each write is short, but together they would block the runner for 0.8 s.
func TestCallerWithShortSlowReadsReleasesSlot(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numberedEvents(20, 100)
		site := newSlowCallerSite(smallNode, events, always(20*time.Millisecond))
		writer := newPacedReader(always(60 * time.Millisecond))
		began := time.Now()
		assert.NilError(t, site.serve(t.Context(), "c", writer))
		assert.Equal(t, writer.body.String(), strings.Join(events, ""))
		read := site.caller.bodies[0].ended.Sub(began)
		assert.Assert(t, read <= 20*20*time.Millisecond+detectionTime, "read after %v", read)
	})
}

// TestCallerThatStopsIsCutOff has one caller stop reading in the middle of a long answer, beside one that reads. The first
// must be cut off before its runner would cut the answer off, and the run must end; the second gets its whole answer.
func TestCallerThatStopsIsCutOff(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numberedEvents(4000, 100)
		site := newSlowCallerSite(smallNode, events, always(2*time.Millisecond))
		stopped, reads := newPacedReader(stopsAfter(3)), newPacedReader(always(0))
		began := time.Now()
		var serving sync.WaitGroup
		serving.Go(func() { assert.Check(t, site.serve(t.Context(), "reads", reads)) })
		assert.ErrorIs(t, site.serve(t.Context(), "stopped", stopped), online.ErrBroken)
		// 64 KiB are generated in 1.1 s here.
		assert.Assert(t, time.Since(began) <= 1200*time.Millisecond+detectionTime+runnerWriteTimeout, "cut after %v", time.Since(began))
		assert.Equal(t, stopped.body.String(), strings.Join(events[:3], ""))
		assert.Equal(t, site.busy(), 1)
		assert.Equal(t, site.held.TakeTally().Disconnected, 1)
		serving.Wait()
		assert.Equal(t, reads.body.String(), strings.Join(events, ""))
		assert.Equal(t, site.held.TakeTally().Held, int64(0))
	})
}

// TestBurstOverASlowLinkIsNotCut has a runner send half a megabyte at once to a caller whose link takes 0.8 s for it.
func TestBurstOverASlowLinkIsNotCut(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numberedEvents(16, 32<<10)
		site := newSlowCallerSite(smallNode, events, always(0))
		writer := newPacedReader(always(50 * time.Millisecond))
		assert.NilError(t, site.serve(t.Context(), "c", writer))
		assert.Equal(t, writer.body.String(), strings.Join(events, ""))
	})
}

// TestFullMemoryBudgetCutsOnlySlowCallers has more callers stop reading than the node has memory to buffer the answers of. The
// budget must not be exceeded, and the callers that read must get their answers.
func TestFullMemoryBudgetCutsOnlySlowCallers(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numberedEvents(20, 2<<10)
		site := newSlowCallerSite(1<<20, events, always(time.Millisecond))
		table := runnertable.New("z")
		table.Replace([]work.Runner{{ID: "1", Service: "s", Version: "v1", Zone: "z", Slots: 100}}, time.Now(), true)
		site.forwarder.Runners = table
		var serving sync.WaitGroup
		for index := range 40 {
			serving.Go(func() {
				if index%2 == 0 {
					assert.Check(t, site.serve(t.Context(), fmt.Sprint(index), newPacedReader(stopsAfter(1))) != nil)
					return
				}
				writer := newPacedReader(always(0))
				assert.Check(t, site.serve(t.Context(), fmt.Sprint(index), writer))
				assert.Check(t, writer.body.String() == strings.Join(events, ""))
			})
		}
		time.Sleep(runnerWriteTimeout)
		synctest.Wait()
		tally := site.held.TakeTally()
		assert.Assert(t, tally.Peak <= 1<<20/5, "%d bytes were held", tally.Peak)
		assert.Assert(t, tally.Disconnected > 0)
		assert.Equal(t, site.busy(), 0)
		serving.Wait()
	})
}

// TestSilentRunnerIsReplacedWhileCallerIsSlow has a runner hang while its caller is slow. The silence guard must measure the
// runner and not the caller, and another attempt must resume where the first one ended.
func TestSilentRunnerIsReplacedWhileCallerIsSlow(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numberedEvents(10, 100)
		hangs := true
		site := newSlowCallerSite(smallNode, events, func(position int) time.Duration {
			if hangs && position == 6 {
				hangs = false
				return time.Hour
			}
			return 10 * time.Millisecond
		})
		site.forwarder.Runners.Replace([]work.Runner{{ID: "1", Service: "s", Version: "v1", Zone: "z", Slots: 4}, {ID: "2", Service: "s", Version: "v1", Zone: "z", Slots: 4}}, time.Now(), true)
		writer := newPacedReader(always(400 * time.Millisecond))
		assert.NilError(t, site.serve(t.Context(), "c", writer))
		assert.Equal(t, writer.body.String(), strings.Join(events, ""))
		assert.Equal(t, len(site.caller.bodies), 2)
	})
}

// TestSlowCallerThatDisconnectsEndsTheRun has a caller disconnect while its answer is buffered. The run must end at once.
func TestSlowCallerThatDisconnectsEndsTheRun(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		site := newSlowCallerSite(smallNode, numberedEvents(1000, 10), always(10*time.Millisecond))
		ctx, leave := context.WithCancel(t.Context())
		left := time.Now().Add(time.Second)
		time.AfterFunc(time.Second, leave)
		writer := newPacedReader(func(position int) time.Duration {
			if position == 0 {
				return 1200 * time.Millisecond
			}
			return 0
		})
		assert.Assert(t, site.serve(ctx, "c", writer) != nil)
		assert.Equal(t, site.caller.bodies[0].ended, left)
		assert.Equal(t, site.busy(), 0)
	})
}

// TestBrokenConnectionOfSlowCallerEndsTheRun has a write fail before anything else shows that the caller is gone.
func TestBrokenConnectionOfSlowCallerEndsTheRun(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		site := newSlowCallerSite(smallNode, numberedEvents(1000, 10), always(10*time.Millisecond))
		writer := newPacedReader(always(1200 * time.Millisecond))
		breaks := time.Now().Add(time.Second)
		time.AfterFunc(time.Second, func() { writer.once.Do(func() { close(writer.over) }) })
		assert.ErrorIs(t, site.serve(t.Context(), "c", writer), online.ErrBroken)
		assert.Assert(t, site.caller.bodies[0].ended.Sub(breaks) <= 200*time.Millisecond, "%v", site.caller.bodies[0].ended.Sub(breaks))
		assert.Equal(t, site.busy(), 0)
	})
}

// TestRandomPacesKeepEventsInOrder draws how long the runner and the caller take over each event. The caller must get exactly
// the runner's events in order, or a prefix of them with an error.
func TestRandomPacesKeepEventsInOrder(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		events := numberedEvents(rapid.IntRange(1, 30).Draw(drawn, "events"), rapid.IntRange(0, 20_000).Draw(drawn, "bytes"))
		paces := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 30 * time.Millisecond, 99 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond})
		makes := rapid.SliceOfN(paces, len(events), len(events)).Draw(drawn, "makes")
		takes := rapid.SliceOfN(paces, len(events), len(events)).Draw(drawn, "takes")
		simulated.Test(t, func(t *testing.T) {
			site := newSlowCallerSite(smallNode, events, func(position int) time.Duration { return makes[position%len(makes)] })
			writer := newPacedReader(func(position int) time.Duration { return takes[position%len(takes)] })
			err := site.serve(t.Context(), "c", writer)
			whole := strings.Join(events, "")
			if err == nil && writer.body.String() != whole {
				drawn.Fatalf("a truncated answer looks complete: %d of %d bytes", writer.body.Len(), len(whole))
			}
			if !strings.HasPrefix(whole, writer.body.String()) {
				drawn.Fatal("events out of order")
			}
			if site.busy() != 0 || site.held.TakeTally().Held != 0 {
				drawn.Fatal("a slot or memory is held after the end")
			}
		})
	})
}

// BenchmarkStreamToACallerThatKeepsUp measures the node's overhead for a stream of twenty events that are all available at
// once.
func BenchmarkStreamToACallerThatKeepsUp(b *testing.B) {
	text := strings.Join(numberedEvents(20, 100), "")
	site := newSlowCallerSite(smallNode, nil, nil)
	caller := &scriptedCaller{}
	site.forwarder.Caller = caller
	b.ReportAllocs()
	for b.Loop() {
		caller.replies, caller.resumed = append(caller.replies[:0], stream(text, true)), caller.resumed[:0]
		if err := site.serve(b.Context(), "c", &recorder{}); err != nil {
			b.Fatal(err)
		}
	}
}
