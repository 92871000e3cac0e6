package demand

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// TestIdleWorkersOfZonesArePolledInTurn has idle workers in two other zones, five in one and one in the other, all
// called at the same moment when the node started. The larger zone is called at least once a second, and the total
// rate stays within farCallsPerSecond.
func TestIdleWorkersOfZonesArePolledInTurn(t *testing.T) {
	online := map[string]OwnerDemand{}
	reporter := &Reporter{workers: map[string]*workerState{}}
	began := time.Unix(100, 0)
	for index := range 6 {
		zone := ident.Zone("big")
		if index == 5 {
			zone = "small"
		}
		address := fmt.Sprint("w", index)
		online[address] = OwnerDemand{Far: true, Zone: zone}
		reporter.workers[address] = &workerState{calledAt: began}
	}
	lastCalls := map[ident.Zone]time.Time{}
	calls := 0
	const lasts = 10 * time.Second
	for at := began; at.Before(began.Add(lasts)); at = at.Add(RefreshInterval) {
		next := reporter.nextFar(online, idleFarInterval(online), at)
		if next == "" {
			continue
		}
		calls++
		reporter.workers[next].calledAt = at
		zone := online[next].Zone
		if before := lastCalls[zone]; !before.IsZero() && zone == "big" {
			assert.Assert(t, at.Sub(before) <= time.Second, "zone %v was not called for %v", zone, at.Sub(before))
		}
		lastCalls[zone] = at
	}
	assert.Assert(t, float64(calls) <= farCallsPerSecond*lasts.Seconds()+1, "%d calls", calls)
	assert.Assert(t, calls >= 30, "%d calls", calls)
}

// TestUnresponsiveZoneIsPolledAtOnceAndThenInTurn has a zone of three workers become unresponsive. Each worker is
// due for a call at once; afterwards one worker per probe interval is called, in turn. With ten unresponsive
// zones, the probe rate is capped.
func TestUnresponsiveZoneIsPolledAtOnceAndThenInTurn(t *testing.T) {
	now := time.Unix(100, 0)
	online := map[string]OwnerDemand{}
	reporter := &Reporter{workers: map[string]*workerState{}}
	for index := range 3 {
		address := fmt.Sprint("w", index)
		online[address] = OwnerDemand{Far: true, Zone: "z", UnresponsiveSince: now}
		reporter.workers[address] = &workerState{calledAt: now.Add(-time.Duration(index+1) * time.Second)}
		assert.Assert(t, reporter.workers[address].unpolledSince(now), "%s is not due for a call", address)
		reporter.workers[address].calledAt = now.Add(time.Duration(index) * time.Millisecond)
		assert.Assert(t, !reporter.workers[address].unpolledSince(now))
	}
	many := map[string]OwnerDemand{}
	for index := range 10 {
		address := fmt.Sprint("m", index)
		many[address] = OwnerDemand{Far: true, Zone: ident.Zone(address), UnresponsiveSince: now}
		reporter.workers[address] = &workerState{calledAt: now}
	}
	assert.Assert(t, !reporter.probesDue(many, now.Add(time.Second))["m0"], "ten zones are probed more than eight times a second")
	assert.Assert(t, reporter.probesDue(many, now.Add(1250*time.Millisecond))["m0"])
	for round := range 6 {
		now = now.Add(probeInterval + 10*time.Millisecond)
		probesDue := reporter.probesDue(online, now)
		assert.DeepEqual(t, probesDue, map[string]bool{fmt.Sprint("w", round%3): true})
		reporter.workers[fmt.Sprint("w", round%3)].calledAt = now
		assert.DeepEqual(t, reporter.probesDue(online, now.Add(probeInterval/2)), map[string]bool{fmt.Sprint("w", (round+1)%3): false})
	}
}
