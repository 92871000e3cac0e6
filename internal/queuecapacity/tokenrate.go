package queuecapacity

import (
	"math"
	"time"
)

// rateWindow is the time constant of the mean: several runs of items.
const rateWindow = 3 * time.Second

// tokenRate is an exponentially decaying mean of tokens per second. The zero value is a rate of zero.
type tokenRate struct {
	mean    float64
	updated time.Time
}

func (r *tokenRate) add(tokens int, now time.Time) {
	r.mean = r.decayed(now) + float64(tokens)/rateWindow.Seconds()
	r.updated = now
}

func (r *tokenRate) perSecond(now time.Time) int { return int(r.decayed(now)) }

func (r *tokenRate) decayed(now time.Time) float64 {
	return r.mean * math.Exp(-now.Sub(r.updated).Seconds()/rateWindow.Seconds())
}
