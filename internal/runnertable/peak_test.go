package runnertable_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// peak simulates a square peak of requests to a zone of many nodes and small runners. Each node has its own table and
// is informed of the others' requests with a delay.
type peak struct {
	random  *rand.Rand
	now     time.Time
	tables  []*runnertable.Table
	runners []*peakRunner
	// flights holds the requests in flight, by node.
	flights [][]*peakFlight
	// waits holds the time that each request waited at its runner for a slot.
	waits []time.Duration
	// messages are on their way to nodes.
	messages []peakMessage
}

// peakMessage is a report about the runners that is sent to a node.
type peakMessage struct {
	node   int
	shares []demand.Share
	asOf   time.Time
}

type peakRunner struct {
	runner work.Runner
	// running is in the order of completion, queued in the order of arrival.
	running, queued []*peakFlight
}

type peakFlight struct {
	flight   *runnertable.Flight
	node     int
	sent     time.Time
	ends     time.Time
	finished bool
}

const (
	peakNodes, peakRunners, peakSlots = 17, 24, 6
	// peakRun is the duration of a request, peakRate the number of requests per second, and peakLasts the length of
	// the peak. The load is three quarters of the capacity.
	peakRun   = 540 * time.Millisecond
	peakRate  = 200.0
	peakLasts = 2400 * time.Millisecond
	// peakReportEvery is the interval of the owners' reports to a node, peakReportDelay the age of each on arrival.
	peakReportEvery, peakReportDelay = 50 * time.Millisecond, 40 * time.Millisecond
	// peakMaxWait is how long a request may wait at its runner and still meet an objective of 300 ms.
	peakMaxWait = 240 * time.Millisecond
)

func newPeak(seed uint64) *peak {
	p := &peak{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), flights: make([][]*peakFlight, peakNodes)}
	var listed []work.Runner
	for index := range peakRunners {
		runner := work.Runner{ID: ident.Incarnation(fmt.Sprint("i-", index)), Service: "s",
			Address: fmt.Sprint("10.0.0.1:", index+1), Zone: "z", Slots: peakSlots}
		listed = append(listed, runner)
		p.runners = append(p.runners, &peakRunner{runner: runner})
	}
	for range peakNodes {
		table := runnertable.New("z")
		table.Replace(listed, p.now, true)
		p.tables = append(p.tables, table)
	}
	return p
}

// at returns the runner with an id.
func (p *peak) at(id ident.Incarnation) *peakRunner {
	for _, candidate := range p.runners {
		if candidate.runner.ID == id {
			return candidate
		}
	}
	return nil
}

// send chooses a runner for a request of a node.
func (p *peak) send(t *testing.T, node int) {
	parts := []work.Part{{ID: fmt.Sprint("system-", p.random.IntN(16)), Tokens: 100},
		{ID: fmt.Sprint("own-", p.random.Uint64()), Tokens: 350}}
	request := runnertable.PickRequest{Service: "s", Prefix: parts, PromptTokens: 450, Bytes: 1500, RefusedBy: map[ident.Incarnation]bool{}}
	flight, err := p.tables[node].Pick(request, p.now, p.random)
	assert.NilError(t, err)
	sent := &peakFlight{flight: flight, node: node, sent: p.now}
	p.flights[node] = append(p.flights[node], sent)
	runner := p.at(flight.Runner.ID)
	runner.queued = append(runner.queued, sent)
	p.fill(runner)
}

// fill starts queued requests of a runner while it has free slots.
func (p *peak) fill(runner *peakRunner) {
	for len(runner.queued) > 0 && len(runner.running) < peakSlots {
		next := runner.queued[0]
		runner.queued = runner.queued[1:]
		next.ends = p.now.Add(peakRun)
		runner.running = append(runner.running, next)
		p.waits = append(p.waits, p.now.Sub(next.sent))
		next.flight.EventReceived(p.now)
	}
}

// finish completes the requests whose time is over.
func (p *peak) finish() {
	for _, runner := range p.runners {
		for len(runner.running) > 0 && !runner.running[0].ends.After(p.now) {
			runner.running[0].finished = true
			runner.running[0].flight.End()
			runner.running = runner.running[1:]
			p.fill(runner)
		}
	}
}

// report sends a node the current number of the others' requests.
func (p *peak) report(node int) {
	var shares []demand.Share
	for _, runner := range p.runners {
		others := 0
		for _, work := range [][]*peakFlight{runner.running, runner.queued} {
			for _, flight := range work {
				if flight.node != node {
					others++
				}
			}
		}
		shares = append(shares, demand.Share{Runner: runner.runner.ID, Others: others})
	}
	p.messages = append(p.messages, peakMessage{node: node, shares: shares, asOf: p.now})
}

// deliver applies the messages that are due.
func (p *peak) deliver() {
	for len(p.messages) > 0 && !p.messages[0].asOf.Add(peakReportDelay).After(p.now) {
		p.tables[p.messages[0].node].UpdateShares(p.messages[0].shares, p.messages[0].asOf)
		p.messages = p.messages[1:]
	}
}

// TestPeakBeforeManyNodesFindsTheFreePlaces simulates square peaks at three quarters of the capacity. If all nodes
// chose the emptiest runner they know of, they would choose the same one, and requests would wait there while slots
// are free elsewhere.
func TestPeakBeforeManyNodesFindsTheFreePlaces(t *testing.T) {
	requests, late := 0, 0
	for seed := range uint64(10) {
		p := newPeak(seed)
		const step = time.Millisecond
		next := p.now
		for end := p.now.Add(peakLasts); p.now.Before(end); p.now = p.now.Add(step) {
			p.finish()
			p.deliver()
			for node := range p.tables {
				if (p.now.UnixMilli()+int64(node)*3)%peakReportEvery.Milliseconds() == 0 {
					p.report(node)
				}
			}
			for !next.After(p.now) {
				p.send(t, p.random.IntN(peakNodes))
				next = next.Add(time.Duration(p.random.ExpFloat64() / peakRate * float64(time.Second)))
			}
		}
		requests += len(p.waits)
		for _, wait := range p.waits {
			if wait > peakMaxWait {
				late++
			}
		}
	}
	t.Logf("%d of %d requests waited longer than %v for a slot", late, requests, peakMaxWait)
	// The objective is that 95 in 100 requests are on time.
	assert.Assert(t, late*100 <= 5*requests, "%d of %d requests waited longer than %v while a quarter of the slots were free",
		late, requests, peakMaxWait)
}
