package dispatch

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// hintTime is how long a peer's count of its online requests on a runner holds. Peers renew counts above zero several
	// times within it, so that the count of a dead peer goes away by itself.
	hintTime = 3 * time.Minute
	// goneTime is how long it still holds once the peer takes part no more.
	goneTime = 6 * time.Second
)

// peerCount is what one peer last said.
type peerCount struct {
	sequence uint64
	inFlight int
	until    time.Time
}

// peerCounts holds the peers' counts for one runner. The zero value is empty.
type peerCounts struct {
	counts map[ident.Node]peerCount
}

// set takes a peer's count and reports whether it grew. A count older than the one held is ignored: messages may overtake each other.
func (p *peerCounts) set(peer ident.Node, sequence uint64, inFlight int, now time.Time) bool {
	held, known := p.counts[peer]
	live := known && now.Before(held.until)
	if live && sequence <= held.sequence {
		return false
	}
	if p.counts == nil {
		p.counts = map[ident.Node]peerCount{}
	}
	p.counts[peer] = peerCount{sequence: sequence, inFlight: inFlight, until: now.Add(hintTime)}
	return inFlight > 0 && (!live || inFlight > held.inFlight)
}

// gone shortens the time that a peer's count holds.
func (p *peerCounts) gone(peer ident.Node, now time.Time) {
	held, known := p.counts[peer]
	if end := now.Add(goneTime); known && end.Before(held.until) {
		held.until = end
		p.counts[peer] = held
	}
}

// sum returns the online requests of all peers, and forgets counts that ran out.
func (p *peerCounts) sum(now time.Time) int {
	sum := 0
	for peer, held := range p.counts {
		if !now.Before(held.until) {
			delete(p.counts, peer)
			continue
		}
		sum += held.inFlight
	}
	return sum
}
