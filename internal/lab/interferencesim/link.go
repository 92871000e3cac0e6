package interferencesim

import (
	"math/rand/v2"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/virtualtime"
)

// link carries messages one way in their order, each with the same delay and some jitter.
type link struct {
	clock         *virtualtime.Clock
	random        *rand.Rand
	delay, jitter time.Duration
	// last is when the newest message arrives.
	last time.Duration
}

// send sets what happens when the message has arrived.
func (l *link) send(arrived func()) { l.clock.After(l.arrival()-l.clock.Elapsed(), arrived) }

// arrival returns when a message sent now arrives.
func (l *link) arrival() time.Duration {
	at := l.clock.Elapsed() + l.delay
	if l.jitter > 0 {
		at += time.Duration(l.random.ExpFloat64() * float64(l.jitter))
	}
	l.last = max(l.last, at)
	return l.last
}
