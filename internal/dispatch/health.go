package dispatch

import "time"

// Parameters of outlier ejection.
const (
	// failuresToEject is the number of failures in a row that takes a runner out of use.
	failuresToEject = 3
	// firstEjection is how long the first ejection lasts at least; each further one doubles, up to longestEjection.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// slowStartTime is how long a recovered or fresh runner takes to get its full share of work.
	slowStartTime = 10 * time.Second
	// slowStartFloor is the share a runner starts with.
	slowStartFloor = 0.1
	// ejectionMemory is how long a runner must work without failure before an ejection counts as its first again.
	ejectionMemory = time.Minute
)

// health is the state of one runner as its failures show it. The zero value is a healthy runner at full share.
type health struct {
	failures     int
	ejections    int
	ejected      bool
	ejectedUntil time.Time
	// startedAt is when the slow start began; zero means that there is none.
	startedAt time.Time
}

// failed records a failure that points at the runner or the way to it.
func (h *health) failed(now time.Time) {
	if h.ejected {
		return
	}
	h.failures++
	recovering := !h.startedAt.IsZero() && now.Sub(h.startedAt) < slowStartTime && h.ejections > 0
	if h.failures < failuresToEject && !recovering {
		return
	}
	if !h.startedAt.IsZero() && now.Sub(h.startedAt) > ejectionMemory {
		h.ejections = 0
	}
	h.ejected = true
	h.ejectedUntil = now.Add(ejectionTime(h.ejections))
	h.ejections++
}

func ejectionTime(earlier int) time.Duration {
	const mostDoublings = 5
	return min(longestEjection, firstEjection<<min(earlier, mostDoublings))
}

// succeeded records a request that the runner answered.
func (h *health) succeeded() { h.failures = 0 }

// probeDue reports whether an ejected runner should be probed.
func (h *health) probeDue(now time.Time) bool { return h.ejected && !now.Before(h.ejectedUntil) }

// probed records the result of a probe. Success ends the ejection and begins a slow start.
func (h *health) probed(now time.Time, succeeded bool) {
	if !h.ejected {
		return
	}
	if !succeeded {
		h.ejectedUntil = now.Add(ejectionTime(h.ejections))
		h.ejections++
		return
	}
	h.ejected = false
	h.failures = 0
	h.startedAt = now
}

// share returns the share of its capacity the runner may use, slowStartFloor to 1.
func (h *health) share(now time.Time) float64 {
	if h.startedAt.IsZero() {
		return 1
	}
	elapsed := now.Sub(h.startedAt)
	return min(1, max(slowStartFloor, elapsed.Seconds()/slowStartTime.Seconds()))
}
