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
	"mallowlatch.example/mallowlatch/internal/work"
)

// scriptedCaller gives its replies in order.
type scriptedCaller struct {
	replies []*work.Reply
	resumed []int64
}

func (c *scriptedCaller) Send(_ context.Context, attempt work.Attempt) (*work.Reply, error) {
	c.resumed = append(c.resumed, attempt.ResumeAfter)
	next := c.replies[0]
	c.replies = c.replies[1:]
	return next, nil
}

func (c *scriptedCaller) Report(context.Context, work.Runner) (work.Load, error) {
	return work.Load{}, nil
}

func (c *scriptedCaller) Forget(work.Runner) {}

// recorder keeps what the caller was sent.
type recorder struct {
	status int
	body   strings.Builder
}

func (r *recorder) Until(time.Time) {}

func (r *recorder) Begin(head work.Head, _ int64) error {
	r.status = head.Status
	return nil
}

func (r *recorder) Write(bytes []byte) error {
	_, err := r.body.Write(bytes)
	return err
}

// brokenBody gives its text and then breaks off.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(buffer []byte) (int, error) {
	count, err := b.Reader.Read(buffer)
	if err == io.EOF {
		err = connpool.ErrNoAnswer
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

// serve sends one request of a resumable stream through the replies.
func serve(attempts int, replies ...*work.Reply) (*recorder, *scriptedCaller, error) {
	table := runnertable.New("z")
	var runners []work.Runner
	for _, id := range []ident.Runner{"1", "2", "3", "4"} {
		runners = append(runners, work.Runner{ID: id, Service: "s", Zone: "z", Slots: 4})
	}
	table.Replace(runners, time.Now(), true)
	caller := &scriptedCaller{replies: replies}
	forwarder := &online.Forwarder{Runners: table, Caller: caller, Logger: zerolog.Nop(), Now: time.Now}
	route := &work.Route{
		Name: "r", Kind: work.Streaming, Resumable: true, MaximumAttempts: attempts, Objective: time.Second,
		Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}
	writer := &recorder{}
	request := &work.Request{ID: "q", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
	err := forwarder.Serve(context.Background(), route, request, writer)
	return writer, caller, err
}

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

// TestFailureOfAResumedRunIsNoPartOfTheStream has the runner that is to go on answer with a failure: its bytes must not
// follow the events, and the stream must not look complete.
func TestFailureOfAResumedRunIsNoPartOfTheStream(t *testing.T) {
	for _, failed := range []*work.Reply{answer(http.StatusInternalServerError, "failed"), answer(http.StatusOK, "no stream"), answer(http.StatusGatewayTimeout, "late")} {
		writer, caller, err := serve(2, stream(firstEvent, false), failed)
		assert.ErrorIs(t, err, online.ErrBroken)
		assert.Equal(t, writer.body.String(), firstEvent)
		assert.DeepEqual(t, caller.resumed, []int64{0, 1})
	}
}

// TestAnotherRunnerGoesOnAfterAFailedResumption uses the attempts that the route allows.
func TestAnotherRunnerGoesOnAfterAFailedResumption(t *testing.T) {
	writer, caller, err := serve(3, stream(firstEvent, false), answer(http.StatusInternalServerError, "failed"), stream(secondEvent, true))
	assert.NilError(t, err)
	assert.Equal(t, writer.status, http.StatusOK)
	assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
	assert.DeepEqual(t, caller.resumed, []int64{0, 1, 1})
}

// TestFailureBeforeTheFirstEventIsPassedOn keeps the runner's own failure for a request that may not run again.
func TestFailureBeforeTheFirstEventIsPassedOn(t *testing.T) {
	writer, _, err := serve(1, answer(http.StatusInternalServerError, "failed"))
	assert.NilError(t, err)
	assert.Equal(t, writer.status, http.StatusInternalServerError)
	assert.Equal(t, writer.body.String(), "failed")
}
