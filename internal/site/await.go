package site

import (
	"context"
	"time"
)

const (
	// maxStartWait is how long a request may wait at a node that has just started and does not know the fleet yet.
	// Usual objectives are some 300 ms, so a request that is served after this wait can still meet its objective; a
	// rejected client would retry half a second later.
	maxStartWait = 240 * time.Millisecond
	// startPollInterval is the interval between checks whether the fleet is known, longPollInterval that after maxStartWait,
	// when a request is late by more than the check.
	startPollInterval, longPollInterval = 5 * time.Millisecond, 25 * time.Millisecond
)

// Start delays requests to a process that has just started until the process knows the fleet.
type Start struct {
	// Known reports whether the process knows the configuration and the runners.
	Known func() bool
	// Together reports whether other nodes answer this one and do not know the fleet either, as after a common start: a client
	// that is rejected would find no node that knows it. Nil reports that they don't.
	Together func() bool
	Now      func() time.Time
}

// Await returns when the fleet is known, when the maximum wait since the arrival of the request is over, or when ctx
// ends. budget is the time for which the request's client waits; zero if it is unknown. Where all nodes start together the
// request may wait as long as that leaves time to serve it.
func (s *Start) Await(ctx context.Context, arrived time.Time, budget time.Duration) {
	for !s.Known() {
		waited := s.Now().Sub(arrived)
		if !s.mayWait(waited, budget) || !sleep(ctx, pollIntervalAfter(waited)) {
			return
		}
	}
}

// mayWait reports whether a request that has waited for a time may wait on.
func (s *Start) mayWait(waited, budget time.Duration) bool {
	if waited < maxStartWait {
		return true
	}
	inTime := budget == 0 || waited < budget-maxStartWait
	return inTime && s.Together != nil && s.Together()
}

func pollIntervalAfter(waited time.Duration) time.Duration {
	if waited < maxStartWait {
		return startPollInterval
	}
	return longPollInterval
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
