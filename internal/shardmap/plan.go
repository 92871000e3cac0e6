package shardmap

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/rendezvous"
)

// Peer is a node with a disk that may be asked.
type Peer struct {
	Node ident.Node
	Zone ident.Zone
}

// Intervals are the times between questions.
type Intervals struct {
	// Poll is the time between questions while all goes well; zero means DefaultPoll.
	Poll time.Duration
	// Pause is the least time between questions that misses bring forward, doubled, up to Poll, by each that brought
	// nothing new; zero means DefaultPause.
	Pause time.Duration
	// Retry is the wait after a failed question, doubled, up to Poll, by each in a row; zero means DefaultRetry.
	Retry time.Duration
	// Avoid is how long a peer that failed is asked only if there is no other; zero means DefaultAvoid.
	Avoid time.Duration
}

// The defaults of Intervals.
const (
	DefaultPoll  = 5 * time.Second
	DefaultPause = 100 * time.Millisecond
	DefaultRetry = 50 * time.Millisecond
	DefaultAvoid = 10 * time.Second
)

func (i Intervals) withDefaults() Intervals {
	setDefault(&i.Poll, DefaultPoll)
	setDefault(&i.Pause, DefaultPause)
	setDefault(&i.Retry, DefaultRetry)
	setDefault(&i.Avoid, DefaultAvoid)
	return i
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// plan decides whom to ask and when. Time and randomness are its arguments.
type plan struct {
	self      ident.Node
	zone      ident.Zone
	intervals Intervals

	// known is the version of the last answer, and of the peer asked.
	asked ident.Node
	known version
	// due is when the next question is asked; the zero time means at once.
	due time.Time
	// last is when the last question ended.
	last time.Time
	// failures are questions in a row without an answer; fruitless are those in a row that misses brought forward and
	// that told nothing new.
	failures, fruitless int
	// missed says that a miss came since the last question was begun; prompted, that one brought that question forward.
	missed, prompted bool
	avoided          map[ident.Node]time.Time
}

func newPlan(self ident.Node, zone ident.Zone, intervals Intervals) *plan {
	return &plan{self: self, zone: zone, intervals: intervals.withDefaults(), avoided: map[ident.Node]time.Time{}}
}

// miss brings the next question forward. After a failure the retry is on its way already and its wait holds.
func (p *plan) miss() {
	p.missed = true
	if p.failures > 0 {
		return
	}
	soon := p.last.Add(doubled(p.intervals.Pause, p.fruitless, p.intervals.Poll))
	if soon.Before(p.due) {
		p.due = soon
	}
}

// begin notes that a question is asked now. A miss after this may be news that the answer lacks.
func (p *plan) begin() {
	p.prompted = p.missed
	p.missed = false
}

// choose returns the peer to ask and what is known from it. The same peer is asked while it is there, ranked by
// rendezvous hashing over the zone's peers, else over all; peers that failed lately come last.
func (p *plan) choose(now time.Time, peers []Peer) (ident.Node, version, bool) {
	var best Peer
	var bestRank rank
	for _, peer := range peers {
		if peer.Node == p.self {
			continue
		}
		ranked := p.rank(now, peer)
		if best.Node == "" || ranked.above(bestRank) {
			best, bestRank = peer, ranked
		}
	}
	if best.Node == "" {
		return "", version{}, false
	}
	if best.Node != p.asked {
		return best.Node, version{}, true
	}
	return best.Node, p.known, true
}

// rank orders peers.
type rank struct {
	trusted, near bool
	score         uint64
}

func (r rank) above(other rank) bool {
	if r.trusted != other.trusted {
		return r.trusted
	}
	if r.near != other.near {
		return r.near
	}
	return r.score > other.score
}

func (p *plan) rank(now time.Time, peer Peer) rank {
	until, failed := p.avoided[peer.Node]
	return rank{
		trusted: !failed || !now.Before(until),
		near:    peer.Zone == p.zone,
		score:   rendezvous.Weight(string(p.self), peer.Node),
	}
}

// answered notes an answer and whether it told anything new. Jitter is in [0, 1).
func (p *plan) answered(now time.Time, peer ident.Node, known version, changed bool, jitter float64) {
	p.asked, p.known, p.last = peer, known, now
	delete(p.avoided, peer)
	p.failures = 0
	if changed || !p.prompted {
		p.fruitless = 0
	} else {
		p.fruitless++
	}
	p.due = now.Add(spread(p.intervals.Poll, jitter))
	if p.missed {
		p.miss()
	}
}

// alone notes that there was no peer to ask. To look again costs nothing, so the wait does not grow.
func (p *plan) alone(now time.Time, jitter float64) {
	const retries = 10
	p.last = now
	p.due = now.Add(spread(retries*p.intervals.Retry, jitter))
}

// failed notes that a peer gave no answer.
func (p *plan) failed(now time.Time, peer ident.Node, jitter float64) {
	p.avoided[peer] = now.Add(p.intervals.Avoid)
	p.last = now
	p.due = now.Add(spread(doubled(p.intervals.Retry, p.failures, p.intervals.Poll), jitter))
	p.failures++
}

// doubled returns a duration doubled some times, up to a bound.
func doubled(first time.Duration, times int, bound time.Duration) time.Duration {
	const enough = 20
	return min(first<<min(times, enough), bound)
}

// spread takes off up to half of a wait, so that nodes do not ask in step.
func spread(wait time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(wait) * (1 - jitter/2))
}
