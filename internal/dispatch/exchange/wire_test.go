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

// drpcFleet is a fleet of exchanges connected by drpc over in-memory pipes. Node "owner" owns every runner.
type drpcFleet struct {
	t     *testing.T
	nodes map[ident.Node]*Exchange
	// engines are the engines of every node; nil means that none is reachable.
	engines dispatch.Engines
}

func (w *drpcFleet) Conn(_ context.Context, node ident.Node) (drpc.Conn, error) {
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

// staticPeers implements Peers. Node "owner" owns every runner.
type staticPeers struct{ others []Peer }

func (m staticPeers) Owner(ident.Runner) (ident.Node, bool) { return "owner", true }
func (m staticPeers) Peers() []Peer                         { return m.others }

// noEngines has no engine for any runner.
type noEngines struct{}

func (noEngines) Engine(ident.Runner) (engine.Engine, bool) { return nil, false }

func (w *drpcFleet) add(node ident.Node, others ...Peer) *dispatch.Table {
	table := dispatch.NewTable()
	table.SetMachines(machine.List{Runners: []machine.Runner{{ID: "r", Zone: "a", State: machine.Live}}}, time.Now())
	engines := w.engines
	if engines == nil {
		engines = noEngines{}
	}
	created := New(Config{Node: node, Zone: "a", Table: table, Engines: engines, Peers: staticPeers{others}, Dialer: w, Intervals: Intervals{ShareNear: time.Hour}})
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

// TestCountsAndNotificationsOverDRPC checks that an owner receives the counts of another node that starts and ends online work,
// that the replies carry newer reports, and that the other node is notified that the runner is leaving.
func TestCountsAndNotificationsOverDRPC(t *testing.T) {
	fleet := &drpcFleet{t: t, nodes: map[ident.Node]*Exchange{}}
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
	// ShareNear allows only one share in this test, which is already sent or carries the first report. The newer report can
	// only arrive in a reply.
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
	eventually(t, "the other node knows that the runner is leaving", func() bool {
		view, _ := other.Runner("r", time.Now())
		return view.Leaving
	})
}
