package exchange

import (
	"context"

	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// Online takes a peer's counts and answers with this node's view of the runners.
func (e *Exchange) Online(_ context.Context, message *dispatchpb.OnlineCounts) (*dispatchpb.RunnerStates, error) {
	now := e.config.Now()
	reply := &dispatchpb.RunnerStates{}
	for _, count := range message.GetCounts() {
		runner := ident.Runner(count.GetRunner())
		e.config.Table.ObservePeer(ident.Node(message.GetNode()), message.GetSequence(), runner, int(count.GetInFlight()), now)
		view, known := e.config.Table.Runner(runner, now)
		if known && view.Report != nil {
			state := encodeState(&view)
			state.Cache = e.cacheChanges(runner, count.GetCache())
			reply.States = append(reply.States, state)
		}
	}
	return reply, nil
}

// Share takes the state of runners that a peer owns.
func (e *Exchange) Share(_ context.Context, message *dispatchpb.RunnerStates) (*dispatchpb.Received, error) {
	e.takeStates(message)
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

func (e *Exchange) takeStates(states *dispatchpb.RunnerStates) {
	now := e.config.Now()
	for _, state := range states.GetStates() {
		runner := ident.Runner(state.GetRunner())
		e.config.Table.ObserveShared(runner, decodeState(state, now), now)
		if state.GetCache() != nil {
			e.config.Table.ObserveCache(runner, decodeDelta(state.GetCache()), now)
		}
	}
}
