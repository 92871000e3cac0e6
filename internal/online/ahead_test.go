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

	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// numbered returns events that follow one another, each of some bytes.
func numbered(events, bytes int) []string {
	made := make([]string, events)
	for index := range made {
		made[index] = fmt.Sprintf("id: %d\ndata: %s\n\n", index+1, strings.Repeat("x", bytes))
	}
	return made
}

// pacedBody gives events as a runner makes them, a pause after each other, whether or not they are read, until its attempt ends.
type pacedBody struct {
	ctx    context.Context
	events []string
	pause  func(position int) time.Duration
	given  int
	rest   string
	// made is when the last event was.
	made time.Time
	// ended is when the last event was read or the attempt ended; whole says which.
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

// pacedCaller is a runner that answers each request with events at a pace.
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

// reader is a caller that takes a while over each event. One that is cut off, or has stopped, takes nothing any more.
type reader struct {
	recorder
	takes func(position int) time.Duration
	count int
	// over is closed when writing to it ends.
	over chan struct{}
	once sync.Once
}

func newReader(takes func(position int) time.Duration) *reader {
	return &reader{takes: takes, over: make(chan struct{})}
}

func (r *reader) Until(deadline time.Time) {
	time.AfterFunc(time.Until(deadline), func() { r.once.Do(func() { close(r.over) }) })
}

func (r *reader) Write(bytes []byte) error {
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

// stops reads some events and then no more.
func stops(after int) func(int) time.Duration {
	return func(position int) time.Duration {
		if position < after {
			return 0
		}
		return time.Hour
	}
}

// lagSite is a node before one runner of four places.
type lagSite struct {
	forwarder *online.Forwarder
	caller    *pacedCaller
	held      *heldbytes.OfNode
}

func newLagSite(memory int64, events []string, pause func(int) time.Duration) *lagSite {
	table := runnertable.New("z")
	table.Replace([]work.Runner{{ID: "1", Service: "s", Zone: "z", Slots: 4}}, time.Now(), true)
	site := &lagSite{
		caller: &pacedCaller{events: events, pause: pause},
		held:   heldbytes.New[ident.Tenant, string](heldbytes.LimitsOf(memory)),
	}
	site.forwarder = &online.Forwarder{Runners: table, Caller: site.caller, Held: site.held, Logger: zerolog.Nop(), Now: time.Now}
	return site
}

// serve passes one stream on to a caller that waits for a minute.
func (s *lagSite) serve(ctx context.Context, connection string, writer work.AnswerWriter) error {
	return s.serveWithin(ctx, time.Second, connection, writer)
}

// serveWithin is serve on a route with an objective.
func (s *lagSite) serveWithin(ctx context.Context, objective time.Duration, connection string, writer work.AnswerWriter) error {
	route := &work.Route{
		Name: "r", Kind: work.Streaming, Resumable: true, MaximumAttempts: 2, Objective: objective, Pause: pauseAllowed,
		Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}
	request := &work.Request{ID: "q", Connection: connection, Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	return s.forwarder.Serve(ctx, route, request, writer)
}

// busy is how many of the runner's places the node has.
func (s *lagSite) busy() int { return s.forwarder.Runners.Own("1", runnertable.Online) }

const (
	smallNode = 136 << 20
	// noticed is how long it may take until a runner is read on after its caller stopped. Its place is thought to be taken for as long,
	// which is once the objective of the requests of the sites so far.
	noticed = 300 * time.Millisecond
	// runnerAllows is the time after which a runner may cut off an answer that is left unread: some seconds.
	runnerAllows = 2 * time.Second
)

// TestRunnerIsReadOnWhileItsCallerLags has callers take a second over each event of a stream that is made in 400 ms: its runner is read
// to the end as if they were fast, within the two looks, 300 ms, that it takes to notice, and its place is free; the callers get every event.
func TestRunnerIsReadOnWhileItsCallerLags(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numbered(20, 100)
		site := newLagSite(smallNode, events, always(20*time.Millisecond))
		began := time.Now()
		var serving sync.WaitGroup
		for index := range 4 {
			serving.Go(func() {
				writer := newReader(always(time.Second))
				assert.Check(t, site.serve(t.Context(), fmt.Sprint(index), writer))
				assert.Check(t, writer.body.String() == strings.Join(events, ""))
			})
		}
		time.Sleep(20*20*time.Millisecond + noticed)
		synctest.Wait()
		assert.Equal(t, site.busy(), 0, "places are taken by answers that were made")
		assert.Assert(t, site.held.Take().Held > 0)
		serving.Wait()
		for _, body := range site.caller.bodies {
			assert.Assert(t, body.whole)
			assert.Assert(t, body.ended.Sub(began) <= 20*20*time.Millisecond+noticed, "read after %v", body.ended.Sub(began))
		}
		assert.Equal(t, site.held.Take().Held, int64(0))
	})
}

// TestCallerThatTakesALittleAtATimeHoldsNoPlace has a caller take 60 ms over each event of a stream that is made in 400 ms: each write is
// short, and the runner would still be held up for 0.8 s.
func TestCallerThatTakesALittleAtATimeHoldsNoPlace(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numbered(20, 100)
		site := newLagSite(smallNode, events, always(20*time.Millisecond))
		writer := newReader(always(60 * time.Millisecond))
		began := time.Now()
		assert.NilError(t, site.serve(t.Context(), "c", writer))
		assert.Equal(t, writer.body.String(), strings.Join(events, ""))
		read := site.caller.bodies[0].ended.Sub(began)
		assert.Assert(t, read <= 20*20*time.Millisecond+noticed, "read after %v", read)
	})
}

// TestCallerThatStopsIsCutOff has one caller stop in the middle of an answer that has no end in sight, beside one that reads: it is cut
// off before its runner would cut the answer, and the runner's work ends; the other gets all of its own.
func TestCallerThatStopsIsCutOff(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numbered(4000, 100)
		site := newLagSite(smallNode, events, always(2*time.Millisecond))
		stopped, reads := newReader(stops(3)), newReader(always(0))
		began := time.Now()
		var serving sync.WaitGroup
		serving.Go(func() { assert.Check(t, site.serve(t.Context(), "reads", reads)) })
		assert.ErrorIs(t, site.serve(t.Context(), "stopped", stopped), online.ErrBroken)
		// 64 KiB are made in 1.1 s here.
		assert.Assert(t, time.Since(began) <= 1200*time.Millisecond+noticed+runnerAllows, "cut after %v", time.Since(began))
		assert.Equal(t, stopped.body.String(), strings.Join(events[:3], ""))
		assert.Equal(t, site.busy(), 1)
		assert.Equal(t, site.held.Take().Cut, 1)
		serving.Wait()
		assert.Equal(t, reads.body.String(), strings.Join(events, ""))
		assert.Equal(t, site.held.Take().Held, int64(0))
	})
}

// TestBurstOverASlowLinkIsNotCut has a runner give half a megabyte at once to a caller whose link takes 0.8 s for it.
func TestBurstOverASlowLinkIsNotCut(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numbered(16, 32<<10)
		site := newLagSite(smallNode, events, always(0))
		writer := newReader(always(50 * time.Millisecond))
		assert.NilError(t, site.serve(t.Context(), "c", writer))
		assert.Equal(t, writer.body.String(), strings.Join(events, ""))
	})
}

// TestNodeWithoutRoomCutsOnlyThoseThatLag has more callers stop than the node can hold the answers of: its budget is kept, those that
// read get their answers.
func TestNodeWithoutRoomCutsOnlyThoseThatLag(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numbered(20, 2<<10)
		site := newLagSite(1<<20, events, always(time.Millisecond))
		table := runnertable.New("z")
		table.Replace([]work.Runner{{ID: "1", Service: "s", Zone: "z", Slots: 100}}, time.Now(), true)
		site.forwarder.Runners = table
		var serving sync.WaitGroup
		for index := range 40 {
			serving.Go(func() {
				if index%2 == 0 {
					assert.Check(t, site.serve(t.Context(), fmt.Sprint(index), newReader(stops(1))) != nil)
					return
				}
				writer := newReader(always(0))
				assert.Check(t, site.serve(t.Context(), fmt.Sprint(index), writer))
				assert.Check(t, writer.body.String() == strings.Join(events, ""))
			})
		}
		time.Sleep(runnerAllows)
		synctest.Wait()
		tally := site.held.Take()
		assert.Assert(t, tally.Most <= 1<<20/5, "%d bytes were held", tally.Most)
		assert.Assert(t, tally.Cut > 0)
		assert.Equal(t, site.busy(), 0)
		serving.Wait()
	})
}

// TestRunnerThatFallsSilentBehindALaggingCallerIsLeft has a runner hang while its caller lags: the guard measures the runner and not the
// caller, and another attempt goes on where the first one ended.
func TestRunnerThatFallsSilentBehindALaggingCallerIsLeft(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		events := numbered(10, 100)
		hangs := true
		site := newLagSite(smallNode, events, func(position int) time.Duration {
			if hangs && position == 6 {
				hangs = false
				return time.Hour
			}
			return 10 * time.Millisecond
		})
		site.forwarder.Runners.Replace([]work.Runner{{ID: "1", Service: "s", Zone: "z", Slots: 4}, {ID: "2", Service: "s", Zone: "z", Slots: 4}}, time.Now(), true)
		writer := newReader(always(400 * time.Millisecond))
		assert.NilError(t, site.serve(t.Context(), "c", writer))
		assert.Equal(t, writer.body.String(), strings.Join(events, ""))
		assert.Equal(t, len(site.caller.bodies), 2)
	})
}

// TestCallerThatLeavesWhileItLagsEndsTheRun has a caller leave whose answer is read ahead: the runner's work ends at once.
func TestCallerThatLeavesWhileItLagsEndsTheRun(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		site := newLagSite(smallNode, numbered(1000, 10), always(10*time.Millisecond))
		ctx, leave := context.WithCancel(t.Context())
		left := time.Now().Add(time.Second)
		time.AfterFunc(time.Second, leave)
		writer := newReader(func(position int) time.Duration {
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

// TestConnectionThatBreaksWhileItsCallerLagsEndsTheRun has the writing fail before anything else tells that the caller is gone.
func TestConnectionThatBreaksWhileItsCallerLagsEndsTheRun(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		site := newLagSite(smallNode, numbered(1000, 10), always(10*time.Millisecond))
		writer := newReader(always(1200 * time.Millisecond))
		breaks := time.Now().Add(time.Second)
		time.AfterFunc(time.Second, func() { writer.once.Do(func() { close(writer.over) }) })
		assert.ErrorIs(t, site.serve(t.Context(), "c", writer), online.ErrBroken)
		assert.Assert(t, site.caller.bodies[0].ended.Sub(breaks) <= 200*time.Millisecond, "%v", site.caller.bodies[0].ended.Sub(breaks))
		assert.Equal(t, site.busy(), 0)
	})
}

// TestDrawnPacesGiveEveryEventInOrder draws how long the runner and the caller take over each event: what the caller gets is always what
// the runner made, in order, or the beginning of it with an error.
func TestDrawnPacesGiveEveryEventInOrder(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		events := numbered(rapid.IntRange(1, 30).Draw(drawn, "events"), rapid.IntRange(0, 20_000).Draw(drawn, "bytes"))
		paces := rapid.SampledFrom([]time.Duration{0, time.Millisecond, 30 * time.Millisecond, 99 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond})
		makes := rapid.SliceOfN(paces, len(events), len(events)).Draw(drawn, "makes")
		takes := rapid.SliceOfN(paces, len(events), len(events)).Draw(drawn, "takes")
		simulated.Test(t, func(t *testing.T) {
			site := newLagSite(smallNode, events, func(position int) time.Duration { return makes[position%len(makes)] })
			writer := newReader(func(position int) time.Duration { return takes[position%len(takes)] })
			err := site.serve(t.Context(), "c", writer)
			whole := strings.Join(events, "")
			if err == nil && writer.body.String() != whole {
				drawn.Fatalf("a part looks whole: %d of %d bytes", writer.body.Len(), len(whole))
			}
			if !strings.HasPrefix(whole, writer.body.String()) {
				drawn.Fatal("events out of order")
			}
			if site.busy() != 0 || site.held.Take().Held != 0 {
				drawn.Fatal("something is held after the end")
			}
		})
	})
}

// BenchmarkStreamToACallerThatKeepsUp passes on a stream of twenty events that are all there: what the node adds to it.
func BenchmarkStreamToACallerThatKeepsUp(b *testing.B) {
	text := strings.Join(numbered(20, 100), "")
	site := newLagSite(smallNode, nil, nil)
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
