package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/dispatch/dispatchpb"
	"mallowlatch.example/mallowlatch/internal/dispatch/exchange"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/machine"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/ownership"
	"mallowlatch.example/mallowlatch/internal/schedule"
)

// loopbackEngines are the runners of a loopback run, in the process's memory: asking one costs no connection.
type loopbackEngines struct {
	list    machine.List
	engines map[ident.Runner]*loopbackEngine
}

// loopbackEngine is an engine that only counts.
type loopbackEngine struct {
	engine.Engine
	mutex sync.Mutex
	state simulatedRunner
}

func newLoopbackEngines(shape Shape, runners int) *loopbackEngines {
	created := &loopbackEngines{engines: map[ident.Runner]*loopbackEngine{}}
	for index := range runners {
		place := shape.Place(index)
		id := ident.Runner(fmt.Sprintf("10.%d.%d.%d:9000", index%shape.Zones, 128+index/250, index%250+1))
		model := fmt.Sprintf("model-%02d", index/shape.Zones%modelCount)
		created.engines[id] = &loopbackEngine{state: simulatedRunner{id: id, zone: place.Zone, model: model, incarnation: "1"}}
		created.list.Runners = append(created.list.Runners, machine.Runner{ID: id, Zone: place.Zone, State: machine.Live})
	}
	return created
}

// Engine returns a runner's engine.
func (l *loopbackEngines) Engine(runner ident.Runner) (engine.Engine, bool) {
	found, known := l.engines[runner]
	return found, known
}

// Load returns the engine's report.
func (l *loopbackEngine) Load(context.Context) (engine.LoadReport, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.report(time.Now()), nil
}

// Order grants ownership by epoch.
func (l *loopbackEngine) Order(_ context.Context, order engine.Order) (engine.OrderReply, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if order.Epoch <= l.state.epoch {
		return engine.OrderReply{}, fmt.Errorf("claim %s: %w", l.state.id, engine.ErrFenced)
	}
	l.state.epoch, l.state.owner = order.Epoch, order.Node
	return engine.OrderReply{Epoch: order.Epoch, Owner: order.Node}, nil
}

func (l *loopbackEngine) addOnline(by int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state.online += by
}

// loopbackControl is the runner exchange and the ownership of a loopback node.
type loopbackControl struct {
	table    *dispatch.Table
	owners   *ownership.Service
	exchange *exchange.Exchange
}

// addControl gives a node the runner exchange and ownership, and serves it to others.
func (r *loopbackRun) addControl(node *loopbackNode) error {
	table := dispatch.NewTable()
	table.SetMachines(r.engines.list, time.Now())
	owners := ownership.NewService(ownership.Options{
		Self:    node.self.Node,
		Members: func() []membership.Member { return node.members.View().Members },
		Runners: func() []ownership.Runner { return ownedBy(table) },
		Engine:  r.engines.Engine,
		Logger:  zerolog.Nop(),
	})
	node.control = &loopbackControl{table: table, owners: owners, exchange: exchange.New(exchange.Config{
		Node: node.self.Node, Zone: node.self.Zone, Table: table, Engines: r.engines,
		Peers: loopbackPeers{node, owners}, Dialer: node.pool,
		Intervals: exchange.Intervals{PollOwned: time.Second}, Logger: zerolog.Nop(),
	})}
	if err := dispatchpb.DRPCRegisterRunnerExchange(node.server, node.control.exchange); err != nil {
		return fmt.Errorf("register runner exchange: %w", err)
	}
	return nil
}

func ownedBy(table *dispatch.Table) []ownership.Runner {
	var runners []ownership.Runner
	for _, view := range table.Runners(time.Now()) {
		if !view.Leaving {
			runners = append(runners, ownership.Runner{ID: view.ID, Zone: view.Zone})
		}
	}
	return runners
}

// loopbackPeers shows a node's membership and ownership to its exchange.
type loopbackPeers struct {
	node   *loopbackNode
	owners *ownership.Service
}

// Owner returns the owner of a runner as the node sees it.
func (l loopbackPeers) Owner(runner ident.Runner) (ident.Node, bool) { return l.owners.Owner(runner) }

// Peers returns the live nodes without this one.
func (l loopbackPeers) Peers() []exchange.Peer {
	var peers []exchange.Peer
	for _, member := range l.node.members.View().Live("") {
		if member.Node != l.node.self.Node {
			peers = append(peers, exchange.Peer{Node: member.Node, Zone: member.Zone})
		}
	}
	return peers
}

// startControl starts a node's loops and its callers, who come at random at the given rate.
func (r *loopbackRun) startControl(node *loopbackNode, random *rand.Rand) {
	node.control.owners.Start()
	node.control.exchange.Start()
	r.tomb.Go(func() error {
		for {
			pause := time.Duration(random.ExpFloat64() / r.Rate * float64(r.Shape.Nodes) * float64(time.Second))
			select {
			case <-r.tomb.Dying():
				return nil
			case <-time.After(pause):
				r.request(node, random)
			}
		}
	})
}

// request routes one online request and lets it run on the chosen runner, which only counts it.
func (r *loopbackRun) request(node *loopbackNode, random *rand.Rand) {
	model := fmt.Sprintf("model-%02d", random.IntN(modelCount))
	snapshot := node.control.table.Snapshot(node.self.Zone, nil, model, nil, time.Now())
	decision, refusal := schedule.Decide(snapshot, &inference.Request{Model: model}, time.Now(), random, schedule.Options{})
	if refusal != nil {
		return
	}
	chosen := decision.Candidates[0].Runner
	node.control.table.Start(chosen, nil)
	r.engines.engines[chosen].addOnline(1)
	time.AfterFunc(time.Duration(random.ExpFloat64()*float64(answerTime)), func() {
		r.engines.engines[chosen].addOnline(-1)
		node.control.table.End(chosen)
	})
}

// owned counts the runners that one node alone holds, of those this process can see.
func (r *loopbackRun) owned() int {
	var held []ident.Runner
	for _, node := range r.nodes {
		if node.control == nil {
			continue
		}
		for _, owned := range node.control.owners.Owned() {
			held = append(held, owned.Runner)
		}
	}
	slices.Sort(held)
	return len(slices.Compact(held))
}
