package follower_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawSuspended draws plays in which the machine of a node is suspended for half a second to twenty: it wakes with timers that did not
// run and a steady clock that stood still, beside a registry that went on, or was away meanwhile. A call whose answer came in the sleep has it right then.
func drawSuspended(t *rapid.T) play {
	p := drawPlay(t)
	p.relayed = false
	p.trouble.notNode, p.trouble.freeze = false, false
	p.trouble.suspended = true
	return p
}

// TestSuspendedNodeIsInTouchOnceItIsAwake is held to what a node that was frozen is held to: three seconds after it woke it uses no
// runner that left meanwhile, goes by every configuration, and no living runner is lost to it at any time.
func TestSuspendedNodeIsInTouchOnceItIsAwake(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawSuspended(rt)
		got := runInBubble(t, p)
		if bound := max(p.trouble.to+inTouch, p.leaves+siteDrain); got.lastUse >= bound {
			rt.Fatalf("%+v: the runner that left was used %v after the machine woke", p, got.lastUse-p.trouble.to)
		}
		if got.behind != "" || got.lost != "" {
			rt.Fatalf("%+v: %s; %s not in use; awake from %v on", p, got.behind, got.lost, p.trouble.to)
		}
	})
}

// TestSteadyClockLosesRunnersAfterASleep is a draw of the test above that fails by a clock that stands still in the sleep: the node sees no
// gap between its readings, takes the first list after the outage for complete, and drops a runner whose entry is not back yet.
func TestSteadyClockLosesRunnersAfterASleep(t *testing.T) {
	p := play{
		trouble: trouble{from: 4002 * time.Millisecond, to: 10450 * time.Millisecond, outage: true, lapses: true, worker: true, suspended: true},
		leaves:  3003 * time.Millisecond,
	}
	for _, back := range []int{0, 19, 149, 1625, 40} {
		p.back = append(p.back, time.Duration(back)*time.Millisecond)
	}
	for _, renewed := range []int{900, 3, 822, 7, 1, 6} {
		p.renewed = append(p.renewed, time.Duration(renewed)*time.Millisecond)
	}
	for _, steady := range []bool{true, false} {
		p.trouble.steady = steady
		got := runInBubble(t, p)
		assert.Equal(t, got.lost != "", steady, "%s", got.lost)
	}
}
