package credit

import "time"

const (
	// paceTokens is the batch prefill allowed for each paceTime beside online work. About 100 tokens a step are what full
	// sequences need; the rest catches up.
	paceTokens = 160
	paceTime   = 25 * time.Millisecond
	// paceBurst is the prefill, in tokens, that may be made up for after a time without any.
	paceBurst = 320
)

// pace spreads batch prefill over the steps. Waiting for the first token of one item before the next is sent would leave
// sequences empty for two steps each time; a rate does not depend on how late the first token is told of.
type pace struct {
	// debt is the prefill started beyond the rate, in tokens; below zero it is what may be made up for.
	debt float64
	at   time.Time
}

// clear reports whether prefill may start.
func (p *pace) clear(now time.Time) bool {
	p.advance(now)
	return p.debt <= 0
}

// spend records prefill that started.
func (p *pace) spend(tokens int, now time.Time) {
	p.advance(now)
	p.debt += float64(tokens)
}

func (p *pace) advance(now time.Time) {
	if p.at.IsZero() {
		p.at = now
	}
	earned := paceTokens * now.Sub(p.at).Seconds() / paceTime.Seconds()
	p.debt = max(-paceBurst, p.debt-earned)
	p.at = now
}
