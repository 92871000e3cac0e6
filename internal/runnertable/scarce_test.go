package runnertable

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

// scarceTable has runners of eight slots, and what their owners told of them: others' work, and how long ago.
func scarceTable(now time.Time, told map[ident.Incarnation]int, age map[ident.Incarnation]time.Duration) *Table {
	table := New("z")
	var listed []work.Runner
	for _, id := range []ident.Incarnation{"a", "b"} {
		listed = append(listed, work.Runner{ID: id, Service: "s", Zone: "z", Slots: 8})
	}
	table.Replace(listed, now, true)
	for id, others := range told {
		table.TakeShares([]demand.Share{{Runner: id, Others: others}}, now.Add(-age[id]))
	}
	return table
}

func pickScarce(table *Table, wish Wish, now time.Time) (ident.Incarnation, error) {
	wish.Service, wish.Full = "s", map[ident.Incarnation]bool{}
	flight, err := table.Pick(wish, now, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		return "", err
	}
	flight.End()
	return flight.Runner.ID, nil
}

// TestYieldingRequestTakesAFreeSlotOrNone has runners whose slots are taken, one of them with a slot free, one not heard of lately, and one at which
// requests wait.
func TestYieldingRequestTakesAFreeSlotOrNone(t *testing.T) {
	now := time.Unix(100, 0)
	fresh := map[ident.Incarnation]time.Duration{}
	yields := Wish{Yields: true, Scarce: true}
	full := scarceTable(now, map[ident.Incarnation]int{"a": 8, "b": 8}, fresh)
	_, err := pickScarce(full, yields, now)
	assert.ErrorIs(t, err, ErrFull)
	_, err = pickScarce(full, Wish{Scarce: true}, now)
	assert.NilError(t, err, "the short queue is for those that don't yield")
	free := scarceTable(now, map[ident.Incarnation]int{"a": 8, "b": 7}, fresh)
	got, err := pickScarce(free, yields, now)
	assert.NilError(t, err)
	assert.Equal(t, got, ident.Incarnation("b"))
	free.Observe("b", work.Load{Running: 8, Waiting: 1, Slots: 8}, now)
	_, err = pickScarce(free, yields, now)
	assert.ErrorIs(t, err, ErrFull, "the runner told that requests wait")
	unheard := scarceTable(now, map[ident.Incarnation]int{"a": 8, "b": 2}, map[ident.Incarnation]time.Duration{"b": 2 * time.Second})
	_, err = pickScarce(unheard, yields, now)
	assert.ErrorIs(t, err, ErrFull, "what is old counts as free")
	// Where no owner ever told, as where there are none of this build, the node's own count is what there is.
	_, err = pickScarce(scarceTable(now, nil, nil), yields, now)
	assert.NilError(t, err)
}

// TestRunnerIsNotFreeForNotBeingHeardOf has the owner of one runner silent for longer than its word counts, and the other runner with all slots taken:
// while places are scarce the request waits behind one other, not behind nobody knows how many.
func TestRunnerIsNotFreeForNotBeingHeardOf(t *testing.T) {
	now := time.Unix(100, 0)
	table := scarceTable(now, map[ident.Incarnation]int{"a": 8, "b": 9}, map[ident.Incarnation]time.Duration{"b": 2 * time.Second})
	got, err := pickScarce(table, Wish{Scarce: true}, now)
	assert.NilError(t, err)
	assert.Equal(t, got, ident.Incarnation("a"))
	got, err = pickScarce(table, Wish{}, now)
	assert.NilError(t, err)
	assert.Equal(t, got, ident.Incarnation("b"), "otherwise the choice is as before")
}
