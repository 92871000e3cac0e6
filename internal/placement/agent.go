package placement

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/ownership"
	"mallowlatch.example/mallowlatch/internal/placement/placementpb"
	"mallowlatch.example/mallowlatch/internal/transport"
)

// ErrNotPlanner means that a call came from a node other than the one it names.
const ErrNotPlanner = failure.Kind("placement: caller is not the planner it names")

const (
	// pendingTimeout is how long a load is waited for before it counts as failed.
	pendingTimeout = 10 * time.Minute
	engineTimeout  = 2 * time.Second
)

// Owner is what the agent needs of ownership; *ownership.Service implements it.
type Owner interface {
	Owned() []ownership.Owned
	Fenced(runner ident.Runner, epoch uint64)
}

// AgentOptions sets up an agent.
type AgentOptions struct {
	Owner  Owner
	Engine func(runner ident.Runner) (engine.Engine, bool)
	// Demand returns the sequences at once that this node's callers ask for, by model.
	Demand func() map[string]float64
	// Leaving says whether an operator drains the runner or the machine list has it leaving.
	Leaving func(runner ident.Runner) bool
	// FirstTicket is a random number, so that tickets of an earlier life are not taken for new ones.
	FirstTicket uint64
	// Now defaults to time.Now.
	Now    func() time.Time
	Logger zerolog.Logger
}

// Agent carries out the planner's orders on the runners that its node owns. Register it with the transport's server by
// placementpb.DRPCRegisterPlacement.
type Agent struct {
	options AgentOptions

	// mutex is held over whole calls: a planner that collects sees the effect of every order given before, and no order
	// of an earlier planner is given after.
	mutex   sync.Mutex
	ticket  uint64
	planner string
	pending []pendingOrder
}

type pendingOrder struct {
	Order
	given time.Time
}

var _ placementpb.DRPCPlacementServer = (*Agent)(nil)

// NewAgent returns an agent that accepts orders from whoever collects first.
func NewAgent(options AgentOptions) *Agent {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Agent{options: options, ticket: options.FirstTicket}
}

// Collect reports what the node's callers ask for and its runners hold, under a new ticket.
func (a *Agent) Collect(ctx context.Context, request *placementpb.CollectRequest) (*placementpb.CollectReply, error) {
	if err := checkCaller(ctx, request.GetPlanner()); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ticket++
	a.planner = request.GetPlanner()
	reply := &placementpb.CollectReply{Ticket: a.ticket}
	for model, sequences := range a.options.Demand() {
		reply.Demands = append(reply.Demands, &placementpb.Demand{Model: model, Sequences: sequences})
	}
	for _, owned := range a.options.Owner.Owned() {
		if report, err := a.report(ctx, owned.Runner); err == nil {
			reply.Runners = append(reply.Runners, a.describe(owned.Runner, report))
		}
	}
	return reply, nil
}

func checkCaller(ctx context.Context, planner string) error {
	peer, secured := transport.Peer(ctx)
	if secured && string(peer) != planner {
		return fmt.Errorf("%s for %s: %w", peer, planner, ErrNotPlanner)
	}
	return nil
}

func (a *Agent) report(ctx context.Context, runner ident.Runner) (engine.LoadReport, error) {
	adapter, known := a.options.Engine(runner)
	if !known {
		return engine.LoadReport{}, fmt.Errorf("%s: %w", runner, engine.ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := adapter.Load(ctx)
	if err != nil {
		return engine.LoadReport{}, fmt.Errorf("report of %s: %w", runner, err)
	}
	return report, nil
}

func (a *Agent) describe(runner ident.Runner, report engine.LoadReport) *placementpb.Runner {
	a.settlePending(runner, report)
	described := &placementpb.Runner{
		Runner:       string(runner),
		Adapters:     report.Adapters,
		Leaving:      report.Leaving || a.options.Leaving(runner),
		MaxSequences: uint32(max(report.MaxSequences, 0)),
	}
	for _, loaded := range report.Models {
		described.Models = append(described.Models, &placementpb.LoadedModel{Name: loaded.Name, Version: loaded.Version})
	}
	for _, waiting := range a.pending {
		if waiting.Runner == runner {
			described.Pending = append(described.Pending, encodeOrder(waiting.Order))
		}
	}
	return described
}

// settlePending forgets the orders that the engine's report shows as done, and those it never will.
func (a *Agent) settlePending(runner ident.Runner, report engine.LoadReport) {
	now := a.options.Now()
	a.pending = slices.DeleteFunc(a.pending, func(waiting pendingOrder) bool {
		if waiting.Runner != runner {
			return false
		}
		return done(waiting.Order, report) || now.Sub(waiting.given) > pendingTimeout
	})
}

func done(order Order, report engine.LoadReport) bool {
	model := engine.LoadedModel{Name: order.Model, Version: order.Version}
	switch order.Kind {
	case engine.OrderLoadModel:
		return slices.Contains(report.Models, model)
	case engine.OrderUnloadModel:
		return !slices.Contains(report.Models, model)
	case engine.OrderLoadAdapter:
		return slices.Contains(report.Adapters, order.Adapter)
	default:
		return !slices.Contains(report.Adapters, order.Adapter)
	}
}

// Apply gives the orders to the engines, under the epochs of this node's claims. It refuses them all if another planner
// has collected since.
func (a *Agent) Apply(ctx context.Context, request *placementpb.ApplyRequest) (*placementpb.ApplyReply, error) {
	if err := checkCaller(ctx, request.GetPlanner()); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if request.GetTicket() != a.ticket || request.GetPlanner() != a.planner {
		return &placementpb.ApplyReply{Stale: true}, nil
	}
	epochs := map[ident.Runner]uint64{}
	for _, owned := range a.options.Owner.Owned() {
		epochs[owned.Runner] = owned.Epoch
	}
	reply := &placementpb.ApplyReply{}
	for _, encoded := range request.GetOrders() {
		order := decodeOrder(encoded)
		epoch, owned := epochs[order.Runner]
		if !owned {
			continue
		}
		if err := a.give(ctx, order, epoch); err != nil {
			event.PlacementRefused.Log(a.options.Logger).Err(err).Str("runner", string(order.Runner)).Send()
			continue
		}
		event.PlacementOrdered.Log(a.options.Logger).Str("runner", string(order.Runner)).Str("kind", string(order.Kind)).
			Str("model", order.Model).Str("version", order.Version).Str("adapter", order.Adapter).Send()
		reply.Accepted++
	}
	return reply, nil
}

// give gives one order. One whose answer was lost counts as given, since the engine may be at it.
func (a *Agent) give(ctx context.Context, order Order, epoch uint64) error {
	adapter, known := a.options.Engine(order.Runner)
	if !known {
		return fmt.Errorf("order: %w", engine.ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	_, err := adapter.Order(ctx, engine.Order{
		Kind: order.Kind, Epoch: epoch, Model: order.Model, Version: order.Version, Adapter: order.Adapter,
	})
	if errors.Is(err, engine.ErrFenced) {
		a.options.Owner.Fenced(order.Runner, epoch)
		return fmt.Errorf("order %s: %w", order.Kind, err)
	}
	if errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrRejected) {
		return fmt.Errorf("order %s: %w", order.Kind, err)
	}
	a.pending = append(a.pending, pendingOrder{Order: order, given: a.options.Now()})
	if err != nil {
		return fmt.Errorf("order %s: %w", order.Kind, err)
	}
	return nil
}

func encodeOrder(order Order) *placementpb.Order {
	return &placementpb.Order{
		Runner:  string(order.Runner),
		Kind:    string(order.Kind),
		Model:   order.Model,
		Version: order.Version,
		Adapter: order.Adapter,
	}
}

func decodeOrder(encoded *placementpb.Order) Order {
	return Order{
		Runner:  ident.Runner(encoded.GetRunner()),
		Kind:    engine.OrderKind(encoded.GetKind()),
		Model:   encoded.GetModel(),
		Version: encoded.GetVersion(),
		Adapter: encoded.GetAdapter(),
	}
}
