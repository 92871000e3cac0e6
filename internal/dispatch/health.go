package dispatch

import "time"

// Parameters of outlier ejection.
const (
	// failuresToEject is the number of consecutive failures after which a runner is ejected.
	failuresToEject = 3
	// firstEjection is the minimum duration of the first ejection. It doubles with each further one, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// slowStartTime is how long the share of a recovered or new runner takes to rise to 1.
	slowStartTime = 10 * time.Second
	// minSlowStartShare is the share of its capacity with which a runner starts.
	minSlowStartShare = 0.1
	// ejectionResetTime is the time since the start of the last slow start after which an ejection counts as the first again.
	ejectionResetTime = time.Minute
)

// health is the ejection and slow-start state of one runner. The zero value is a healthy runner with full share.
type health struct {
	failures     int
	ejections    int
	ejected      bool
	ejectedUntil time.Time
	// startedAt is when the slow start began; zero means that there was none.
	startedAt time.Time
}

// failed records a failure caused by the runner or by the connection to it. During the slow start after an ejection a single
// failure ejects the runner again.
func (h *health) failed(now time.Time) {
	if h.ejected {
		return
	}
	h.failures++
	recovering := !h.startedAt.IsZero() && now.Sub(h.startedAt) < slowStartTime && h.ejections > 0
	if h.failures < failuresToEject && !recovering {
		return
	}
	if !h.startedAt.IsZero() && now.Sub(h.startedAt) > ejectionResetTime {
		h.ejections = 0
	}
	h.ejected = true
	h.ejectedUntil = now.Add(ejectionTime(h.ejections))
	h.ejections++
}

// ejectionTime returns the minimum duration of an ejection after a number of earlier ones.
func ejectionTime(earlier int) time.Duration {
	const maxDoublings = 5
	return min(maxEjection, firstEjection<<min(earlier, maxDoublings))
}

// succeeded records a request that the runner answered.
func (h *health) succeeded() { h.failures = 0 }

// probeDue reports whether an ejected runner should be probed.
func (h *health) probeDue(now time.Time) bool { return h.ejected && !now.Before(h.ejectedUntil) }

// probed records the result of a probe. Success ends the ejection and starts a slow start; failure extends the ejection.
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

// share returns the share of its capacity that the runner may use, from minSlowStartShare to 1.
func (h *health) share(now time.Time) float64 {
	if h.startedAt.IsZero() {
		return 1
	}
	elapsed := now.Sub(h.startedAt)
	return min(1, max(minSlowStartShare, elapsed.Seconds()/slowStartTime.Seconds()))
}
