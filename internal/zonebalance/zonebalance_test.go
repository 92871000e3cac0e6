package zonebalance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/zonebalance"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestOneDeadMachineDoesNotMakeTheZoneUnreachable has one worker leave requests unanswered while another one answers.
func TestOneDeadMachineDoesNotMakeTheZoneUnreachable(t *testing.T) {
	var zone zonebalance.Reachability
	zone.Answered(at(0))
	zone.TimedOut("worker-1", at(100), at(400))
	assert.Equal(t, zone.State(at(400)), zonebalance.Suspected)
	assert.Equal(t, zone.SuspectedSince(), at(400))
	since, back := zone.Answered(at(401))
	assert.Assert(t, back && since.Equal(at(100)))
	assert.Equal(t, zone.State(at(2000)), zonebalance.Reachable)
	zone.TimedOut("worker-1", at(390), at(2000))
	assert.Equal(t, zone.State(at(2000)), zonebalance.Reachable, "a request sent before an answered one made the zone suspected")
}

// TestZoneWithoutAnswersIsUnreachable covers two peers of a zone that leave requests unanswered, a single one that
// does so for long, and answers that were in transit when the zone was partitioned.
func TestZoneWithoutAnswersIsUnreachable(t *testing.T) {
	var zone zonebalance.Reachability
	zone.Answered(at(0))
	zone.TimedOut("worker-1", at(100), at(400))
	zone.TimedOut("runner-7", at(150), at(550))
	assert.Equal(t, zone.State(at(550)), zonebalance.Unreachable)
	_, back := zone.Answered(at(90))
	assert.Assert(t, !back)
	assert.Equal(t, zone.State(at(550)), zonebalance.Unreachable, "an answer to a request from before the partition made the zone reachable")
	since, back := zone.Answered(at(3000))
	assert.Assert(t, back && since.Equal(at(100)))
	assert.Equal(t, zone.State(at(3000)), zonebalance.Reachable)

	var alone zonebalance.Reachability
	alone.TimedOut("worker-1", at(100), at(400))
	alone.TimedOut("worker-1", at(700), at(1000))
	assert.Equal(t, alone.State(at(999)), zonebalance.Suspected)
	assert.Equal(t, alone.State(at(1000)), zonebalance.Unreachable)
}

// TestReachabilityFollowsTheLatestRequests draws requests that are answered or not, in any order: a zone is reachable
// if and only if no request sent after the latest answered one is unanswered.
func TestReachabilityFollowsTheLatestRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var zone zonebalance.Reachability
		var answered int
		unanswered := map[string]int{}
		for now := range rapid.IntRange(1, 30).Draw(t, "questions") {
			sent := max(now+1-rapid.IntRange(0, 5).Draw(t, "took"), 1)
			if rapid.Bool().Draw(t, "answered") {
				zone.Answered(at(sent))
				answered = max(answered, sent)
			} else if by := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "by"); sent > answered {
				// A later unanswered request to the same peer proves no more than the first one.
				if before, again := unanswered[by]; !again || before <= answered {
					unanswered[by] = sent
				}
				zone.TimedOut(by, at(sent), at(now+1))
			}
			open := 0
			for _, at := range unanswered {
				if at > answered {
					open++
				}
			}
			state := zone.State(at(now + 1))
			assert.Equal(t, state == zonebalance.Reachable, open == 0)
			assert.Equal(t, state == zonebalance.Unreachable, open >= 2)
		}
	})
}

func load(zone string, slots, online float64) zonebalance.ZoneLoad {
	return zonebalance.ZoneLoad{Zone: ident.Zone(zone), Slots: slots, Online: online}
}

// transferMs is the cost of sending a request of 1.5 kB to another zone.
const transferMs = 31

// draws returns how many of a thousand requests go to each zone.
func draws(own zonebalance.ZoneLoad, others ...zonebalance.ZoneLoad) map[ident.Zone]int {
	random := rand.New(rand.NewPCG(1, 1))
	var spillover zonebalance.Spillover
	counts := map[ident.Zone]int{}
	for range 1000 {
		counts[spillover.Choose(own, others, transferMs, random.Float64())]++
	}
	return counts
}

// TestRequestsStayWherePlacesAreFree covers zones with free slots, zones that are equally full, and other zones
// without free slots: because of the transfer cost, no request leaves.
func TestRequestsStayWherePlacesAreFree(t *testing.T) {
	for _, zones := range [][2]zonebalance.ZoneLoad{
		{load("a", 100, 20), load("b", 100, 0)}, {load("a", 100, 75), load("b", 100, 10)},
		{load("a", 100, 95), load("b", 100, 95)}, {load("a", 100, 140), load("b", 100, 90)}, {load("a", 100, 140), load("b", 0, 0)},
	} {
		assert.Equal(t, draws(zones[0], zones[1])["a"], 1000, "%v", zones)
	}
}

// TestMoreLeaveTheFullerTheirZoneIs fills a zone: the share of requests that leave grows, is neither zero nor all when
// the zone is just full, and is spread over the other zones in proportion to their slots that are free and not
// reserved.
func TestMoreLeaveTheFullerTheirZoneIs(t *testing.T) {
	before := 0
	for online := 90.0; online <= 150; online += 5 {
		counts := draws(load("a", 100, online), load("b", 100, 60), load("c", 100, 30))
		left := 1000 - counts["a"]
		assert.Assert(t, left >= before, "online %v: %d leave, fewer than %d before", online, left, before)
		before = left
		if online == 100 {
			assert.Assert(t, left > 200 && left < 800, "%d leave a zone that is just full", left)
		}
		if left > 300 {
			assert.Assert(t, counts["c"] > counts["b"]*3/2 && counts["c"] < counts["b"]*3, "b has 30 slots for others, c 60: %v", counts)
		}
	}
	assert.Assert(t, before > 900, "%d leave a zone at one and a half times its capacity", before)
}

// TestLastPlacesAreKeptForOwnCallers draws zones: no request is sent to another zone beyond nine tenths of its slots.
func TestLastPlacesAreKeptForOwnCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var others []zonebalance.ZoneLoad
		for index := range rapid.IntRange(0, 5).Draw(t, "zones") {
			others = append(others, load(fmt.Sprint("z", index), float64(rapid.IntRange(1, 100).Draw(t, "places")),
				float64(rapid.IntRange(0, 150).Draw(t, "taken"))))
		}
		var spillover zonebalance.Spillover
		chosen := spillover.Choose(load("a", 100, float64(rapid.IntRange(0, 300).Draw(t, "own"))), others, transferMs,
			rapid.Float64Range(0, 0.999).Draw(t, "random"))
		for _, other := range others {
			if other.Zone == chosen {
				assert.Assert(t, other.Online < 0.9*other.Slots, "%v", other)
			}
		}
	})
}

// TestSpilloverHasHysteresis varies the difference in wait around the transfer cost: a node that already sends
// requests to other zones continues at a smaller difference than it starts at.
func TestSpilloverHasHysteresis(t *testing.T) {
	var spillover zonebalance.Spillover
	other := []zonebalance.ZoneLoad{load("b", 100, 50)}
	between := load("a", 100, 82)
	assert.Equal(t, spillover.Choose(between, other, transferMs, 0), ident.Zone("a"))
	assert.Equal(t, spillover.Choose(load("a", 100, 95), other, transferMs, 0), ident.Zone("b"))
	assert.Equal(t, spillover.Choose(between, other, transferMs, 0), ident.Zone("b"))
	assert.Equal(t, spillover.Choose(load("a", 100, 70), other, transferMs, 0), ident.Zone("a"))
	assert.Equal(t, spillover.Choose(between, other, transferMs, 0), ident.Zone("a"))
}
