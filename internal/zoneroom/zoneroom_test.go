package zoneroom_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/zoneroom"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestOneMachineThatDiesIsNoCutZone has one worker leave questions without an answer while another one answers.
func TestOneMachineThatDiesIsNoCutZone(t *testing.T) {
	var contact zoneroom.Contact
	contact.Answered(at(0))
	contact.Missed("worker-1", at(100), at(400))
	assert.Equal(t, contact.State(at(400)), zoneroom.InDoubt)
	assert.Equal(t, contact.Doubted(), at(400))
	since, back := contact.Answered(at(401))
	assert.Assert(t, back && since.Equal(at(100)))
	assert.Equal(t, contact.State(at(2000)), zoneroom.InTouch)
	contact.Missed("worker-1", at(390), at(2000))
	assert.Equal(t, contact.State(at(2000)), zoneroom.InTouch, "a question that was asked before another was answered proves nothing")
}

// TestZoneThatNobodyAnswersInIsCut has two of a zone leave questions without an answer, or one for long, and answers that were on
// their way when the zone was cut off.
func TestZoneThatNobodyAnswersInIsCut(t *testing.T) {
	var contact zoneroom.Contact
	contact.Answered(at(0))
	contact.Missed("worker-1", at(100), at(400))
	contact.Missed("runner-7", at(150), at(550))
	assert.Equal(t, contact.State(at(550)), zoneroom.Cut)
	_, back := contact.Answered(at(90))
	assert.Assert(t, !back)
	assert.Equal(t, contact.State(at(550)), zoneroom.Cut, "an answer from before the cut was believed")
	since, back := contact.Answered(at(3000))
	assert.Assert(t, back && since.Equal(at(100)))
	assert.Equal(t, contact.State(at(3000)), zoneroom.InTouch)

	var alone zoneroom.Contact
	alone.Missed("worker-1", at(100), at(400))
	alone.Missed("worker-1", at(700), at(1000))
	assert.Equal(t, alone.State(at(999)), zoneroom.InDoubt)
	assert.Equal(t, alone.State(at(1000)), zoneroom.Cut)
}

// TestContactIsThatOfTheNewestQuestions draws questions that are answered or not, in any order: a zone is in touch if and only if none
// of those asked after the newest answered one is without an answer.
func TestContactIsThatOfTheNewestQuestions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var contact zoneroom.Contact
		var answered int
		missed := map[string]int{}
		for now := range rapid.IntRange(1, 30).Draw(t, "questions") {
			asked := max(now+1-rapid.IntRange(0, 5).Draw(t, "took"), 1)
			if rapid.Bool().Draw(t, "answered") {
				contact.Answered(at(asked))
				answered = max(answered, asked)
			} else if by := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "by"); asked > answered {
				// A later question to the same one that is left proves no more than the first.
				if before, again := missed[by]; !again || before <= answered {
					missed[by] = asked
				}
				contact.Missed(by, at(asked), at(now+1))
			}
			open := 0
			for _, at := range missed {
				if at > answered {
					open++
				}
			}
			state := contact.State(at(now + 1))
			assert.Equal(t, state == zoneroom.InTouch, open == 0)
			assert.Equal(t, state == zoneroom.Cut, open >= 2)
		}
	})
}

func room(zone string, places, taken float64) zoneroom.Room {
	return zoneroom.Room{Zone: ident.Zone(zone), Places: places, Taken: taken}
}

// way is the price of a request of 1.5 kB.
const way = 31

// draws returns how many of a thousand requests go to each zone.
func draws(own zoneroom.Room, others ...zoneroom.Room) map[ident.Zone]int {
	random := rand.New(rand.NewPCG(1, 1))
	var split zoneroom.Split
	counts := map[ident.Zone]int{}
	for range 1000 {
		counts[split.Draw(own, others, way, random.Float64())]++
	}
	return counts
}

// TestRequestsStayWherePlacesAreFree has zones with room, zones that are equally full, and others without room: the way costs, and so
// nobody leaves.
func TestRequestsStayWherePlacesAreFree(t *testing.T) {
	for _, zones := range [][2]zoneroom.Room{
		{room("a", 100, 20), room("b", 100, 0)}, {room("a", 100, 75), room("b", 100, 10)},
		{room("a", 100, 95), room("b", 100, 95)}, {room("a", 100, 140), room("b", 100, 90)}, {room("a", 100, 140), room("b", 0, 0)},
	} {
		assert.Equal(t, draws(zones[0], zones[1])["a"], 1000, "%v", zones)
	}
}

// TestMoreLeaveTheFullerTheirZoneIs has a zone fill up: the share that leaves grows, is a part and not all while the zone is just full, and
// is spread in proportion to the places beyond those that are kept.
func TestMoreLeaveTheFullerTheirZoneIs(t *testing.T) {
	before := 0
	for taken := 90.0; taken <= 150; taken += 5 {
		counts := draws(room("a", 100, taken), room("b", 100, 60), room("c", 100, 30))
		left := 1000 - counts["a"]
		assert.Assert(t, left >= before, "%v: %d leave, %d left before", taken, left, before)
		before = left
		if taken == 100 {
			assert.Assert(t, left > 200 && left < 800, "%d leave a zone that is just full", left)
		}
		if left > 300 {
			assert.Assert(t, counts["c"] > counts["b"]*3/2 && counts["c"] < counts["b"]*3, "b has 30 places to give, c 60: %v", counts)
		}
	}
	assert.Assert(t, before > 900, "%d leave a zone that is half as full again as it can be", before)
}

// TestLastPlacesAreKeptForOwnCallers draws zones: nobody comes into one beyond nine tenths of its places.
func TestLastPlacesAreKeptForOwnCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var others []zoneroom.Room
		for index := range rapid.IntRange(0, 5).Draw(t, "zones") {
			others = append(others, room(fmt.Sprint("z", index), float64(rapid.IntRange(1, 100).Draw(t, "places")), float64(rapid.IntRange(0, 150).Draw(t, "taken"))))
		}
		var split zoneroom.Split
		chosen := split.Draw(room("a", 100, float64(rapid.IntRange(0, 300).Draw(t, "own"))), others, way, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		for _, other := range others {
			if other.Zone == chosen {
				assert.Assert(t, other.Taken < 0.9*other.Places, "%v", other)
			}
		}
	})
}

// TestLeavingHasHysteresis has the difference between zones hover about the price of the way: who has requests leave goes on with a
// smaller difference than who begins.
func TestLeavingHasHysteresis(t *testing.T) {
	var split zoneroom.Split
	other := []zoneroom.Room{room("b", 100, 50)}
	between := room("a", 100, 82)
	assert.Equal(t, split.Draw(between, other, way, 0), ident.Zone("a"))
	assert.Equal(t, split.Draw(room("a", 100, 95), other, way, 0), ident.Zone("b"))
	assert.Equal(t, split.Draw(between, other, way, 0), ident.Zone("b"))
	assert.Equal(t, split.Draw(room("a", 100, 70), other, way, 0), ident.Zone("a"))
	assert.Equal(t, split.Draw(between, other, way, 0), ident.Zone("a"))
}
