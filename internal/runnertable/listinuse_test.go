package runnertable_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// TestRequestIsHeldBackOnceItsRunnerLeavesOrTheListIsOverdue guards against a request that is sent by what was known at the choice of its runner. It
// is not held back while the registry is away, nor for a list that was overdue at the choice already.
func TestRequestIsHeldBackOnceItsRunnerLeavesOrTheListIsOverdue(t *testing.T) {
	chosen := time.Unix(1000, 0)
	const life, held = 1700 * time.Millisecond, 3 * time.Second
	ready := work.Runner{ID: "i-1", Service: "s", Zone: "z", Slots: 1}
	leaving := ready
	leaving.State = work.Draining
	list := func(revision int64, asOf time.Time) runnertable.ListInUse {
		return runnertable.ListInUse{Revision: revision, AsOf: asOf, Until: asOf.Add(life)}
	}
	for name, c := range map[string]struct {
		first runnertable.ListInUse
		since func(table *runnertable.Table, now time.Time)
		want  error
	}{
		"nothing is new":        {runnertable.ListInUse{}, func(*runnertable.Table, time.Time) {}, nil},
		"the list is overdue":   {list(1, chosen), func(*runnertable.Table, time.Time) {}, runnertable.ErrOverdue},
		"it was overdue before": {list(1, chosen.Add(-held)), func(*runnertable.Table, time.Time) {}, nil},
		"the registry is away":  {list(1, chosen), func(table *runnertable.Table, _ time.Time) { table.SetRegistryLost() }, nil},
		"a newer list names it": {list(1, chosen), func(table *runnertable.Table, now time.Time) { table.SetListInUse(list(2, now)) }, nil},
		"the registry is back": {list(1, chosen), func(table *runnertable.Table, now time.Time) {
			table.SetRegistryLost()
			table.SetListInUse(list(1, now))
		}, nil},
		"an older list comes late":   {list(1, chosen), func(table *runnertable.Table, _ time.Time) { table.SetListInUse(list(1, chosen.Add(-held))) }, runnertable.ErrOverdue},
		"it says that it leaves":     {list(1, chosen), func(table *runnertable.Table, now time.Time) { table.Replace([]work.Runner{leaving}, now, true) }, runnertable.ErrLeaves},
		"it is gone":                 {list(1, chosen), func(table *runnertable.Table, now time.Time) { table.Replace([]work.Runner{}, now, true) }, runnertable.ErrLeaves},
		"its absence proves nothing": {runnertable.ListInUse{}, func(table *runnertable.Table, now time.Time) { table.Replace([]work.Runner{}, now, false) }, nil},
	} {
		table := runnertable.New("z")
		table.Replace([]work.Runner{ready}, chosen, true)
		table.SetListInUse(c.first)
		flight, err := table.StartAt("i-1", runnertable.PickRequest{Service: "s"}, chosen)
		assert.NilError(t, err)
		now := chosen.Add(held)
		c.since(table, now)
		err = flight.BeforeSend(now).Check()
		if c.want == nil {
			assert.NilError(t, err, name)
			continue
		}
		assert.ErrorIs(t, err, c.want, name)
		assert.ErrorIs(t, err, runnertable.ErrWithdrawn, name)
	}
}
