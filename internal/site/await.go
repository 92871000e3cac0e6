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
	// startPollInterval is the interval between checks whether the fleet is known.
	startPollInterval = 5 * time.Millisecond
)

// Start delays requests to a process that has just started until the process knows the fleet.
type Start struct {
	// Known reports whether the process knows the configuration and the runners.
	Known func() bool
	Now   func() time.Time
}

// Await returns when the fleet is known, when the maximum wait since the arrival of the request is over, or when ctx
// ends.
func (s *Start) Await(ctx context.Context, arrived time.Time) {
	if s.Known() {
		return
	}
	ticker := time.NewTicker(startPollInterval)
	defer ticker.Stop()
	for s.Now().Sub(arrived) < maxStartWait && !s.Known() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
