package online_test

import (
	"context"
	"fmt"
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
		caller := &slowlyConfirmed{
			scriptedCaller: &scriptedCaller{replies: []*work.Reply{stream(firstEvent, false), stream(secondEvent, true)}}, t: t,
			deadline: time.Now().Add(time.Minute),
		}
		writer := &recorder{}
		assert.NilError(t, serveWith(caller, startedIDs(2), writer, 2))
		assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
		assert.Equal(t, len(caller.budgets), 2)
	})
}

// restartingCaller is a scriptedCaller whose second runner is started again just before it gets the request.
type restartingCaller struct {
	*scriptedCaller
	// restarted is the runner that was started again; empty before.
	restarted ident.Incarnation
}

func (c *restartingCaller) Report(_ context.Context, runner work.Runner) (work.Load, error) {
	if runner.ID == c.restarted {
		return work.Load{}, &work.OtherIncarnation{Asked: runner.ID, Started: time.Now()}
	}
	return work.Load{}, nil
}

func (c *restartingCaller) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	if len(c.resumed) == 1 {
		c.restarted = attempt.Runner.ID
	}
	return c.scriptedCaller.Send(ctx, attempt)
}

// TestRunnerRestartedAsItIsSentAStreamDoesNotGoOn guards against events of a runner that is started again as another software version after it was
// confirmed and before it gets the request. Another runner goes on.
func TestRunnerRestartedAsItIsSentAStreamDoesNotGoOn(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		caller := &restartingCaller{scriptedCaller: &scriptedCaller{replies: []*work.Reply{
			stream(firstEvent, false), stream("id: 2\ndata: of another version\n\n", true), stream(secondEvent, true),
		}}}
		writer := &recorder{}
		assert.NilError(t, serveWith(caller, startedIDs(3), writer, 3))
		assert.Equal(t, writer.body.String(), firstEvent+secondEvent)
		assert.DeepEqual(t, caller.resumed, []int64{0, 1, 1})
	})
}

// startedIDs returns the ids of runners whose names are used again.
func startedIDs(count int) []ident.Incarnation {
	var ids []ident.Incarnation
	for index := range count {
		id, _ := ident.NewIncarnation(ident.Runner(fmt.Sprint("i-", index)), time.Now().Add(-time.Hour))
		ids = append(ids, id)
	}
	return ids
}
