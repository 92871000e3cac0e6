package exchange

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/machine"
)

// lossyFleet is an owner of two runners, a peer in its zone and a peer in another, on a network that loses, delays, duplicates
// and reorders messages. As in production, the sender treats a call whose reply is lost, or that arrives late, as failed and
// receives no reply.
type lossyFleet struct {
	t       *rapid.T
	now     time.Time
	owner   *Core
	peers   map[ident.Node]*Core
	tables  map[ident.Node]*dispatch.Table
	truth   map[ident.Runner]engine.LoadReport
	pending []func()
	faulty  bool
}

// lossyPeers implements Peers. Node "owner" owns all runners.
type lossyPeers struct{ others []Peer }

func (lossyPeers) Owner(ident.Runner) (ident.Node, bool) { return "owner", true }
func (v lossyPeers) Peers() []Peer                       { return v.others }

func newLossyFleet(t *rapid.T) *lossyFleet {
	l := &lossyFleet{t: t, now: begin, peers: map[ident.Node]*Core{}, tables: map[ident.Node]*dispatch.Table{}, truth: map[ident.Runner]engine.LoadReport{}, faulty: true}
	others := []Peer{{Node: "near", Zone: "a"}, {Node: "far", Zone: "b"}}
	l.owner = l.node("owner", "a", others)
	for _, peer := range others {
		l.peers[peer.Node] = l.node(peer.Node, peer.Zone, []Peer{{Node: "owner", Zone: "a"}})
	}
	for _, runner := range []ident.Runner{"r0", "r1"} {
		l.truth[runner] = engine.LoadReport{MaxSequences: 64, Models: []engine.LoadedModel{{Name: "m0"}}}
	}
	return l
}

func (l *lossyFleet) node(node ident.Node, zone ident.Zone, others []Peer) *Core {
	table := dispatch.NewTable()
	table.SetMachines(machine.List{Runners: []machine.Runner{{ID: "r0", Zone: "a", State: machine.Live}, {ID: "r1", Zone: "a", State: machine.Live}}}, begin)
	l.tables[node] = table
	created := NewCore(CoreConfig{Node: node, Zone: zone, Table: table, Peers: lossyPeers{others}}, begin)
	table.OnOnlineChange(func(runner ident.Runner, inFlight int) { created.OnlineChanged(runner, inFlight, l.now) })
	return created
}

// transmit delivers a call now, later, twice or never, and its reply or not.
func (l *lossyFleet) transmit(deliver func() (reply func()), done func(delivered bool)) {
	late := func() { deliver() }
	fate := 0
	if l.faulty {
		fate = rapid.IntRange(0, 4).Draw(l.t, "fate")
	}
	switch fate {
	case 0:
		deliver()()
		done(true)
	case 1:
		done(false)
	case 2:
		deliver()
		done(false)
	case 3:
		done(false)
		l.pending = append(l.pending, late)
	default:
		deliver()()
		l.pending = append(l.pending, late)
		done(true)
	}
}

// step advances the clock by one second: late messages may arrive, the owner polls its engines and shares, and the peers send
// their counts.
func (l *lossyFleet) step() {
	l.now = l.now.Add(fullCheckInterval)
	for len(l.pending) > 0 && (!l.faulty || rapid.Bool().Draw(l.t, "late ones arrive")) {
		last := len(l.pending) - 1
		l.pending[last]()
		l.pending = l.pending[:last]
	}
	for runner, report := range l.truth {
		report.Measured = l.now
		l.tables["owner"].ObserveReport(runner, report, l.now)
	}
	shares, _ := l.owner.Due(l.now)
	for _, share := range shares {
		// The ages in a late message are relative to the time when it was sent.
		sent := l.now
		l.transmit(func() func() {
			l.peers[share.Peer].ObserveStates(share.Message, sent)
			return func() {}
		}, func(delivered bool) { l.owner.ShareSent(share, delivered, l.now) })
	}
	for _, node := range []ident.Node{"near", "far"} {
		peer := l.peers[node]
		for _, message := range peer.DueCounts(l.now) {
			l.transmit(func() func() {
				l.owner.ObserveCounts(message.Message, l.now)
				reply := l.owner.Reply(message.Message, l.now)
				return func() { peer.ObserveStates(reply, l.now) }
			}, func(delivered bool) { peer.CountsSent(message, delivered, l.now) })
		}
	}
}

// TestViewsConvergeAfterAnyLoss changes engines and online work while messages are lost, delayed, duplicated and reordered, and
// then repairs the network. It checks that every peer knows the loaded models after the retry delay and the load within the
// step of its zone after the share interval, and that the owner knows the peers' counts after the renewal interval.
func TestViewsConvergeAfterAnyLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLossyFleet(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			runner := ident.Runner(fmt.Sprint("r", rapid.IntRange(0, 1).Draw(t, "runner")))
			report := l.truth[runner]
			report.RunningOnline = rapid.IntRange(0, 64).Draw(t, "online")
			report.Models = []engine.LoadedModel{{Name: fmt.Sprint("m", rapid.IntRange(0, 2).Draw(t, "model"))}}
			report.Leaving = rapid.IntRange(0, 9).Draw(t, "leaves") == 0
			l.truth[runner] = report
			node := rapid.SampledFrom([]ident.Node{"near", "far"}).Draw(t, "node")
			if rapid.Bool().Draw(t, "starts") {
				l.tables[node].Start(runner, nil)
			} else {
				l.tables[node].End(runner)
			}
			l.step()
		}
		l.faulty = false
		l.settle(max(shareRetryDelay, minFarInterval) + 2*time.Second)
		l.checkLoaded(t)
		l.checkLoad(t, "near", nearStep)
		l.settle(max(renewInterval, defaultShareFar))
		l.checkLoad(t, "far", farStep)
		l.checkCounts(t)
	})
}

func (l *lossyFleet) settle(length time.Duration) {
	for end := l.now.Add(length); l.now.Before(end); {
		l.step()
	}
}

// checkLoaded compares the peers' views of loaded models and leaving runners with the truth.
func (l *lossyFleet) checkLoaded(t *rapid.T) {
	for node := range l.peers {
		for runner, truth := range l.truth {
			view, _ := l.tables[node].Runner(runner, l.now)
			assert.Assert(t, view.Report != nil, "%s knows nothing of %s", node, runner)
			assert.DeepEqual(t, view.Report.Models, truth.Models)
			assert.Equal(t, view.Report.Leaving, truth.Leaving)
		}
	}
}

// checkLoad compares a peer's view of the load with the owner's.
func (l *lossyFleet) checkLoad(t *rapid.T, node ident.Node, step float64) {
	for runner := range l.truth {
		view, _ := l.tables[node].Runner(runner, l.now)
		owners, _ := l.tables["owner"].Runner(runner, l.now)
		difference := math.Abs(summaryOf(&view).load - summaryOf(&owners).load)
		assert.Assert(t, difference < step, "the view of %s differs by %f for %s", node, difference, runner)
	}
}

// checkCounts compares the owner's counts with the truth. A single request of a peer may be withheld and left to the engine's
// report, because the runners here have 32 and more online requests at times.
func (l *lossyFleet) checkCounts(t *rapid.T) {
	for runner := range l.truth {
		counted, single := 0, 0
		for node := range l.peers {
			view, _ := l.tables[node].Runner(runner, l.now)
			counted += view.OwnInFlight
			if view.OwnInFlight == 1 {
				single++
			}
		}
		view, _ := l.tables["owner"].Runner(runner, l.now)
		missing := counted - view.PeersInFlight
		assert.Assert(t, missing >= 0 && missing <= single, "runner %s: %d of %d", runner, view.PeersInFlight, counted)
	}
}
