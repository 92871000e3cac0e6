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
	// nearStep and farStep are the minimum changes of a runner's load, as a share of its capacity, that are shared with peers
	// in the same zone and in other zones.
	nearStep = 1.0 / 8
	farStep  = 1.0 / 3
	// shareRetryDelay is the delay after a failed share before the peer is sent another one.
	shareRetryDelay = 5 * time.Second
	// minFarInterval is the minimum time between two shares with a peer in another zone. While the fleet starts, owners claim
	// runners one after another, and each claim would otherwise cause a share to every node.
	minFarInterval = 10 * time.Second
	// maxShares limits the shares of one full check; peers in the same zone have priority. At the design size, sharing with all
	// nodes after a start or for a refresh takes about 20 checks.
	maxShares = 16
)

// sharePlan decides which peers are sent the states of the owned runners. It does no I/O.
//
// Invariant: while messages are delivered, a peer's view of the load of a runner is wrong by more than the step of its zone
// for at most the share interval, and its view of the loaded models for at most one full check, or minFarInterval in other
// zones. No view is older than the refresh interval, so that undetected errors are corrected.
type sharePlan struct {
	intervals Intervals
	peers     map[ident.Node]*sharedPeer
}

// sharedPeer is what was shared with one peer.
type sharedPeer struct {
	runners map[ident.Runner]sharedState
	// sequence is the sequence of the peer's newest message of counts.
	sequence uint64
	// notBefore is the end of the delay after a failed share, and at the time of the last share or reply.
	notBefore, at time.Time
}

// sharedState is the summary of a runner's state that was sent to a peer, and when.
type sharedState struct {
	summary summary
	at      time.Time
}

// summary is the part of a state by which a change is judged to be worth a message.
type summary struct {
	// loaded is a hash of what only changes by configuration or operation: models, adapters, sizes and whether the runner is
	// leaving.
	loaded uint64
	// load and memory are shares of the runner's capacity. load is above 1 if work waits.
	load, memory float64
}

func newSharePlan(intervals Intervals) sharePlan {
	return sharePlan{intervals: intervals, peers: map[ident.Node]*sharedPeer{}}
}

// summaryOf returns the summary of a view that has a report, as it is shared.
func summaryOf(view *dispatch.RunnerView) summary {
	report := view.ReportToShare()
	return summary{
		loaded: loadedHash(&report),
		load:   float64(report.RunningOnline+report.WaitingOnline) / float64(max(1, report.MaxSequences)),
		memory: report.MemoryUsed,
	}
}

// loadedHash returns the hash for summary.loaded.
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

// due returns the peers to share with now. The caller records each share by calling sent.
func (s *sharePlan) due(peers []Peer, zone ident.Zone, own map[ident.Runner]summary, now time.Time) []ident.Node {
	if len(own) == 0 {
		return nil
	}
	var near, far []ident.Node
	for _, peer := range peers {
		switch {
		case !s.isDue(peer, zone, own, now):
		case peer.Zone == zone:
			near = append(near, peer.Node)
		default:
			far = append(far, peer.Node)
		}
	}
	due := append(near, far...)
	return due[:min(maxShares, len(due))]
}

// isDue reports whether the peer is to be sent a share now.
func (s *sharePlan) isDue(peer Peer, zone ident.Zone, own map[ident.Runner]summary, now time.Time) bool {
	record, known := s.peers[peer.Node]
	if !known {
		return true
	}
	if now.Before(record.notBefore) {
		return false
	}
	near := peer.Zone == zone
	if !near && now.Sub(record.at) < minFarInterval {
		return false
	}
	for runner, current := range own {
		if s.worthSharing(record.runners[runner], current, near, now) {
			return true
		}
	}
	return false
}

// worthSharing reports whether a state differs enough from the one last sent to the peer, or is old enough, to be shared.
func (s *sharePlan) worthSharing(shared sharedState, current summary, near bool, now time.Time) bool {
	interval, refresh, step := s.intervals.ShareFar, s.intervals.RefreshFar, farStep
	if near {
		interval, refresh, step = s.intervals.ShareNear, s.intervals.RefreshNear, nearStep
	}
	age := now.Sub(shared.at)
	moved := math.Abs(current.load-shared.summary.load) >= step || math.Abs(current.memory-shared.summary.memory) >= step
	return current.loaded != shared.summary.loaded || age >= refresh || (moved && age >= interval)
}

// worthReplying reports whether a state is to be included in a reply, which is sent in any case. The threshold is half of
// nearStep, because only the bytes of the state are added.
func (s *sharePlan) worthReplying(peer ident.Node, runner ident.Runner, current summary, now time.Time) bool {
	shared := s.peer(peer).runners[runner]
	moved := math.Abs(current.load-shared.summary.load) >= nearStep/2 || math.Abs(current.memory-shared.summary.memory) >= nearStep/2
	return moved || current.loaded != shared.summary.loaded || now.Sub(shared.at) >= s.intervals.RefreshNear
}

// sent records the states that are being sent to a peer.
func (s *sharePlan) sent(peer ident.Node, states map[ident.Runner]summary, now time.Time) {
	record := s.peer(peer)
	record.at = now
	for runner, current := range states {
		record.runners[runner] = sharedState{summary: current, at: now}
	}
}

// newest records the sequence of a peer's message and reports whether it is the newest.
func (s *sharePlan) newest(peer ident.Node, sequence uint64) bool {
	record := s.peer(peer)
	if sequence <= record.sequence {
		return false
	}
	record.sequence = sequence
	return true
}

// peer returns the record of a peer, which it creates if there is none.
func (s *sharePlan) peer(peer ident.Node) *sharedPeer {
	record, known := s.peers[peer]
	if !known {
		record = &sharedPeer{runners: map[ident.Runner]sharedState{}}
		s.peers[peer] = record
	}
	return record
}

// failed records that a share may not have been delivered. All states are sent again after shareRetryDelay.
func (s *sharePlan) failed(peer ident.Node, now time.Time) {
	record := s.peer(peer)
	clear(record.runners)
	record.notBefore = now.Add(shareRetryDelay)
}

// remove removes a peer that is no longer a member. If it returns, all states are sent.
func (s *sharePlan) remove(peer ident.Node) { delete(s.peers, peer) }
