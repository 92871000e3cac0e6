package runnertable

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func paced(zone ident.Zone, ids ...ident.Incarnation) *Table {
	table := New("a")
	var listed []work.Runner
	for _, id := range ids {
		listed = append(listed, work.Runner{ID: id, Service: "s", Address: string(id), Zone: zone, Slots: 4})
	}
	table.Replace(listed, start, true)
	return table
}

// costWithoutPace is what a runner cost before any told its pace.
func costWithoutPace(t *Table, candidate *entry, wish Wish, choice choice, now time.Time) float64 {
	places := float64(max(candidate.runner.Slots, 1))
	firm, yielding := candidate.estimate(now)
	load := float64(firm + 1)
	cost := loadCost * min((load+float64(yielding))/places, 1)
	switch {
	case load > places:
		cost += queueCost * (load - places)
	case load+float64(yielding) > places:
		cost += yieldCost
	}
	cost += float64(candidate.pendingTokens+candidate.uncached(wish, candidate == choice.home, now)) / tokensPerMillisecond
	cost += t.zoneCost(candidate, wish, choice, now)
	if candidate.silentFor(now) > silenceSuspect {
		cost += silenceCost
	}
	if now.Before(candidate.warmUntil) {
		cost += warmUpCost
	}
	if candidate.health.full(now) {
		cost += fullCost
	}
	return cost + failureCost*candidate.health.failureRate(now)
}

// TestServiceThatTellsNoPaceIsChosenAsBefore draws tables of runners that tell no pace, the usual one, or one that was slow long ago: each
// costs exactly what it cost without, and is full at the same count.
func TestServiceThatTellsNoPaceIsChosenAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New("a")
		var listed []work.Runner
		for index := range rapid.IntRange(1, 5).Draw(t, "runners") {
			listed = append(listed, work.Runner{
				ID: ident.Incarnation(fmt.Sprint(index)), Service: "s", Slots: rapid.IntRange(0, 9).Draw(t, "slots"),
				Zone: rapid.SampledFrom([]ident.Zone{"a", "b"}).Draw(t, "zone"), WarmUp: time.Duration(rapid.IntRange(0, 1).Draw(t, "warm")) * time.Hour,
			})
		}
		table.Replace(listed, start, true)
		now := start
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			id := listed[rapid.IntRange(0, len(listed)-1).Draw(t, "runner")].ID
			told := work.Pace(rapid.SampledFrom([]float64{0, 0, 1, .8}).Draw(t, "pace"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				flight, err := table.StartAt(id, Wish{Service: "s", PromptTokens: 300}, now)
				if err == nil && rapid.Bool().Draw(t, "answered") {
					flight.Answered(&work.Load{Running: rapid.IntRange(0, 9).Draw(t, "running"), Pace: told}, now)
					flight.Began(now)
				}
			case 1:
				table.TakeShares([]demand.Share{{
					Runner: id, Others: rapid.IntRange(0, 9).Draw(t, "others"), Batch: rapid.IntRange(0, 9).Draw(t, "batch"), Pace: told,
				}}, now)
			case 2:
				table.TakeShares([]demand.Share{{Runner: id, Pace: 5, PaceAgeMs: 10_000}}, now)
			}
		}
		wish := Wish{
			Service: "s", PromptTokens: 400, Bytes: 1500, Objective: 300 * time.Millisecond, Pause: time.Millisecond, Full: map[ident.Incarnation]bool{},
		}
		choice := table.choose(wish, now, rand.New(rand.NewPCG(1, 1)))
		for _, candidate := range table.runners {
			assert.Equal(t, table.cost(candidate, wish, choice, now), costWithoutPace(table, candidate, wish, choice, now))
			firm, _ := candidate.estimate(now)
			assert.Equal(t, candidate.full(wish, now), float64(firm+1) > float64(max(candidate.runner.Slots, 1))*(1+queueShare))
		}
	})
}

// choices counts how many of some choices, each of which ends before the next, fall on a runner.
func choices(t *testing.T, table *Table, wish Wish, on ident.Incarnation, now time.Time) int {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	fell := 0
	for range 200 {
		flight, err := table.Pick(wish, now, random)
		assert.NilError(t, err)
		if flight.Runner.ID == on {
			fell++
		}
		flight.End()
	}
	return fell
}

// TestSlowRunnerTakesFewerRequestsAndIsNotForgotten has one of two runners be slow: it has half of the requests again within the time
// of a long phase, and some before.
func TestSlowRunnerTakesFewerRequestsAndIsNotForgotten(t *testing.T) {
	table := paced("a", "slow", "usual")
	wish := Wish{Service: "s", PromptTokens: 300}
	table.TakeShares([]demand.Share{{Runner: "slow", Pace: 2.5}}, start)
	assert.Equal(t, choices(t, table, wish, "slow", start), 0, "a free runner of the usual pace is passed over")
	later := choices(t, table, wish, "slow", start.Add(1400*time.Millisecond))
	assert.Assert(t, later > 0 && later < 80, "%d of 200", later)
	again := choices(t, table, wish, "slow", start.Add(2100*time.Millisecond))
	assert.Assert(t, again > 80 && again < 120, "%d of 200", again)
}

// TestSlowPlaceIsBetterThanAQueue has a request come that is in time at a slow runner with free places, and would be the first to wait at one
// of the usual pace.
func TestSlowPlaceIsBetterThanAQueue(t *testing.T) {
	table := paced("a", "slow", "usual")
	table.TakeShares([]demand.Share{{Runner: "slow", Pace: 2.5}, {Runner: "usual", Others: 4}}, start)
	wish := Wish{Service: "s", PromptTokens: 300, Objective: 300 * time.Millisecond}
	assert.Assert(t, choices(t, table, wish, "slow", start) > 150)
	table.TakeShares([]demand.Share{{Runner: "slow", Pace: 7.5}}, start.Add(time.Millisecond))
	assert.Equal(t, choices(t, table, wish, "slow", start.Add(time.Millisecond)), 0, "it would be late")
}

// TestRunnerThatCannotKeepThePauseIsTheLast has runners with a usual gap of 35 ms: at 7.5 times that a pause of 250 ms is not kept. Any
// other runner is chosen, and it is chosen where there is no other.
func TestRunnerThatCannotKeepThePauseIsTheLast(t *testing.T) {
	table := paced("a", "slow", "usual")
	now := start
	flight, err := table.StartAt("usual", Wish{Service: "s", PromptTokens: 300}, now)
	assert.NilError(t, err)
	for range 20 {
		flight.Began(now)
		now = now.Add(35 * time.Millisecond)
	}
	flight.End()
	table.TakeShares([]demand.Share{{Runner: "slow", Pace: 7.5}, {Runner: "usual", Others: 13}}, now)
	wish := Wish{Service: "s", PromptTokens: 300, Pause: 250 * time.Millisecond}
	assert.Equal(t, choices(t, table, wish, "slow", now), 0)
	wish.Pause = 300 * time.Millisecond
	assert.Assert(t, choices(t, table, wish, "slow", now) > 0, "the pause is kept")
	wish.Pause, wish.Exclude = 250*time.Millisecond, map[ident.Incarnation]bool{"usual": true}
	assert.Equal(t, choices(t, table, wish, "slow", now), 200)
	counted, slow := table.TakeSlowPhases(now)
	assert.Equal(t, counted.Begun, 1)
	assert.Assert(t, counted.Slow >= 200 && counted.Beyond >= 200)
	assert.DeepEqual(t, slow, []string{"slow"})
}

// TestNothingWaitsBehindASlowRunner lets requests that wait elsewhere for a place find a slow runner full sooner: a place there takes as many
// times longer to come free.
func TestNothingWaitsBehindASlowRunner(t *testing.T) {
	table := paced("a", "r")
	wish := Wish{Service: "s", Full: map[ident.Incarnation]bool{}}
	table.TakeShares([]demand.Share{{Runner: "r", Others: 4}}, start)
	assert.Equal(t, choices(t, table, wish, "r", start), 200)
	table.TakeShares([]demand.Share{{Runner: "r", Others: 4, Pace: 3}}, start.Add(time.Millisecond))
	_, err := table.Pick(wish, start.Add(time.Millisecond), rand.New(rand.NewPCG(1, 1)))
	assert.ErrorIs(t, err, ErrFull)
}

// TestOlderBuildsChangeNothingThatIsKnown has an owner and a node that tell no pace tell of a runner of which this node heard.
func TestOlderBuildsChangeNothingThatIsKnown(t *testing.T) {
	table := paced("a", "r")
	flight, err := table.StartAt("r", Wish{Service: "s"}, start)
	assert.NilError(t, err)
	flight.Answered(&work.Load{Running: 1, Slots: 4, Pace: 2}, start)
	later := start.Add(10 * time.Millisecond)
	table.TakeShares([]demand.Share{{Runner: "r", Others: 1}}, later)
	table.HearCounts([]demand.Count{{Runner: "r", Online: 1}, {Runner: "unknown", Online: 1, Pace: 2}}, later)
	assert.Assert(t, table.Pace("r", later) > 1.9)
	assert.Equal(t, table.Pace("unknown", later), work.Pace(1))
}

// TestWordIsPassedOnAfterTheRequestHasEnded tells of a runner at which this node has nothing any more, and its table's change at once; not
// of a word that is old, or says what was known.
func TestWordIsPassedOnAfterTheRequestHasEnded(t *testing.T) {
	table := paced("a", "r")
	changes := 0
	table.OnOnlineChanged(func(rose bool) {
		if !rose {
			changes++
		}
	})
	answered := func(at work.Pace, now time.Time) {
		flight, err := table.StartAt("r", Wish{Service: "s"}, now)
		assert.NilError(t, err)
		flight.Answered(&work.Load{Pace: at}, now)
		changes = 0
		flight.End()
	}
	assert.Assert(t, !table.TellsPace("s", start))
	answered(2, start)
	assert.Assert(t, table.TellsPace("s", start) && !table.TellsPace("other", start))
	for _, count := range table.Online(start.Add(time.Second)) {
		assert.DeepEqual(t, count, demand.Count{Runner: "r", Pace: 2, Heard: start})
	}
	assert.Equal(t, len(table.Online(start.Add(time.Second))), 1)
	assert.Equal(t, len(table.Online(start.Add(spokenFor))), 0)
	flight, err := table.StartAt("r", Wish{Service: "s"}, start)
	assert.NilError(t, err)
	changes = 0
	flight.Answered(&work.Load{Pace: 2.1}, start.Add(time.Millisecond))
	assert.Equal(t, changes, 0, "it was slow before")
	flight.Answered(&work.Load{Pace: 1}, start.Add(2*time.Millisecond))
	assert.Equal(t, changes, 1)
}

// TestReturnOfARunnerIsNotFlooded has two nodes hear at once that one of eight runners is at its usual pace again. Neither gives it more than
// it would of eight runners of which none was ever slow, plus what chance allows.
func TestReturnOfARunnerIsNotFlooded(t *testing.T) {
	ids := []ident.Incarnation{"0", "1", "2", "3", "4", "5", "6", "7"}
	most := 0
	for seed := range uint64(20) {
		sent := 0
		for node := range uint64(2) {
			table := paced("a", ids...)
			table.TakeShares([]demand.Share{{Runner: "3", Pace: 3}}, start)
			now := start.Add(500 * time.Millisecond)
			shares := []demand.Share{{Runner: "3", Pace: 1}}
			for _, id := range ids {
				if id != "3" {
					shares = append(shares, demand.Share{Runner: id, Others: 2})
				}
			}
			table.TakeShares(shares, now)
			random := rand.New(rand.NewPCG(seed, node))
			for range 8 {
				flight, err := table.Pick(Wish{Service: "s"}, now, random)
				assert.NilError(t, err)
				if flight.Runner.ID == "3" {
					sent++
				}
			}
		}
		most = max(most, sent)
	}
	// Sixteen requests of two nodes fall on eight runners of four places, of which the others have half taken.
	assert.Assert(t, most <= 8, "%d of 16 requests went to the runner that returned", most)
}
