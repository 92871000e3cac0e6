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
	n.drain()
	n.runSteps(n.closeSteps())
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

// drain empties the node, once: an operator's drain and a planned stop begin the same way.
func (n *Node) drain() {
	n.drained.Do(func() { n.runSteps(n.drainSteps()) })
}

// drainSteps leave the node without work and without duties, but still answering.
func (n *Node) drainSteps() []stopStep {
	bound := n.settings.Limits.DrainTimeout
	steps := []stopStep{
		{"announce leaving", stopBound, n.announceLeaving},
		{"drain callers", bound, n.gateway.Drain},
		{"drain batch", bound, n.worker.Drain},
		{"drain dispatcher", bound, n.dispatcher.Drain},
		{"stop batch", stopBound, ignoreContext(n.worker.Stop)},
		{"release runners", stopBound, n.owners.Release},
	}
	if n.placement != nil {
		steps = append(steps, stopStep{"stop placement", stopBound, ignoreContext(n.placement.Stop)})
	}
	if n.storage != nil {
		steps = append(steps,
			stopStep{"leave shards", bound, n.storage.host.Leave},
			stopStep{"hand over shards", stopBound, n.handOverShards})
	}
	return steps
}

// announceLeaving tells load balancers and the other nodes, if there are any, and gives the word time to spread.
func (n *Node) announceLeaving(ctx context.Context) error {
	n.gateway.AnnounceDrain()
	if len(n.peers.live()) == 0 {
		return nil
	}
	return n.members.Leave(ctx)
}

// handOverShards hands the leadership of shards to other nodes with a disk, if any stays.
func (n *Node) handOverShards(ctx context.Context) error {
	for _, disk := range n.peers.disks() {
		if disk.Node != n.id() && disk.Alive && !disk.Draining {
			return n.storage.host.Drain(ctx)
		}
	}
	return nil
}

// closeSteps end what answers.
func (n *Node) closeSteps() []stopStep {
	steps := []stopStep{
		{"close dispatcher", stopBound, ignoreContext(n.dispatcher.Close)},
		{"close job client", stopBound, ignoreContext(n.jobs.Close)},
		{"stop exchange", stopBound, ignoreContext(n.exchange.Stop)},
		{"stop demand exchange", stopBound, ignoreContext(n.demand.Stop)},
		{"close caller listener", stopBound, n.callerServer.Shutdown},
		{"close admin listener", stopBound, n.adminServer.Shutdown},
		{"leave", stopBound, n.members.Stop},
	}
	if n.storage != nil {
		// The streams of the replicas end with the host; the listener waits for them.
		steps = append(steps, stopStep{"stop replicas", stopBound, ignoreContext(n.storage.host.Stop)})
	}
	return append(steps,
		stopStep{"close peer listener", stopBound, n.peerServer.Stop},
		stopStep{"close connections", stopBound, ignoreContext(n.pool.Close)},
	)
}

func (n *Node) runSteps(steps []stopStep) {
	for _, step := range steps {
		n.runStep(step)
	}
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
