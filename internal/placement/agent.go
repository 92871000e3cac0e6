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

// ErrNotPlanner is returned for a call whose authenticated peer is not the planner named in the request.
const ErrNotPlanner = failure.Kind("placement: caller is not the planner it names")

const (
	// pendingTimeout is the time after which an unfinished order counts as failed.
	pendingTimeout = 10 * time.Minute
	engineTimeout  = 2 * time.Second
)

// Owner is the part of ownership that the agent uses; *ownership.Service implements it.
type Owner interface {
	Owned() []ownership.Owned
	Fenced(runner ident.Runner, epoch uint64)
}

// AgentOptions configures an Agent.
type AgentOptions struct {
	Owner  Owner
	Engine func(runner ident.Runner) (engine.Engine, bool)
	// Demand returns the number of concurrent sequences that this node's callers request, by model.
	Demand func() map[string]float64
	// Leaving reports whether an operator drains the runner or the machine list marks it as leaving.
	Leaving func(runner ident.Runner) bool
	// FirstTicket is a random number, so that tickets issued before a restart are not accepted as current.
	FirstTicket uint64
	// Now defaults to time.Now.
	Now    func() time.Time
	Logger zerolog.Logger
}

// Agent executes the planner's orders on the runners that its node owns. Register it with the transport's server by
// placementpb.DRPCRegisterPlacement.
type Agent struct {
	options AgentOptions

	// mutex is held for whole calls: a planner that collects sees the effect of every order sent before, and no order
	// of an earlier planner is sent afterwards.
	mutex   sync.Mutex
	ticket  uint64
	planner string
	pending []pendingOrder
}

type pendingOrder struct {
	Order
	sentAt time.Time
}

var _ placementpb.DRPCPlacementServer = (*Agent)(nil)

// NewAgent returns an agent that accepts orders from the first planner that collects.
func NewAgent(options AgentOptions) *Agent {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Agent{options: options, ticket: options.FirstTicket}
}

// Collect reports the demand of the node's callers and the models and adapters on its runners, under a new ticket.
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
	a.removeFinished(runner, report)
	described := &placementpb.Runner{
		Runner:       string(runner),
		Adapters:     report.Adapters,
		Leaving:      report.Leaving || a.options.Leaving(runner),
		MaxSequences: uint32(max(report.MaxSequences, 0)),
	}
	for _, loaded := range report.Models {
		described.Models = append(described.Models, &placementpb.LoadedModel{Name: loaded.Name, Version: loaded.Version})
	}
	for _, entry := range a.pending {
		if entry.Runner == runner {
			described.Pending = append(described.Pending, encodeOrder(entry.Order))
		}
	}
	return described
}

// removeFinished removes the pending orders that the engine's report shows as completed and those that timed out.
func (a *Agent) removeFinished(runner ident.Runner, report engine.LoadReport) {
	now := a.options.Now()
	a.pending = slices.DeleteFunc(a.pending, func(entry pendingOrder) bool {
		if entry.Runner != runner {
			return false
		}
		return completed(entry.Order, report) || now.Sub(entry.sentAt) > pendingTimeout
	})
}

func completed(order Order, report engine.LoadReport) bool {
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

// Apply sends the orders to the engines under the epochs of this node's claims. It refuses all of them if another
// collection has been made since the one that issued the request's ticket.
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
		if err := a.send(ctx, order, epoch); err != nil {
			event.PlacementRefused.Log(a.options.Logger).Err(err).Str("runner", string(order.Runner)).Send()
			continue
		}
		event.PlacementOrdered.Log(a.options.Logger).Str("runner", string(order.Runner)).Str("kind", string(order.Kind)).
			Str("model", order.Model).Str("version", order.Version).Str("adapter", order.Adapter).Send()
		reply.Accepted++
	}
	return reply, nil
}

// send sends one order to its engine. An order whose reply was lost counts as pending, since the engine may execute it.
func (a *Agent) send(ctx context.Context, order Order, epoch uint64) error {
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
	a.pending = append(a.pending, pendingOrder{Order: order, sentAt: a.options.Now()})
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
