package credit

import "time"

const (
	// paceTokens is the batch prefill, in tokens, allowed in each paceTime beside online work. Keeping all sequences in use
	// takes about 100 tokens a step; the rest lets batch catch up.
	paceTokens = 160
	paceTime   = 25 * time.Millisecond
	// paceBurst is the prefill, in tokens, that may be sent in a burst after a time without any.
	paceBurst = 320
	// quietTime is how long batch prefill pauses after an online arrival: about the time until the request's first step
	// starts and its prefill ends.
	quietTime = 45 * time.Millisecond
	// maxQuietTime is the time since the last batch prefill after which online arrivals no longer pause it, so that frequent
	// arrivals cannot starve batch.
	maxQuietTime = 120 * time.Millisecond
)

// pacer spreads batch prefill over the steps at a constant rate, as a token bucket. If it waited for the first token of one
// item before the next is sent, sequences would be unused for two steps each time. A rate does not depend on the delay
// with which the first token is reported.
type pacer struct {
	// debt is the prefill started in excess of the rate, in tokens. A negative debt is the burst still allowed.
	debt float64
	// at is the time for which debt was computed.
	at time.Time
}

// ready reports whether prefill may start.
func (p *pacer) ready(now time.Time) bool {
	p.advance(now)
	return p.debt <= 0
}

// spend records prefill that started.
func (p *pacer) spend(tokens int, now time.Time) {
	p.advance(now)
	p.debt += float64(tokens)
}

// advance reduces the debt by the tokens earned since the last call.
func (p *pacer) advance(now time.Time) {
	if p.at.IsZero() {
		p.at = now
	}
	earned := paceTokens * now.Sub(p.at).Seconds() / paceTime.Seconds()
	p.debt = max(-paceBurst, p.debt-earned)
	p.at = now
}
