package online

import (
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/runnertable"
)

// A request that ends its runners comes again under other ids and at other nodes, so that the attempts of a route do not bound the
// runners that it ends: 43 in one storm on a site of 18. What is remembered by its print does, at every node.

// print is the request's. It is made when it is first needed: reading the body costs some microseconds.
func (e *exchange) print() poison.Print {
	if e.printed == "" {
		e.printed = e.forwarder.Key.Of(e.request)
	}
	return e.printed
}

// endsRunners says whether enough runners ended under the request for it to be run no more.
func (e *exchange) endsRunners() bool {
	return !e.forwarder.Ends.Idle() && e.forwarder.Ends.Refused(e.print())
}

// brokeOff notes that the answer to the request broke off at a runner. A caller that left and a deadline say nothing of the runner.
func (e *exchange) brokeOff(flight *runnertable.Flight) {
	if e.forwarder.Ends != nil && e.ctx.Err() == nil {
		e.forwarder.Ends.Broken(flight.Runner, e.print())
	}
}

// cameToItsEnd notes that a runner lived through the request.
func (e *exchange) cameToItsEnd() {
	if !e.forwarder.Ends.Idle() {
		e.forwarder.Ends.Well(e.print())
	}
}

// turnedAway is the final answer of a request that is run no more. It has run, if not under this id, and is not invited again.
func (e *exchange) turnedAway() error {
	event.RequestTurnedAway.Log(e.forwarder.Logger).Str("request", string(e.request.ID)).Str("print", string(e.print())).Send()
	return failure.New(failure.CodeEndsRunners, "runners ended while they ran this request").WithOutcome(outcome.Ran)
}
