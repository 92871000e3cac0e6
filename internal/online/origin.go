package online

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/streamorigin"
	"mallowlatch.example/mallowlatch/internal/work"
)

// What runners of two software versions write does not fit together, and runners do not check that. A stream therefore goes on only at
// a runner of the version that began it, within an answer and over the attempts of its client; one whose version is unknown does not go on.

// Origins remembers where streams began, over all nodes.
type Origins interface {
	// Begun records where a stream began. split means that several services serve its route, so that the service has to be known too. It must
	// not block.
	Begun(stream ident.Request, origin work.Origin, split bool)
	// Find returns where a stream began that is served by one of the services. Its error wraps streamorigin.ErrUnknown or
	// streamorigin.ErrOutOfReach.
	Find(ctx context.Context, stream ident.Request, services []string) (work.Origin, error)
}

// date returns the time of day.
func (f *Forwarder) date() time.Time {
	if f.Date == nil {
		return f.Now()
	}
	return f.Date()
}

// streamOf returns the id under which the origin of a request's stream is recorded.
func streamOf(request *work.Request) ident.Request {
	if request.ResumeAfter > 0 {
		return request.Resumes
	}
	return request.ID
}

// findOrigin finds where a stream began that the client takes up. Its error is the final one.
func (e *exchange) findOrigin() error {
	if e.request.ResumeAfter <= 0 {
		return nil
	}
	origin, err := e.forwarder.findOrigin(e.ctx, e.stream, e.route)
	if err == nil && !e.route.Serves(origin.Service) {
		err = fmt.Errorf("%w: service %s no longer serves the route", streamorigin.ErrUnknown, origin.Service)
	}
	if err != nil {
		return e.refuseResumption(err)
	}
	e.origin, e.service = &origin, origin.Service
	e.queue = e.forwarder.queueOf(origin.Service)
	return nil
}

func (f *Forwarder) findOrigin(ctx context.Context, stream ident.Request, route *work.Route) (work.Origin, error) {
	services := route.Services()
	if f.Origins != nil {
		return f.Origins.Find(ctx, stream, services)
	}
	versions := f.Runners.Versions(services[0], f.Now())
	if len(services) > 1 || len(versions) != 1 || versions[0] == "" {
		return work.Origin{}, streamorigin.ErrUnknown
	}
	return work.Origin{Service: services[0], Version: versions[0]}, nil
}

// refuseResumption returns the final error of a stream that cannot go on. Its client is told to come back only if nodes that may know
// where the stream began were out of reach, or if the registry may tell later.
func (e *exchange) refuseResumption(cause error) error {
	refused := failure.New(failure.CodeNotResumable, "no runner can go on with the stream").WithOutcome(e.outcome).WithCause(cause)
	if errors.Is(cause, streamorigin.ErrOutOfReach) || errors.Is(cause, streamorigin.ErrNotYetListed) {
		return refused.WithRetryAfter(minRetryAfter)
	}
	return refused
}

// confirmRunner makes sure that the runner of a stream that goes on is the incarnation that the registry lists. After its answer has begun, this
// proves that the answer is of that incarnation too.
func (e *exchange) confirmRunner(ctx context.Context, flight *runnertable.Flight) error {
	if e.origin == nil {
		return nil
	}
	err := streamorigin.Confirm(ctx, e.forwarder.Caller, flight.Runner)
	if err == nil {
		return nil
	}
	cause := runnertable.Unreachable
	if streamorigin.IsReplaced(err) {
		cause = runnertable.Replaced
	}
	flight.Failed(cause, e.forwarder.Now())
	e.forwarder.Caller.Forget(flight.Runner)
	e.logAttempt(flight, err)
	return err
}

const (
	// originWait is how long a stream waits at most until the registry tells whether the runner that began it had been started again: a
	// heartbeat, the difference of clocks, and the time to the next list.
	originWait = 2500 * time.Millisecond
	// originPoll is the time between two looks meanwhile.
	originPoll = 100 * time.Millisecond
)

// awaitVerified makes sure that the version that began the stream is known, and waits while the next lists may tell and a runner could go on
// with the stream. It comes before the choice of a runner, which may leave while the stream waits.
func (e *exchange) awaitVerified() error {
	if e.origin == nil {
		return nil
	}
	f := e.forwarder
	end := f.Now().Add(originWait)
	for {
		moment := streamorigin.Moment{Date: f.date(), Now: f.Now()}
		err := streamorigin.Verify(e.ctx, f.Caller, f.Runners, *e.origin, moment)
		if !errors.Is(err, streamorigin.ErrNotYetListed) || f.Now().After(end) || !f.serves(e.origin) {
			return err
		}
		select {
		case <-e.ctx.Done():
			return err
		case <-time.After(originPoll):
		}
	}
}

// serves reports whether any runner may go on with what began at an origin.
func (f *Forwarder) serves(origin *work.Origin) bool {
	return slices.ContainsFunc(f.Runners.All(), func(runner work.Runner) bool {
		return runner.State == work.Ready && origin.Permits(runner)
	})
}

// recordOrigin records where the stream began, at the first event that is sent to the caller. A stream that was taken up is recorded
// under its first attempt again, so that more nodes know it.
func (e *exchange) recordOrigin(flight *runnertable.Flight) {
	if e.origin == nil {
		origin := work.OriginOf(flight.Runner, e.forwarder.date())
		e.origin = &origin
	}
	if e.forwarder.Origins != nil && e.route.Resumable && e.stream != "" {
		e.forwarder.Origins.Begun(e.stream, *e.origin, len(e.route.Services()) > 1)
	}
}
