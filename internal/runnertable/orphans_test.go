package runnertable_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// queueableRequest describes a request that may wait for a slot at the node.
func queueableRequest() runnertable.PickRequest {
	return runnertable.PickRequest{Service: "s", Class: runnertable.Online, RefusedBy: map[ident.Incarnation]bool{}}
}

func eightSlotRunners(ids ...ident.Incarnation) []work.Runner {
	var runners []work.Runner
	for _, id := range ids {
		runners = append(runners, work.Runner{ID: id, Service: "s", Zone: "z", Slots: 8})
	}
	return runners
}

func fixedRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// TestOrphanedRunsTakeSlots reports a runner whose slots are all taken by orphaned runs: no request is sent there, not
// even to its queue, because its slots take seconds to become free. When two slots are free, two requests are sent
// there and no third.
func TestOrphanedRunsTakeSlots(t *testing.T) {
	now := time.Now()
	table := runnertable.New("z")
	table.Replace(eightSlotRunners("a"), now, true)
	table.UpdateShares([]demand.Share{{Runner: "a", Orphans: 8}}, now)
	_, err := table.Pick(queueableRequest(), now, fixedRand())
	assert.ErrorIs(t, err, runnertable.ErrFull)
	table.UpdateShares([]demand.Share{{Runner: "a", Orphans: 6}}, now.Add(time.Millisecond))
	for range 2 {
		_, err = table.Pick(queueableRequest(), now.Add(time.Millisecond), fixedRand())
		assert.NilError(t, err)
	}
	_, err = table.Pick(queueableRequest(), now.Add(time.Millisecond), fixedRand())
	assert.ErrorIs(t, err, runnertable.ErrFull)
}

// TestRestartedNodeWaitsForRunnerReports checks that, for 100 ms after a restart, a runner without a report gets no
// request that may wait, while a runner with a report does. After that time the node uses what it knows. A request
// that may not wait is sent at once.
func TestRestartedNodeWaitsForRunnerReports(t *testing.T) {
	now := time.Now()
	table := runnertable.New("z")
	table.AssumeFullUntilReported()
	table.Replace(nil, now, true)
	table.Replace(eightSlotRunners("a", "b"), now, true)
	_, err := table.Pick(queueableRequest(), now, fixedRand())
	assert.ErrorIs(t, err, runnertable.ErrFull)
	_, err = table.Pick(runnertable.PickRequest{Service: "s", Class: runnertable.Online}, now, fixedRand())
	assert.NilError(t, err)
	table.UpdateShares([]demand.Share{{Runner: "b"}}, now)
	for range 8 {
		flight, err := table.Pick(queueableRequest(), now, fixedRand())
		assert.NilError(t, err)
		assert.Equal(t, flight.Runner.ID, ident.Incarnation("b"))
	}
	later := now.Add(100 * time.Millisecond)
	table.UpdateShares([]demand.Share{{Runner: "b", Others: 8}}, later)
	flight, err := table.Pick(queueableRequest(), later, fixedRand())
	assert.NilError(t, err)
	assert.Equal(t, flight.Runner.ID, ident.Incarnation("a"))
	table.Replace(eightSlotRunners("a", "b", "c"), later, true)
	table.UpdateShares([]demand.Share{{Runner: "a", Others: 8}, {Runner: "b", Others: 8}}, later)
	flight, err = table.Pick(queueableRequest(), later, fixedRand())
	assert.NilError(t, err)
	assert.Equal(t, flight.Runner.ID, ident.Incarnation("c"), "a runner that joins later is held back")
}

// TestStartOfOneNodeInAHealthyFleetChangesNothing draws reports of owners without orphaned runs, and requests. A
// restarted node that has a report of each runner makes the same choices as a node that was not restarted.
func TestStartOfOneNodeInAHealthyFleetChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		var ids []ident.Incarnation
		for index := range rapid.IntRange(1, 6).Draw(t, "runners") {
			ids = append(ids, ident.Incarnation(fmt.Sprint("r", index)))
		}
		fresh, restarted := runnertable.New("z"), runnertable.New("z")
		restarted.AssumeFullUntilReported()
		for _, table := range []*runnertable.Table{fresh, restarted} {
			table.Replace(eightSlotRunners(ids...), now, true)
		}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			var shares []demand.Share
			for _, id := range ids {
				shares = append(shares, demand.Share{Runner: id, Others: rapid.IntRange(0, 12).Draw(t, "others"),
					Batch: rapid.IntRange(0, 4).Draw(t, "batch")})
			}
			var chosen [2]ident.Incarnation
			for index, table := range []*runnertable.Table{fresh, restarted} {
				table.UpdateShares(shares, now)
				flight, err := table.Pick(queueableRequest(), now, rand.New(rand.NewPCG(uint64(step), 0)))
				if err != nil {
					chosen[index] = ident.Incarnation(err.Error())
					continue
				}
				chosen[index] = flight.Runner.ID
			}
			assert.Equal(t, chosen[0], chosen[1])
		}
	})
}

// TestOldRequestsAreCounted sends two requests 301 ms, and one 299 ms, before the report. Only the first two count as
// old.
func TestOldRequestsAreCounted(t *testing.T) {
	now := time.Now()
	table := runnertable.New("z")
	table.Replace(eightSlotRunners("a"), now, true)
	var flights []*runnertable.Flight
	for _, sent := range []time.Duration{0, 0, 2 * time.Millisecond} {
		flight, err := table.Pick(queueableRequest(), now.Add(sent), fixedRand())
		assert.NilError(t, err)
		flights = append(flights, flight)
	}
	old := func() (old int) {
		for _, count := range table.Online(now.Add(301 * time.Millisecond)) {
			old = count.Old
		}
		return old
	}
	assert.Equal(t, old(), 2)
	flights[0].End()
	flights[0].End()
	assert.Equal(t, old(), 1)
}
