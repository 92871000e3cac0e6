package exchange

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/machine"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// wire is a fleet of exchanges joined by real drpc over pipes. Node "owner" owns every runner.
type wire struct {
	t     *testing.T
	nodes map[ident.Node]*Exchange
	// engines are those of every node; nil means that none can be reached.
	engines dispatch.Engines
}

func (w *wire) Conn(_ context.Context, node ident.Node) (drpc.Conn, error) {
	target, known := w.nodes[node]
	if !known {
		return nil, transport.ErrUnknownNode
	}
	mux := drpcmux.New()
	if err := dispatchpb.DRPCRegisterRunnerExchange(mux, target); err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	w.t.Cleanup(cancel)
	go func() { _ = drpcserver.New(mux).ServeOne(ctx, far) }()
	return drpcconn.New(near), nil
}

// member is one node's view of the fleet.
type member struct{ others []Peer }

func (m member) Owner(ident.Runner) (ident.Node, bool) { return "owner", true }
func (m member) Peers() []Peer                         { return m.others }

// noEngines is a machine whose engines can't be reached.
type noEngines struct{}

func (noEngines) Engine(ident.Runner) (engine.Engine, bool) { return nil, false }

func (w *wire) add(node ident.Node, others ...Peer) *dispatch.Table {
	table := dispatch.NewTable()
	table.SetMachines(machine.List{Runners: []machine.Runner{{ID: "r", Zone: "a", State: machine.Live}}}, time.Now())
	engines := w.engines
	if engines == nil {
		engines = noEngines{}
	}
	created := New(Config{Node: node, Zone: "a", Table: table, Engines: engines, Peers: member{others}, Dialer: w, Intervals: Intervals{ShareNear: time.Hour}})
	w.nodes[node] = created
	created.Start()
	w.t.Cleanup(func() { assert.Check(w.t, created.Stop()) })
	return table
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(30*time.Second))
}

// TestCountsAndNewsOverTheWire lets a dispatcher start and end online work on a runner another node owns, and the owner
// learn that the runner is leaving.
func TestCountsAndNewsOverTheWire(t *testing.T) {
	fleet := &wire{t: t, nodes: map[ident.Node]*Exchange{}}
	owner := fleet.add("owner", Peer{"other", "a"})
	other := fleet.add("other", Peer{"owner", "a"})
	owner.ObserveReport("r", engine.LoadReport{Measured: time.Now(), MaxSequences: 64, Models: []engine.LoadedModel{{Name: "m"}}}, time.Now())
	inFlight := func() int {
		view, _ := owner.Runner("r", time.Now())
		return view.PeersInFlight
	}
	other.Start("r", nil)
	other.Start("r", nil)
	eventually(t, "owner knows of two", func() bool { return inFlight() == 2 })
	eventually(t, "the other node knows the runner", func() bool { return other.Reported() == 1 })
	// The one share of this test has been sent by now or carries the first report: a newer one comes by a reply alone.
	owner.ObserveReport("r", engine.LoadReport{Measured: time.Now(), MaxSequences: 32, Models: []engine.LoadedModel{{Name: "m"}}}, time.Now())
	other.Start("r", nil)
	eventually(t, "a reply brought the newer report", func() bool {
		view, _ := other.Runner("r", time.Now())
		return view.Report.MaxSequences == 32
	})
	other.End("r")
	other.End("r")
	other.End("r")
	eventually(t, "owner knows of none", func() bool { return inFlight() == 0 })
	owner.ObserveLeaving("r", true, time.Now())
	eventually(t, "the other node knows that it leaves", func() bool {
		view, _ := other.Runner("r", time.Now())
		return view.Leaving
	})
}
