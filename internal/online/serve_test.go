package online_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// scriptedCaller returns its replies in order.
type scriptedCaller struct {
	replies []*work.Reply
	resumed []int64
	// forgotten contains the runners whose idle connections were closed.
	forgotten []ident.Incarnation
}

// hangingBody yields its text and then blocks until the attempt ends, as a silent connection does.
type hangingBody struct {
	io.Reader
	ctx context.Context
}

func (b *hangingBody) Read(buffer []byte) (int, error) {
	count, err := b.Reader.Read(buffer)
	if err == io.EOF {
		<-b.ctx.Done()
		err = b.ctx.Err()
	}
	return count, err
}

func (b *hangingBody) Close() error { return nil }

func hangingStream(text string) *work.Reply {
	hanging := stream(text, true)
	hanging.Body = &hangingBody{Reader: strings.NewReader(text)}
	return hanging
}

func (c *scriptedCaller) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	c.resumed = append(c.resumed, attempt.ResumeAfter)
	next := c.replies[0]
	c.replies = c.replies[1:]
	if hanging, hangs := next.Body.(*hangingBody); hangs {
		hanging.ctx = ctx
	}
	return next, nil
}

func (c *scriptedCaller) Report(context.Context, work.Runner) (work.Load, error) {
	return work.Load{}, nil
}

func (c *scriptedCaller) Forget(runner work.Runner) { c.forgotten = append(c.forgotten, runner.ID) }

// recorder records what was sent to the caller.
type recorder struct {
	status int
	body   strings.Builder
	// slow is how long the caller takes to read an event.
	slow time.Duration
}

func (r *recorder) Until(time.Time) {}

func (r *recorder) Begin(head work.Head, _ int64) error {
	r.status = head.Status
	return nil
}

func (r *recorder) Write(bytes []byte) error {
	time.Sleep(r.slow)
	_, err := r.body.Write(bytes)
	return err
}

// brokenBody yields its text and then fails.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(buffer []byte) (int, error) {
	count, err := b.Reader.Read(buffer)
	if err == io.EOF {
		err = connpool.ErrNoResponse
	}
	return count, err
}

func stream(text string, whole bool) *work.Reply {
	var body io.Reader = strings.NewReader(text)
	if !whole {
		body = brokenBody{body}
	}
	return &work.Reply{
		Head:   work.Head{Status: http.StatusOK, Headers: http.Header{"Content-Type": {"text/event-stream"}}},
		Sealed: true, Framed: true, Body: io.NopCloser(body),
	}
}

func answer(status int, text string) *work.Reply {
	return &work.Reply{Head: work.Head{Status: status, Headers: http.Header{}}, Sealed: true, Framed: true, Body: io.NopCloser(strings.NewReader(text))}
}

// serve sends one request for a resumable stream and has the runners return the replies.
func serve(attempts int, replies ...*work.Reply) (*recorder, *scriptedCaller, error) {
	writer := &recorder{}
	caller, err := serveTo(writer, attempts, replies...)
	return writer, caller, err
}

func serveTo(writer *recorder, attempts int, replies ...*work.Reply) (*scriptedCaller, error) {
	return serveBy([]ident.Incarnation{"1", "2", "3", "4"}, writer, attempts, replies...)
}

func serveBy(ids []ident.Incarnation, writer *recorder, attempts int, replies ...*work.Reply) (*scriptedCaller, error) {
	caller := &scriptedCaller{replies: replies}
	return caller, serveWith(caller, ids, writer, attempts)
}

func serveWith(caller work.Caller, ids []ident.Incarnation, writer *recorder, attempts int) error {
	table := runnertable.New("z")
	var runners []work.Runner
	for _, id := range ids {
		runners = append(runners, work.Runner{ID: id, Service: "s", Version: "v1", Zone: "z", Slots: 4})
	}
	table.Replace(runners, time.Now(), true)
	forwarder := &online.Forwarder{Runners: table, Caller: caller, Logger: zerolog.Nop(), Now: time.Now}
	route := &work.Route{
		Name: "r", Kind: work.Streaming, Resumable: true, MaximumAttempts: attempts, Objective: time.Second, Pause: pauseAllowed,
		Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}
	request := &work.Request{ID: "q", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	return forwarder.Serve(context.Background(), route, request, writer)
}

// pauseAllowed is the pause between two events that the route of the tests allows.
const pauseAllowed = 300 * time.Millisecond

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

// TestFailureOfAResumedRunIsNoPartOfTheStream has the runner that should resume a stream answer with something else. Its bytes
// must not follow the events, and the stream must not look complete.
func TestFailureOfAResumedRunIsNoPartOfTheStream(t *testing.T) {
	for _, failed := range []*work.Reply{answer(http.StatusInternalServerError, "failed"), answer(http.StatusOK, "no stream"), answer(http.StatusGatewayTimeout, "late")} {
		writer, caller, err := serve(2, stream(firstEvent, false), failed)
		assert.ErrorIs(t, err, online.ErrBroken)
		assert.Equal(t, writer.body.String(), firstEvent)
		assert.DeepEqual(t, caller.resumed, []int64{0, 1})
	}
}

// TestAnotherRunnerResumesAfterFailedResumption uses all attempts that the route allows.
func TestAnotherRunnerResumesAfterFailedResumption(t *testing.T) {
	writer, caller, err := serve(3, stream(firstEvent, false), answer(http.StatusInternalServerError, "failed"), stream(secondEvent, true))
	assert.NilError(t, err)
	assert.Equal(t, writer.status, http.StatusOK)
	assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
	assert.DeepEqual(t, caller.resumed, []int64{0, 1, 1})
}

// TestHangingStreamIsResumedOnAnotherRunner has a connection become silent between two events. Another runner must resume the
// stream, long before its deadline, and the idle connections to the first must not be reused.
func TestHangingStreamIsResumedOnAnotherRunner(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		began := time.Now()
		writer, caller, err := serve(2, hangingStream(firstEvent), stream(secondEvent, true))
		assert.NilError(t, err)
		assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
		assert.DeepEqual(t, caller.resumed, []int64{0, 1})
		assert.Equal(t, len(caller.forgotten), 1)
		assert.Equal(t, time.Since(began), 2*pauseAllowed)
	})
}

// TestHangingStreamIsResumedOnOnlyRunner has the connection to the only runner become silent between two events. The runner
// works, and must be asked to resume over another connection, within the attempts of the route, rather than the stream being
// broken off with an attempt left. A runner that broke off without a pause must not be asked again.
func TestHangingStreamIsResumedOnOnlyRunner(t *testing.T) {
	only := []ident.Incarnation{"1"}
	simulated.Test(t, func(t *testing.T) {
		began := time.Now()
		writer := &recorder{}
		caller, err := serveBy(only, writer, 2, hangingStream(firstEvent), stream(secondEvent, true))
		assert.NilError(t, err)
		assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
		assert.DeepEqual(t, caller.resumed, []int64{0, 1})
		assert.Equal(t, time.Since(began), 2*pauseAllowed)
	})
	simulated.Test(t, func(t *testing.T) {
		caller, err := serveBy(only, &recorder{}, 2, stream(firstEvent, false))
		assert.ErrorIs(t, err, online.ErrBroken)
		assert.DeepEqual(t, caller.resumed, []int64{0})
	})
}

// TestSlowCallerIsNotRunnerSilence has the caller take longer over an event than the allowed pause.
func TestSlowCallerIsNotRunnerSilence(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		writer := &recorder{slow: time.Second}
		caller, err := serveTo(writer, 2, stream(firstEvent+secondEvent, true))
		assert.NilError(t, err)
		assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
		assert.Equal(t, len(caller.resumed), 1)
	})
}

// TestStreamWithoutAttemptsLeftIsNotEndedForItsSilence checks that a silent stream which no other attempt may resume is left
// alone, since its runner may yet continue.
func TestStreamWithoutAttemptsLeftIsNotEndedForItsSilence(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		began := time.Now()
		_, caller, err := serve(1, hangingStream(firstEvent))
		assert.ErrorIs(t, err, online.ErrBroken)
		assert.Equal(t, len(caller.resumed), 1)
		assert.Equal(t, time.Since(began), time.Minute)
	})
}

// TestFailureBeforeTheFirstEventIsPassedOn checks that the runner's own error reaches the caller of a request that may not run
// again.
func TestFailureBeforeTheFirstEventIsPassedOn(t *testing.T) {
	writer, _, err := serve(1, answer(http.StatusInternalServerError, "failed"))
	assert.NilError(t, err)
	assert.Equal(t, writer.status, http.StatusInternalServerError)
	assert.Equal(t, writer.body.String(), "failed")
}

// TestStreamMayEndWithItsConnection guards against an answer that has neither a length nor chunks and is taken for broken off although its last
// event is whole, and against one that ends inside an event, or before the first one, and is taken for whole.
func TestStreamMayEndWithItsConnection(t *testing.T) {
	unframed := func(text string) *work.Reply {
		reply := stream(text, true)
		reply.Framed = false
		return reply
	}
	for name, c := range map[string]struct {
		replies []*work.Reply
		resumed []int64
	}{
		"whole":             {[]*work.Reply{unframed(firstEvent + secondEvent)}, []int64{0}},
		"inside an event":   {[]*work.Reply{unframed(firstEvent + "id: 2\ndata"), stream(secondEvent, true)}, []int64{0, 1}},
		"before any event":  {[]*work.Reply{unframed(""), stream(firstEvent+secondEvent, true)}, []int64{0, 0}},
		"reset in transit":  {[]*work.Reply{func() *work.Reply { r := stream(firstEvent, false); r.Framed = false; return r }(), stream(secondEvent, true)}, []int64{0, 1}},
		"nothing in a rest": {[]*work.Reply{stream(firstEvent, false), unframed(""), stream(secondEvent, true)}, []int64{0, 1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			writer, caller, err := serve(3, c.replies...)
			assert.NilError(t, err)
			assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
			assert.DeepEqual(t, caller.resumed, c.resumed)
		})
	}
}

// TestCommentsBeforeTheFirstEventAreNotMixed guards against comments of a runner that never sends an event before the events of another one. Those of
// a runner that goes on are passed, with its first event.
func TestCommentsBeforeTheFirstEventAreNotMixed(t *testing.T) {
	const comment = ": nothing\n\n"
	writer, caller, err := serve(2, stream(strings.Repeat(comment, 10_000), true), stream(comment+firstEvent+comment+secondEvent, true))
	assert.NilError(t, err)
	assert.Equal(t, writer.body.String(), comment+firstEvent+comment+secondEvent)
	assert.Equal(t, len(caller.resumed), 2)
	writer, _, err = serve(1, stream(comment+comment, true))
	assert.NilError(t, err)
	assert.Equal(t, writer.body.String(), comment+comment)
	_, _, err = serve(1, stream(strings.Repeat(comment, 10_000), true))
	assert.Assert(t, err != nil)
}
