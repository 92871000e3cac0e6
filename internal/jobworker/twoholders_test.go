package jobworker_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/work"
)

// The test below guards against results whose text continues, after some event, with the events of a run that was not
// started from there. The store did not answer writes or applied them seconds later, so that a worker's lease expired
// while the worker continued. A second worker claimed the job, and later a third one, which used the output that it had
// mirrored for both. A mirrored piece carried the length after which it follows but not the run that it continues. Pieces
// of two runs of one item have the same lengths, so a piece of one run was appended to the text of the other. Only the
// order of the pieces is arranged in the test.

// steppedRuns are the runs of all workers, whose events are released one by one by the test.
type steppedRuns struct {
	mutex sync.Mutex
	runs  []*steppedRun
}

// steppedRun is one run of an item. The data of its events is its number.
type steppedRun struct {
	node    ident.Node
	resumed int64
	allowed chan struct{}
}

// steppedEvents is the number of events of each item.
const steppedEvents = 6

// step lets the newest run of a node produce a number of events.
func (s *steppedRuns) step(t *testing.T, node ident.Node, events int) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i := len(s.runs) - 1; i >= 0; i-- {
		if run := s.runs[i]; run.node == node {
			for range events {
				run.allowed <- struct{}{}
			}
			return
		}
	}
	t.Fatalf("no run of %s", node)
}

// count returns how many runs a node started.
func (s *steppedRuns) count(node ident.Node) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, run := range s.runs {
		if run.node == node {
			count++
		}
	}
	return count
}

// checkResumes fails if a text continues with a run that was not resumed at that event.
func (s *steppedRuns) checkResumes(t *testing.T, text string) {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := -1
	for event, data := range strings.Split(text, "\n") {
		number, err := strconv.Atoi(data)
		assert.NilError(t, err)
		if number != before {
			assert.Equal(t, s.runs[number].resumed, int64(event), "text %q: run %d was not resumed after event %d", text, number, event)
		}
		before = number
	}
}

// steppedCaller starts the runs of one node.
type steppedCaller struct {
	fakeCaller
	node ident.Node
	all  *steppedRuns
}

// Send implements work.Caller.
func (c *steppedCaller) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	run := &steppedRun{node: c.node, resumed: attempt.ResumeAfter, allowed: make(chan struct{}, steppedEvents)}
	c.all.mutex.Lock()
	number := len(c.all.runs)
	c.all.runs = append(c.all.runs, run)
	c.all.mutex.Unlock()
	body, events := io.Pipe()
	go func() {
		for event := attempt.ResumeAfter + 1; event <= steppedEvents; event++ {
			select {
			case <-run.allowed:
				_, _ = fmt.Fprintf(events, "id: %d\ndata: %d\n\n", event, number)
			case <-ctx.Done():
				_ = events.CloseWithError(ctx.Err())
				return
			}
		}
		_ = events.Close()
	}()
	return &work.Reply{Head: work.Head{Status: http.StatusOK}, Sealed: true, Framed: true, Body: body}, nil
}

// mirrorRounds is long enough for several transfers of output to the mirror peer.
const mirrorRounds = 15 * mirrorEvery

// runnerOwnedBy returns a runner that the given one of all workers owns.
func runnerOwnedBy(t *testing.T, owner ident.Node, workers ...ident.Node) work.Runner {
	t.Helper()
	known := map[ident.Node]jobrecord.Worker{}
	for _, node := range workers {
		known[node] = jobrecord.Worker{Node: node, Zone: "z"}
	}
	owners := jobrecord.NewOwners(known)
	for i := range 1000 {
		runner := oneRunner(fmt.Sprint("i-", i))
		if chosen, _ := owners.Owner(runner); chosen.Node == owner {
			return runner
		}
	}
	t.Fatalf("no runner for %s", owner)
	return work.Runner{}
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// TestOutputsOfTwoRunsAreNotJoined has two workers run one item at the same time: the lease of the first expired at the
// store, which does not answer it. A third one mirrors the output of both, and finally takes the job over.
func TestOutputsOfTwoRunsAreNotJoined(t *testing.T) {
	g, all, mirrors := newGroup(t), &steppedRuns{}, &localMirrors{workers: map[string]*jobworker.Worker{}}
	nodes := []ident.Node{"n0", "n1", "n2"}
	runners := []work.Runner{runnerOwnedBy(t, "n0", nodes...), runnerOwnedBy(t, "n1", nodes...)}
	// The third worker owns no runner and therefore takes no job.
	third := g.start("n2", kvtest.NewPaged(g.data), &steppedCaller{node: "n2", all: all}, mirrors)
	storeOfFirst := kvtest.NewPaged(g.data)
	g.start("n0", storeOfFirst, &steppedCaller{node: "n0", all: all}, mirrors, runners...)
	job := ident.Job("j")
	g.submit(string(job), 1)
	waitUntil(t, "the first run", func() bool { return all.count("n0") == 1 })
	g.start("n1", kvtest.NewPaged(g.data), &steppedCaller{node: "n1", all: all}, mirrors, runners...)
	mirroredEvents := func() int64 {
		mirrored := third.Mirrored(job)
		if len(mirrored) == 0 {
			return 0
		}
		return mirrored[0].LastEvent
	}
	all.step(t, "n0", 2)
	waitUntil(t, "the output of the first", func() bool { return mirroredEvents() == 2 })
	time.Sleep(1500 * time.Millisecond) // No output is fetched for a younger job.

	storeOfFirst.SetFaults(kvtest.PagedFaults{Down: true})
	waitUntil(t, "the run of the second", func() bool { return all.count("n1") == 1 })
	all.step(t, "n0", 1)
	waitUntil(t, "the third event of the first", func() bool { return mirroredEvents() == 3 })
	all.step(t, "n1", 1)
	time.Sleep(mirrorRounds)
	all.step(t, "n0", 1)
	time.Sleep(mirrorRounds)

	g.end("n0")
	g.end("n1")
	g.tables["n2"].Replace([]work.Runner{runnerOwnedBy(t, "n2", "n2")}, time.Now(), true)
	waitUntil(t, "the run of the third", func() bool { return all.count("n2") == 1 })
	all.step(t, "n2", steppedEvents)
	var results []work.Result
	waitUntil(t, "the result", func() bool {
		var err error
		results, err = g.records.AllResults(context.Background(), job)
		return err == nil && len(results) == 1
	})
	assert.Equal(t, len(strings.Split(results[0].Text, "\n")), steppedEvents)
	all.checkResumes(t, results[0].Text)
}
