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

// lossy is an owner of two runners, one peer in its zone and one in another, and a network that loses, delays, repeats and
// reorders what they send. A call whose answer is lost, or that comes late, counts as failed by its sender, as in service; an
// answer to it reaches nobody.
type lossy struct {
	t       *rapid.T
	now     time.Time
	owner   *Core
	peers   map[ident.Node]*Core
	tables  map[ident.Node]*dispatch.Table
	truth   map[ident.Runner]engine.LoadReport
	pending []func()
	faulty  bool
}

// view is one node's membership in the lossy fleet: node "owner" owns all.
type lossyView struct{ others []Peer }

func (lossyView) Owner(ident.Runner) (ident.Node, bool) { return "owner", true }
func (v lossyView) Peers() []Peer                       { return v.others }

func newLossy(t *rapid.T) *lossy {
	l := &lossy{t: t, now: begin, peers: map[ident.Node]*Core{}, tables: map[ident.Node]*dispatch.Table{}, truth: map[ident.Runner]engine.LoadReport{}, faulty: true}
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

func (l *lossy) node(node ident.Node, zone ident.Zone, others []Peer) *Core {
	table := dispatch.NewTable()
	table.SetMachines(machine.List{Runners: []machine.Runner{{ID: "r0", Zone: "a", State: machine.Live}, {ID: "r1", Zone: "a", State: machine.Live}}}, begin)
	l.tables[node] = table
	created := NewCore(CoreConfig{Node: node, Zone: zone, Table: table, Peers: lossyView{others}}, begin)
	table.OnOnlineChange(func(runner ident.Runner, inFlight int) { created.OnlineChanged(runner, inFlight, l.now) })
	return created
}

// transmit lets a call arrive now, later, twice or never, and its answer come back or not.
func (l *lossy) transmit(arrive func() (answer func()), answered func(delivered bool)) {
	late := func() { arrive() }
	fate := 0
	if l.faulty {
		fate = rapid.IntRange(0, 4).Draw(l.t, "fate")
	}
	switch fate {
	case 0:
		arrive()()
		answered(true)
	case 1:
		answered(false)
	case 2:
		arrive()
		answered(false)
	case 3:
		answered(false)
		l.pending = append(l.pending, late)
	default:
		arrive()()
		l.pending = append(l.pending, late)
		answered(true)
	}
}

// step lets a second pass: what was late arrives or not, the owner reads its engines and shares, the peers tell counts.
func (l *lossy) step() {
	l.now = l.now.Add(wholeTick)
	for len(l.pending) > 0 && (!l.faulty || rapid.Bool().Draw(l.t, "late ones arrive")) {
		last := len(l.pending) - 1
		l.pending[last]()
		l.pending = l.pending[:last]
	}
	for runner, report := range l.truth {
		report.Measured = l.now
		l.tables["owner"].ObserveReport(runner, report, l.now)
	}
	shares, _ := l.owner.Look(l.now)
	for _, share := range shares {
		// A message that comes late is as old as it is: its ages are from when it was sent.
		sent := l.now
		l.transmit(func() func() {
			l.peers[share.Peer].Take(share.Message, sent)
			return func() {}
		}, func(delivered bool) { l.owner.Shared(share, delivered, l.now) })
	}
	for _, node := range []ident.Node{"near", "far"} {
		peer := l.peers[node]
		for _, tell := range peer.Tells(l.now) {
			l.transmit(func() func() {
				l.owner.Counted(tell.Message, l.now)
				reply := l.owner.Reply(tell.Message, l.now)
				return func() { peer.Take(reply, l.now) }
			}, func(delivered bool) { peer.Told(tell, delivered, l.now) })
		}
	}
}

// TestViewsConvergeAfterAnyLoss changes engines and online work under any loss, delay, repetition and order, then lets the
// network be whole: within the share interval and the pause after a failure every peer knows what is loaded and the load to
// within its zone's step, and within the renewal the owner knows the peers' counts.
func TestViewsConvergeAfterAnyLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLossy(t)
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
		l.settle(sharePause + 2*time.Second)
		l.checkLoaded(t)
		l.checkLoad(t, "near", nearStep)
		l.settle(max(renewTime, defaultShareFar))
		l.checkLoad(t, "far", farStep)
		l.checkCounts(t)
	})
}

func (l *lossy) settle(length time.Duration) {
	for end := l.now.Add(length); l.now.Before(end); {
		l.step()
	}
}

// checkLoaded compares what peers believe to be loaded, and leaving, with the truth.
func (l *lossy) checkLoaded(t *rapid.T) {
	for node := range l.peers {
		for runner, truth := range l.truth {
			view, _ := l.tables[node].Runner(runner, l.now)
			assert.Assert(t, view.Report != nil, "%s knows nothing of %s", node, runner)
			assert.DeepEqual(t, view.Report.Models, truth.Models)
			assert.Equal(t, view.Report.Leaving, truth.Leaving)
		}
	}
}

// checkLoad compares what a peer believes of the load with what the owner does.
func (l *lossy) checkLoad(t *rapid.T, node ident.Node, step float64) {
	for runner := range l.truth {
		view, _ := l.tables[node].Runner(runner, l.now)
		owners, _ := l.tables["owner"].Runner(runner, l.now)
		wrong := math.Abs(gistOf(&view).load - gistOf(&owners).load)
		assert.Assert(t, wrong < step, "%s is wrong by %f about %s", node, wrong, runner)
	}
}

func (l *lossy) checkCounts(t *rapid.T) {
	for runner := range l.truth {
		counted := 0
		for node := range l.peers {
			view, _ := l.tables[node].Runner(runner, l.now)
			counted += view.OwnInFlight
		}
		view, _ := l.tables["owner"].Runner(runner, l.now)
		assert.Equal(t, view.PeersInFlight, counted, "runner %s", runner)
	}
}
