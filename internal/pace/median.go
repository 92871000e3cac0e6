package pace

import (
	"time"

	"mallowlatch.example/mallowlatch/internal/work"
)

// medianStep is the relative step by which the median follows an observed time, firstStep that of the first one. The
// first observation may be far from the median, which is reached within a few tens of requests.
const medianStep, firstStep = 0.05, 0.5

// minObservation is the shortest time that is used: events read in a single piece arrive at the same moment.
const minObservation = time.Millisecond

// Median estimates the median time that something takes at the typical pace, as measured by this node. Outliers, from
// queues or callers that read slowly, move it no more than other times. The zero value has no observation.
type Median struct {
	median time.Duration
	// observations is the number of times that were observed.
	observations int
}

// Observe adds a time that something took at a pace.
func (m *Median) Observe(took time.Duration, at work.Pace) {
	took = time.Duration(float64(took) / max(float64(at), 1))
	if took < minObservation {
		return
	}
	m.observations++
	step := time.Duration(max(medianStep, firstStep/float64(m.observations)) * float64(m.median))
	switch {
	case m.median == 0:
		m.median = took
	case took > m.median:
		m.median = min(m.median+step, took)
	default:
		m.median = max(m.median-step, took)
	}
}

// Or returns the median, or another value if nothing was observed.
func (m *Median) Or(fallback time.Duration) time.Duration {
	if m.median == 0 {
		return fallback
	}
	return m.median
}

// Cost is the cost of the additional delay of the first event at a pace. typical is the time it takes at the typical
// pace. A delay that leaves the response well within its objective costs less than its length, because the response
// earns the same credit. What counts is the risk of exceeding the objective, modelled as the square of the part of the
// objective that is used. Queueing is less predictable than slow work at a known pace: 1 in 300 requests was late at
// runners three times slower with a free slot, and 1 in 30 of the first in a queue at a runner of the typical pace. A
// zero objective means none.
func Cost(typical, objective time.Duration, at work.Pace) time.Duration {
	delay := float64(typical) * max(float64(at)-1, 0)
	if objective <= 0 {
		return time.Duration(delay)
	}
	part := min(float64(typical)*float64(at)/float64(objective), 1)
	return time.Duration(delay * part * part)
}

// MeetsPause says whether a runner at a pace meets the longest allowed pause between two events. It does if no pause
// is set, or if no gap was observed yet.
func MeetsPause(typicalGap, pause time.Duration, at work.Pace) bool {
	return pause <= 0 || at <= 1 || time.Duration(float64(typicalGap)*float64(at)) <= pause
}
