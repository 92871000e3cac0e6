package exchange

import (
	"context"

	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Online takes a peer's counts and answers with what is news to it of the runners.
func (e *Exchange) Online(_ context.Context, message *dispatchpb.OnlineCounts) (*dispatchpb.RunnerStates, error) {
	now := e.config.Now()
	e.core.Counted(message, now)
	e.mutex.Lock()
	reply := e.core.Reply(message, now)
	e.mutex.Unlock()
	e.metrics.repliedCaches(reply.GetCaches())
	return reply, nil
}

// Share takes the state of runners that a peer owns.
func (e *Exchange) Share(_ context.Context, message *dispatchpb.RunnerStates) (*dispatchpb.Received, error) {
	e.core.Take(message, e.config.Now())
	return &dispatchpb.Received{}, nil
}

// Leaving takes the news that runners take no new work. It is not passed on: who learns it at first hand tells everyone.
func (e *Exchange) Leaving(_ context.Context, message *dispatchpb.LeavingRunners) (*dispatchpb.Received, error) {
	now := e.config.Now()
	for _, runner := range message.GetRunners() {
		e.config.Table.ObserveLeaving(ident.Runner(runner), false, now)
	}
	return &dispatchpb.Received{}, nil
}
