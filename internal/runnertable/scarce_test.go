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

// scarceTable returns a table with runners of eight slots, and the reports of their owners: the others' work, and the
// age of the report.
func scarceTable(now time.Time, reported map[ident.Incarnation]int, age map[ident.Incarnation]time.Duration) *Table {
	table := New("z")
	var listed []work.Runner
	for _, id := range []ident.Incarnation{"a", "b"} {
		listed = append(listed, work.Runner{ID: id, Service: "s", Zone: "z", Slots: 8})
	}
	table.Replace(listed, now, true)
	for id, others := range reported {
		table.UpdateShares([]demand.Share{{Runner: id, Others: others}}, now.Add(-age[id]))
	}
	return table
}

func pickScarce(table *Table, request PickRequest, now time.Time) (ident.Incarnation, error) {
	request.Service, request.RefusedBy = "s", map[ident.Incarnation]bool{}
	flight, err := table.Pick(request, now, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		return "", err
	}
	flight.End()
	return flight.Runner.ID, nil
}

// TestYieldingRequestTakesAFreeSlotOrNone uses runners without a free slot, a runner with one, a runner without a
// recent report, and a runner with queued requests.
func TestYieldingRequestTakesAFreeSlotOrNone(t *testing.T) {
	now := time.Unix(100, 0)
	fresh := map[ident.Incarnation]time.Duration{}
	yields := PickRequest{NoQueueing: true, Scarce: true}
	full := scarceTable(now, map[ident.Incarnation]int{"a": 8, "b": 8}, fresh)
	_, err := pickScarce(full, yields, now)
	assert.ErrorIs(t, err, ErrFull)
	_, err = pickScarce(full, PickRequest{Scarce: true}, now)
	assert.NilError(t, err, "the short queue is for requests that may queue")
	free := scarceTable(now, map[ident.Incarnation]int{"a": 8, "b": 7}, fresh)
	got, err := pickScarce(free, yields, now)
	assert.NilError(t, err)
	assert.Equal(t, got, ident.Incarnation("b"))
	free.Observe("b", work.Load{Running: 8, Waiting: 1, Slots: 8}, now)
	_, err = pickScarce(free, yields, now)
	assert.ErrorIs(t, err, ErrFull, "the runner reported queued requests")
	overdue := scarceTable(now, map[ident.Incarnation]int{"a": 8, "b": 2}, map[ident.Incarnation]time.Duration{"b": 2 * time.Second})
	_, err = pickScarce(overdue, yields, now)
	assert.ErrorIs(t, err, ErrFull, "a runner with an old report counts as free")
	// If no owner has ever reported, for example because all run an older build, only the node's own count is
	// available.
	_, err = pickScarce(scarceTable(now, nil, nil), yields, now)
	assert.NilError(t, err)
}

// TestRunnerWithOverdueReportIsNotAssumedFree has an overdue report of one runner, and another runner whose slots are all
// taken: while slots are scarce, the request is sent to the queue of known length.
func TestRunnerWithOverdueReportIsNotAssumedFree(t *testing.T) {
	now := time.Unix(100, 0)
	table := scarceTable(now, map[ident.Incarnation]int{"a": 8, "b": 9}, map[ident.Incarnation]time.Duration{"b": 2 * time.Second})
	got, err := pickScarce(table, PickRequest{Scarce: true}, now)
	assert.NilError(t, err)
	assert.Equal(t, got, ident.Incarnation("a"))
	got, err = pickScarce(table, PickRequest{}, now)
	assert.NilError(t, err)
	assert.Equal(t, got, ident.Incarnation("b"), "without scarcity the overdue runner is preferred")
}
