package queueroom

import (
	"math"
	"time"
)

// flowOver is the time over which the mean of a flow is taken: some runs of items.
const flowOver = 3 * time.Second

// flow is the mean of tokens a second, of which older ones count less. The zero flow is none.
type flow struct {
	mean float64
	at   time.Time
}

func (f *flow) add(tokens int, now time.Time) {
	f.mean = f.decayed(now) + float64(tokens)/flowOver.Seconds()
	f.at = now
}

func (f *flow) perSecond(now time.Time) int { return int(f.decayed(now)) }

func (f *flow) decayed(now time.Time) float64 {
	return f.mean * math.Exp(-now.Sub(f.at).Seconds()/flowOver.Seconds())
}
