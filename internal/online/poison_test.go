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

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/poisonwatch"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// watchedRequest is a request at a node that records runners which ended under it.
type watchedRequest struct {
	forwarder *online.Forwarder
	request   *work.Request
}

// newWatchedRequest returns a request under which some runners have ended.
func newWatchedRequest(forwarder *online.Forwarder, caller work.Caller, ends int) *watchedRequest {
	forwarder.Key = poison.Key("k")
	forwarder.PoisonWatch = &poisonwatch.Watch{
		Book: poison.NewBook(1), Runners: forwarder.Runners, Caller: caller, Tomb: new(tomb.Tomb), Logger: zerolog.Nop(), Now: time.Now,
	}
	w := &watchedRequest{forwarder: forwarder, request: &work.Request{
		ID: "q", Method: http.MethodPost, Body: []byte("text"), Arrived: time.Now(), Deadline: time.Now().Add(time.Minute),
	}}
	w.end(ends)
	return w
}

// end records that further runners ended under the request.
func (w *watchedRequest) end(count int) {
	for range count {
		already := w.ends()
		w.forwarder.PoisonWatch.Book.RecordCrash(ident.Incarnation(fmt.Sprint("gone", already)), []poison.Fingerprint{w.fingerprint()}, time.Now(), time.Now())
	}
}

func (w *watchedRequest) fingerprint() poison.Fingerprint { return w.forwarder.Key.Of(w.request) }

func (w *watchedRequest) ends() int {
	ends, _ := w.forwarder.PoisonWatch.Book.Crashes(w.fingerprint())
	return ends
}

func (w *watchedRequest) serve(writer work.AnswerWriter) error {
	route := &work.Route{
		Name: "r", Kind: work.Streaming, Resumable: true, MaximumAttempts: 3, Objective: time.Second,
		Split: []work.WeightedService{{Service: "s", Weight: 1}},
	}
	return w.forwarder.Serve(context.Background(), route, w.request, writer)
}

// TestRequestUnderWhichThreeRunnersEndedIsRefused checks that such a request is refused at once, though all slots are taken,
// that its outcome says that it ran, and that the caller is given no retry delay.
func TestRequestUnderWhichThreeRunnersEndedIsRefused(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Second}
		forwarder := busySite(caller)
		w := newWatchedRequest(forwarder, caller, 3)
		others := make(chan []result, 1)
		go func() { others <- serveAll(context.Background(), forwarder, slots+queued) }()
		synctest.Wait()
		began := time.Now()
		rejection := failure.As(w.serve(&recorder{}))
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, rejection.Code, failure.CodeEndsRunners)
		assert.Equal(t, rejection.Outcome, outcome.Ran)
		assert.Equal(t, rejection.RetryAfter, time.Duration(0))
		<-others
		assert.Equal(t, caller.sent, slots+queued)
	})
}

func TestCompletedRequestClearsRecordedEnds(t *testing.T) {
	caller := &busyCaller{}
	w := newWatchedRequest(busySite(caller), caller, 2)
	assert.NilError(t, w.serve(&recorder{}))
	assert.Equal(t, w.ends(), 0)
}

// TestWaitingPoisonRequestIsRefusedOnceKnown has other nodes report the third end while the request waits for a slot.
func TestWaitingPoisonRequestIsRefusedOnceKnown(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &busyCaller{takes: time.Second}
		forwarder := busySite(caller)
		w := newWatchedRequest(forwarder, caller, 2)
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

// endingCaller records the third end of a runner under the request, and breaks its answer off after the first event.
type endingCaller struct {
	scriptedCaller
	ends func()
}

func (c *endingCaller) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	c.ends()
	return c.scriptedCaller.Send(ctx, attempt)
}

func TestStreamThatEndsItsRunnersIsNotResumed(t *testing.T) {
	caller := &endingCaller{scriptedCaller: scriptedCaller{replies: []*work.Reply{stream(firstEvent, false), stream(secondEvent, true)}}}
	forwarder := busySite(caller)
	forwarder.Runners.Replace([]work.Runner{{ID: "1", Service: "s", Version: "v1", Zone: "z", Slots: slots}, {ID: "2", Service: "s", Version: "v1", Zone: "z", Slots: slots}}, time.Now(), true)
	w := newWatchedRequest(forwarder, caller, 2)
	caller.ends = func() { w.end(1) }
	writer := &recorder{}
	assert.ErrorIs(t, w.serve(writer), online.ErrBroken)
	assert.Equal(t, writer.body.String(), firstEvent)
	assert.Equal(t, len(caller.resumed), 1)
}
