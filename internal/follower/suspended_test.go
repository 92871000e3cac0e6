package follower_test

import (
	"testing"

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
