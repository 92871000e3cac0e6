package online_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// confirmTime is how long the runners of slowlyConfirmed take to tell of themselves.
const confirmTime = 250 * time.Millisecond

// slowlyConfirmed is a scriptedCaller whose runners tell of themselves slowly. It checks that no runner is given more time than remains.
type slowlyConfirmed struct {
	*scriptedCaller
	t        *testing.T
	deadline time.Time
	budgets  []time.Duration
}

func (c *slowlyConfirmed) Report(context.Context, work.Runner) (work.Load, error) {
	time.Sleep(confirmTime)
	return work.Load{}, nil
}

func (c *slowlyConfirmed) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	remaining := time.Until(c.deadline)
	assert.Check(c.t, attempt.Budget <= remaining, "a runner got %s where %s remain", attempt.Budget, remaining)
	c.budgets = append(c.budgets, attempt.Budget)
	return c.scriptedCaller.Send(ctx, attempt)
}

// TestConfirmingARunnerTakesFromItsTime guards against a runner that is given more time than remains, because it was first asked whether it may
// go on with the stream.
func TestConfirmingARunnerTakesFromItsTime(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		var ids []ident.Incarnation
		for _, name := range []ident.Runner{"1", "2"} {
			id, _ := ident.NewIncarnation(name, time.Now().Add(-time.Hour))
			ids = append(ids, id)
		}
		caller := &slowlyConfirmed{
			scriptedCaller: &scriptedCaller{replies: []*work.Reply{stream(firstEvent, false), stream(secondEvent, true)}}, t: t,
			deadline: time.Now().Add(time.Minute),
		}
		writer := &recorder{}
		assert.NilError(t, serveWith(caller, ids, writer, 2))
		assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
		assert.Equal(t, len(caller.budgets), 2)
	})
}
