package orphans_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/orphans"
)

// manyNodes is more nodes than any of these tests has slots.
const manyNodes = 100

// waits is the report of a node with waiting requests for service s, of which the first reaches its deadline after left.
func waits(onTime, late int, left time.Duration, now time.Time) map[string]orphans.Wait {
	return map[string]orphans.Wait{"s": {OnTime: onTime, Late: late, Until: now.Add(left)}}
}

func placesAt(free int) []orphans.RunnerSlots {
	return []orphans.RunnerSlots{{Runner: "a", Service: "s", Free: free, Orphans: 8 - free}}
}

// ask has a node report its waiting requests, and returns what it is granted at runner a.
func ask(r *orphans.Ration, node ident.Node, told map[string]orphans.Wait, free int, now time.Time) orphans.Granted {
	r.RecordReport(node, told, now)
	return r.Grant(node, placesAt(free), manyNodes, now)["a"]
}

// TestFreedSlotIsGrantedToOneNode has two nodes ask for the only slot: the first one gets it, the other one as soon as
// the first no longer reserves it, because it reported that nothing waits any more or has not reported for longer than a
// node with waiting requests does.
func TestFreedSlotIsGrantedToOneNode(t *testing.T) {
	now := start
	var ration orphans.Ration
	assert.Equal(t, ask(&ration, "f", waits(1, 0, time.Second, now), 1, now).Slots, 1)
	assert.Equal(t, ask(&ration, "g", waits(1, 0, time.Second, now), 1, now).Slots, 0)
	assert.Equal(t, ask(&ration, "f", waits(1, 0, time.Second, now), 1, now).Slots, 1, "an unused grant is requested again")
	ration.RecordReport("f", nil, now)
	assert.Equal(t, ask(&ration, "g", waits(1, 0, time.Second, now), 1, now).Slots, 1)
	later := now.Add(100 * time.Millisecond)
	assert.Equal(t, ask(&ration, "f", waits(1, 0, time.Second, later), 1, later).Slots, 1, "g has not reported since")
}

// TestLessTimeLeftComesFirst has a node ask while most of the others have less time left, and while half of them do.
func TestLessTimeLeftComesFirst(t *testing.T) {
	now := start
	var ration orphans.Ration
	for index := range 3 {
		ration.RecordReport(ident.Node(fmt.Sprint(index)), waits(1, 0, 50*time.Millisecond, now), now)
	}
	assert.Equal(t, ask(&ration, "f", waits(1, 0, 200*time.Millisecond, now), 1, now).Slots, 0)
	ration.RecordReport("0", nil, now)
	ration.RecordReport("1", nil, now)
	assert.Equal(t, ask(&ration, "f", waits(1, 0, 200*time.Millisecond, now), 1, now).Slots, 1, "one node alone blocks no other")
}

// TestLateRequestsGetWhatNobodyElseWants has a node with late requests only: it gets slots once no other node has waiting
// requests that can be on time.
func TestLateRequestsGetWhatNobodyElseWants(t *testing.T) {
	now := start
	var ration orphans.Ration
	ration.RecordReport("g", waits(1, 0, 50*time.Millisecond, now), now)
	assert.Equal(t, ask(&ration, "f", waits(0, 3, 0, now), 5, now), orphans.Granted{})
	assert.Assert(t, ration.Pressed(now))
	now = now.Add(60 * time.Millisecond)
	assert.Assert(t, !ration.Pressed(now), "the deadline of the request at g has passed")
	assert.Equal(t, ask(&ration, "f", waits(0, 3, 0, now), 5, now), orphans.Granted{Slots: 3, Late: true})
}

// TestPlacesAreRationedOnlyWhereOrphansLeaveFew covers the cases in which no runner is rationed: no orphaned runs, and as
// many free slots as nodes.
func TestPlacesAreRationedOnlyWhereOrphansLeaveFew(t *testing.T) {
	var ration orphans.Ration
	full := []orphans.RunnerSlots{{Runner: "a", Service: "s"}, {Runner: "b", Service: "s"}}
	assert.Equal(t, len(ration.Grant("f", full, manyNodes, start)), 0, "all slots are used by requests")
	few := []orphans.RunnerSlots{{Runner: "a", Service: "s", Orphans: 4, Free: 4}, {Runner: "b", Service: "s", Free: 2}, {Runner: "c", Service: "other"}}
	assert.Equal(t, len(ration.Grant("f", few, 6, start)), 0)
	rationed := ration.Grant("f", few, 7, start)
	assert.Equal(t, len(rationed), 2, "runners of the service alone: %v", rationed)
}

// promise is what a node was granted, and when. Nodes use grants for 80 ms.
type promise struct {
	at     time.Time
	places map[ident.Incarnation]orphans.Granted
}

func (p promise) usable(now time.Time) map[ident.Incarnation]orphans.Granted {
	if now.Sub(p.at) >= 80*time.Millisecond {
		return nil
	}
	return p.places
}

// TestNoPlaceIsGrantedTwice draws nodes that ask, use their grants or not, and runs that end. The slots that nodes may
// use never exceed the free ones.
func TestNoPlaceIsGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		var ration orphans.Ration
		runners := []ident.Incarnation{"a", "b", "c"}
		free := map[ident.Incarnation]int{"a": 3, "b": 1, "c": 0}
		promises := map[ident.Node]promise{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			node := ident.Node(rapid.SampledFrom([]string{"f", "g", "h", "i"}).Draw(t, "node"))
			if rapid.Bool().Draw(t, "used") {
				for runner, given := range promises[node].usable(now) {
					free[runner] -= given.Slots
				}
			}
			free[rapid.SampledFrom(runners).Draw(t, "ended")]++
			ration.RecordReport(node, waits(rapid.IntRange(0, 3).Draw(t, "on time"), rapid.IntRange(0, 2).Draw(t, "late"), 90*time.Millisecond, now), now)
			var places []orphans.RunnerSlots
			for _, runner := range runners {
				places = append(places, orphans.RunnerSlots{Runner: runner, Service: "s", Free: free[runner], Orphans: 1})
			}
			promises[node] = promise{at: now, places: ration.Grant(node, places, manyNodes, now)}
			for _, runner := range runners {
				promised := 0
				for _, given := range promises {
					promised += given.usable(now)[runner].Slots
				}
				assert.Assert(t, promised <= max(free[runner], 0), "%d of %d slots of %s", promised, free[runner], runner)
			}
		}
	})
}
