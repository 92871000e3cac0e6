package jobpeer_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobpeer"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
)

// holderFleet is a fleet of workers that are asked for the results of one job.
type holderFleet struct {
	// holder is the address of the worker that has the results; empty if none has.
	holder string
	// named is the holder that the others name.
	named string
	// earlier means that the workers run a build that names no holder.
	earlier bool
	// silent is the address of a worker that does not answer.
	silent string
	calls  atomic.Int64
}

type holderConn struct {
	drpc.Conn
	fleet *holderFleet
	to    string
}

func (c *holderConn) Invoke(_ context.Context, _ string, _ drpc.Encoding, _, out drpc.Message) error {
	c.fleet.calls.Add(1)
	if c.to == c.fleet.silent {
		return errUnresponsive
	}
	reply := out.(*jobpeer.ResultsReply)
	switch {
	case c.to == c.fleet.holder:
		reply.Sure, reply.Total = true, 7
	case !c.fleet.earlier:
		reply.Holder, reply.NoHolder = c.fleet.named, c.fleet.named == ""
	}
	return nil
}

// client returns a client of the first of five zones, in which the workers are spread evenly.
func (f *holderFleet) client(workers int) *jobpeer.WorkerClient {
	var listed []jobrecord.Worker
	for index := range workers {
		name := workerName(index)
		listed = append(listed, jobrecord.Worker{Node: ident.Node(name), Zone: ident.Zone(fmt.Sprint("z-", index%5)), Address: name})
	}
	client := &jobpeer.WorkerClient{
		Zone: "z-0", Now: time.Now,
		Connect: func(address string) (drpc.Conn, error) { return &holderConn{fleet: f, to: address}, nil },
	}
	client.UpdateWorkers(listed, time.Now())
	return client
}

func workerName(index int) string { return fmt.Sprintf("w-%03d", index) }

// fleetSizes are the numbers of workers for which the calls are counted.
var fleetSizes = []int{10, 150, 300}

// assertCalls asks for a job in fleets of several sizes, and checks whether it is found and the calls that it takes.
func assertCalls(t *testing.T, fleetOf func(workers int) *holderFleet, found bool, mostCalls int64) {
	t.Helper()
	for _, workers := range fleetSizes {
		fleet := fleetOf(workers)
		held, sure := fleet.client(workers).Results(context.Background(), "job", 0, 0)
		assert.Check(t, sure == found && (!found || held.Total == 7), "%d workers: %v, %v", workers, sure, held)
		assert.Check(t, fleet.calls.Load() <= mostCalls, "%d calls with %d workers", fleet.calls.Load(), workers)
	}
}

// TestHolderIsFoundByABoundedNumberOfCalls has the last worker of another zone hold the job.
func TestHolderIsFoundByABoundedNumberOfCalls(t *testing.T) {
	assertCalls(t, func(workers int) *holderFleet {
		last := workerName(workers - 1)
		return &holderFleet{holder: last, named: last}
	}, true, 2)
}

// TestJobWithoutHolderTakesABoundedNumberOfCalls has no worker hold the job.
func TestJobWithoutHolderTakesABoundedNumberOfCalls(t *testing.T) {
	assertCalls(t, func(int) *holderFleet { return &holderFleet{} }, false, 3)
}

// TestHolderThatDoesNotAnswerEndsTheSearch has the named holder be dead: no other worker has the job.
func TestHolderThatDoesNotAnswerEndsTheSearch(t *testing.T) {
	assertCalls(t, func(workers int) *holderFleet {
		last := workerName(workers - 1)
		return &holderFleet{named: last, silent: last}
	}, false, 5)
}

// TestWorkersThatNameNoHolderAreAllAsked has workers of an earlier build, of which the last one holds the job.
func TestWorkersThatNameNoHolderAreAllAsked(t *testing.T) {
	assertCalls(t, func(workers int) *holderFleet {
		return &holderFleet{holder: workerName(workers - 1), earlier: true}
	}, true, 300)
}

// TestWrongHolderIsNotAskedAgain has the workers name one that does not hold the job, and another one of their zone hold it.
func TestWrongHolderIsNotAskedAgain(t *testing.T) {
	assertCalls(t, func(int) *holderFleet {
		return &holderFleet{named: workerName(1), holder: workerName(5)}
	}, true, 3)
}
