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

// many is more nodes than any of these tests has places.
const many = 100

// waits is what a node tells that has requests for service s, of which the first runs out of time after a while.
func waits(onTime, late int, left time.Duration, now time.Time) map[string]orphans.Wait {
	return map[string]orphans.Wait{"s": {OnTime: onTime, Late: late, Until: now.Add(left)}}
}

func placesAt(free int) []orphans.Place {
	return []orphans.Place{{Runner: "a", Service: "s", Free: free, Orphans: 8 - free}}
}

// ask has a node tell what waits there, and returns what it is granted at runner a.
func ask(r *orphans.Ration, node ident.Node, told map[string]orphans.Wait, free int, now time.Time) orphans.Granted {
	r.Take(node, told, now)
	return r.Grant(node, placesAt(free), many, now)["a"]
}

// TestPlaceThatComesFreeIsOneNodes has two nodes ask for the only place: the first one gets it, the other one as soon as the first does
// not keep it, because it told that nothing waits any more or told nothing for longer than a node that waits does.
func TestPlaceThatComesFreeIsOneNodes(t *testing.T) {
	now := start
	var ration orphans.Ration
	assert.Equal(t, ask(&ration, "f", waits(1, 0, time.Second, now), 1, now).Places, 1)
	assert.Equal(t, ask(&ration, "g", waits(1, 0, time.Second, now), 1, now).Places, 0)
	assert.Equal(t, ask(&ration, "f", waits(1, 0, time.Second, now), 1, now).Places, 1, "what it did not use is asked for anew")
	ration.Take("f", nil, now)
	assert.Equal(t, ask(&ration, "g", waits(1, 0, time.Second, now), 1, now).Places, 1)
	later := now.Add(100 * time.Millisecond)
	assert.Equal(t, ask(&ration, "f", waits(1, 0, time.Second, later), 1, later).Places, 1, "g told nothing since")
}

// TestLessTimeLeftComesFirst has a node ask while most of the others have less time left, and while half of them do.
func TestLessTimeLeftComesFirst(t *testing.T) {
	now := start
	var ration orphans.Ration
	for index := range 3 {
		ration.Take(ident.Node(fmt.Sprint(index)), waits(1, 0, 50*time.Millisecond, now), now)
	}
	assert.Equal(t, ask(&ration, "f", waits(1, 0, 200*time.Millisecond, now), 1, now).Places, 0)
	ration.Take("0", nil, now)
	ration.Take("1", nil, now)
	assert.Equal(t, ask(&ration, "f", waits(1, 0, 200*time.Millisecond, now), 1, now).Places, 1, "one node alone holds up no other")
}

// TestLateRequestsGetWhatNobodyElseWants has a node with requests that are late alone: it gets places once no other waits for them that can be
// on time.
func TestLateRequestsGetWhatNobodyElseWants(t *testing.T) {
	now := start
	var ration orphans.Ration
	ration.Take("g", waits(1, 0, 50*time.Millisecond, now), now)
	assert.Equal(t, ask(&ration, "f", waits(0, 3, 0, now), 5, now), orphans.Granted{})
	assert.Assert(t, ration.Pressed(now))
	now = now.Add(60 * time.Millisecond)
	assert.Assert(t, !ration.Pressed(now), "the time of what waits at g is over")
	assert.Equal(t, ask(&ration, "f", waits(0, 3, 0, now), 5, now), orphans.Granted{Places: 3, Late: true})
}

// TestPlacesAreRationedOnlyWhereOrphansLeaveFew names when no runner is rationed: without orphans, and with as many free places as nodes.
func TestPlacesAreRationedOnlyWhereOrphansLeaveFew(t *testing.T) {
	var ration orphans.Ration
	full := []orphans.Place{{Runner: "a", Service: "s"}, {Runner: "b", Service: "s"}}
	assert.Equal(t, len(ration.Grant("f", full, many, start)), 0, "all places are requests'")
	few := []orphans.Place{{Runner: "a", Service: "s", Orphans: 4, Free: 4}, {Runner: "b", Service: "s", Free: 2}, {Runner: "c", Service: "other"}}
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

// TestNoPlaceIsGrantedTwice draws nodes that ask, use what they were granted or not, and runs that end. What nodes may use is never more than
// the places that are free.
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
					free[runner] -= given.Places
				}
			}
			free[rapid.SampledFrom(runners).Draw(t, "ended")]++
			ration.Take(node, waits(rapid.IntRange(0, 3).Draw(t, "on time"), rapid.IntRange(0, 2).Draw(t, "late"), 90*time.Millisecond, now), now)
			var places []orphans.Place
			for _, runner := range runners {
				places = append(places, orphans.Place{Runner: runner, Service: "s", Free: free[runner], Orphans: 1})
			}
			promises[node] = promise{at: now, places: ration.Grant(node, places, many, now)}
			for _, runner := range runners {
				promised := 0
				for _, given := range promises {
					promised += given.usable(now)[runner].Places
				}
				assert.Assert(t, promised <= max(free[runner], 0), "%d of %d places of %s", promised, free[runner], runner)
			}
		}
	})
}
