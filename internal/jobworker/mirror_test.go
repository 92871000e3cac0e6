package jobworker_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/changefeed"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/work"
)

// stuckCaller answers each item up to an event and then blocks until it is released. It records the event after which it
// was asked to resume.
type stuckCaller struct {
	fakeCaller
	until int

	mutex   sync.Mutex
	resumed map[ident.Request]int64
}

func (c *stuckCaller) Send(ctx context.Context, attempt work.Attempt) (*work.Reply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.resumed == nil {
		c.resumed = map[ident.Request]int64{}
	}
	c.resumed[attempt.Request.ID] = max(c.resumed[attempt.Request.ID], attempt.ResumeAfter)
	var text strings.Builder
	for position := int(attempt.ResumeAfter) + 1; position <= c.until; position++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s/%d\n\n", position, attempt.Request.ID, position)
	}
	body := io.Reader(strings.NewReader(text.String()))
	if c.until < eventsEach {
		body = io.MultiReader(body, &endless{ctx: ctx})
	}
	return &work.Reply{Head: work.Head{Status: http.StatusOK}, Sealed: true, Framed: true, Body: io.NopCloser(body)}, nil
}

// endless produces no data until its context ends.
type endless struct{ ctx context.Context }

func (e *endless) Read([]byte) (int, error) {
	<-e.ctx.Done()
	return 0, e.ctx.Err()
}

// localMirrors calls the workers of one process.
type localMirrors struct {
	mutex   sync.Mutex
	workers map[string]*jobworker.Worker
}

func (m *localMirrors) at(address string) (*jobworker.Worker, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if worker := m.workers[address]; worker != nil {
		return worker, nil
	}
	return nil, failure.Kind("no such worker")
}

func (m *localMirrors) Live(ctx context.Context, address string, after int64, wait time.Duration) (changefeed.Update, error) {
	worker, err := m.at(address)
	if err != nil {
		return changefeed.Update{}, err
	}
	return worker.LiveAfter(ctx, after, wait)
}

func (m *localMirrors) Send(_ context.Context, address string, updates []progress.Update) ([]ident.Request, error) {
	worker, err := m.at(address)
	if err != nil {
		return nil, err
	}
	return worker.Mirror(updates), nil
}

func (m *localMirrors) Fetch(_ context.Context, address string, job ident.Job) ([]progress.Output, error) {
	worker, err := m.at(address)
	if err != nil {
		return nil, err
	}
	return worker.Mirrored(job), nil
}

func (m *localMirrors) add(worker *jobworker.Worker) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.workers[worker.Address] = worker
}

// mirrorEvery is the time between two transfers of output to the mirror peer.
const mirrorEvery = 20 * time.Millisecond

// TestOutputOutlivesItsWorker stops a worker in the middle of its items: the one that takes the job over resumes after
// their last event, and the output is complete.
func TestOutputOutlivesItsWorker(t *testing.T) {
	g := newGroup(t)
	mirrors := &localMirrors{workers: map[string]*jobworker.Worker{}}
	runner := oneRunner("i-1")
	stuck := &stuckCaller{until: 2}
	g.start("n0", kvtest.NewPaged(g.data), stuck, mirrors, runner)
	g.submit("j", 3)
	g.waitClaimed("j", "n0")
	second := &stuckCaller{until: eventsEach}
	g.start("n1", kvtest.NewPaged(g.data), second, mirrors, runner)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if reached(mirrors.workers["n1"].Mirrored("j"), 2) == 3 {
			break
		}
	}
	assert.Equal(t, reached(mirrors.workers["n1"].Mirrored("j"), 2), 3, "the output did not reach the second worker")
	time.Sleep(1500 * time.Millisecond)
	mirrors.mutex.Lock()
	delete(mirrors.workers, "n0")
	mirrors.mutex.Unlock()
	g.end("n0")
	g.waitWhole("j", 3)
	second.mutex.Lock()
	defer second.mutex.Unlock()
	for index := range 3 {
		assert.Equal(t, second.resumed[ident.Request(fmt.Sprint("j-", index))], int64(2), "item %d restarted from the beginning", index)
	}
}

// reached counts the outputs that reach an event.
func reached(outputs []progress.Output, event int64) int {
	count := 0
	for _, output := range outputs {
		if output.LastEvent >= event {
			count++
		}
	}
	return count
}
