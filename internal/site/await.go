package site

import (
	"context"
	"time"
)

const (
	// startPatience is how long a request may wait at a node that has started and does not know the fleet yet: what is answered within
	// the usual objectives of some 300 ms after it is still in time, and a caller sent away comes back half a second later.
	startPatience = 240 * time.Millisecond
	// startLook is the time between two looks whether the fleet is known.
	startLook = 5 * time.Millisecond
)

// Start is the beginning of a process's service: requests wait until the process knows the fleet.
type Start struct {
	// Known says whether it knows the configuration and the runners.
	Known func() bool
	Now   func() time.Time
}

// Await returns once the fleet is known, or when a request that arrived at a time may wait for it no longer.
func (s *Start) Await(ctx context.Context, arrived time.Time) {
	if s.Known() {
		return
	}
	ticker := time.NewTicker(startLook)
	defer ticker.Stop()
	for s.Now().Sub(arrived) < startPatience && !s.Known() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
