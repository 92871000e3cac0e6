package placement

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/ownership"
	"mallowlatch.example/mallowlatch/internal/placement/placementpb"
	"mallowlatch.example/mallowlatch/internal/transport"
	"mallowlatch.example/mallowlatch/internal/weight"
)

// ErrIncomplete is returned by a round that planned nothing because a member of the zone did not report.
const ErrIncomplete = failure.Kind("placement: a member of the zone did not report")

const (
	// roundPeriod is the mean time between two planning rounds of a zone.
	roundPeriod = 10 * time.Second
	callTimeout = 5 * time.Second
	// minChosenRounds is the number of consecutive rounds in which a node must be the chosen planner before it plans.
	minChosenRounds = 2
	// maxIncompleteRounds is the number of rounds skipped because of an unresponsive member; after that the planner
	// plans without its runners.
	maxIncompleteRounds = 3
	// permitSpread is the maximum random delay before a permit is used, so that zones that all lack the same copies
	// after the loss of another zone do not load them at the same moment.
	permitSpread = 10 * time.Second
	// permitLifetime is the time after which an unused permit expires.
	permitLifetime = 5 * time.Minute
)

// Options configures a Service.
type Options struct {
	Self ident.Node
	Zone ident.Zone
	// Limits defaults to DefaultLimits.
	Limits  Limits
	Members func() []membership.Member
	Catalog catalog.Source
	// Zones returns the reachable zones with their numbers of runners; see ReachableZones.
	Zones func() []ZoneSize
	// MemoryBytes returns the memory that a runner has for weights.
	MemoryBytes func(runner ident.Runner) int64
	Store       weight.Store
	Dialer      transport.Dialer
	// Local serves the calls that this node would send to itself.
	Local *Agent
	// Random returns a number in [0, 1).
	Random func() float64
	// Now defaults to time.Now.
	Now    func() time.Time
	Logger zerolog.Logger
}

// Service plans for a zone while its node is the zone's chosen planner.
type Service struct {
	options Options
	tomb    tomb.Tomb
	mutex   sync.Mutex
	started bool

	chosenRounds     int
	incompleteRounds int
	permits          map[weight.Artifact][]time.Time
}

// NewService returns a service that has not planned yet.
func NewService(options Options) *Service {
	if options.Limits == (Limits{}) {
		options.Limits = DefaultLimits()
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Service{options: options, permits: map[weight.Artifact][]time.Time{}}
}

// Start starts the planning loop.
func (s *Service) Start() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.started = true
	s.tomb.Go(s.run)
}

// Stop stops the planning loop and waits for it to end.
func (s *Service) Stop() error {
	s.mutex.Lock()
	started := s.started
	s.mutex.Unlock()
	if !started {
		return nil
	}
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

func (s *Service) run() error {
	ctx := s.tomb.Context(context.Background())
	for {
		timer := time.NewTimer(roundPeriod/2 + time.Duration(s.options.Random()*float64(roundPeriod)))
		select {
		case <-s.tomb.Dying():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		if err := s.Round(ctx); err != nil {
			event.PlacementRefused.Log(s.options.Logger).Err(err).Send()
		}
	}
}

// PlannerOf returns the node that plans for a zone: the live member with the highest rendezvous weight.
func PlannerOf(zone ident.Zone, members []membership.Member) (ident.Node, bool) {
	choice, found := ownership.Choose(ident.Runner("placement/"+string(zone)), zone, members, uniformDistance)
	return choice.Node, found && !choice.Foreign
}

// uniformDistance makes all other zones equally far; a planner chosen from another zone is not used.
func uniformDistance(ident.Zone, ident.Zone) float64 { return 1 }

// ReachableZones counts the runners of each zone that has a live member in this node's view. A zone without one is lost
// or unreachable, and the others take over its share.
func ReachableZones(runners []ownership.Runner, members []membership.Member) []ZoneSize {
	live := map[ident.Zone]bool{}
	for _, member := range members {
		if member.State == membership.Alive {
			live[member.Zone] = true
		}
	}
	counts := map[ident.Zone]int{}
	for _, runner := range runners {
		if live[runner.Zone] {
			counts[runner.Zone]++
		}
	}
	var sizes []ZoneSize
	for zone, count := range counts {
		sizes = append(sizes, ZoneSize{Zone: zone, Runners: count})
	}
	return sizes
}

// Round plans once if this node has been the zone's chosen planner for minChosenRounds. It is called periodically after
// Start, and directly by tests. It returns ErrIncomplete if a member of the zone did not report.
func (s *Service) Round(ctx context.Context) error {
	members := s.options.Members()
	if planner, found := PlannerOf(s.options.Zone, members); !found || planner != s.options.Self {
		s.chosenRounds = 0
		return nil
	}
	s.chosenRounds++
	if s.chosenRounds < minChosenRounds {
		return nil
	}
	collected, err := s.collect(ctx, members)
	if err != nil {
		return err
	}
	output := Plan(s.input(collected))
	if len(output.Short) > 0 {
		event.PlacementShort.Log(s.options.Logger).Strs("models", output.Short).Send()
	}
	s.reserve(ctx, output.Reserve)
	return s.apply(ctx, collected, output.Orders)
}

// view is the state collected in one round.
type view struct {
	runners []Runner
	// reporters maps each runner to the node that reported it, tickets each node to its ticket.
	reporters map[ident.Runner]ident.Node
	tickets   map[ident.Node]uint64
	demand    map[string]float64
	perCopy   int
}

func (s *Service) collect(ctx context.Context, members []membership.Member) (view, error) {
	collected := view{reporters: map[ident.Runner]ident.Node{}, tickets: map[ident.Node]uint64{}, demand: map[string]float64{}}
	for _, member := range members {
		if member.Zone != s.options.Zone || member.State != membership.Alive {
			continue
		}
		reply, err := s.collectFrom(ctx, member.Node)
		if err == nil {
			s.addReport(&collected, member.Node, reply)
			continue
		}
		// Without the member's runners, its copies would count as missing and be loaded elsewhere needlessly.
		if s.incompleteRounds < maxIncompleteRounds {
			s.incompleteRounds++
			return view{}, fmt.Errorf("%s: %w: %w", member.Node, ErrIncomplete, err)
		}
	}
	if len(collected.tickets) > 0 {
		s.incompleteRounds = 0
	}
	return collected, nil
}

func (s *Service) collectFrom(ctx context.Context, node ident.Node) (*placementpb.CollectReply, error) {
	request := &placementpb.CollectRequest{Planner: string(s.options.Self)}
	if node == s.options.Self {
		return s.options.Local.Collect(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := s.options.Dialer.Conn(ctx, node)
	if err != nil {
		return nil, fmt.Errorf("collect: %w", err)
	}
	reply, err := placementpb.NewDRPCPlacementClient(conn).Collect(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("collect: %w", err)
	}
	return reply, nil
}

func (s *Service) addReport(collected *view, node ident.Node, reply *placementpb.CollectReply) {
	collected.tickets[node] = reply.GetTicket()
	for _, demand := range reply.GetDemands() {
		collected.demand[demand.GetModel()] += demand.GetSequences()
	}
	for _, encoded := range reply.GetRunners() {
		runner := Runner{
			ID:       ident.Runner(encoded.GetRunner()),
			Adapters: encoded.GetAdapters(),
			Leaving:  encoded.GetLeaving(),
		}
		runner.MemoryBytes = s.options.MemoryBytes(runner.ID)
		for _, loaded := range encoded.GetModels() {
			runner.Models = append(runner.Models, engine.LoadedModel{Name: loaded.GetName(), Version: loaded.GetVersion()})
		}
		for _, pending := range encoded.GetPending() {
			runner.Pending = append(runner.Pending, decodeOrder(pending))
		}
		if _, twice := collected.reporters[runner.ID]; twice {
			continue
		}
		collected.reporters[runner.ID] = node
		collected.runners = append(collected.runners, runner)
		collected.perCopy = max(collected.perCopy, int(encoded.GetMaxSequences()))
	}
}

func (s *Service) input(collected view) Input {
	return Input{
		Limits:  s.options.Limits,
		Runners: collected.runners,
		Models:  Targets(s.options.Catalog.Current(), s.options.Zone, s.options.Zones(), collected.demand, collected.perCopy),
		Permits: s.usablePermits(),
	}
}

// apply sends each node the orders for its runners and consumes the permits of all orders sent without an error.
func (s *Service) apply(ctx context.Context, collected view, orders []Order) error {
	byNode := map[ident.Node][]Order{}
	for _, order := range orders {
		node := collected.reporters[order.Runner]
		byNode[node] = append(byNode[node], order)
	}
	var failed error
	for node, list := range byNode {
		if err := s.applyAt(ctx, node, collected.tickets[node], list); err != nil {
			failed = err
			continue
		}
		s.consumePermits(list)
	}
	return failed
}

func (s *Service) applyAt(ctx context.Context, node ident.Node, ticket uint64, orders []Order) error {
	request := &placementpb.ApplyRequest{Planner: string(s.options.Self), Ticket: ticket}
	for _, order := range orders {
		request.Orders = append(request.Orders, encodeOrder(order))
	}
	if node == s.options.Self {
		_, err := s.options.Local.Apply(ctx, request)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := s.options.Dialer.Conn(ctx, node)
	if err != nil {
		return fmt.Errorf("apply at %s: %w", node, err)
	}
	if _, err := placementpb.NewDRPCPlacementClient(conn).Apply(ctx, request); err != nil {
		return fmt.Errorf("apply at %s: %w", node, err)
	}
	return nil
}
