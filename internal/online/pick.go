package online

import (
	"errors"
	"math/rand/v2"

	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// pick chooses a runner once one has a slot. A request that a runner may have run, and a stream that has begun, can't be
// rejected as not run: they wait for a slot at the runner, and here only until a runner has memory for them. So does a stream that
// was taken up: here it would make requests wait that may go to runners of other versions.
func (e *exchange) pick() (*runnertable.Flight, error) {
	if err := e.ctx.Err(); err != nil {
		return nil, err
	}
	if e.runs > 0 || e.headSent || e.origin != nil {
		return e.pickForRetry()
	}
	waited := false
	if e.queue.mustWait(e.waiter) {
		if err := e.waitForSlot(false); err != nil {
			return nil, err
		}
		waited = true
	}
	seed := rand.Uint64()
	pickRequest := e.forwarder.refreshRunners(e.ctx, e.pickRequest(true), seed)
	for {
		pickRequest.NoQueueing = e.queue.beginPick(e.waiter)
		flight, vacant, err := e.pickOrVacant(pickRequest, seed)
		if err == nil {
			e.queue.slotTaken(e.waiter, flight.Runner.ID, vacant, waited)
			return flight, nil
		}
		e.queue.cancelPick(e.waiter)
		if !errors.Is(err, runnertable.ErrFull) {
			return nil, err
		}
		if err := e.waitForSlot(waited); err != nil {
			return nil, err
		}
		waited = true
		clear(e.full)
		pickRequest.Late = e.late()
	}
}

// pickOrVacant chooses a runner. If all are full it chooses the one where a caller was cut off in favour of waiting requests,
// if there is one, and vacant is true: the request adds no more work than the runner had with that caller.
func (e *exchange) pickOrVacant(pickRequest runnertable.PickRequest, seed uint64) (flight *runnertable.Flight, vacant bool, err error) {
	flight, err = e.forwarder.Runners.Pick(pickRequest, e.forwarder.Now(), newRandom(seed))
	if !errors.Is(err, runnertable.ErrFull) {
		return flight, false, err
	}
	pickRequest.FreedRunner, vacant = e.queue.takeVacancy()
	if !vacant {
		return nil, false, err
	}
	flight, err = e.forwarder.Runners.Pick(pickRequest, e.forwarder.Now(), newRandom(seed))
	return flight, true, err
}

// readmitPaused allows runners that were given up for a pause to resume the stream, for use when no other runner is left. It
// reports whether there are any. Each is asked again once per pause, within the attempts of the route.
func (e *exchange) readmitPaused() bool {
	for _, id := range e.paused {
		delete(e.tried, id)
	}
	found := len(e.paused) > 0
	e.paused = nil
	return found
}

// pickForRetry chooses a runner for a request that may have run.
func (e *exchange) pickForRetry() (*runnertable.Flight, error) {
	seed := rand.Uint64()
	pickRequest := e.forwarder.refreshRunners(e.ctx, e.pickRequest(false), seed)
	for {
		// The request ignores the result, since it yields to none, but counts among its tenant's requests.
		e.queue.beginPick(e.waiter)
		flight, err := e.forwarder.Runners.Pick(pickRequest, e.forwarder.Now(), newRandom(seed))
		if err == nil {
			e.queue.slotTaken(e.waiter, flight.Runner.ID, false, false)
			return flight, nil
		}
		e.queue.cancelPick(e.waiter)
		if errors.Is(err, runnertable.ErrNoRunner) && e.readmitPaused() {
			continue
		}
		if !errors.Is(err, runnertable.ErrFull) {
			return nil, err
		}
		if err := e.queue.waitForMemory(e.ctx); err != nil {
			return nil, err
		}
	}
}
