package ownership

import (
	"slices"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// Config holds the planner's delays.
type Config struct {
	// DeadOwnerDelay is how long a choice must stand before a runner without a live owner is claimed.
	DeadOwnerDelay time.Duration
	// SuspectOwnerDelay is how long it must stand if the present owner is suspect or unknown.
	SuspectOwnerDelay time.Duration
	// LiveOwnerDelay is how long it must stand if the present owner is alive, so that a flapping member moves no runner.
	LiveOwnerDelay time.Duration
	// ForeignDelay is how long it must stand for a claim from another zone if the choice is uncertain.
	ForeignDelay time.Duration
	// LossBackoff is the wait after a claim was lost to another node. It doubles with each loss up to MaxLossBackoff, so that the
	// two sides of a partition do not take a runner from each other indefinitely.
	LossBackoff, MaxLossBackoff time.Duration
	// RetryDelay is the wait after a failed call to an engine.
	RetryDelay time.Duration
	// MaxReportAge is the age of an engine's last report above which a claim on the engine is not relied on.
	MaxReportAge time.Duration
	// VerifyAfter is the age of that report from which the engine is queried again.
	VerifyAfter time.Duration
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{
		DeadOwnerDelay:    time.Second,
		SuspectOwnerDelay: 5 * time.Second,
		LiveOwnerDelay:    10 * time.Second,
		ForeignDelay:      30 * time.Second,
		LossBackoff:       2 * time.Second,
		MaxLossBackoff:    10 * time.Minute,
		RetryDelay:        time.Second,
		MaxReportAge:      10 * time.Second,
		VerifyAfter:       3 * time.Second,
	}
}

// Runner is a runner that should have an owner.
type Runner struct {
	ID   ident.Runner
	Zone ident.Zone
}

// Owned is a runner this node owns, under the epoch of its claim.
type Owned struct {
	Runner ident.Runner
	Epoch  uint64
}

// Planner is the part of ownership on one node that makes no calls: it stores claims and the engines' reports, and decides which
// runners to claim. It is not safe for concurrent use.
type Planner struct {
	config Config
	self   ident.Node
	states map[ident.Runner]*runnerState
	// highest is the highest epoch known of each runner, over all incarnations of its engine. It outlives the runner's state,
	// which is removed while the runner is not listed.
	highest map[ident.Runner]uint64
}

// OwnerReport is an engine's report of its owner.
type OwnerReport struct {
	Epoch uint64
	Owner ident.Node
	// Incarnation distinguishes the starts of the engine's process; it is empty if the engine does not report it.
	Incarnation string
	// RequestedAt is when the query was sent, by this node's monotonic clock.
	RequestedAt time.Time
}

type runnerState struct {
	choice Choice
	chosen bool
	// chosenAmong is the fingerprint of the live members of the runner's zone among which the choice was made.
	chosenAmong uint64
	// since is when the choice last changed.
	since time.Time
	// epoch is that of the claim this node holds; zero means none.
	epoch uint64
	// seenEpoch, seenOwner and seenAt are from the engine's last report; seenAt is zero before the first.
	seenEpoch uint64
	seenOwner ident.Node
	seenAt    time.Time
	// incarnation is that of the engine process to which seenEpoch and epoch belong.
	incarnation string
	querying    bool
	retryAt     time.Time
	losses      int
	heldSince   time.Time
}

// NewPlanner returns the planner of a node that holds no claims.
func NewPlanner(config Config, self ident.Node) *Planner {
	return &Planner{config: config, self: self, states: map[ident.Runner]*runnerState{}, highest: map[ident.Runner]uint64{}}
}

// Plan applies the current runners and members and returns the runners whose engines should be queried; after the report, Claim
// decides whether to claim. A returned runner is left out of later plans until Observe, Failed, Fenced or Claimed is called for
// it.
func (p *Planner) Plan(now time.Time, runners []Runner, members []membership.Member, distance Distance) []ident.Runner {
	listed := make(map[ident.Runner]bool, len(runners))
	var due []ident.Runner
	zones := zonesOf(members)
	for _, runner := range runners {
		listed[runner.ID] = true
		state := p.state(runner.ID)
		p.choose(state, runner, zones[runner.Zone], members, distance, now)
		if p.mustQuery(state, now, members) {
			state.querying = true
			due = append(due, runner.ID)
		}
	}
	for id := range p.states {
		if !listed[id] {
			delete(p.states, id)
		}
	}
	return due
}

func (p *Planner) state(runner ident.Runner) *runnerState {
	state, known := p.states[runner]
	if !known {
		state = &runnerState{}
		p.states[runner] = state
	}
	return state
}

// choiceStands reports whether choosing again would give the same result: within a zone the choice depends on its live members
// alone. Choosing among all members for all runners took most of the time of a plan, which is made twice a second.
func (s *runnerState) choiceStands(among zoneMembers) bool {
	return s.chosen && !s.choice.Foreign && s.chosenAmong == among.fingerprint
}

func (p *Planner) choose(
	state *runnerState, runner Runner, among zoneMembers, members []membership.Member, distance Distance, now time.Time,
) {
	if state.choiceStands(among) {
		return
	}
	best, chosen := rendezvous.First(string(runner.ID), slices.Values(among.live))
	choice := Choice{Node: best}
	if !chosen {
		choice, chosen = Choose(runner.ID, runner.Zone, members, distance)
	}
	if chosen != state.chosen || choice != state.choice {
		state.choice, state.chosen, state.since = choice, chosen, now
	}
	state.chosenAmong = among.fingerprint
}

// mustQuery reports whether the engine's report is needed, to verify a claim that is held or to make one that is due.
func (p *Planner) mustQuery(state *runnerState, now time.Time, members []membership.Member) bool {
	if state.querying || now.Before(state.retryAt) {
		return false
	}
	if state.epoch != 0 {
		return now.Sub(state.seenAt) >= p.config.VerifyAfter
	}
	if !state.chosen || state.choice.Node != p.self {
		return false
	}
	first := state.seenAt.IsZero() && !state.choice.Uncertain
	return first || p.due(state, now, members)
}

// due reports whether the choice of this node has stood for long enough, given who owns the runner.
func (p *Planner) due(state *runnerState, now time.Time, members []membership.Member) bool {
	return now.Sub(state.since) >= p.claimDelay(state, members)
}

func (p *Planner) claimDelay(state *runnerState, members []membership.Member) time.Duration {
	if state.choice.Uncertain {
		return p.config.ForeignDelay
	}
	if state.seenOwner == p.self || state.seenOwner == "" {
		return p.config.DeadOwnerDelay
	}
	for _, member := range members {
		if member.Node != state.seenOwner {
			continue
		}
		switch member.State {
		case membership.Alive:
			return p.config.LiveOwnerDelay
		case membership.Suspect:
			return p.config.SuspectOwnerDelay
		default:
			return p.config.DeadOwnerDelay
		}
	}
	return p.config.SuspectOwnerDelay
}

// Claim reports whether to claim a runner, by the last report of its engine, and under which epoch.
func (p *Planner) Claim(runner ident.Runner, now time.Time, members []membership.Member) (uint64, bool) {
	state, known := p.states[runner]
	if !known || state.epoch != 0 || state.seenAt.IsZero() || now.Before(state.retryAt) {
		return 0, false
	}
	if !state.chosen || state.choice.Node != p.self || !p.due(state, now, members) {
		return 0, false
	}
	return p.nextEpoch(runner, state, now), true
}

// nextEpoch returns the epoch of a new claim. An engine without an epoch may have restarted and lost its fence, and this node may
// not know the earlier epochs. Therefore the first claim uses the wall clock in milliseconds, which is above any epoch that
// started from an earlier clock and increased by one with each claim since.
func (p *Planner) nextEpoch(runner ident.Runner, state *runnerState, now time.Time) uint64 {
	next := p.highest[runner] + 1
	if state.seenEpoch == 0 {
		next = max(next, uint64(max(0, now.UnixMilli())))
	}
	return next
}

// Observe applies an engine's report of its owner. A claim with a lower epoch than the engine's ends at once.
func (p *Planner) Observe(runner ident.Runner, report OwnerReport, now time.Time) {
	state, known := p.states[runner]
	if !known {
		return
	}
	state.querying = false
	p.raise(runner, report.Epoch)
	if report.Incarnation != state.incarnation && !state.restart(report) {
		return
	}
	// Reports may arrive out of order. Within an incarnation the epoch only grows, so a lower one is outdated.
	if report.Epoch < state.seenEpoch {
		return
	}
	state.seenEpoch, state.seenOwner, state.seenAt = report.Epoch, report.Owner, now
	if state.epoch != 0 && (report.Epoch > state.epoch || report.Owner != p.self) {
		p.lose(state, now)
	}
	if state.epoch != 0 && now.Sub(state.heldSince) >= p.config.MaxLossBackoff {
		state.losses = 0
	}
}

// restart handles a report of a new engine process, which does not know former epochs, and reports whether the report is valid.
// The claim ends, but it was not lost to another node, so there is no backoff.
//
// Invariant: a report of a former incarnation never restores its state. Only a query sent after the last report was applied is
// sure to be answered by the same process or a later one; any other report is ignored until the next query.
func (s *runnerState) restart(report OwnerReport) bool {
	if !s.seenAt.IsZero() && !report.RequestedAt.After(s.seenAt) {
		return false
	}
	s.incarnation = report.Incarnation
	s.epoch, s.seenEpoch, s.seenOwner = 0, 0, ""
	return true
}

// raise updates the highest epoch known of a runner.
//
// Invariant: Claim never returns an epoch that is not above it. A restarted engine has lost its fence, so this is what keeps a
// paused former owner's epoch below the new one.
func (p *Planner) raise(runner ident.Runner, epoch uint64) {
	p.highest[runner] = max(p.highest[runner], epoch)
}

// Claimed records that the given incarnation of the engine granted a claim.
func (p *Planner) Claimed(runner ident.Runner, epoch uint64, incarnation string, now time.Time) {
	p.raise(runner, epoch)
	state, known := p.states[runner]
	if !known {
		return
	}
	state.querying = false
	// The engine may have restarted while this answer was in transit; the new process does not know of the claim.
	if incarnation != state.incarnation {
		return
	}
	// A newer claim may have been observed meanwhile.
	if epoch < state.seenEpoch {
		p.lose(state, now)
		return
	}
	state.epoch, state.seenEpoch, state.seenOwner, state.seenAt = epoch, epoch, p.self, now
	state.heldSince = now
}

// Fenced ends a claim that the engine refused as stale. A refusal of another epoch than the held one is outdated.
func (p *Planner) Fenced(runner ident.Runner, epoch uint64, now time.Time) {
	state, known := p.states[runner]
	if !known || (state.epoch != 0 && state.epoch != epoch) {
		return
	}
	state.querying = false
	p.lose(state, now)
}

// Failed records that a call to the engine failed.
func (p *Planner) Failed(runner ident.Runner, now time.Time) {
	state, known := p.states[runner]
	if !known {
		return
	}
	state.querying = false
	state.retryAt = now.Add(p.config.RetryDelay)
}

func (p *Planner) lose(state *runnerState, now time.Time) {
	state.epoch = 0
	delay := min(p.config.LossBackoff<<min(state.losses, 20), p.config.MaxLossBackoff)
	state.losses++
	state.retryAt = now.Add(delay)
}

// Owned returns the runners on which this node holds a claim that a recent report confirms.
func (p *Planner) Owned(now time.Time) []Owned {
	var owned []Owned
	for runner, state := range p.states {
		if state.epoch != 0 && now.Sub(state.seenAt) <= p.config.MaxReportAge {
			owned = append(owned, Owned{Runner: runner, Epoch: state.epoch})
		}
	}
	return owned
}

// Owner returns the owner of a runner in this node's view: by the engine's report if that is recent, otherwise by choice.
func (p *Planner) Owner(runner ident.Runner, now time.Time) (ident.Node, bool) {
	state, known := p.states[runner]
	if !known {
		return "", false
	}
	if state.seenOwner != "" && now.Sub(state.seenAt) <= p.config.MaxReportAge {
		return state.seenOwner, true
	}
	return state.choice.Node, state.chosen
}
