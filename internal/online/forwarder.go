// Package online serves requests whose caller waits for the answer. It picks a runner for each attempt, after querying the
// owners of the candidate runners for their current load, and queues requests by tenant and urgency while the slots of a
// service are scarce. It enforces the attempts and the time that a route allows, resumes broken streams where the route allows
// that, buffers answers for slow callers or cuts these callers off, refuses requests that end their runners, and states for
// each failure whether the request may have run. It also reports scarce slots and waiting requests to the account holders of
// services and the owners of runners, and applies the bounds and grants that these return.
package online

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/poisonwatch"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// maximumTries limits the consecutive runners that are sent a request while none executes it.
	maximumTries = 5
	// minRetryAfter is the least time after which a client may retry that was refused because all runners are full: longer
	// than the first queue of a burst, shorter than clients wait.
	minRetryAfter = 300 * time.Millisecond
	// retryAfterOutage is the time after which a client may retry if no runner could be reached. Runners restart within
	// seconds, and clients have few retries.
	retryAfterOutage = 1200 * time.Millisecond
	// silenceFactor times the objective, within the bounds below, is how long a runner may take to send the first event of a
	// repeatable request before the request is sent to another one.
	silenceFactor = 3
	minSilence    = 600 * time.Millisecond
	maxSilence    = 1200 * time.Millisecond
	// pauseFactor times the pause between two events that a route allows is how long a runner may leave a started stream
	// without a further event. Half the pause would leave time to resume the stream elsewhere within it, but ends healthy
	// streams whose runners process long prompts at the same time.
	pauseFactor = 2
	// writeGrace is how long after a request's deadline its answer may still be written to a slow caller.
	writeGrace = 2 * time.Second
	// minBudget is the remaining time below which no attempt is sent.
	minBudget = 5 * time.Millisecond
)

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	Runners *runnertable.Table
	Caller  work.Caller
	// PoisonWatch identifies requests that end the runners that run them; if nil, no request is refused for that.
	PoisonWatch *poisonwatch.Watch
	// MemoryBudget limits the memory that the node uses on behalf of callers; nil sets no limit.
	MemoryBudget *memorybudget.NodeBudget
	// Key is the key of request fingerprints.
	Key    poison.Key
	Logger zerolog.Logger
	Now    func() time.Time
	// Date returns the time of day; nil stands for Now.
	Date func() time.Time
	// Owners are queried before a runner is chosen if runners report their pace; nil disables these queries.
	Owners Owners
	// Origins finds where streams began that are taken up here; nil means that the table of runners alone must tell.
	Origins Origins
	// RequestSlots triggers requests for slots to the owners of runners when a request waits for rationed slots; it may be nil. It
	// must not block.
	RequestSlots func()
	// Stop tells when the process stops; nil means that it is not known.
	Stop Stop

	queues   queues
	runTimes runTimes
}

// Serve answers one request of a route. A nil error means that the whole answer was relayed. An error that wraps ErrBroken
// means that the answer was begun and must not look complete; any other is a *failure.Error for an answer that was not begun.
func (f *Forwarder) Serve(ctx context.Context, route *work.Route, request *work.Request, writer work.AnswerWriter) error {
	deadline := f.deadline(route, request)
	writer.Until(deadline.Add(writeGrace))
	ctx, cancel := clock.WithDeadline(ctx, deadline)
	defer cancel()
	defer f.endWithProcess(cancel)()
	service := route.ServiceAt(rand.Float64())
	queue := f.queueOf(service)
	exchange := &exchange{
		forwarder: f, ctx: ctx, route: route, request: request, writer: writer, deadline: deadline,
		service: service, tried: map[ident.Incarnation]bool{}, full: map[ident.Incarnation]bool{},
		lastEvent: request.ResumeAfter, outcome: outcome.NotRun, stream: streamOf(request),
		queue: queue, waiter: queue.waiter(request, route, onTimeDeadline(route, request, deadline), deadline.Add(-minBudget)),
	}
	if err := exchange.findOrigin(); err != nil {
		return err
	}
	return exchange.run()
}

// deadline returns when the client stops waiting or the route's timeout ends, whichever is earlier.
func (f *Forwarder) deadline(route *work.Route, request *work.Request) time.Time {
	deadline := request.Deadline
	if route.Timeout > 0 {
		routeEnd := request.Arrived.Add(route.Timeout)
		if deadline.IsZero() || routeEnd.Before(deadline) {
			deadline = routeEnd
		}
	}
	if deadline.IsZero() {
		deadline = request.Arrived.Add(defaultTimeout)
	}
	return deadline
}

// onTimeDeadline returns the time until which an answer meets the route's objective, or the deadline if the route has none.
func onTimeDeadline(route *work.Route, request *work.Request, deadline time.Time) time.Time {
	if route.Objective <= 0 {
		return deadline
	}
	return request.Arrived.Add(route.Objective)
}

// defaultTimeout applies to requests for which neither the client nor the route sets a time limit.
const defaultTimeout = 60 * time.Second

// classify returns what a failed send means for the request and for the runner.
func classify(err error) (outcome.Outcome, runnertable.Failure) {
	if errors.Is(err, connpool.ErrNotSent) {
		return outcome.NotRun, runnertable.Unreachable
	}
	return outcome.Unknown, runnertable.NoAnswer
}

// ErrBroken means that an answer was begun and cannot be completed.
const ErrBroken = failure.Kind("online: answer broken off after its start")
