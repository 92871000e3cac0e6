package dispatch

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// peerCountTTL is how long a peer's count of its online requests on a runner is valid. Peers renew counts above zero
	// several times within it; the count of a failed peer expires.
	peerCountTTL = 3 * time.Minute
	// departedCountTTL is how long a count stays valid after the peer has left the membership.
	departedCountTTL = 6 * time.Second
)

// peerCount is the newest count of one peer.
type peerCount struct {
	sequence uint64
	inFlight int
	until    time.Time
}

// peerCounts holds the counts of all peers for one runner. The zero value is empty.
type peerCounts struct {
	counts map[ident.Node]peerCount
}

// set stores a peer's count and reports whether it increased. A count older than the stored one is ignored, because messages
// may arrive out of order.
func (p *peerCounts) set(peer ident.Node, sequence uint64, inFlight int, now time.Time) bool {
	stored, known := p.counts[peer]
	live := known && now.Before(stored.until)
	if live && sequence <= stored.sequence {
		return false
	}
	if p.counts == nil {
		p.counts = map[ident.Node]peerCount{}
	}
	p.counts[peer] = peerCount{sequence: sequence, inFlight: inFlight, until: now.Add(peerCountTTL)}
	return inFlight > 0 && (!live || inFlight > stored.inFlight)
}

// departed shortens the validity of a peer's count to departedCountTTL.
func (p *peerCounts) departed(peer ident.Node, now time.Time) {
	stored, known := p.counts[peer]
	if end := now.Add(departedCountTTL); known && end.Before(stored.until) {
		stored.until = end
		p.counts[peer] = stored
	}
}

// sum returns the online requests of all peers and removes expired counts.
func (p *peerCounts) sum(now time.Time) int {
	sum := 0
	for peer, stored := range p.counts {
		if !now.Before(stored.until) {
			delete(p.counts, peer)
			continue
		}
		sum += stored.inFlight
	}
	return sum
}
