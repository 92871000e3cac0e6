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

// waits is the wish of a request that may wait for a place.
func waits() runnertable.Wish {
	return runnertable.Wish{Service: "s", Class: runnertable.Online, Full: map[ident.Incarnation]bool{}}
}

func eightPlaces(ids ...ident.Incarnation) []work.Runner {
	var runners []work.Runner
	for _, id := range ids {
		runners = append(runners, work.Runner{ID: id, Service: "s", Zone: "z", Slots: 8})
	}
	return runners
}

func anyOrder() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// TestRunsOfDeadNodesTakePlaces tells of a runner that is full of them: no request is sent there, and none waits in its queue, because
// its places come free after seconds. Where they leave two places, two requests go there and no third.
func TestRunsOfDeadNodesTakePlaces(t *testing.T) {
	now := time.Now()
	table := runnertable.New("z")
	table.Replace(eightPlaces("a"), now, true)
	table.TakeShares([]demand.Share{{Runner: "a", Orphans: 8}}, now)
	_, err := table.Pick(waits(), now, anyOrder())
	assert.ErrorIs(t, err, runnertable.ErrFull)
	table.TakeShares([]demand.Share{{Runner: "a", Orphans: 6}}, now.Add(time.Millisecond))
	for range 2 {
		_, err = table.Pick(waits(), now.Add(time.Millisecond), anyOrder())
		assert.NilError(t, err)
	}
	_, err = table.Pick(waits(), now.Add(time.Millisecond), anyOrder())
	assert.ErrorIs(t, err, runnertable.ErrFull)
}

// TestNodeThatStartsAgainWaitsToHearOfRunners: for a tenth of a second a runner of which nobody told takes no request that may wait; one
// that was told of takes it, and after that time the node goes by what it knows. A request that may not wait is sent.
func TestNodeThatStartsAgainWaitsToHearOfRunners(t *testing.T) {
	now := time.Now()
	table := runnertable.New("z")
	table.StartsAgain()
	table.Replace(nil, now, true)
	table.Replace(eightPlaces("a", "b"), now, true)
	_, err := table.Pick(waits(), now, anyOrder())
	assert.ErrorIs(t, err, runnertable.ErrFull)
	_, err = table.Pick(runnertable.Wish{Service: "s", Class: runnertable.Online}, now, anyOrder())
	assert.NilError(t, err)
	table.TakeShares([]demand.Share{{Runner: "b"}}, now)
	for range 8 {
		flight, err := table.Pick(waits(), now, anyOrder())
		assert.NilError(t, err)
		assert.Equal(t, flight.Runner.ID, ident.Incarnation("b"))
	}
	later := now.Add(100 * time.Millisecond)
	table.TakeShares([]demand.Share{{Runner: "b", Others: 8}}, later)
	flight, err := table.Pick(waits(), later, anyOrder())
	assert.NilError(t, err)
	assert.Equal(t, flight.Runner.ID, ident.Incarnation("a"))
	table.Replace(eightPlaces("a", "b", "c"), later, true)
	table.TakeShares([]demand.Share{{Runner: "a", Others: 8}, {Runner: "b", Others: 8}}, later)
	flight, err = table.Pick(waits(), later, anyOrder())
	assert.NilError(t, err)
	assert.Equal(t, flight.Runner.ID, ident.Incarnation("c"), "a runner that joins later is held back")
}

// TestStartOfOneNodeInAHealthyFleetChangesNothing draws what owners tell, none of it orphans, and requests. A node that started again
// and was told of each runner chooses as one that did not.
func TestStartOfOneNodeInAHealthyFleetChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		var ids []ident.Incarnation
		for index := range rapid.IntRange(1, 6).Draw(t, "runners") {
			ids = append(ids, ident.Incarnation(fmt.Sprint("r", index)))
		}
		usual, again := runnertable.New("z"), runnertable.New("z")
		again.StartsAgain()
		for _, table := range []*runnertable.Table{usual, again} {
			table.Replace(eightPlaces(ids...), now, true)
		}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			var shares []demand.Share
			for _, id := range ids {
				shares = append(shares, demand.Share{Runner: id, Others: rapid.IntRange(0, 12).Draw(t, "others"), Batch: rapid.IntRange(0, 4).Draw(t, "batch")})
			}
			var chosen [2]ident.Incarnation
			for index, table := range []*runnertable.Table{usual, again} {
				table.TakeShares(shares, now)
				flight, err := table.Pick(waits(), now, rand.New(rand.NewPCG(uint64(step), 0)))
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

// TestOldRequestsAreToldApart has a node send two requests 301 ms, and one 299 ms, before it tells of them.
func TestOldRequestsAreToldApart(t *testing.T) {
	now := time.Now()
	table := runnertable.New("z")
	table.Replace(eightPlaces("a"), now, true)
	var flights []*runnertable.Flight
	for _, sent := range []time.Duration{0, 0, 2 * time.Millisecond} {
		flight, err := table.Pick(waits(), now.Add(sent), anyOrder())
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
