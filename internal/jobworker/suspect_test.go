package jobworker

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/connpool"
	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/work"
)

// reportCaller answers the questions for a report while it is not dark, and counts them.
type reportCaller struct {
	work.Caller
	mutex sync.Mutex
	dark  bool
	asked int
}

func (c *reportCaller) Report(context.Context, work.Runner) (work.Load, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asked++
	if c.dark {
		return work.Load{}, connpool.ErrNoAnswer
	}
	return work.Load{Slots: 4}, nil
}

func (c *reportCaller) setDark(dark bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dark = dark
}

func (c *reportCaller) questions() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.asked
}

// suspectWorker is a worker whose runner is full of items, and what became of their runs.
func suspectWorker(t *testing.T) (*Worker, *reportCaller, []bool) {
	t.Helper()
	w, ended := demandWorker(t)
	w.ctx = w.tomb.Context(context.Background())
	caller := &reportCaller{}
	w.Caller = caller
	return w, caller, ended
}

func suspecting(sequence int64) *demand.Report {
	report := tell("front", sequence, 0)
	report.Counts[0].Suspect = true
	return report
}

// waitSilent waits until a worker counts its runner as silent, or as one that answers.
func waitSilent(t *testing.T, w *Worker, silent bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		w.mutex.Lock()
		is := w.silent("r")
		w.mutex.Unlock()
		if is == silent {
			return
		}
	}
	t.Fatalf("the runner never counted as silent: %v", silent)
}

// TestRunnerThatAnswersNobodyIsSilentForAll has one node suspect a runner that does not answer its owner either: all nodes
// are told, its items go elsewhere, and it is given work again when it answers.
func TestRunnerThatAnswersNobodyIsSilentForAll(t *testing.T) {
	w, caller, ended := suspectWorker(t)
	caller.setDark(true)
	w.Demand(suspecting(1))
	waitSilent(t, w, true)
	answer := w.Demand(tell("other", 1, 0))
	assert.Equal(t, len(answer.Shares), 1)
	assert.Assert(t, answer.Shares[0].Silent)
	w.mutex.Lock()
	assert.DeepEqual(t, ended, []bool{true, true, true, true})
	assert.Equal(t, w.spare(w.owned("s"), time.Now()), 0)
	w.mutex.Unlock()
	caller.setDark(false)
	waitSilent(t, w, false)
	assert.Assert(t, !w.Demand(tell("other", 2, 0)).Shares[0].Silent)
}

// TestOneNodesWordAloneSilencesNoRunner has nodes suspect a runner that answers its owner: it may be their own paths, and
// they do not cause a question each.
func TestOneNodesWordAloneSilencesNoRunner(t *testing.T) {
	w, caller, ended := suspectWorker(t)
	for sequence := range 20 {
		answer := w.Demand(suspecting(int64(sequence + 1)))
		assert.Assert(t, !answer.Shares[0].Silent)
		time.Sleep(2 * time.Millisecond)
	}
	assert.Equal(t, caller.questions(), 1)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	assert.DeepEqual(t, ended, []bool{false, false, false, false})
}
