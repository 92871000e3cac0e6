package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
)

// Failures of the steps of a planned stop.
const (
	// ErrStepAbandoned means that a step went on after its time was up. It is left to itself; the process ends soon.
	ErrStepAbandoned = failure.Kind("node: step of the stop abandoned")
	// ErrShardsAway means that batch results cannot be stored, as no node that could store them is left.
	ErrShardsAway = failure.Kind("node: no node left to store batch results")
)

// A planned stop ends within limits.drain_timeout and stopAllowance, whatever its steps do.
const (
	// stopBound is how long a step that does not wait for callers may take.
	stopBound = 10 * time.Second
	// closeBound is how long the steps that end what answers may take together.
	closeBound = 15 * time.Second
	// leastStep is what a step still gets when the time is up, to abort what it waited for.
	leastStep = time.Second
	// abandonAfter is how long a step whose time is up may take to notice.
	abandonAfter = 500 * time.Millisecond
	// maximumSteps bounds the steps of a stop.
	maximumSteps  = 24
	stopAllowance = closeBound + maximumSteps*(leastStep+abandonAfter)
)

// stopStep is one step of a planned stop. A step that does not end in its time is logged and the stop goes on.
type stopStep struct {
	name  string
	bound time.Duration
	run   func(context.Context) error
}

// end returns when a step that begins now must end: after its own bound, and with the phase it belongs to, but it always
// gets leastStep.
func (s stopStep) end(now, phaseEnd time.Time) time.Time {
	end := now.Add(s.bound)
	if phaseEnd.Before(end) {
		end = phaseEnd
	}
	if least := now.Add(leastStep); end.Before(least) {
		return least
	}
	return end
}

// stop stops the node as planned. The order matters: others are told first, so that they send nothing new; then new work
// is refused while requests in progress finish; then duties that others must take over are handed over; and only then
// are the listeners closed on which all of that was answered.
func (n *Node) stop() error {
	event.NodeStopping.Log(n.logger).Send()
	cause := n.tomb.Err()
	n.drain()
	closing := time.Now().Add(closeBound)
	n.runSteps(n.closeSteps(), closing)
	for _, step := range n.endSteps() {
		if err := n.runStep(step, closing); err != nil && cause == nil {
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
	n.drained.Do(func() { n.runSteps(n.drainSteps(), time.Now().Add(n.settings.Limits.DrainTimeout)) })
}

// drainSteps leave the node without work and without duties, but still answering. They share the drain time.
func (n *Node) drainSteps() []stopStep {
	bound := n.settings.Limits.DrainTimeout
	steps := []stopStep{
		{"announce leaving", stopBound, n.announceLeaving},
		{"drain callers and batch", bound, n.drainWork},
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

// drainWork waits for the requests of callers and the batch items that run. Both get all of the drain time.
func (n *Node) drainWork(ctx context.Context) error {
	var batch tomb.Tomb
	batch.Go(func() error { return n.drainBatch(ctx) })
	return errors.Join(n.gateway.Drain(ctx), batch.Wait())
}

// drainBatch waits for the batch items that run, as long as a node is there to store their results.
func (n *Node) drainBatch(ctx context.Context) error {
	draining, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watch tomb.Tomb
	watch.Go(func() error { n.watchShards(draining, cancel); return nil })
	if err := n.worker.Drain(draining); err != nil {
		return fmt.Errorf("drain batch: %w", context.Cause(draining))
	}
	return nil
}

const (
	shardsPoll = 250 * time.Millisecond
	// shardsAwayAfter is how long no node may have been there to store results before the wait for them ends.
	shardsAwayAfter = 3 * time.Second
)

// watchShards cancels with ErrShardsAway once no node can store results: when a whole fleet stops, the last ones would
// wait for shards whose other members are gone, until their leases run out.
func (n *Node) watchShards(ctx context.Context, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(shardsPoll)
	defer ticker.Stop()
	since := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if n.canStoreResults() {
				since = now
			}
			if now.Sub(since) >= shardsAwayAfter {
				cancel(ErrShardsAway)
				return
			}
		}
	}
}

// canStoreResults reports whether another node with a disk takes part, or this one leads a shard.
func (n *Node) canStoreResults() bool {
	if n.storage != nil && len(n.storage.host.Led()) > 0 {
		return true
	}
	for _, disk := range n.peers.disks() {
		if disk.Node != n.id() && disk.Alive {
			return true
		}
	}
	return false
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

// endSteps end what runs. Their errors are the node's.
func (n *Node) endSteps() []stopStep {
	steps := []stopStep{{"end parts", stopBound, ignoreContext(func() error {
		n.tomb.Kill(nil)
		return n.tomb.Wait()
	})}}
	if n.storage != nil {
		steps = append(steps, stopStep{"close storage", stopBound, ignoreContext(n.storage.Close)})
	}
	return steps
}

func (n *Node) runSteps(steps []stopStep, phaseEnd time.Time) {
	for _, step := range steps {
		// A step that fails is logged; the stop goes on.
		_ = n.runStep(step, phaseEnd)
	}
}

func ignoreContext(run func() error) func(context.Context) error {
	return func(context.Context) error { return run() }
}

// runStep runs a step within its time. One that does not notice that its time is up is left to itself.
func (n *Node) runStep(step stopStep, phaseEnd time.Time) error {
	end := step.end(time.Now(), phaseEnd)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	ended := make(chan error, 1)
	// Not supervised: nobody could wait for it.
	go func() { ended <- step.run(ctx) }()
	late := time.NewTimer(time.Until(end) + abandonAfter)
	defer late.Stop()
	var err error
	select {
	case err = <-ended:
	case <-late.C:
		err = fmt.Errorf("%s: %w", step.name, ErrStepAbandoned)
	}
	if err != nil {
		event.NodeStopStep.Log(n.logger).Str("step", step.name).Err(err).Send()
	}
	return err
}
