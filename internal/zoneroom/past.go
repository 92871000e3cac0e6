package zoneroom

import "time"

const (
	// pastKept is how long the past of a zone is kept: as long as what is known of another zone is believed.
	pastKept = 1500 * time.Millisecond
	// pastStep is the least time between two moments of it.
	pastStep = 50 * time.Millisecond
)

// Past is which part of its places a node's own zone had taken lately. What is known of other zones is older than what is known of the own
// one; where many callers come at once, what came here since then may have come there too. The zero Past knows nothing. It is not safe
// for concurrent use.
type Past struct {
	// moments are in the order of time.
	moments []moment
}

type moment struct {
	at   time.Time
	used float64
}

// Note takes in which part of the places is taken now.
func (p *Past) Note(used float64, now time.Time) {
	if last := len(p.moments) - 1; last >= 0 && now.Sub(p.moments[last].at) < pastStep {
		return
	}
	for len(p.moments) > 0 && now.Sub(p.moments[0].at) > pastKept {
		p.moments = p.moments[1:]
	}
	p.moments = append(p.moments, moment{at: now, used: used})
}

// Rise returns by how much the part that is taken is more than it was at a moment.
func (p *Past) Rise(used float64, since time.Time) float64 {
	before := used
	for _, known := range p.moments {
		before = known.used
		if !known.at.Before(since) {
			break
		}
	}
	return max(used-before, 0)
}
