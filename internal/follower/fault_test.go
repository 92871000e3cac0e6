package follower_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// What was seen: a front sent a request to a runner 12 s after the registry had taken that the runner leaves, three seconds
// after the front itself could read the registry again.
//
// How it came about: the front had not read the list for ten seconds. The next list lacked the runner, which had left
// without a word and served on. The front kept it because it answered: runners cannot renew their entries while the
// registry is away, so that a list right after an outage lacks living ones. It dropped it with the first list that came
// 2.5 s later, up to 5.2 s after its return.
//
// Cause: the gap in one node's readings was taken for an outage of the registry, and the time of grace began with the first
// good reading, whenever that came, and ended with whichever reading came after it.
//
// Proof: lines of a played site (runners_kept, runners_changed): the runner was missing in the first list after the gap and
// used for another 2.8 to 3.1 s. The tests below fail without the repair.

// drawPlay draws a trouble, and a runner that leaves before, in or right after it.
func drawPlay(t *rapid.T) play {
	const began = 4 * time.Second
	p := play{relayed: rapid.Bool().Draw(t, "relayed"), idle: rapid.Bool().Draw(t, "idle")}
	p.trouble.from = began + milliseconds(t, "from", 0, 1000)
	if !rapid.Bool().Draw(t, "connections") {
		p.trouble.to = p.trouble.from + milliseconds(t, "length", 500, 20_000)
	} else {
		p.trouble.to = p.trouble.from
	}
	p.trouble.worker, p.trouble.notNode = rapid.Bool().Draw(t, "worker"), rapid.Bool().Draw(t, "not the node")
	for i := range 3 {
		p.changes = append(p.changes, milliseconds(t, fmt.Sprint("change", i), 3000, int((p.trouble.to+2*inTouch).Milliseconds())))
	}
	slices.Sort(p.changes)
	p.trouble.silent = rapid.Bool().Draw(t, "silent")
	p.trouble.outage = rapid.Bool().Draw(t, "outage")
	p.trouble.freeze = !p.trouble.outage && rapid.Bool().Draw(t, "freeze")
	p.trouble.overdue = rapid.Bool().Draw(t, "overdue")
	p.trouble.lapses = p.trouble.outage && rapid.Bool().Draw(t, "lapses")
	for i := range 6 {
		p.renewed = append(p.renewed, milliseconds(t, fmt.Sprint("renewed", i), 0, int(siteHeartbeat.Milliseconds())))
	}
	p.leaves = p.trouble.from - time.Second + milliseconds(t, "leaves", 0, int((p.trouble.to-p.trouble.from).Milliseconds()))
	for i := range 5 {
		p.back = append(p.back, milliseconds(t, fmt.Sprint("back", i), 0, int(entriesBack.Milliseconds())))
	}
	return p
}

func milliseconds(t *rapid.T, label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
}

// TestRunnerThatLeftIsNotUsedOnceTheNodeIsBack draws troubles of one node and of the registry. Three seconds after their end
// no runner that left meanwhile is used.
func TestRunnerThatLeftIsNotUsedOnceTheNodeIsBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlay(rt)
		got := runInBubble(t, p)
		bound := max(p.trouble.to+inTouch, p.leaves+siteDrain)
		if got.lastUse >= bound {
			rt.Fatalf("%+v: the runner that left was used %v after the end of the trouble", p, got.lastUse-p.trouble.to)
		}
	})
}

// TestConfigurationIsInForceOnceTheNodeIsBack draws the same. Three seconds after the end of its trouble a node handles
// requests as every version says that came two seconds before, also where the worker that tells it was struck.
func TestConfigurationIsInForceOnceTheNodeIsBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlay(rt)
		if got := runInBubble(t, p); got.behind != "" {
			rt.Fatalf("%+v: %s, trouble until %v", p, got.behind, p.trouble.to)
		}
	})
}

// TestNoLivingRunnerIsLostByAnOutage draws the same: a list that lacks living runners, because the registry was away, takes
// none of them out of use.
func TestNoLivingRunnerIsLostByAnOutage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlay(rt)
		if got := runInBubble(t, p); got.lost != "" {
			rt.Fatalf("%+v: %s was not in use, %v after the trouble began", p, got.lost, p.trouble.from)
		}
	})
}

// TestRunnerThatLeftDuringACutIsDroppedWithTheFirstList cuts one node off. The registry served the others, so that the first
// list that comes is proof.
func TestRunnerThatLeftDuringACutIsDroppedWithTheFirstList(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		p := play{trouble: trouble{from: 4 * time.Second, silent: true}, back: make([]time.Duration, 5), renewed: make([]time.Duration, 6)}
		p.trouble.to = p.trouble.from + 6*time.Second + time.Duration(random.IntN(4000))*time.Millisecond
		p.leaves = p.trouble.from + time.Second
		got := runInBubble(t, p)
		const firstList = 1300 * time.Millisecond
		assert.Assert(t, got.lastUse-p.trouble.to < firstList, "%+v: used %v after the cut", p, got.lastUse-p.trouble.to)
	}
}

// TestReturnOfTheRegistryIsNoticedByAProbe ends outages at each hundredth of a second. How late the return is noticed adds to
// how long a runner that left is used: no more than a call that hangs and the time between two probes.
func TestReturnOfTheRegistryIsNoticedByAProbe(t *testing.T) {
	const noticedWithin = 800 * time.Millisecond
	for hundredths := range 100 {
		for _, silent := range []bool{false, true} {
			p := play{
				trouble: trouble{from: 4 * time.Second, silent: silent, outage: true, lapses: true},
				back:    make([]time.Duration, 5), renewed: make([]time.Duration, 6),
			}
			p.trouble.to = p.trouble.from + 8*time.Second + time.Duration(hundredths)*10*time.Millisecond
			p.leaves = p.trouble.from + time.Second
			got := runInBubble(t, p)
			assert.Assert(t, got.lastUse-p.trouble.to <= entriesBack+noticedWithin, "%+v: used %v after the outage", p, got.lastUse-p.trouble.to)
		}
	}
}
