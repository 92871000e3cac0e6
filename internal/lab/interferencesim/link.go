package interferencesim

import (
	"math/rand/v2"
	"time"
)

// link carries messages one way in their order, each with the same delay and some jitter.
type link struct {
	clock         *clock
	random        *rand.Rand
	delay, jitter time.Duration
	// last is when the newest message arrives.
	last time.Duration
}

// send sets what happens when the message has arrived.
func (l *link) send(arrived func()) { l.clock.after(l.arrival()-l.clock.now, arrived) }

// arrival returns when a message sent now arrives.
func (l *link) arrival() time.Duration {
	at := l.clock.now + l.delay
	if l.jitter > 0 {
		at += time.Duration(l.random.ExpFloat64() * float64(l.jitter))
	}
	l.last = max(l.last, at)
	return l.last
}
