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

func pacedTable(zone ident.Zone, ids ...ident.Incarnation) *Table {
	table := New("a")
	var listed []work.Runner
	for _, id := range ids {
		listed = append(listed, work.Runner{ID: id, Service: "s", Address: string(id), Zone: zone, Slots: 4})
	}
	table.Replace(listed, start, true)
	return table
}

// costWithoutPace is the cost of a runner without any influence of its pace.
func costWithoutPace(t *Table, candidate *entry, pickRequest PickRequest, pick pickContext, now time.Time) float64 {
	slots := float64(max(candidate.runner.Slots, 1))
	committed, preemptible := candidate.estimate(now)
	load := float64(committed + 1)
	cost := loadCost * min((load+float64(preemptible))/slots, 1)
	switch {
	case load > slots:
		cost += queueCost * (load - slots)
	case load+float64(preemptible) > slots:
		cost += preemptCost
	}
	cost += float64(candidate.pendingTokens+candidate.uncached(pickRequest, candidate == pick.prefixHome, now)) / tokensPerMillisecond
	cost += t.zoneCost(candidate, pickRequest, pick, now)
	if candidate.unresponsiveFor(now) > unresponsiveAfter {
		cost += unresponsiveCost
	}
	if now.Before(candidate.warmUpUntil) {
		cost += warmUpCost
	}
	if candidate.health.full(now) {
		cost += fullCost
	}
	return cost + failureCost*candidate.health.failureRate(now)
}

// TestServiceThatTellsNoPaceIsChosenAsBefore draws tables of runners that report no pace, the typical one, or one that
// was slow long ago: each runner costs exactly the same as without pace, and is full at the same count.
func TestServiceThatTellsNoPaceIsChosenAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New("a")
		var listed []work.Runner
		for index := range rapid.IntRange(1, 5).Draw(t, "runners") {
			listed = append(listed, work.Runner{
				ID: ident.Incarnation(fmt.Sprint(index)), Service: "s", Slots: rapid.IntRange(0, 9).Draw(t, "slots"),
				Zone: rapid.SampledFrom([]ident.Zone{"a", "b"}).Draw(t, "zone"), WarmUp: time.Duration(rapid.IntRange(0, 1).Draw(t,
					"warm")) * time.Hour,
			})
		}
		table.Replace(listed, start, true)
		now := start
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			id := listed[rapid.IntRange(0, len(listed)-1).Draw(t, "runner")].ID
			reported := work.Pace(rapid.SampledFrom([]float64{0, 0, 1, .8}).Draw(t, "pace"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				flight, err := table.StartAt(id, PickRequest{Service: "s", PromptTokens: 300}, now)
				if err == nil && rapid.Bool().Draw(t, "answered") {
					flight.HeadReceived(&work.Load{Running: rapid.IntRange(0, 9).Draw(t, "running"), Pace: reported}, now)
					flight.EventReceived(now)
				}
			case 1:
				table.UpdateShares([]demand.Share{{
					Runner: id, Others: rapid.IntRange(0, 9).Draw(t, "others"), Batch: rapid.IntRange(0, 9).Draw(t,
						"batch"), Pace: reported,
				}}, now)
			case 2:
				table.UpdateShares([]demand.Share{{Runner: id, Pace: 5, PaceAgeMs: 10_000}}, now)
			}
		}
		pickRequest := PickRequest{
			Service: "s", PromptTokens: 400, Bytes: 1500, Objective: 300 * time.Millisecond, Pause: time.Millisecond, RefusedBy: map[ident.Incarnation]bool{},
		}
		pick := table.newPickContext(pickRequest, now, rand.New(rand.NewPCG(1, 1)))
		for _, candidate := range table.runners {
			assert.Equal(t, table.cost(candidate, pickRequest, pick, now), costWithoutPace(table, candidate, pickRequest, pick, now))
			committed, _ := candidate.estimate(now)
			assert.Equal(t, candidate.full(pickRequest, now), float64(committed+1) > float64(max(candidate.runner.Slots, 1))*(1+queueShare))
		}
	})
}

// countPicks returns how many of 200 requests, each of which ends before the next, are sent to a runner.
func countPicks(t *testing.T, table *Table, pickRequest PickRequest, on ident.Incarnation, now time.Time) int {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	count := 0
	for range 200 {
		flight, err := table.Pick(pickRequest, now, random)
		assert.NilError(t, err)
		if flight.Runner.ID == on {
			count++
		}
		flight.End()
	}
	return count
}

// TestSlowRunnerTakesFewerRequestsAndIsNotForgotten makes one of two runners slow: it gets some requests before its
// report expires, and half of them after the length of a long slow phase.
func TestSlowRunnerTakesFewerRequestsAndIsNotForgotten(t *testing.T) {
	table := pacedTable("a", "slow", "usual")
	pickRequest := PickRequest{Service: "s", PromptTokens: 300}
	table.UpdateShares([]demand.Share{{Runner: "slow", Pace: 2.5}}, start)
	assert.Equal(t, countPicks(t, table, pickRequest, "slow", start), 0, "a free runner of the typical pace was not chosen")
	later := countPicks(t, table, pickRequest, "slow", start.Add(1400*time.Millisecond))
	assert.Assert(t, later > 0 && later < 80, "%d of 200", later)
	again := countPicks(t, table, pickRequest, "slow", start.Add(2100*time.Millisecond))
	assert.Assert(t, again > 80 && again < 120, "%d of 200", again)
}

// TestSlowRunnerWithFreeSlotBeatsQueue sends a request that would be on time at a slow runner with free slots, and
// first in the queue of a runner of the typical pace.
func TestSlowRunnerWithFreeSlotBeatsQueue(t *testing.T) {
	table := pacedTable("a", "slow", "usual")
	table.UpdateShares([]demand.Share{{Runner: "slow", Pace: 2.5}, {Runner: "usual", Others: 4}}, start)
	pickRequest := PickRequest{Service: "s", PromptTokens: 300, Objective: 300 * time.Millisecond}
	assert.Assert(t, countPicks(t, table, pickRequest, "slow", start) > 150)
	table.UpdateShares([]demand.Share{{Runner: "slow", Pace: 7.5}}, start.Add(time.Millisecond))
	assert.Equal(t, countPicks(t, table, pickRequest, "slow", start.Add(time.Millisecond)), 0, "the request would be late")
}

// TestRunnerThatCannotKeepThePauseIsTheLast uses runners with a typical gap of 35 ms: 7.5 times that exceeds a pause
// of 250 ms. Any other runner is preferred, and the slow one is chosen only if there is no other.
func TestRunnerThatCannotKeepThePauseIsTheLast(t *testing.T) {
	table := pacedTable("a", "slow", "usual")
	now := start
	flight, err := table.StartAt("usual", PickRequest{Service: "s", PromptTokens: 300}, now)
	assert.NilError(t, err)
	for range 20 {
		flight.EventReceived(now)
		now = now.Add(35 * time.Millisecond)
	}
	flight.End()
	table.UpdateShares([]demand.Share{{Runner: "slow", Pace: 7.5}, {Runner: "usual", Others: 13}}, now)
	pickRequest := PickRequest{Service: "s", PromptTokens: 300, Pause: 250 * time.Millisecond}
	assert.Equal(t, countPicks(t, table, pickRequest, "slow", now), 0)
	pickRequest.Pause = 300 * time.Millisecond
	assert.Assert(t, countPicks(t, table, pickRequest, "slow", now) > 0, "the slow runner meets this pause")
	pickRequest.Pause, pickRequest.Exclude = 250*time.Millisecond, map[ident.Incarnation]bool{"usual": true}
	assert.Equal(t, countPicks(t, table, pickRequest, "slow", now), 200)
	counted, slow := table.TakeSlowPhases(now)
	assert.Equal(t, counted.Begun, 1)
	assert.Assert(t, counted.Slow >= 200 && counted.PauseExceeded >= 200)
	assert.DeepEqual(t, slow, []string{"slow"})
}

// TestNothingWaitsBehindASlowRunner checks that a slow runner counts as full earlier for requests that can wait at the
// node: its slots take longer to become free, in proportion to its pace.
func TestNothingWaitsBehindASlowRunner(t *testing.T) {
	table := pacedTable("a", "r")
	pickRequest := PickRequest{Service: "s", RefusedBy: map[ident.Incarnation]bool{}}
	table.UpdateShares([]demand.Share{{Runner: "r", Others: 4}}, start)
	assert.Equal(t, countPicks(t, table, pickRequest, "r", start), 200)
	table.UpdateShares([]demand.Share{{Runner: "r", Others: 4, Pace: 3}}, start.Add(time.Millisecond))
	_, err := table.Pick(pickRequest, start.Add(time.Millisecond), rand.New(rand.NewPCG(1, 1)))
	assert.ErrorIs(t, err, ErrFull)
}

// TestOlderBuildsChangeNothingThatIsKnown applies reports of an owner and a node without a pace, for a runner whose
// pace this node knows.
func TestOlderBuildsChangeNothingThatIsKnown(t *testing.T) {
	table := pacedTable("a", "r")
	flight, err := table.StartAt("r", PickRequest{Service: "s"}, start)
	assert.NilError(t, err)
	flight.HeadReceived(&work.Load{Running: 1, Slots: 4, Pace: 2}, start)
	later := start.Add(10 * time.Millisecond)
	table.UpdateShares([]demand.Share{{Runner: "r", Others: 1}}, later)
	table.UpdatePaces([]demand.Count{{Runner: "r", Online: 1}, {Runner: "unknown", Online: 1, Pace: 2}}, later)
	assert.Assert(t, table.Pace("r", later) > 1.9)
	assert.Equal(t, table.Pace("unknown", later), work.Pace(1))
}

// TestPaceIsReportedAfterTheRequestHasEnded checks that the pace of a runner is reported although this node has no
// work there any more, and that a change is notified at once. An expired pace is not reported, and one that says
// nothing new is not notified.
func TestPaceIsReportedAfterTheRequestHasEnded(t *testing.T) {
	table := pacedTable("a", "r")
	changes := 0
	table.OnOnlineChanged(func(rose bool) {
		if !rose {
			changes++
		}
	})
	answered := func(at work.Pace, now time.Time) {
		flight, err := table.StartAt("r", PickRequest{Service: "s"}, now)
		assert.NilError(t, err)
		flight.HeadReceived(&work.Load{Pace: at}, now)
		changes = 0
		flight.End()
	}
	assert.Assert(t, !table.ReportsPace("s", start))
	answered(2, start)
	assert.Assert(t, table.ReportsPace("s", start) && !table.ReportsPace("other", start))
	for _, count := range table.Online(start.Add(time.Second)) {
		assert.DeepEqual(t, count, demand.Count{Runner: "r", Pace: 2, PaceReceivedAt: start})
	}
	assert.Equal(t, len(table.Online(start.Add(time.Second))), 1)
	assert.Equal(t, len(table.Online(start.Add(directReportLifetime))), 0)
	flight, err := table.StartAt("r", PickRequest{Service: "s"}, start)
	assert.NilError(t, err)
	changes = 0
	flight.HeadReceived(&work.Load{Pace: 2.1}, start.Add(time.Millisecond))
	assert.Equal(t, changes, 0, "the runner was slow before")
	flight.HeadReceived(&work.Load{Pace: 1}, start.Add(2*time.Millisecond))
	assert.Equal(t, changes, 1)
}

// TestReturnOfARunnerIsNotFlooded reports to two nodes at once that one of eight runners is back at its typical pace.
// It must not get more requests than one of eight runners that were never slow would, plus random variation.
func TestReturnOfARunnerIsNotFlooded(t *testing.T) {
	ids := []ident.Incarnation{"0", "1", "2", "3", "4", "5", "6", "7"}
	most := 0
	for seed := range uint64(20) {
		sent := 0
		for node := range uint64(2) {
			table := pacedTable("a", ids...)
			table.UpdateShares([]demand.Share{{Runner: "3", Pace: 3}}, start)
			now := start.Add(500 * time.Millisecond)
			shares := []demand.Share{{Runner: "3", Pace: 1}}
			for _, id := range ids {
				if id != "3" {
					shares = append(shares, demand.Share{Runner: id, Others: 2})
				}
			}
			table.UpdateShares(shares, now)
			random := rand.New(rand.NewPCG(seed, node))
			for range 8 {
				flight, err := table.Pick(PickRequest{Service: "s"}, now, random)
				assert.NilError(t, err)
				if flight.Runner.ID == "3" {
					sent++
				}
			}
		}
		most = max(most, sent)
	}
	// Sixteen requests of two nodes are spread over eight runners of four slots, half of which are taken at the other
	// seven.
	assert.Assert(t, most <= 8, "%d of 16 requests went to the runner that recovered", most)
}
