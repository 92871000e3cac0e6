package follower_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawSuspended draws scenarios in which the machine of a node is suspended for 0.5 to 20 s. It wakes with timers and a monotonic clock
// that did not advance, while the registry continued, or had an outage meanwhile. A call that was answered during the suspension returns
// on waking.
func drawSuspended(t *rapid.T) scenario {
	p := drawScenario(t)
	p.relayed = false
	p.fault.nodeUnaffected, p.fault.freeze = false, false
	p.fault.suspended = true
	return p
}

// TestSuspendedNodeRecoversAfterWaking has the same requirements as a frozen process: three seconds after waking the node must not use a
// runner that left meanwhile and must have applied every configuration, and it must not lose a living runner at any time.
func TestSuspendedNodeRecoversAfterWaking(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawSuspended(rt)
		got := runSimulated(t, p)
		if bound := max(p.fault.to+recoveryBound, p.leaves+siteDrain); got.lastUse >= bound {
			rt.Fatalf("%+v: the runner that left was used %v after the machine woke", p, got.lastUse-p.fault.to)
		}
		if got.behind != "" || got.lost != "" {
			rt.Fatalf("%+v: %s; %s not in use; awake from %v on", p, got.behind, got.lost, p.fault.to)
		}
	})
}

// TestNodeThatStoodStillSendsNothingByItsOldList guards against requests that a process sends right after it stood still, or its machine was
// suspended, to a runner that said meanwhile that it leaves: the registry answers all the time, so that the node can know.
func TestNodeThatStoodStillSendsNothingByItsOldList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawSuspended(rt)
		p.says, p.fault.outage, p.fault.lapses = true, false, false
		p.fault.suspended = rapid.Bool().Draw(rt, "suspended")
		p.fault.freeze = !p.fault.suspended
		p.relayed = p.fault.freeze && rapid.Bool().Draw(rt, "relayed too")
		got := runSimulated(t, p)
		if got.lastSent >= p.leaves+siteDrain {
			rt.Fatalf("%+v: the runner was sent a request %v after it left", p, got.lastSent-p.leaves)
		}
	})
}

// TestReadingThatTimesOutInAStandstillIsNoOutage guards against a reading in flight as the process stands still that times out on waking and is taken
// for a registry that does not answer, so that requests are sent by the list from before. Each standstill begins within a millisecond of a reading.
func TestReadingThatTimesOutInAStandstillIsNoOutage(t *testing.T) {
	const settled, step = 4 * time.Second, time.Millisecond
	for from := settled; from < settled+40*time.Millisecond; from += step {
		p := scenario{
			fault: fault{from: from, to: from + 3*time.Second, freeze: true}, leaves: from, says: true,
			back: make([]time.Duration, 5), renewed: make([]time.Duration, 6),
		}
		got := runSimulated(t, p)
		assert.Assert(t, got.lastSent < p.leaves+siteDrain, "stood still from %v: the runner was sent a request %v after it left", from, got.lastSent-p.leaves)
	}
}

// TestMonotonicClockLosesRunnersAfterSuspension is a case of the test above that fails with a clock that stops during a suspension: the
// node sees no gap between its readings, treats the first list after the outage as complete, and drops a runner whose entry is not back
// yet.
func TestMonotonicClockLosesRunnersAfterSuspension(t *testing.T) {
	p := scenario{
		fault:  fault{from: 4002 * time.Millisecond, to: 10450 * time.Millisecond, outage: true, lapses: true, worker: true, suspended: true},
		leaves: 3003 * time.Millisecond,
	}
	for _, back := range []int{0, 19, 149, 1625, 40} {
		p.back = append(p.back, time.Duration(back)*time.Millisecond)
	}
	for _, renewed := range []int{900, 3, 822, 7, 1, 6} {
		p.renewed = append(p.renewed, time.Duration(renewed)*time.Millisecond)
	}
	for _, monotonic := range []bool{true, false} {
		p.fault.monotonic = monotonic
		got := runSimulated(t, p)
		assert.Equal(t, got.lost != "", monotonic, "%s", got.lost)
	}
}
