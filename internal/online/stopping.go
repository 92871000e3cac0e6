package online

import (
	"context"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// A process that was asked to stop ends after a grace period, and breaks off the answers that have not ended by then. A request that would be
// among them is refused before it is sent, so that its caller can send it to another node at once.

// Stop tells when the process stops. It is safe for concurrent use.
type Stop interface {
	// Begun is done once the process was asked to stop.
	Begun() context.Context
	// End returns when answers are broken off. It is valid once Begun is done.
	End() time.Time
	// Over is done shortly before that: callers that have no answer yet get a final one.
	Over() context.Context
}

// errStopping means that the process stops before an answer could end.
const errStopping = failure.Kind("online: the process stops before an answer could end")

// endWithProcess cancels a request once the process is about to break off its answers. The returned function releases its resources.
func (f *Forwarder) endWithProcess(cancel context.CancelFunc) (release func() bool) {
	if f.Stop == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(f.Stop.Over(), cancel)
}

// latestSending returns when a request of the exchange's route is to be sent at the latest for its answer to end before the process does.
// It is valid once the process was asked to stop.
func (e *exchange) latestSending() time.Time {
	return e.forwarder.Stop.End().Add(-e.forwarder.runTimes.bound(e.route.Name))
}

// endsTooLate reports whether the process is known to end before an answer to a request that is sent now. A request that may have run cannot be
// refused as not run, and goes on.
func (e *exchange) endsTooLate() bool {
	stop := e.forwarder.Stop
	if stop == nil || e.runs > 0 || e.headSent || stop.Begun().Err() == nil {
		return false
	}
	return e.forwarder.Now().After(e.latestSending())
}

// refuseStopping refuses a request because the process ends too soon.
func (e *exchange) refuseStopping() error {
	return failure.New(failure.CodeDraining, "the node stops before an answer could end").WithOutcome(e.outcome).WithCause(errStopping).
		WithRetryAfter(minRetryAfter)
}

// withdrawStopping gives up a slot that a request does not use because the process ends too soon.
func (e *exchange) withdrawStopping(flight *runnertable.Flight) error {
	flight.End()
	e.queue.slotUnused(e.waiter)
	return e.refuseStopping()
}

// waitForSlot waits like queue.wait. Once the process was asked to stop it waits no longer than a request may still be sent; the error then
// wraps errStopping.
func (e *exchange) waitForSlot(again bool) error {
	stop := e.forwarder.Stop
	if stop == nil {
		return e.queue.wait(e.ctx, e.waiter, again)
	}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	release := context.AfterFunc(stop.Begun(), func() {
		timer := time.AfterFunc(max(e.latestSending().Sub(e.forwarder.Now()), 0), cancel)
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	defer release()
	err := e.queue.wait(ctx, e.waiter, again)
	if err != nil && ctx.Err() != nil && e.ctx.Err() == nil {
		return errStopping
	}
	return err
}

const (
	// meanWeight and deviationWeight are the weights of a new run in the moving averages of the duration of runs and of its deviation, and
	// deviations is how many deviations above the mean a run is expected to end. They are those of retransmission timers (RFC 6298).
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviations      = 4
	// firstDeviation is the share of the first run that the deviation begins with.
	firstDeviation = 0.125
)

// runTime estimates how long the runs of a route take. The zero value has seen none.
type runTime struct{ mean, deviation time.Duration }

// add adds a run.
func (r *runTime) add(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = took, time.Duration(firstDeviation*float64(took))
		return
	}
	r.deviation += time.Duration(deviationWeight * float64((took-r.mean).Abs()-r.deviation))
	r.mean += time.Duration(meanWeight * float64(took-r.mean))
}

// bound returns the time within which a run is expected to end.
func (r runTime) bound() time.Duration { return r.mean + deviations*r.deviation }

// runTimes are the estimates of all routes. It is safe for concurrent use.
type runTimes struct {
	mutex  sync.Mutex
	routes map[string]*runTime
}

// add adds a run of a route.
func (r *runTimes) add(route string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.routes == nil {
		r.routes = map[string]*runTime{}
	}
	if r.routes[route] == nil {
		r.routes[route] = &runTime{}
	}
	r.routes[route].add(took)
}

// bound returns the time within which a run of a route is expected to end; zero if none was seen.
func (r *runTimes) bound(route string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known := r.routes[route]; known != nil {
		return known.bound()
	}
	return 0
}
