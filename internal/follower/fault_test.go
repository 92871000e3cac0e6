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

// The tests in this file guard against the use of a runner for too long after it left. A front sent a request to a runner 12 s after the
// registry had recorded that the runner leaves, and 3 s after the front could read the registry again. The front had not read the list for
// 10 s and treated this gap as an outage of the registry, after which a list may lack living runners. So it kept the missing runner, which
// still answered, for a grace period of 2.5 s that began with the first successful reading and ended only with a later one: up to 5.2 s
// after the return (2.8 to 3.1 s in a simulated run of a site).

// drawScenario draws a fault, and a runner that leaves before, during or right after it.
func drawScenario(t *rapid.T) scenario {
	const began = 4 * time.Second
	p := scenario{relayed: rapid.Bool().Draw(t, "relayed"), idle: rapid.Bool().Draw(t, "idle")}
	p.fault.from = began + milliseconds(t, "from", 0, 1000)
	if !rapid.Bool().Draw(t, "connections") {
		p.fault.to = p.fault.from + milliseconds(t, "length", 500, 20_000)
	} else {
		p.fault.to = p.fault.from
	}
	p.fault.worker, p.fault.nodeUnaffected = rapid.Bool().Draw(t, "worker"), rapid.Bool().Draw(t, "not the node")
	for i := range 3 {
		p.changes = append(p.changes, milliseconds(t, fmt.Sprint("change", i), 3000, int((p.fault.to+2*recoveryBound).Milliseconds())))
	}
	slices.Sort(p.changes)
	p.fault.silent = rapid.Bool().Draw(t, "silent")
	p.fault.outage = rapid.Bool().Draw(t, "outage")
	p.fault.freeze = !p.fault.outage && rapid.Bool().Draw(t, "freeze")
	p.fault.overdue = rapid.Bool().Draw(t, "overdue")
	p.fault.lapses = p.fault.outage && rapid.Bool().Draw(t, "lapses")
	for i := range 6 {
		p.renewed = append(p.renewed, milliseconds(t, fmt.Sprint("renewed", i), 0, int(siteHeartbeat.Milliseconds())))
	}
	p.leaves = p.fault.from - time.Second + milliseconds(t, "leaves", 0, int((p.fault.to-p.fault.from).Milliseconds()))
	for i := range 5 {
		p.back = append(p.back, milliseconds(t, fmt.Sprint("back", i), 0, int(relistTime.Milliseconds())))
	}
	return p
}

func milliseconds(t *rapid.T, label string, least, most int) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
}

// TestRunnerThatLeftIsNotUsedOnceTheNodeIsBack draws faults of one node and of the registry. Three seconds after the end of the fault, no
// runner that left meanwhile may be used.
func TestRunnerThatLeftIsNotUsedOnceTheNodeIsBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawScenario(rt)
		got := runSimulated(t, p)
		bound := max(p.fault.to+recoveryBound, p.leaves+siteDrain)
		if got.lastUse >= bound {
			rt.Fatalf("%+v: the runner that left was used %v after the end of the fault", p, got.lastUse-p.fault.to)
		}
	})
}

// TestConfigurationIsAppliedOnceTheNodeIsBack draws the same faults. Three seconds after the end of its fault a node must have applied every
// version that is at least two seconds old, also if the fault affected the worker that it reads through.
func TestConfigurationIsAppliedOnceTheNodeIsBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawScenario(rt)
		if got := runSimulated(t, p); got.behind != "" {
			rt.Fatalf("%+v: %s, fault until %v", p, got.behind, p.fault.to)
		}
	})
}

// TestNoLivingRunnerIsLostByAnOutage draws the same faults: a list that lacks living runners because of an outage of the registry must not
// remove them from use.
func TestNoLivingRunnerIsLostByAnOutage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawScenario(rt)
		if got := runSimulated(t, p); got.lost != "" {
			rt.Fatalf("%+v: %s was not in use; the fault began at %v", p, got.lost, p.fault.from)
		}
	})
}

// TestRunnerThatLeftDuringPartitionIsDroppedWithFirstList partitions one node from the registry. The registry served the others, so the
// first list after the partition proves that a missing runner has left.
func TestRunnerThatLeftDuringPartitionIsDroppedWithFirstList(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		p := scenario{fault: fault{from: 4 * time.Second, silent: true}, back: make([]time.Duration, 5), renewed: make([]time.Duration, 6)}
		p.fault.to = p.fault.from + 6*time.Second + time.Duration(random.IntN(4000))*time.Millisecond
		p.leaves = p.fault.from + time.Second
		got := runSimulated(t, p)
		const firstList = 1300 * time.Millisecond
		assert.Assert(t, got.lastUse-p.fault.to < firstList, "%+v: used %v after the partition", p, got.lastUse-p.fault.to)
	}
}

// TestProbeDetectsReturnOfRegistry ends outages at each hundredth of a second. The delay until the return is detected adds to how long a
// runner that left is used; it must not exceed the time of a call that hangs and the time between two probes.
func TestProbeDetectsReturnOfRegistry(t *testing.T) {
	const noticedWithin = 800 * time.Millisecond
	for hundredths := range 100 {
		for _, silent := range []bool{false, true} {
			p := scenario{
				fault: fault{from: 4 * time.Second, silent: silent, outage: true, lapses: true},
				back:  make([]time.Duration, 5), renewed: make([]time.Duration, 6),
			}
			p.fault.to = p.fault.from + 8*time.Second + time.Duration(hundredths)*10*time.Millisecond
			p.leaves = p.fault.from + time.Second
			got := runSimulated(t, p)
			assert.Assert(t, got.lastUse-p.fault.to <= relistTime+noticedWithin, "%+v: used %v after the outage", p, got.lastUse-p.fault.to)
		}
	}
}
