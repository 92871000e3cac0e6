package ownership

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/membership"
)

// Config holds the planner's times.
type Config struct {
	// Settle is how long a choice must stand before a runner without a live owner is claimed.
	Settle time.Duration
	// Doubt is how long it must stand if the present owner is only suspect.
	Doubt time.Duration
	// HandOver is how long it must stand if the present owner is alive, so that a flapping member moves nothing.
	HandOver time.Duration
	// Foreign is how long it must stand for a claim from another zone whose members are suspect rather than dead.
	Foreign time.Duration
	// LossBackoff is the wait after a claim was lost to another node; it doubles with each loss up to MaxLossBackoff,
	// so that two sides which don't see each other don't take a runner from one another for ever.
	LossBackoff, MaxLossBackoff time.Duration
	// Retry is the wait after a claim that failed.
	Retry time.Duration
	// Stale is the age of the last word from an engine from which its claim isn't relied on.
	Stale time.Duration
	// Verify is the age from which the engine is asked for a word.
	Verify time.Duration
}

// DefaultConfig returns the settings used in service.
func DefaultConfig() Config {
	return Config{
		Settle:         time.Second,
		Doubt:          5 * time.Second,
		HandOver:       10 * time.Second,
		Foreign:        30 * time.Second,
		LossBackoff:    2 * time.Second,
		MaxLossBackoff: 10 * time.Minute,
		Retry:          time.Second,
		Stale:          10 * time.Second,
		Verify:         3 * time.Second,
	}
}

// Runner is a runner that somebody ought to own.
type Runner struct {
	ID   ident.Runner
	Zone ident.Zone
}

// Owned is a runner this node owns, under the epoch of its claim.
type Owned struct {
	Runner ident.Runner
	Epoch  uint64
}

// Planner is the pure part of ownership on one node: what it holds, what it has heard, and whom to claim now. It isn't
// safe for concurrent use.
type Planner struct {
	config Config
	self   ident.Node
	states map[ident.Runner]*runnerState
	// highest is the highest epoch known of each runner, over all incarnations of its engine. It outlives the runner's
	// state, which goes while the runner isn't listed.
	highest map[ident.Runner]uint64
}

// Word is what an engine says of its owner.
type Word struct {
	Epoch uint64
	Owner ident.Node
	// Incarnation tells one start of the engine from another; it is empty if the engine does not say.
	Incarnation string
	// Asked is when the question was sent, by this node's monotonic clock.
	Asked time.Time
}

type runnerState struct {
	choice Choice
	chosen bool
	// chosenAmong is the fingerprint of the members that the choice was made among, for a runner of chosenZone.
	chosenAmong uint64
	chosenZone  ident.Zone
	// since is when the choice last changed.
	since time.Time
	// epoch is that of the claim this node holds; zero means none.
	epoch uint64
	// seenEpoch, seenOwner and seenAt are the engine's last word; seenAt is zero before the first.
	seenEpoch uint64
	seenOwner ident.Node
	seenAt    time.Time
	// incarnation is the engine's start that seenEpoch and epoch belong to.
	incarnation string
	asking      bool
	notBefore   time.Time
	losses      int
	heldSince   time.Time
}

// NewPlanner returns the planner of a node that holds nothing.
func NewPlanner(config Config, self ident.Node) *Planner {
	return &Planner{config: config, self: self, states: map[ident.Runner]*runnerState{}, highest: map[ident.Runner]uint64{}}
}

// Plan takes in the runners and members of now and returns the runners whose engine should be asked for its word, after
// which Claim says whether to claim. Each stays out of later plans until Observe, Failed or Claimed.
func (p *Planner) Plan(now time.Time, runners []Runner, members []membership.Member, distance Distance) []ident.Runner {
	listed := make(map[ident.Runner]bool, len(runners))
	var ask []ident.Runner
	among := fingerprint(members)
	for _, runner := range runners {
		listed[runner.ID] = true
		state := p.state(runner.ID)
		if !state.choiceStands(runner, among) {
			p.choose(state, runner, members, distance, now)
			state.chosenAmong, state.chosenZone = among, runner.Zone
		}
		if p.mustAsk(state, now, members) {
			state.asking = true
			ask = append(ask, runner.ID)
		}
	}
	for id := range p.states {
		if !listed[id] {
			delete(p.states, id)
		}
	}
	return ask
}

func (p *Planner) state(runner ident.Runner) *runnerState {
	state, known := p.states[runner]
	if !known {
		state = &runnerState{}
		p.states[runner] = state
	}
	return state
}

// choiceStands says whether choosing again would come to the same: within a zone the choice depends on the members alone. To
// choose among all members for all runners took most of the time of a plan, which is made twice a second.
func (s *runnerState) choiceStands(runner Runner, among uint64) bool {
	return s.chosen && !s.choice.Foreign && s.chosenAmong == among && s.chosenZone == runner.Zone
}

func (p *Planner) choose(state *runnerState, runner Runner, members []membership.Member, distance Distance, now time.Time) {
	choice, chosen := Choose(runner.ID, runner.Zone, members, distance)
	if chosen != state.chosen || choice != state.choice {
		state.choice, state.chosen, state.since = choice, chosen, now
	}
}

// mustAsk says whether the engine's word is needed: to verify a claim that is held, or to make one that is due.
func (p *Planner) mustAsk(state *runnerState, now time.Time, members []membership.Member) bool {
	if state.asking || now.Before(state.notBefore) {
		return false
	}
	if state.epoch != 0 {
		return now.Sub(state.seenAt) >= p.config.Verify
	}
	if !state.chosen || state.choice.Node != p.self {
		return false
	}
	return state.seenAt.IsZero() || p.due(state, now, members)
}

// due says whether the choice of this node has stood for long enough, given who owns the runner.
func (p *Planner) due(state *runnerState, now time.Time, members []membership.Member) bool {
	return now.Sub(state.since) >= p.patience(state, members)
}

func (p *Planner) patience(state *runnerState, members []membership.Member) time.Duration {
	if state.choice.Doubtful {
		return p.config.Foreign
	}
	if state.seenOwner == p.self || state.seenOwner == "" {
		return p.config.Settle
	}
	for _, member := range members {
		if member.Node != state.seenOwner {
			continue
		}
		switch member.State {
		case membership.Alive:
			return p.config.HandOver
		case membership.Suspect:
			return p.config.Doubt
		default:
			return p.config.Settle
		}
	}
	return p.config.Doubt
}

// Claim says whether to claim a runner, by the newest word of its engine, and under which epoch.
func (p *Planner) Claim(runner ident.Runner, now time.Time, members []membership.Member) (uint64, bool) {
	state, known := p.states[runner]
	if !known || state.epoch != 0 || state.seenAt.IsZero() || now.Before(state.notBefore) {
		return 0, false
	}
	if !state.chosen || state.choice.Node != p.self || !p.due(state, now, members) {
		return 0, false
	}
	return p.nextEpoch(runner, state, now), true
}

// nextEpoch returns the epoch of a new claim. An engine that holds none may have been started anew and have forgotten its
// fence, and this node may never have heard of the epochs before: so the first claim is the wall clock in milliseconds,
// which is above what began at an earlier clock and went up by one with each claim since.
func (p *Planner) nextEpoch(runner ident.Runner, state *runnerState, now time.Time) uint64 {
	next := p.highest[runner] + 1
	if state.seenEpoch == 0 {
		next = max(next, uint64(max(0, now.UnixMilli())))
	}
	return next
}

// Observe takes in an engine's word on its owner. A claim with a lower epoch than the engine's ends at once.
func (p *Planner) Observe(runner ident.Runner, word Word, now time.Time) {
	state, known := p.states[runner]
	if !known {
		return
	}
	state.asking = false
	p.raise(runner, word.Epoch)
	if word.Incarnation != state.incarnation && !state.restart(word) {
		return
	}
	// Words may come out of order; within an incarnation the epoch only grows, so a lower one is an old word.
	if word.Epoch < state.seenEpoch {
		return
	}
	state.seenEpoch, state.seenOwner, state.seenAt = word.Epoch, word.Owner, now
	if state.epoch != 0 && (word.Epoch > state.epoch || word.Owner != p.self) {
		p.lose(state, now)
	}
	if state.epoch != 0 && now.Sub(state.heldSince) >= p.config.MaxLossBackoff {
		state.losses = 0
	}
}

// restart takes in that the engine is another process, which knows nothing of former epochs, and reports whether the word
// counts. The claim ends, but it is not lost to another node, so nothing is waited for.
//
// Invariant: a word of a former incarnation never brings back its state. Only a question sent after the newest word was
// taken in is sure to be answered by the same process or a later one; any other is left to the next question.
func (s *runnerState) restart(word Word) bool {
	if !s.seenAt.IsZero() && !word.Asked.After(s.seenAt) {
		return false
	}
	s.incarnation = word.Incarnation
	s.epoch, s.seenEpoch, s.seenOwner = 0, 0, ""
	return true
}

// raise keeps the highest epoch known of a runner.
//
// Invariant: Claim never returns an epoch that is not above it. A restarted engine has forgotten its fence, so this is what
// keeps a paused former owner's epoch below the new one.
func (p *Planner) raise(runner ident.Runner, epoch uint64) {
	p.highest[runner] = max(p.highest[runner], epoch)
}

// Claimed takes in the consent of the engine's given incarnation to a claim.
func (p *Planner) Claimed(runner ident.Runner, epoch uint64, incarnation string, now time.Time) {
	p.raise(runner, epoch)
	state, known := p.states[runner]
	if !known {
		return
	}
	state.asking = false
	// The engine may have been started anew while this answer was on its way: it doesn't know of the claim then.
	if incarnation != state.incarnation {
		return
	}
	// A newer claim may have been seen meanwhile, too.
	if epoch < state.seenEpoch {
		p.lose(state, now)
		return
	}
	state.epoch, state.seenEpoch, state.seenOwner, state.seenAt = epoch, epoch, p.self, now
	state.heldSince = now
}

// Fenced ends a claim that the engine refused as stale. An epoch other than the held one is an old word.
func (p *Planner) Fenced(runner ident.Runner, epoch uint64, now time.Time) {
	state, known := p.states[runner]
	if !known || (state.epoch != 0 && state.epoch != epoch) {
		return
	}
	state.asking = false
	p.lose(state, now)
}

// Failed notes that the engine could not be asked.
func (p *Planner) Failed(runner ident.Runner, now time.Time) {
	state, known := p.states[runner]
	if !known {
		return
	}
	state.asking = false
	state.notBefore = now.Add(p.config.Retry)
}

func (p *Planner) lose(state *runnerState, now time.Time) {
	state.epoch = 0
	delay := min(p.config.LossBackoff<<min(state.losses, 20), p.config.MaxLossBackoff)
	state.losses++
	state.notBefore = now.Add(delay)
}

// Owned returns the runners this node holds and has had word from lately.
func (p *Planner) Owned(now time.Time) []Owned {
	var owned []Owned
	for runner, state := range p.states {
		if state.epoch != 0 && now.Sub(state.seenAt) <= p.config.Stale {
			owned = append(owned, Owned{Runner: runner, Epoch: state.epoch})
		}
	}
	return owned
}

// Owner returns the node that owns a runner as far as is known here: by the engine's word if that is fresh, else by
// choice.
func (p *Planner) Owner(runner ident.Runner, now time.Time) (ident.Node, bool) {
	state, known := p.states[runner]
	if !known {
		return "", false
	}
	if state.seenOwner != "" && now.Sub(state.seenAt) <= p.config.Stale {
		return state.seenOwner, true
	}
	return state.choice.Node, state.chosen
}
