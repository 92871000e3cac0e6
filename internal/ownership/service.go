package ownership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
)

// ErrClaimLost means that the engine granted the epoch to another node.
const ErrClaimLost = failure.Kind("ownership: claim lost")

const (
	planPeriod  = 500 * time.Millisecond
	callTimeout = 2 * time.Second
)

// Options configures a Service.
type Options struct {
	// Config defaults to DefaultConfig.
	Config Config
	Self   ident.Node
	// Members returns the current members, ordered by node.
	Members func() []membership.Member
	// Runners returns the runners that should have an owner: those of the machine list that are not leaving.
	Runners func() []Runner
	// Engine returns the adapter of a runner.
	Engine func(runner ident.Runner) (engine.Engine, bool)
	// Distance defaults to the same distance between any two zones.
	Distance Distance
	// Now defaults to time.Now.
	Now    func() time.Time
	Logger zerolog.Logger
}

// Service claims this node's runners. It is safe for concurrent use.
type Service struct {
	options Options
	tomb    tomb.Tomb

	mutex    sync.Mutex
	planner  *Planner
	started  bool
	released bool
	held     map[ident.Runner]bool
}

// NewService returns a service that holds no claims.
func NewService(options Options) *Service {
	if options.Config == (Config{}) {
		options.Config = DefaultConfig()
	}
	if options.Distance == nil {
		options.Distance = func(ident.Zone, ident.Zone) float64 { return 1 }
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Service{options: options, planner: NewPlanner(options.Config, options.Self), held: map[ident.Runner]bool{}}
}

// Start starts the loop that claims runners.
func (s *Service) Start() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.started = true
	s.tomb.Go(s.run)
}

func (s *Service) run() error {
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	ctx := s.tomb.Context(context.Background())
	for {
		for _, runner := range s.Plan() {
			s.tomb.Go(func() error {
				s.QueryAndClaim(ctx, runner)
				return nil
			})
		}
		select {
		case <-s.tomb.Dying():
			return nil
		case <-ticker.C:
		}
	}
}

// Plan returns the runners whose engines should be queried now. The loop of Start calls it; tests call it directly.
func (s *Service) Plan() []ident.Runner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.released {
		return nil
	}
	due := s.planner.Plan(s.options.Now(), s.options.Runners(), s.options.Members(), s.options.Distance)
	s.logChanges()
	return due
}

// QueryAndClaim queries an engine for its owner, and claims the runner if a claim is due.
func (s *Service) QueryAndClaim(ctx context.Context, runner ident.Runner) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.queryAndClaim(ctx, runner); err != nil {
		event.RunnerClaimFailed.Log(s.options.Logger).Err(err).Str("runner", string(runner)).Send()
	}
}

func (s *Service) queryAndClaim(ctx context.Context, runner ident.Runner) error {
	adapter, known := s.options.Engine(runner)
	if !known {
		s.failed(runner)
		return nil
	}
	requestedAt := s.options.Now()
	report, err := adapter.Load(ctx)
	if err != nil {
		s.failed(runner)
		return fmt.Errorf("query %s for its owner: %w", runner, err)
	}
	epoch, due := s.observeAndClaim(runner, reportOf(report, requestedAt))
	if !due {
		return nil
	}
	return s.claim(ctx, runner, adapter, pendingClaim{epoch: epoch, incarnation: report.Incarnation})
}

func (s *Service) observeAndClaim(runner ident.Runner, report OwnerReport) (uint64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.options.Now()
	s.planner.Observe(runner, report, now)
	s.logChanges()
	if s.released {
		return 0, false
	}
	return s.planner.Claim(runner, now, s.options.Members())
}

// pendingClaim is a claim to make: its epoch, and the incarnation of the engine whose report led to it.
type pendingClaim struct {
	epoch       uint64
	incarnation string
}

// claim orders the engine to accept this node as its owner. A lost answer does no harm: the engine's next report shows the claim,
// and this node claims again above it.
func (s *Service) claim(ctx context.Context, runner ident.Runner, adapter engine.Engine, wanted pendingClaim) error {
	epoch := wanted.epoch
	reply, err := adapter.Order(ctx, engine.Order{Kind: engine.OrderOwn, Epoch: epoch, Node: s.options.Self})
	if err == nil && (reply.Epoch != epoch || reply.Owner != s.options.Self) {
		err = fmt.Errorf("%w: epoch %d is held by %s", ErrClaimLost, reply.Epoch, reply.Owner)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.options.Now()
	switch {
	case err == nil:
		s.planner.Claimed(runner, epoch, wanted.incarnation, now)
	case errors.Is(err, engine.ErrFenced) || errors.Is(err, ErrClaimLost):
		s.planner.Fenced(runner, epoch, now)
	default:
		s.planner.Failed(runner, now)
	}
	s.logChanges()
	if err != nil {
		return fmt.Errorf("claim %s at epoch %d: %w", runner, epoch, err)
	}
	return nil
}

func (s *Service) failed(runner ident.Runner) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.planner.Failed(runner, s.options.Now())
}

// Observe applies a load report that was read for another purpose, which saves a query to the engine. requestedAt is when the
// report was requested.
func (s *Service) Observe(runner ident.Runner, report engine.LoadReport, requestedAt time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.planner.Observe(runner, reportOf(report, requestedAt), s.options.Now())
	s.logChanges()
}

func reportOf(report engine.LoadReport, requestedAt time.Time) OwnerReport {
	return OwnerReport{Epoch: report.OwnerEpoch, Owner: report.Owner, Incarnation: report.Incarnation, RequestedAt: requestedAt}
}

// Fenced records that an engine refused work or an order under the epoch: the claim ends at once.
func (s *Service) Fenced(runner ident.Runner, epoch uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.planner.Fenced(runner, epoch, s.options.Now())
	s.logChanges()
}

// Owned returns the runners to which this node may send batch work, ordered by name.
func (s *Service) Owned() []Owned {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.released {
		return nil
	}
	owned := s.planner.Owned(s.options.Now())
	slices.SortFunc(owned, func(a, b Owned) int { return strings.Compare(string(a.Runner), string(b.Runner)) })
	return owned
}

// Owner returns the node that owns a runner, as a hint: only the engine has the authoritative answer.
func (s *Service) Owner(runner ident.Runner) (ident.Node, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.planner.Owner(runner, s.options.Now())
}

// Release stops claiming for a planned stop: Owned returns nothing from now on, and the other nodes claim this node's runners once
// it appears as leaving.
func (s *Service) Release(context.Context) error {
	s.mutex.Lock()
	s.released = true
	started := s.started
	s.mutex.Unlock()
	if !started {
		return nil
	}
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// logChanges logs the claims won and lost since the last call. The caller holds the mutex.
func (s *Service) logChanges() {
	held := map[ident.Runner]bool{}
	for _, owned := range s.planner.Owned(s.options.Now()) {
		held[owned.Runner] = true
		if !s.held[owned.Runner] {
			event.RunnerClaimed.Log(s.options.Logger).Str("runner", string(owned.Runner)).Uint64("epoch", owned.Epoch).Send()
		}
	}
	for runner := range s.held {
		if !held[runner] {
			event.RunnerLost.Log(s.options.Logger).Str("runner", string(runner)).Send()
		}
	}
	s.held = held
}
