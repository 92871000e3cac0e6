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

// reportCaller answers calls for a report unless it is set to be unresponsive, and counts them.
type reportCaller struct {
	work.Caller
	mutex        sync.Mutex
	unresponsive bool
	calls        int
}

func (c *reportCaller) Report(context.Context, work.Runner) (work.Load, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls++
	if c.unresponsive {
		return work.Load{}, connpool.ErrNoResponse
	}
	return work.Load{Slots: 4}, nil
}

func (c *reportCaller) setUnresponsive(unresponsive bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unresponsive = unresponsive
}

func (c *reportCaller) callCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.calls
}

// suspectWorker returns a worker whose runner is full of items, and which of their runs were cancelled.
func suspectWorker(t *testing.T) (*Worker, *reportCaller, []bool) {
	t.Helper()
	w, ended := demandWorker(t)
	w.ctx = w.tomb.Context(context.Background())
	caller := &reportCaller{}
	w.Caller = caller
	return w, caller, ended
}

func suspectReport(sequence int64) *demand.Report {
	report := demandReport("front", sequence, 0)
	report.Counts[0].Suspect = true
	return report
}

// waitUnresponsive waits until a worker counts its runner as unresponsive, or as responsive.
func waitUnresponsive(t *testing.T, w *Worker, unresponsive bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		w.mutex.Lock()
		is := w.unresponsive("r")
		w.mutex.Unlock()
		if is == unresponsive {
			return
		}
	}
	t.Fatalf("the runner did not become unresponsive: %v", unresponsive)
}

// TestUnresponsiveRunnerIsSilentForAll has one node suspect a runner that does not answer its owner either: it is reported
// to all nodes, its items are moved, and it gets work again when it answers.
func TestUnresponsiveRunnerIsSilentForAll(t *testing.T) {
	w, caller, ended := suspectWorker(t)
	caller.setUnresponsive(true)
	w.Demand(suspectReport(1))
	waitUnresponsive(t, w, true)
	answer := w.Demand(demandReport("other", 1, 0))
	assert.Equal(t, len(answer.Shares), 1)
	assert.Assert(t, answer.Shares[0].Unresponsive)
	w.mutex.Lock()
	assert.DeepEqual(t, ended, []bool{true, true, true, true})
	assert.Equal(t, w.spareSlots(w.owned("s"), time.Now()), 0)
	w.mutex.Unlock()
	caller.setUnresponsive(false)
	waitUnresponsive(t, w, false)
	assert.Assert(t, !w.Demand(demandReport("other", 2, 0)).Shares[0].Unresponsive)
}

// TestOneNodesSuspicionAloneIsIgnored has nodes suspect a runner that answers its owner: their own connections may be at
// fault, and their reports together cause a single probe.
func TestOneNodesSuspicionAloneIsIgnored(t *testing.T) {
	w, caller, ended := suspectWorker(t)
	for sequence := range 20 {
		answer := w.Demand(suspectReport(int64(sequence + 1)))
		assert.Assert(t, !answer.Shares[0].Unresponsive)
		time.Sleep(2 * time.Millisecond)
	}
	assert.Equal(t, caller.callCount(), 1)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	assert.DeepEqual(t, ended, []bool{false, false, false, false})
}
