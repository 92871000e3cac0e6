package online_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/online"
	"mallowlatch.example/mallowlatch/internal/runnertable"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

// leavingCaller is a scriptedCaller to whose runners connections open slowly. The first runner asked leaves meanwhile.
type leavingCaller struct {
	*scriptedCaller
	table   *runnertable.Table
	runners []work.Runner
	// gone means that the list lacks the runner instead of naming it as leaving.
	gone bool
	left ident.Incarnation
	// sent are the runners that got the request.
	sent []ident.Incarnation
}

func (c *leavingCaller) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	if c.left == "" {
		c.left = attempt.Runner.ID
		c.table.Replace(c.withoutLeaving(), time.Now(), true)
	}
	time.Sleep(100 * time.Millisecond)
	if err := attempt.BeforeSend(); err != nil {
		return nil, fmt.Errorf("%w: %w", connpool.ErrNotSent, err)
	}
	c.sent = append(c.sent, attempt.Runner.ID)
	return c.scriptedCaller.Send(ctx, attempt)
}

func (c *leavingCaller) withoutLeaving() []work.Runner {
	var listed []work.Runner
	for _, runner := range c.runners {
		switch {
		case runner.ID != c.left:
		case c.gone:
			continue
		default:
			runner.State = work.Draining
		}
		listed = append(listed, runner)
	}
	return listed
}

// TestChosenRunnerThatLeavesIsNotSentTheRequest guards against a request that is sent to a runner although a list since its choice says that it
// leaves. Another one gets it, and with none left the client is told that it was not run.
func TestChosenRunnerThatLeavesIsNotSentTheRequest(t *testing.T) {
	for _, gone := range []bool{false, true} {
		for count := 1; count <= 2; count++ {
			simulated.Test(t, func(t *testing.T) {
				table := runnertable.New("z")
				var runners []work.Runner
				for index := range count {
					runners = append(runners, work.Runner{ID: ident.Incarnation(fmt.Sprint("i-", index)), Service: "s", Zone: "z", Slots: 4})
				}
				table.Replace(runners, time.Now(), true)
				caller := &leavingCaller{scriptedCaller: &scriptedCaller{replies: []*work.Reply{stream(firstEvent, true)}}, table: table, runners: runners, gone: gone}
				forwarder := &online.Forwarder{Runners: table, Caller: caller, Logger: zerolog.Nop(), Now: time.Now}
				route := &work.Route{
					Name: "r", Kind: work.NonIdempotent, MaximumAttempts: 1, Objective: time.Second,
					Split: []work.WeightedService{{Service: "s", Weight: 1}},
				}
				request := &work.Request{ID: "q", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute)}
				writer := &recorder{}
				err := forwarder.Serve(context.Background(), route, request, writer)
				if count == 1 {
					assert.ErrorContains(t, err, "no runner may take the request")
					assert.Equal(t, len(caller.sent), 0)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, writer.body.String(), firstEvent)
				assert.Equal(t, len(caller.sent), 1)
				assert.Assert(t, caller.sent[0] != caller.left)
			})
		}
	}
}
