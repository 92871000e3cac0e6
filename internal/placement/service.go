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

// ErrIncomplete means that a member of the zone did not report, so that nothing is planned in this round.
const ErrIncomplete = failure.Kind("placement: a member of the zone did not report")

const (
	// roundPeriod is the time between two plans of a zone.
	roundPeriod = 10 * time.Second
	callTimeout = 5 * time.Second
	// settleRounds is how many rounds in a row a node must be the choice before it plans.
	settleRounds = 2
	// patientRounds is how many rounds a silent member holds the plan up; after that it goes on without its runners.
	patientRounds = 3
	// permitSpread spreads the use of permits at random, so that zones which all miss the same copies after the loss
	// of another don't load them in one instant.
	permitSpread = 10 * time.Second
	// permitLife is how long an unused permit is kept.
	permitLife = 5 * time.Minute
)

// Options sets up a service.
type Options struct {
	Self ident.Node
	Zone ident.Zone
	// Limits defaults to DefaultLimits.
	Limits  Limits
	Members func() []membership.Member
	Catalog catalog.Source
	// Zones returns the zones that can be reached, with their runners; see ReachableZones.
	Zones func() []ZoneSize
	// MemoryBytes returns what a runner has for weights.
	MemoryBytes func(runner ident.Runner) int64
	Store       weight.Store
	Dialer      transport.Dialer
	// Local serves the calls to this node itself.
	Local *Agent
	// Random returns a number in [0, 1).
	Random func() float64
	// Now defaults to time.Now.
	Now    func() time.Time
	Logger zerolog.Logger
}

// Service plans for a zone while its node is the zone's choice.
type Service struct {
	options Options
	tomb    tomb.Tomb
	mutex   sync.Mutex
	started bool

	chosenRounds int
	silentRounds int
	permits      map[weight.Artifact][]time.Time
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

// Start begins to plan when chosen.
func (s *Service) Start() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.started = true
	s.tomb.Go(s.run)
}

// Stop ends planning.
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

// PlannerOf returns the node that plans for a zone: the one of the highest rendezvous weight among its live members.
func PlannerOf(zone ident.Zone, members []membership.Member) (ident.Node, bool) {
	choice, found := ownership.Choose(ident.Runner("placement/"+string(zone)), zone, members, nowhere)
	return choice.Node, found && !choice.Foreign
}

// nowhere makes all other zones equally far; a foreign choice isn't used.
func nowhere(ident.Zone, ident.Zone) float64 { return 1 }

// ReachableZones counts the runners of the zones that have a live member as seen from here. A zone without one is lost
// or cut off, and the others take over its share.
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

// Round plans once if this node is, and has been for a while, the zone's choice. The loop of Start calls it; tests call
// it themselves. ErrIncomplete says that the view was not whole.
func (s *Service) Round(ctx context.Context) error {
	members := s.options.Members()
	if planner, found := PlannerOf(s.options.Zone, members); !found || planner != s.options.Self {
		s.chosenRounds = 0
		return nil
	}
	s.chosenRounds++
	if s.chosenRounds < settleRounds {
		return nil
	}
	seen, err := s.collect(ctx, members)
	if err != nil {
		return err
	}
	output := Plan(s.input(seen))
	if len(output.Short) > 0 {
		event.PlacementShort.Log(s.options.Logger).Strs("models", output.Short).Send()
	}
	s.reserve(ctx, output.Reserve)
	return s.apply(ctx, seen, output.Orders)
}

// view is what one round has collected.
type view struct {
	runners []Runner
	// holders names the node that reported a runner, tickets the ticket of each node.
	holders map[ident.Runner]ident.Node
	tickets map[ident.Node]uint64
	demand  map[string]float64
	perCopy int
}

func (s *Service) collect(ctx context.Context, members []membership.Member) (view, error) {
	seen := view{holders: map[ident.Runner]ident.Node{}, tickets: map[ident.Node]uint64{}, demand: map[string]float64{}}
	for _, member := range members {
		if member.Zone != s.options.Zone || member.State != membership.Alive {
			continue
		}
		reply, err := s.collectFrom(ctx, member.Node)
		if err == nil {
			s.take(&seen, member.Node, reply)
			continue
		}
		// Without the member's runners, copies would be missed and loaded elsewhere for nothing.
		if s.silentRounds < patientRounds {
			s.silentRounds++
			return view{}, fmt.Errorf("%s: %w: %w", member.Node, ErrIncomplete, err)
		}
	}
	if len(seen.tickets) > 0 {
		s.silentRounds = 0
	}
	return seen, nil
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

func (s *Service) take(seen *view, node ident.Node, reply *placementpb.CollectReply) {
	seen.tickets[node] = reply.GetTicket()
	for _, demand := range reply.GetDemands() {
		seen.demand[demand.GetModel()] += demand.GetSequences()
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
		if _, twice := seen.holders[runner.ID]; twice {
			continue
		}
		seen.holders[runner.ID] = node
		seen.runners = append(seen.runners, runner)
		seen.perCopy = max(seen.perCopy, int(encoded.GetMaxSequences()))
	}
}

func (s *Service) input(seen view) Input {
	return Input{
		Limits:  s.options.Limits,
		Runners: seen.runners,
		Models:  Targets(s.options.Catalog.Current(), s.options.Zone, s.options.Zones(), seen.demand, seen.perCopy),
		Permits: s.ready(),
	}
}

// apply sends each node the orders for its runners and takes back the permits of orders that were not accepted.
func (s *Service) apply(ctx context.Context, seen view, orders []Order) error {
	byNode := map[ident.Node][]Order{}
	for _, order := range orders {
		node := seen.holders[order.Runner]
		byNode[node] = append(byNode[node], order)
	}
	var failed error
	for node, list := range byNode {
		if err := s.applyAt(ctx, node, seen.tickets[node], list); err != nil {
			failed = err
			continue
		}
		s.use(list)
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
