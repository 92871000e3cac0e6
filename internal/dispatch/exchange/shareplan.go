package exchange

import (
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/dispatch"
	"mallowlatch.example/mallowlatch/internal/engine"
	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// nearStep and farStep are the changes of a runner's load, in parts of what it can take, that peers in the own zone
	// and in others are told of.
	nearStep = 1.0 / 8
	farStep  = 1.0 / 3
	// sharePause is the wait before a peer that could not be told is told again.
	sharePause = 5 * time.Second
	// maxShares bounds the peers told in one look, which spreads the messages over time.
	maxShares = 64
)

// sharePlan decides which peers are told the state of the own runners. It is pure but for its own state.
//
// Invariant: while messages arrive, no peer's picture of a runner is wrong by more than the step of its zone for longer
// than the share interval, nor in what is loaded for longer than a look; and none is older than the refresh interval, so that
// whatever went wrong unseen is made good.
type sharePlan struct {
	intervals Intervals
	peers     map[ident.Node]*toldPeer
}

// toldPeer is what one peer was told of the own runners.
type toldPeer struct {
	runners map[ident.Runner]toldState
	// sequence is that of the newest message of counts that the peer sent.
	sequence uint64
	// notBefore is the end of the pause after a failure.
	notBefore time.Time
}

// toldState is what a peer was told of one runner, and when.
type toldState struct {
	gist gist
	at   time.Time
}

// gist is what decides whether a state is worth a message.
type gist struct {
	// loaded is a hash over what changes by orders only: models, adapters, sizes and the word of leaving.
	loaded uint64
	// load and memory are parts of what the runner can take, 0 to 1 and above if work waits.
	load, memory float64
}

func newSharePlan(intervals Intervals) sharePlan {
	return sharePlan{intervals: intervals, peers: map[ident.Node]*toldPeer{}}
}

// gistOf returns the gist of a view that has a report.
func gistOf(view *dispatch.RunnerView) gist {
	report := view.Report
	online := max(report.RunningOnline+report.WaitingOnline, view.OwnInFlight+view.PeersInFlight)
	return gist{
		loaded: loadedHash(report),
		load:   float64(online) / float64(max(1, report.MaxSequences)),
		memory: report.MemoryUsed,
	}
}

func loadedHash(report *engine.LoadReport) uint64 {
	var parts []string
	for _, loaded := range report.Models {
		parts = append(parts, "model", loaded.Name, loaded.Version)
	}
	for _, adapter := range report.Adapters {
		parts = append(parts, "adapter", adapter)
	}
	hash := xxhash.Sum64String(strings.Join(parts, "\x00"))
	const odd = 0x9e3779b97f4a7c15
	for _, figure := range []int{report.MaxSequences, report.MemoryTokens, rank(report.Leaving)} {
		hash = (hash ^ uint64(figure)) * odd
	}
	return hash
}

// due returns the peers to tell now. What they are told is to be noted by told.
func (s *sharePlan) due(peers []Peer, zone ident.Zone, own map[ident.Runner]gist, now time.Time) []ident.Node {
	if len(own) == 0 {
		return nil
	}
	var due []ident.Node
	for _, peer := range peers {
		if len(due) >= maxShares {
			break
		}
		if s.wants(peer, zone, own, now) {
			due = append(due, peer.Node)
		}
	}
	return due
}

func (s *sharePlan) wants(peer Peer, zone ident.Zone, own map[ident.Runner]gist, now time.Time) bool {
	held, known := s.peers[peer.Node]
	if !known {
		return true
	}
	if now.Before(held.notBefore) {
		return false
	}
	near := peer.Zone == zone
	for runner, current := range own {
		if s.worth(held.runners[runner], current, near, now) {
			return true
		}
	}
	return false
}

// worth says whether a state is worth a message to a peer that was told another.
func (s *sharePlan) worth(told toldState, current gist, near bool, now time.Time) bool {
	interval, refresh, step := s.intervals.ShareFar, s.intervals.RefreshFar, farStep
	if near {
		interval, refresh, step = s.intervals.ShareNear, s.intervals.RefreshNear, nearStep
	}
	age := now.Sub(told.at)
	moved := math.Abs(current.load-told.gist.load) >= step || math.Abs(current.memory-told.gist.memory) >= step
	return current.loaded != told.gist.loaded || age >= refresh || (moved && age >= interval)
}

// news says whether a state is worth its bytes in a reply that is sent anyway: half of the near step is enough.
func (s *sharePlan) news(peer ident.Node, runner ident.Runner, current gist, now time.Time) bool {
	told := s.peer(peer).runners[runner]
	moved := math.Abs(current.load-told.gist.load) >= nearStep/2 || math.Abs(current.memory-told.gist.memory) >= nearStep/2
	return moved || current.loaded != told.gist.loaded || now.Sub(told.at) >= s.intervals.RefreshNear
}

// told notes that a peer is being told of runners.
func (s *sharePlan) told(peer ident.Node, states map[ident.Runner]gist, now time.Time) {
	held := s.peer(peer)
	for runner, current := range states {
		held.runners[runner] = toldState{gist: current, at: now}
	}
}

// newest takes in the sequence of a peer's message and says whether it is the newest.
func (s *sharePlan) newest(peer ident.Node, sequence uint64) bool {
	held := s.peer(peer)
	if sequence <= held.sequence {
		return false
	}
	held.sequence = sequence
	return true
}

func (s *sharePlan) peer(peer ident.Node) *toldPeer {
	held, known := s.peers[peer]
	if !known {
		held = &toldPeer{runners: map[ident.Runner]toldState{}}
		s.peers[peer] = held
	}
	return held
}

// failed notes that a peer may not have been told after all: it is told everything again after a pause.
func (s *sharePlan) failed(peer ident.Node, now time.Time) {
	held := s.peer(peer)
	clear(held.runners)
	held.notBefore = now.Add(sharePause)
}

// forget drops a peer that takes part no more. One that comes back is told everything.
func (s *sharePlan) forget(peer ident.Node) { delete(s.peers, peer) }
