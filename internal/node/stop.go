package node

import (
	"context"
	"errors"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/event"
)

// stopStep is one step of a planned stop. A step that does not end in its time is logged and the stop goes on.
type stopStep struct {
	name  string
	bound time.Duration
	run   func(context.Context) error
}

// stop stops the node as planned. The order matters: others are told first, so that they send nothing new; then new work
// is refused while requests in progress finish; then duties that others must take over are handed over; and only then
// are the listeners closed on which all of that was answered.
func (n *Node) stop() error {
	event.NodeStopping.Log(n.logger).Send()
	cause := n.tomb.Err()
	for _, step := range n.stopSteps() {
		n.runStep(step)
	}
	n.tomb.Kill(nil)
	if err := n.tomb.Wait(); err != nil && cause == nil {
		cause = err
	}
	if n.storage != nil {
		if err := n.storage.Close(); err != nil && cause == nil {
			cause = err
		}
	}
	if cause != nil && !errors.Is(cause, tomb.ErrStillAlive) {
		event.NodeFailed.Log(n.logger).Err(cause).Send()
		return cause
	}
	event.NodeStopped.Log(n.logger).Send()
	return nil
}

func (n *Node) stopSteps() []stopStep {
	drain := n.settings.Limits.DrainTimeout
	steps := []stopStep{
		{"announce leaving", stopBound, n.members.Leave},
		{"drain callers", drain, n.gateway.Drain},
		{"drain batch", drain, n.worker.Drain},
		{"drain dispatcher", drain, n.dispatcher.Drain},
		{"stop batch", stopBound, ignoreContext(n.worker.Stop)},
		{"release runners", stopBound, n.owners.Release},
	}
	if n.storage != nil {
		steps = append(steps, stopStep{"hand over shards", stopBound, n.storage.host.Drain})
	}
	return append(steps,
		stopStep{"close dispatcher", stopBound, ignoreContext(n.dispatcher.Close)},
		stopStep{"close job client", stopBound, ignoreContext(n.jobs.Close)},
		stopStep{"stop exchange", stopBound, ignoreContext(n.exchange.Stop)},
		stopStep{"stop demand exchange", stopBound, ignoreContext(n.demand.Stop)},
		stopStep{"close caller listener", stopBound, n.callerServer.Shutdown},
		stopStep{"close admin listener", stopBound, n.adminServer.Shutdown},
		stopStep{"leave", stopBound, n.members.Stop},
		stopStep{"close peer listener", stopBound, n.peerServer.Stop},
		stopStep{"close connections", stopBound, ignoreContext(n.pool.Close)},
	)
}

func ignoreContext(run func() error) func(context.Context) error {
	return func(context.Context) error { return run() }
}

func (n *Node) runStep(step stopStep) {
	ctx, cancel := context.WithTimeout(context.Background(), step.bound)
	defer cancel()
	if err := step.run(ctx); err != nil {
		event.NodeStopStep.Log(n.logger).Str("step", step.name).Err(err).Send()
	}
}
