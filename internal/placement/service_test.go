package placement

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/ownership"
	"mallowlatch.example/mallowlatch/internal/placement/placementpb"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// fakeEngine refuses orders with an epoch below its owner's epoch and completes loads in finish.
type fakeEngine struct {
	engine.Engine
	epoch   uint64
	models  []engine.LoadedModel
	loading []engine.LoadedModel
	orders  int
}

func (e *fakeEngine) Load(context.Context) (engine.LoadReport, error) {
	return engine.LoadReport{Models: append([]engine.LoadedModel(nil), e.models...), MaxSequences: 4, OwnerEpoch: e.epoch}, nil
}

func (e *fakeEngine) Order(_ context.Context, order engine.Order) (engine.OrderReply, error) {
	if order.Epoch < e.epoch {
		return engine.OrderReply{}, fmt.Errorf("order: %w", engine.ErrFenced)
	}
	e.orders++
	model := engine.LoadedModel{Name: order.Model, Version: order.Version}
	switch order.Kind {
	case engine.OrderLoadModel:
		e.loading = append(e.loading, model)
	case engine.OrderUnloadModel:
		var kept []engine.LoadedModel
		for _, loaded := range e.models {
			if loaded != model {
				kept = append(kept, loaded)
			}
		}
		e.models = kept
	}
	return engine.OrderReply{Epoch: e.epoch}, nil
}

func (e *fakeEngine) finish() {
	e.models = append(e.models, e.loading...)
	e.loading = nil
}

type fakeOwner struct {
	owned  []ownership.Owned
	fenced int
}

func (o *fakeOwner) Owned() []ownership.Owned    { return o.owned }
func (o *fakeOwner) Fenced(ident.Runner, uint64) { o.fenced++ }

type fakeStore struct {
	wait     time.Duration
	reserved int
}

func (s *fakeStore) Describe(_ context.Context, name, version string) (weight.Artifact, error) {
	return weight.Artifact{Name: name, Version: version, Bytes: 1}, nil
}

func (s *fakeStore) Reserve(context.Context, weight.Artifact) (weight.Permit, error) {
	s.reserved++
	return weight.Permit{NotBefore: s.wait}, nil
}

type fixedCatalog struct{ snapshot *catalog.Snapshot }

func (c fixedCatalog) Current() *catalog.Snapshot  { return c.snapshot }
func (fixedCatalog) Changed(int64) <-chan struct{} { return nil }

// fleet is a zone of nodes that each own some engines.
type fleet struct {
	now      time.Time
	engines  map[ident.Runner]*fakeEngine
	owners   map[ident.Node]*fakeOwner
	agents   map[ident.Node]*Agent
	services map[ident.Node]*Service
	views    map[ident.Node][]membership.Member
	snapshot *catalog.Snapshot
	store    *fakeStore
	// beforeApply runs once, just before a node receives orders.
	beforeApply func()
}

// directConn passes calls to an agent as protobuf messages without a network.
type directConn struct {
	drpc.Conn
	fleet *fleet
	agent *Agent
}

func (c directConn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	var answer proto.Message
	var err error
	if strings.HasSuffix(rpc, "Collect") {
		answer, err = c.agent.Collect(ctx, in.(*placementpb.CollectRequest))
	} else {
		if hook := c.fleet.beforeApply; hook != nil {
			c.fleet.beforeApply = nil
			hook()
		}
		answer, err = c.agent.Apply(ctx, in.(*placementpb.ApplyRequest))
	}
	if err == nil {
		proto.Merge(out.(proto.Message), answer)
	}
	return err
}

type dialer struct{ fleet *fleet }

func (d dialer) Conn(_ context.Context, node ident.Node) (drpc.Conn, error) {
	return directConn{fleet: d.fleet, agent: d.fleet.agents[node]}, nil
}

func newFleet(nodes, runnersPerNode int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), engines: map[ident.Runner]*fakeEngine{}, owners: map[ident.Node]*fakeOwner{},
		agents: map[ident.Node]*Agent{}, services: map[ident.Node]*Service{}, views: map[ident.Node][]membership.Member{},
		snapshot: catalog.Empty(), store: &fakeStore{wait: 30 * time.Second},
	}
	var members []membership.Member
	for index := range nodes {
		members = append(members, membership.Member{Node: ident.Node(fmt.Sprintf("n%d", index)), Zone: "z"})
	}
	for _, member := range members {
		owner := &fakeOwner{}
		for range runnersPerNode {
			id := ident.Runner(fmt.Sprintf("r%d", len(f.engines)))
			f.engines[id] = &fakeEngine{epoch: 1}
			owner.owned = append(owner.owned, ownership.Owned{Runner: id, Epoch: 1})
		}
		f.owners[member.Node] = owner
		f.views[member.Node] = append([]membership.Member(nil), members...)
		f.add(member.Node, owner)
	}
	return f
}

func (f *fleet) add(node ident.Node, owner *fakeOwner) {
	f.agents[node] = NewAgent(AgentOptions{
		Owner:   owner,
		Engine:  func(runner ident.Runner) (engine.Engine, bool) { return f.engines[runner], true },
		Demand:  func() map[string]float64 { return nil },
		Leaving: func(ident.Runner) bool { return false },
		Now:     func() time.Time { return f.now },
		Logger:  zerolog.Nop(),
	})
	f.services[node] = NewService(Options{
		Self:        node,
		Zone:        "z",
		Members:     func() []membership.Member { return f.views[node] },
		Catalog:     fixedCatalog{f.snapshot},
		Zones:       func() []ZoneSize { return []ZoneSize{{Zone: "z", Runners: len(f.engines)}} },
		MemoryBytes: func(ident.Runner) int64 { return 2 },
		Store:       f.store,
		Dialer:      dialer{f},
		Local:       f.agents[node],
		Random:      func() float64 { return 0 },
		Now:         func() time.Time { return f.now },
		Logger:      zerolog.Nop(),
	})
}

func (f *fleet) want(model, version string, copies int) {
	f.snapshot.Models[model] = catalog.Model{Name: model, Version: version, MemoryBytes: 1}
	f.snapshot.Services["s-"+model] = catalog.Service{Name: "s-" + model, Model: model, MinCopies: copies}
}

func (f *fleet) round(t assert.TestingT) {
	f.now = f.now.Add(roundPeriod)
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		assert.NilError(t, f.services[name].Round(context.Background()))
	}
}

func (f *fleet) finish() {
	for _, each := range f.engines {
		each.finish()
	}
}

func (f *fleet) copies(model string) int {
	count := 0
	for _, each := range f.engines {
		for _, loaded := range each.models {
			if loaded.Name == model {
				count++
				break
			}
		}
	}
	return count
}

func (f *fleet) orders() int {
	sum := 0
	for _, each := range f.engines {
		sum += each.orders
	}
	return sum
}

func TestLoadsWaitForThePermit(t *testing.T) {
	f := newFleet(3, 2)
	f.want("m", "1", 4)
	for range 4 {
		f.round(t)
	}
	assert.Equal(t, f.orders(), 0, "a load before its permit")
	assert.Equal(t, f.store.reserved, 4)
	for range 3 {
		f.round(t)
		f.finish()
	}
	assert.Equal(t, f.copies("m"), 4)
	assert.Equal(t, f.store.reserved, 4)
}

// Permits are used after a random delay, so that zones that lack copies at the same time do not load simultaneously.
func TestPermitsAreSpread(t *testing.T) {
	f := newFleet(1, 1)
	f.store.wait = 0
	f.services["n0"].options.Random = func() float64 { return 0.9 }
	f.want("m", "1", 1)
	for f.store.reserved == 0 {
		f.round(t)
	}
	f.now = f.now.Add(permitSpread * 8 / 10)
	assert.NilError(t, f.services["n0"].Round(context.Background()))
	assert.Equal(t, f.orders(), 0)
	f.round(t)
	assert.Equal(t, f.orders(), 1)
}

// The orders of a planner that was paused after collecting are refused once another planner has collected.
func TestPausedPlannerOrdersNothing(t *testing.T) {
	f := newFleet(1, 1)
	f.engines["r0"].models = []engine.LoadedModel{{Name: "old", Version: "1"}}
	ctx := context.Background()
	first, err := f.agents["n0"].Collect(ctx, &placementpb.CollectRequest{Planner: "a"})
	assert.NilError(t, err)
	_, err = f.agents["n0"].Collect(ctx, &placementpb.CollectRequest{Planner: "b"})
	assert.NilError(t, err)
	unload := &placementpb.Order{Runner: "r0", Kind: string(engine.OrderUnloadModel), Model: "old", Version: "1"}
	reply, err := f.agents["n0"].Apply(ctx, &placementpb.ApplyRequest{
		Planner: "a", Ticket: first.Ticket, Orders: []*placementpb.Order{unload},
	})
	assert.NilError(t, err)
	assert.Assert(t, reply.Stale)
	assert.Equal(t, f.copies("old"), 1)
}

// Orders of a former owner that was paused carry the epoch of its old claim, and the engine refuses them.
func TestFormerOwnersOrderIsRefused(t *testing.T) {
	f := newFleet(1, 1)
	f.engines["r0"].models = []engine.LoadedModel{{Name: "old", Version: "1"}}
	f.engines["r0"].epoch = 2
	f.round(t)
	f.round(t)
	assert.Equal(t, f.copies("old"), 1)
	assert.Equal(t, f.owners["n0"].fenced, 1)
}

func TestPlannerWaitsForSilentMembers(t *testing.T) {
	f := newFleet(2, 1)
	planner, found := PlannerOf("z", f.views["n0"])
	assert.Assert(t, found)
	f.want("m", "1", 1)
	f.views[planner] = append(f.views[planner], membership.Member{Node: "silent", Zone: "z"})
	f.services[planner].options.Dialer = failingDialer{}
	for range maxIncompleteRounds + 1 {
		f.now = f.now.Add(roundPeriod)
		_ = f.services[planner].Round(context.Background())
		assert.Equal(t, f.store.reserved, 0)
	}
	assert.NilError(t, f.services[planner].Round(context.Background()))
	assert.Equal(t, f.store.reserved, 1)
}

type failingDialer struct{}

func (failingDialer) Conn(context.Context, ident.Node) (drpc.Conn, error) {
	return nil, fmt.Errorf("dial: %w", engine.ErrUnreachable)
}

// Two nodes that both consider themselves the planner, each paused at any point between collecting and sending orders,
// never unload the last copy together.
func TestTwoPlannersKeepTheLastCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(2, 2)
		for _, name := range []ident.Node{"n0", "n1"} {
			for index := range f.views[name] {
				if f.views[name][index].Node != name && rapid.Bool().Draw(t, "both plan") {
					f.views[name][index].State = membership.Suspect
				}
			}
		}
		f.store.wait = 0
		f.want("a", "1", 2)
		f.want("b", "1", 2)
		had := map[string]bool{}
		for range 25 {
			if rapid.Bool().Draw(t, "paused") {
				f.beforeApply = func() {
					for _, name := range slices.Sorted(maps.Keys(f.services)) {
						_ = f.services[name].Round(context.Background())
					}
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "new version") == 0 {
				model := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")
				f.want(model, f.snapshot.Models[model].Version+"+", rapid.IntRange(1, 4).Draw(t, "copies"))
			}
			f.round(t)
			if rapid.Bool().Draw(t, "finished") {
				f.finish()
			}
			for _, model := range []string{"a", "b"} {
				assert.Assert(t, !had[model] || f.copies(model) > 0, "the last copy of %s is gone", model)
				had[model] = had[model] || f.copies(model) > 0
			}
		}
	})
}
