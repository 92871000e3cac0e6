package runnertable_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/waitqueue"
	"mallowlatch.example/mallowlatch/internal/work"
)

// zoneSetup is one zone of a simulated load.
type zoneSetup struct {
	zone    ident.Zone
	runners int
	// rate is the number of requests per second to its nodes.
	rate float64
}

// zoneSim simulates load in several zones. Each node has its own table, and polls two workers of each zone, each of
// which owns half of its runners.
type zoneSim struct {
	random    *rand.Rand
	startedAt time.Time
	now       time.Time
	zones     []zoneSetup
	nodes     []*simNode
	runners   []*simRunner
	owned     [][]*simRunner
	// partitioned is the zone that is cut off from the others from partitionedFrom until partitionedUntil.
	partitioned                       ident.Zone
	partitionedFrom, partitionedUntil time.Time
	events                            []simEvent
	requests                          []*simRequest
}

type simNode struct {
	zone  ident.Zone
	table *runnertable.Table
	// polled is when each worker was last polled, pausedUntil until when it is not polled after a failure.
	polled, pausedUntil []time.Time
	queue               waitqueue.Queue
	// queued is the moving average of the time that its requests wait at runners.
	queued  time.Duration
	waiting map[*waitqueue.Waiter]*simRequest
}

type simRunner struct {
	runner          work.Runner
	running, queued []*simRequest
}

type simRequest struct {
	node          *simNode
	from          ident.Zone
	arrived, ends time.Time
	sent          time.Time
	flight        *runnertable.Flight
	tried         map[ident.Incarnation]bool
	waiter        *waitqueue.Waiter
	// begun is when a runner started it; zero if it did not start.
	begun time.Time
	at    ident.Zone
}

// simEvent is an action scheduled for a later time.
type simEvent struct {
	at     time.Time
	action func()
}

const (
	simNodes, simSlots = 9, 8
	// simRun is the mean duration of a request, which varies uniformly by up to half.
	simRun = 600 * time.Millisecond
	// simMaxWait is how long a request may wait for a slot and still meet an objective of 300 ms.
	simMaxWait = 240 * time.Millisecond
	// simLatest is the time after which a request is given up.
	simLatest = 4 * time.Second
	// simLocalRoundTrip and simRemoteRoundTrip are the round-trip times of a poll within the zone and to another one.
	simLocalRoundTrip, simRemoteRoundTrip = 2 * time.Millisecond, 5 * time.Millisecond
	// simPollTimeout is the timeout of a poll, simPollPause how long the worker is not polled after it, and
	// simDialTimeout the timeout for opening a connection.
	simPollTimeout, simPollPause, simDialTimeout = 300 * time.Millisecond, 500 * time.Millisecond, 400 * time.Millisecond
	simQueueInterval, simProbeInterval           = 20 * time.Millisecond, 250 * time.Millisecond
)

func newZoneSim(seed uint64, setups ...zoneSetup) *zoneSim {
	z := &zoneSim{random: rand.New(rand.NewPCG(seed, 1)), startedAt: time.Unix(1000, 0), now: time.Unix(1000, 0), zones: setups}
	var listed []work.Runner
	for _, setup := range setups {
		halves := [2][]*simRunner{}
		for index := range setup.runners {
			runner := &simRunner{runner: work.Runner{ID: ident.Incarnation(fmt.Sprint(setup.zone, "-", index)), Service: "s",
				Address: fmt.Sprint(setup.zone, ":", index), Zone: setup.zone, Slots: simSlots}}
			listed = append(listed, runner.runner)
			z.runners = append(z.runners, runner)
			halves[index%2] = append(halves[index%2], runner)
		}
		z.owned = append(z.owned, halves[0], halves[1])
	}
	for _, setup := range setups {
		for range simNodes {
			node := &simNode{zone: setup.zone, table: runnertable.New(setup.zone), waiting: map[*waitqueue.Waiter]*simRequest{},
				polled: make([]time.Time, len(z.owned)), pausedUntil: make([]time.Time, len(z.owned))}
			for worker := range node.polled {
				node.polled[worker] = z.now.Add(-time.Duration(z.random.IntN(1500)) * time.Millisecond)
			}
			node.table.Replace(listed, z.now, true)
			z.nodes = append(z.nodes, node)
		}
	}
	return z
}

func (z *zoneSim) schedule(after time.Duration, action func()) {
	z.events = append(z.events, simEvent{at: z.now.Add(after), action: action})
}

// reachable says whether two zones reach each other now.
func (z *zoneSim) reachable(one, other ident.Zone) bool {
	isPartitioned := !z.now.Before(z.partitionedFrom) && z.now.Before(z.partitionedUntil)
	return one == other || !isPartitioned || (one != z.partitioned && other != z.partitioned)
}

// poll has a node poll the workers that are due, as demand.Reporter does.
func (z *zoneSim) poll(node *simNode) {
	online := node.table.Online(z.now)
	for worker, owned := range z.owned {
		zone := owned[0].runner.Zone
		every := 500 * time.Millisecond
		if zone != node.zone {
			every = 1500 * time.Millisecond
		}
		for _, runner := range owned {
			if online[runner.runner].Online > 0 {
				every = 50 * time.Millisecond
			}
		}
		suspected := node.table.ZoneSuspectedSince(zone)
		isSuspected := node.polled[worker].Before(suspected) || (!suspected.IsZero() && z.isProbed(node, worker))
		if !isSuspected && (z.now.Before(node.pausedUntil[worker]) || z.now.Sub(node.polled[worker]) < every) {
			continue
		}
		sent := z.now
		node.polled[worker] = sent
		if !z.reachable(node.zone, zone) {
			node.pausedUntil[worker] = z.now.Add(simPollTimeout + simPollPause)
			z.schedule(simPollTimeout, func() { node.table.ZoneTimedOut(zone, fmt.Sprint("worker-", worker), sent, z.now) })
			continue
		}
		shares := z.shares(node, owned)
		took := simLocalRoundTrip
		if zone != node.zone {
			took = simRemoteRoundTrip
		}
		z.schedule(took, func() {
			node.table.UpdateShares(shares, sent)
			node.table.ZoneAnswered(zone, sent)
		})
	}
}

// isProbed says whether a worker is the one of the two of its zone that is polled to find out whether the zone is
// reachable again.
func (z *zoneSim) isProbed(node *simNode, worker int) bool {
	other := worker ^ 1
	return !node.polled[other].Before(node.polled[worker]) && z.now.Sub(node.polled[other]) >= simProbeInterval
}

func (z *zoneSim) shares(node *simNode, owned []*simRunner) []demand.Share {
	var shares []demand.Share
	for _, runner := range owned {
		share := demand.Share{Runner: runner.runner.ID}
		for _, work := range [][]*simRequest{runner.running, runner.queued} {
			for _, request := range work {
				if request.node != node {
					share.Others++
				}
			}
		}
		shares = append(shares, share)
	}
	return shares
}

// try chooses a runner for a request, and says whether it found one or there is none for which the request could wait.
func (z *zoneSim) try(request *simRequest) (done bool) {
	pickRequest := runnertable.PickRequest{Service: "s", PromptTokens: 450, Bytes: 1500, Exclude: request.tried, RefusedBy: map[ident.Incarnation]bool{}}
	flight, err := request.node.table.Pick(pickRequest, z.now, z.random)
	if err != nil {
		return !errors.Is(err, runnertable.ErrFull)
	}
	request.node.queue.SlotTaken()
	request.flight, request.at, request.sent = flight, flight.Runner.Zone, z.now
	if !z.reachable(request.from, flight.Runner.Zone) {
		request.tried[flight.Runner.ID] = true
		z.schedule(simDialTimeout, func() {
			flight.Failed(runnertable.Unreachable, z.now)
			z.release(request)
			z.arrive(request)
		})
		return true
	}
	runner := z.at(flight.Runner.ID)
	runner.queued = append(runner.queued, request)
	z.fill(runner)
	return true
}

// arrive sends a request, or queues it at the node if no slot is free or others wait. A request that is not queued is
// refused.
func (z *zoneSim) arrive(request *simRequest) {
	if request.node.queue.Len() == 0 && z.try(request) {
		return
	}
	if request.node.queue.Join(request.waiter, z.now) {
		request.node.waiting[request.waiter] = request
	}
}

// release ends a request's time at a runner and lets the next one use the slot.
func (z *zoneSim) release(request *simRequest) {
	request.flight.End()
	request.node.queue.SlotFreed(z.now.Sub(request.sent), z.now)
	z.drainQueue(request.node)
}

func (z *zoneSim) at(id ident.Incarnation) *simRunner {
	for _, candidate := range z.runners {
		if candidate.runner.ID == id {
			return candidate
		}
	}
	return nil
}

func (z *zoneSim) fill(runner *simRunner) {
	for len(runner.queued) > 0 && len(runner.running) < simSlots {
		next := runner.queued[0]
		runner.queued = runner.queued[1:]
		next.begun = z.now
		next.node.queued += (z.now.Sub(next.sent) - next.node.queued) / 20
		next.ends = z.now.Add(time.Duration((0.5 + z.random.Float64()) * float64(simRun)))
		runner.running = append(runner.running, next)
		next.flight.EventReceived(z.now)
	}
}

// step simulates one millisecond.
func (z *zoneSim) step(next []time.Time) {
	for _, runner := range z.runners {
		var left, ended []*simRequest
		for _, request := range runner.running {
			if request.ends.After(z.now) {
				left = append(left, request)
				continue
			}
			ended = append(ended, request)
		}
		runner.running = left
		z.fill(runner)
		for _, request := range ended {
			z.release(request)
		}
	}
	due := z.events
	z.events = nil
	for _, event := range due {
		if event.at.After(z.now) {
			z.events = append(z.events, event)
			continue
		}
		event.action()
	}
	for index, node := range z.nodes {
		if (z.now.UnixMilli()+int64(index))%10 == 0 {
			z.poll(node)
		}
		if (z.now.UnixMilli()+int64(index))%simQueueInterval.Milliseconds() == 0 {
			z.drainQueue(node)
		}
	}
	for index, setup := range z.zones {
		for !next[index].After(z.now) {
			node := z.nodes[index*simNodes+z.random.IntN(simNodes)]
			request := &simRequest{node: node, from: setup.zone, arrived: z.now, tried: map[ident.Incarnation]bool{}}
			request.waiter = &waitqueue.Waiter{OnTime: z.now.Add(simMaxWait - node.queued), Latest: z.now.Add(simLatest)}
			z.requests = append(z.requests, request)
			z.arrive(request)
			next[index] = next[index].Add(time.Duration(z.random.ExpFloat64() / setup.rate * float64(time.Second)))
		}
	}
}

// drainQueue sends the requests that wait at a node, in order, as long as they find a slot.
func (z *zoneSim) drainQueue(node *simNode) {
	for next := node.queue.Next(); next != nil; next = node.queue.Next() {
		if !z.try(node.waiting[next]) {
			node.queue.PutBack(next)
			return
		}
		node.queue.RecordWait(next, z.now)
		delete(node.waiting, next)
	}
}

// run simulates the load for a time.
func (z *zoneSim) run(lasts time.Duration) *zoneSim {
	next := make([]time.Time, len(z.zones))
	for index := range next {
		next[index] = z.now
	}
	for end := z.now.Add(lasts); z.now.Before(end); z.now = z.now.Add(time.Millisecond) {
		z.step(next)
	}
	return z
}
