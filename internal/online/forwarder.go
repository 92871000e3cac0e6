// Package online serves requests whose caller waits: it chooses runners, keeps to the attempts and the time a route
// allows, resumes broken streams where that is allowed, and says of every failure whether the request may have run.
package online

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/endwatch"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// maximumTries bounds the runners asked in a row where none ran the request.
	maximumTries = 5
	// retryAfter is when a client may come back that was refused by full runners: longer than a burst's first queue,
	// shorter than its patience.
	retryAfter = 300 * time.Millisecond
	// retryAfterOutage is when a client may come back where no runner could be reached: they restart within seconds, and
	// clients have few retries.
	retryAfterOutage = 1200 * time.Millisecond
	// silenceFactor times the objective is how long a runner may leave a repeatable request without a first event before
	// another gets it, within the bounds below.
	silenceFactor   = 3
	shortestSilence = 600 * time.Millisecond
	longestSilence  = 1200 * time.Millisecond
	// pauseFactor times the pause that a route allows between two events is how long a runner may leave a stream that has
	// begun without the next one. Half a pause would leave time to go on elsewhere within it, and ends sound streams beside
	// long prompts.
	pauseFactor = 2
	// writeSlack is how long after a request's end its answer may still be written to a slow caller.
	writeSlack = 2 * time.Second
	// leastBudget is the time below which an attempt is not worth sending.
	leastBudget = 5 * time.Millisecond
)

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	Runners *runnertable.Table
	Caller  work.Caller
	// Ends finds out which requests end the runners that run them; nil lets each run.
	Ends *endwatch.Watch
	// Held bounds what the node holds for callers; nil bounds nothing.
	Held *heldbytes.OfNode
	// Key is what the prints of requests are made with.
	Key    poison.Key
	Logger zerolog.Logger
	Now    func() time.Time
	// Owners are asked before a choice where runners tell their pace; nil asks nobody.
	Owners Owners
	// Asks has the owners of runners asked for places, where they ration them and a request waits; nil asks nobody. It must not block.
	Asks func()

	rooms rooms
}

// Serve answers one request of a route. A nil error means that the whole answer was passed on. An error that wraps
// ErrBroken means that the answer was begun and must not look complete; any other is a *failure.Error for an answer
// that was not begun.
func (f *Forwarder) Serve(ctx context.Context, route *work.Route, request *work.Request, writer work.AnswerWriter) error {
	deadline := f.deadline(route, request)
	writer.Until(deadline.Add(writeSlack))
	ctx, cancel := clock.WithDeadline(ctx, deadline)
	defer cancel()
	service := chooseService(route)
	room := f.roomOf(service)
	exchange := &exchange{
		forwarder: f, ctx: ctx, route: route, request: request, writer: writer, deadline: deadline,
		service: service, tried: map[ident.Incarnation]bool{}, full: map[ident.Incarnation]bool{},
		lastEvent: request.ResumeAfter, outcome: outcome.NotRun,
		room: room, waiter: room.waiter(request, route, onTime(route, request, deadline), deadline.Add(-leastBudget)),
	}
	return exchange.run()
}

// deadline is when the client stops waiting or the route's time is over, whichever is first.
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

// onTime is until when an answer earns its full credit; where the route names no objective, until the deadline.
func onTime(route *work.Route, request *work.Request, deadline time.Time) time.Time {
	if route.Objective <= 0 {
		return deadline
	}
	return request.Arrived.Add(route.Objective)
}

// defaultTimeout bounds a request for which neither the client nor the route names a time.
const defaultTimeout = 60 * time.Second

// chooseService draws a part of the route's split by its weight.
func chooseService(route *work.Route) string {
	total := 0.0
	for _, part := range route.Split {
		total += part.Weight
	}
	drawn := rand.Float64() * total
	for _, part := range route.Split {
		drawn -= part.Weight
		if drawn < 0 {
			return part.Service
		}
	}
	return route.Split[len(route.Split)-1].Service
}

// classify says what a failed sending means for the request and for the runner.
func classify(err error) (outcome.Outcome, runnertable.Failure) {
	if errors.Is(err, connpool.ErrNotSent) {
		return outcome.NotRun, runnertable.Unreachable
	}
	return outcome.Unknown, runnertable.NoAnswer
}

// ErrBroken means that an answer was begun and cannot be ended.
const ErrBroken = failure.Kind("online: answer broken off")
