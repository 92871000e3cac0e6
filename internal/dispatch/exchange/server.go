package exchange

import (
	"context"

	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Online records a peer's counts and returns the states of the runners that are new to the peer.
func (e *Exchange) Online(_ context.Context, message *dispatchpb.OnlineCounts) (*dispatchpb.RunnerStates, error) {
	now := e.config.Now()
	e.core.ObserveCounts(message, now)
	e.mutex.Lock()
	reply := e.core.Reply(message, now)
	e.mutex.Unlock()
	e.metrics.repliedCaches(reply.GetCaches())
	return reply, nil
}

// Share records the states of runners that a peer owns.
func (e *Exchange) Share(_ context.Context, message *dispatchpb.RunnerStates) (*dispatchpb.Received, error) {
	e.core.ObserveStates(message, e.config.Now())
	return &dispatchpb.Received{}, nil
}

// Leaving records a peer's notification that runners accept no new work. It is not forwarded, because the node that detects
// it notifies all others.
func (e *Exchange) Leaving(_ context.Context, message *dispatchpb.LeavingRunners) (*dispatchpb.Received, error) {
	now := e.config.Now()
	for _, runner := range message.GetRunners() {
		e.config.Table.ObserveLeaving(ident.Runner(runner), false, now)
	}
	return &dispatchpb.Received{}, nil
}
