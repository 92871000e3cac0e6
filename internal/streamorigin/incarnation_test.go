package streamorigin

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/work"
)

// reportingCaller answers each report call with an error, or none.
type reportingCaller struct {
	work.Caller
	err error
}

func (c *reportingCaller) Report(context.Context, work.Runner) (work.Load, error) {
	return work.Load{}, c.err
}

// TestStreamOfARestartedRunnerIsNotGuessed guards against a stream that a runner began in the second after its restart with another software
// version, while the registry still listed it with the one before, and that is taken up at that one.
func TestStreamOfARestartedRunnerIsNotGuessed(t *testing.T) {
	ctx, start := context.Background(), time.UnixMilli(1_800_000_000_000)
	incarnation := func(at time.Time) ident.Incarnation {
		id, _ := ident.NewIncarnation("i-1", at)
		return id
	}
	again := start.Add(time.Hour)
	listed := work.Runner{ID: incarnation(start), Service: "s", Version: "v1", Slots: 1}
	newer := work.Runner{ID: incarnation(again), Service: "s", Version: "v2", Slots: 1}
	restarted := &work.OtherIncarnation{Asked: listed.ID, Started: again}
	const never, justBefore, justAfter = -time.Hour, startSlack - time.Millisecond, startSlack
	for name, c := range map[string]struct {
		answer error
		listed []work.Runner
		began  time.Time
		// complete is how long after the stream began starts of runners are known from lists.
		complete time.Duration
		unknown  error
	}{
		"it answers as listed":                    {nil, []work.Runner{listed}, again.Add(time.Second), never, nil},
		"it cannot be asked":                      {connpool.ErrNoResponse, []work.Runner{listed}, again.Add(time.Second), justAfter, nil},
		"it cannot be asked, and the list is old": {connpool.ErrNoResponse, []work.Runner{listed}, again.Add(time.Second), justBefore, ErrNotYetListed},
		"restarted since, told by itself":         {restarted, []work.Runner{listed}, again.Add(-time.Second), never, nil},
		"restarted before, told by itself":        {restarted, []work.Runner{listed}, again.Add(time.Second), justAfter, ErrUnknown},
		"restarted at about that time":            {restarted, []work.Runner{listed}, again.Add(-startSlack / 2), justAfter, ErrUnknown},
		"restarted at a time that it cannot tell": {&work.OtherIncarnation{Asked: listed.ID}, []work.Runner{listed}, again, justAfter, ErrUnknown},
		"restarted since, as the list tells":      {nil, []work.Runner{newer}, again.Add(-time.Second), never, nil},
		"restarted before, as the list tells":     {nil, []work.Runner{newer}, again.Add(time.Second), justAfter, ErrUnknown},
		"gone":                                    {nil, []work.Runner{}, again.Add(time.Second), justAfter, nil},
		"gone, and the list is old":               {nil, []work.Runner{}, again.Add(time.Second), justBefore, ErrNotYetListed},
	} {
		table := runnertable.New("z")
		table.Replace([]work.Runner{listed}, start, true)
		table.Replace(c.listed, start, true)
		// The node's clock for ages differs from the date by a day.
		moment := Moment{Date: again.Add(time.Minute), Now: again.Add(time.Minute + 24*time.Hour)}
		table.SetCompleteThrough(c.began.Add(c.complete + 24*time.Hour))
		err := Verify(ctx, &reportingCaller{err: c.answer}, table, work.OriginOf(listed, c.began), moment)
		if c.unknown == nil {
			assert.NilError(t, err, name)
			continue
		}
		assert.ErrorIs(t, err, ErrUnknown, name)
		assert.ErrorIs(t, err, c.unknown, name)
	}
	plain := work.Runner{ID: "i-2", Service: "s", Version: "v1"}
	err := Verify(ctx, &reportingCaller{err: restarted}, runnertable.New("z"), work.OriginOf(plain, again), Moment{Date: again, Now: again})
	assert.NilError(t, err, "a name that is never used again needs no call")
}
