package online_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/endwatch"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// watched is a request at a node that remembers ends of runners under it.
type watched struct {
	forwarder *online.Forwarder
	request   *work.Request
}

// newWatched has some runners ended under the request.
func newWatched(forwarder *online.Forwarder, caller work.Caller, ends int) *watched {
	forwarder.Key = poison.Key("k")
	forwarder.Ends = &endwatch.Watch{
		Book: poison.NewBook(1), Runners: forwarder.Runners, Caller: caller, Tomb: new(tomb.Tomb), Logger: zerolog.Nop(), Now: time.Now,
	}
	w := &watched{forwarder: forwarder, request: &work.Request{
		ID: "q", Method: http.MethodPost, Body: []byte("text"), Arrived: time.Now(), Deadline: time.Now().Add(time.Minute),
	}}
	w.end(ends)
	return w
}

// end has so many runners end under the request.
func (w *watched) end(count int) {
	for range count {
		already := w.ends()
		w.forwarder.Ends.Book.Ended(ident.Incarnation(fmt.Sprint("gone", already)), []poison.Print{w.print()}, time.Now(), time.Now())
	}
}

func (w *watched) print() poison.Print { return w.forwarder.Key.Of(w.request) }

func (w *watched) ends() int {
	ends, _ := w.forwarder.Ends.Book.Ends(w.print())
	return ends
}

func (w *watched) serve(writer work.AnswerWriter) error {
	route := &work.Route{
		Name: "r", Kind: work.Streaming, Resumable: true, MaximumAttempts: 3, Objective: time.Second,
		Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}
	return w.forwarder.Serve(context.Background(), route, w.request, writer)
}

// TestRequestUnderWhichThreeRunnersEndedIsRefused tells its caller at once, though all places are taken, that it has run, and invites
// it to nothing.
func TestRequestUnderWhichThreeRunnersEndedIsRefused(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Second}
		forwarder := busySite(caller)
		w := newWatched(forwarder, caller, 3)
		others := make(chan []result, 1)
		go func() { others <- serveAll(context.Background(), forwarder, slots+queued) }()
		synctest.Wait()
		began := time.Now()
		told := failure.As(w.serve(&recorder{}))
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, told.Code, failure.CodeEndsRunners)
		assert.Equal(t, told.Outcome, outcome.Ran)
		assert.Equal(t, told.RetryAfter, time.Duration(0))
		<-others
		assert.Equal(t, caller.sent, slots+queued)
	})
}

func TestRequestThatComesToItsEndIsExcused(t *testing.T) {
	caller := &busyCaller{}
	w := newWatched(busySite(caller), caller, 2)
	assert.NilError(t, w.serve(&recorder{}))
	assert.Equal(t, w.ends(), 0)
}

// TestRequestThatWaitsIsRefusedOnceItIsKnown has other nodes tell of it while it waits for a place.
func TestRequestThatWaitsIsRefusedOnceItIsKnown(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Second}
		forwarder := busySite(caller)
		w := newWatched(forwarder, caller, 2)
		others := make(chan []result, 1)
		go func() { others <- serveAll(context.Background(), forwarder, slots+queued) }()
		synctest.Wait()
		time.AfterFunc(500*time.Millisecond, func() { w.end(1) })
		err := w.serve(&recorder{})
		assert.Equal(t, failure.As(err).Code, failure.CodeEndsRunners)
		<-others
		assert.Equal(t, caller.sent, slots+queued)
	})
}

// endingCaller breaks its answer off after the first event, when the third runner has ended under the request.
type endingCaller struct {
	scriptedCaller
	ends func()
}

func (c *endingCaller) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	c.ends()
	return c.scriptedCaller.Send(ctx, attempt)
}

func TestStreamThatEndsItsRunnersIsNotGoneOnWith(t *testing.T) {
	caller := &endingCaller{scriptedCaller: scriptedCaller{replies: []*work.Reply{stream(firstEvent, false), stream(secondEvent, true)}}}
	forwarder := busySite(caller)
	forwarder.Runners.Replace([]work.Runner{{ID: "1", Service: "s", Zone: "z", Slots: slots}, {ID: "2", Service: "s", Zone: "z", Slots: slots}}, time.Now(), true)
	w := newWatched(forwarder, caller, 2)
	caller.ends = func() { w.end(1) }
	writer := &recorder{}
	assert.ErrorIs(t, w.serve(writer), online.ErrBroken)
	assert.Equal(t, writer.body.String(), firstEvent)
	assert.Equal(t, len(caller.resumed), 1)
}
