package shardmap

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// Peer is a node with a disk that can be polled.
type Peer struct {
	Node ident.Node
	Zone ident.Zone
}

// Intervals configures the times between polls.
type Intervals struct {
	// Poll is the time between polls while they succeed; zero means DefaultPoll.
	Poll time.Duration
	// MissBackoff is the minimum time between polls triggered by misses. It doubles, up to Poll, with each such poll in a
	// row that returned no changes; zero means DefaultMissBackoff.
	MissBackoff time.Duration
	// Retry is the wait after a failed poll. It doubles, up to Poll, with each consecutive failure; zero means DefaultRetry.
	Retry time.Duration
	// PeerBackoff is how long a peer that failed is polled only if no other peer is available; zero means
	// DefaultPeerBackoff.
	PeerBackoff time.Duration
}

// The defaults of Intervals.
const (
	DefaultPoll        = 5 * time.Second
	DefaultMissBackoff = 100 * time.Millisecond
	DefaultRetry       = 50 * time.Millisecond
	DefaultPeerBackoff = 10 * time.Second
)

func (i Intervals) withDefaults() Intervals {
	setDefault(&i.Poll, DefaultPoll)
	setDefault(&i.MissBackoff, DefaultMissBackoff)
	setDefault(&i.Retry, DefaultRetry)
	setDefault(&i.PeerBackoff, DefaultPeerBackoff)
	return i
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// schedule decides which peer to poll and when. The current time and randomness are passed as arguments.
type schedule struct {
	self      ident.Node
	zone      ident.Zone
	intervals Intervals

	// lastPeer is the peer that sent the last reply; known is the version of that reply.
	lastPeer ident.Node
	known    version
	// nextPoll is the time of the next poll; the zero time means immediately.
	nextPoll time.Time
	// lastPoll is when the last poll ended.
	lastPoll time.Time
	// failures counts consecutive failed polls. unchangedPolls counts consecutive polls that were triggered by misses and
	// returned no changes.
	failures, unchangedPolls int
	// missed is set if a miss was recorded since the last poll started; triggeredByMiss is set if a miss was recorded
	// before that poll started.
	missed, triggeredByMiss bool
	avoidedUntil            map[ident.Node]time.Time
}

func newSchedule(self ident.Node, zone ident.Zone, intervals Intervals) *schedule {
	return &schedule{self: self, zone: zone, intervals: intervals.withDefaults(), avoidedUntil: map[ident.Node]time.Time{}}
}

// recordMiss brings the next poll forward. After a failure a retry is already scheduled, and its wait is kept.
func (s *schedule) recordMiss() {
	s.missed = true
	if s.failures > 0 {
		return
	}
	soon := s.lastPoll.Add(exponentialBackoff(s.intervals.MissBackoff, s.unchangedPolls, s.intervals.Poll))
	if soon.Before(s.nextPoll) {
		s.nextPoll = soon
	}
}

// startPoll records that a poll starts now. A miss after this may concern a change that the reply does not include, so it
// triggers another poll.
func (s *schedule) startPoll() {
	s.triggeredByMiss = s.missed
	s.missed = false
}

// choose returns the peer to poll and the last version received from it. Peers are ranked by rendezvous hashing, so the
// choice is stable while the set of peers is. Peers of the same zone rank above others, and peers in backoff rank last.
func (s *schedule) choose(now time.Time, peers []Peer) (ident.Node, version, bool) {
	var best Peer
	var bestRank rank
	for _, peer := range peers {
		if peer.Node == s.self {
			continue
		}
		ranked := s.rank(now, peer)
		if best.Node == "" || ranked.higherThan(bestRank) {
			best, bestRank = peer, ranked
		}
	}
	if best.Node == "" {
		return "", version{}, false
	}
	if best.Node != s.lastPeer {
		return best.Node, version{}, true
	}
	return best.Node, s.known, true
}

// rank is the ordering key of a peer.
type rank struct {
	available, sameZone bool
	score               uint64
}

func (r rank) higherThan(other rank) bool {
	if r.available != other.available {
		return r.available
	}
	if r.sameZone != other.sameZone {
		return r.sameZone
	}
	return r.score > other.score
}

func (s *schedule) rank(now time.Time, peer Peer) rank {
	until, failed := s.avoidedUntil[peer.Node]
	return rank{
		available: !failed || !now.Before(until),
		sameZone:  peer.Zone == s.zone,
		score:     rendezvous.Weight(string(s.self), peer.Node),
	}
}

// recordReply records a reply and whether it changed any routes. Jitter is in [0, 1).
func (s *schedule) recordReply(now time.Time, peer ident.Node, known version, changed bool, jitter float64) {
	s.lastPeer, s.known, s.lastPoll = peer, known, now
	delete(s.avoidedUntil, peer)
	s.failures = 0
	if changed || !s.triggeredByMiss {
		s.unchangedPolls = 0
	} else {
		s.unchangedPolls++
	}
	s.nextPoll = now.Add(applyJitter(s.intervals.Poll, jitter))
	if s.missed {
		s.recordMiss()
	}
}

// recordNoPeers records that there was no peer to poll. Checking again sends no messages, so the wait does not grow.
func (s *schedule) recordNoPeers(now time.Time, jitter float64) {
	const retries = 10
	s.lastPoll = now
	s.nextPoll = now.Add(applyJitter(retries*s.intervals.Retry, jitter))
}

// recordFailure records that a poll of a peer failed.
func (s *schedule) recordFailure(now time.Time, peer ident.Node, jitter float64) {
	s.avoidedUntil[peer] = now.Add(s.intervals.PeerBackoff)
	s.lastPoll = now
	s.nextPoll = now.Add(applyJitter(exponentialBackoff(s.intervals.Retry, s.failures, s.intervals.Poll), jitter))
	s.failures++
}

// exponentialBackoff returns the initial duration doubled the given number of times, up to the limit.
func exponentialBackoff(initial time.Duration, doublings int, limit time.Duration) time.Duration {
	const maxDoublings = 20
	return min(initial<<min(doublings, maxDoublings), limit)
}

// applyJitter shortens a wait by up to half, so that nodes do not poll in lockstep.
func applyJitter(wait time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(wait) * (1 - jitter/2))
}
