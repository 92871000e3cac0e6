package demand

import (
	"context"
	"sync"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
)

// fleetWork is a node's online work at workers of its own and of another zone; it counts the answers it receives.
type fleetWork struct {
	mutex  sync.Mutex
	online map[string]OwnerDemand
	taken  map[string]int
}

func (w *fleetWork) Online([]string) map[string]OwnerDemand {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	online := map[string]OwnerDemand{}
	for address, owned := range w.online {
		online[address] = owned
	}
	return online
}

func (w *fleetWork) Take(address string, _ *Answer, _ time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.taken[address]++
}

func (w *fleetWork) set(address string, counts ...Count) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	owned := w.online[address]
	owned.Counts = counts
	w.online[address] = owned
}

// fleetWorkers simulates workers and records their reports. Dead workers do not answer.
type fleetWorkers struct {
	mutex   sync.Mutex
	dead    map[string]bool
	reports map[string][]*Report
}

func (w *fleetWorkers) send(ctx context.Context, address string, report *Report) (*Answer, error) {
	w.mutex.Lock()
	w.reports[address] = append(w.reports[address], report)
	dead := w.dead[address]
	w.mutex.Unlock()
	if dead {
		<-ctx.Done()
		return nil, failure.Kind("dead")
	}
	return &Answer{}, nil
}

func (w *fleetWorkers) calls(address string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.reports[address])
}

// paces returns, in order, the counts with a pace that were reported to a worker.
func (w *fleetWorkers) paces(address string) []Count {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var reported []Count
	for _, report := range w.reports[address] {
		for _, count := range report.Counts {
			if count.Pace.Known() {
				reported = append(reported, count)
			}
		}
	}
	return reported
}

// startReporter starts a reporter for two workers of its own zone and one of another.
func startReporter(t *testing.T) (*Reporter, *fleetWork, *fleetWorkers) {
	t.Helper()
	work := &fleetWork{online: map[string]OwnerDemand{"near-1": {}, "near-2": {}, "far": {Far: true}}, taken: map[string]int{}}
	workers := &fleetWorkers{dead: map[string]bool{}, reports: map[string][]*Report{}}
	reporter := NewReporter("front", work, time.Now)
	reporter.Send = workers.send
	supervisor := new(tomb.Tomb)
	reporter.Start(supervisor)
	t.Cleanup(func() {
		supervisor.Kill(nil)
		_ = supervisor.Wait()
	})
	eventually(t, func() bool {
		return workers.calls("near-1") > 0 && workers.calls("near-2") > 0 && workers.calls("far") > 0
	})
	return reporter, work, workers
}

func eventually(t *testing.T, true func() bool) {
	t.Helper()
	for range 2000 {
		if true() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not met within 10 s")
}

// TestStaleWorkersArePolledOnRequest requests answers below some age: from the workers of the zone or from those
// named. Workers with a fresh answer are not called.
func TestStaleWorkersArePolledOnRequest(t *testing.T) {
	reporter, work, workers := startReporter(t)
	near, far := workers.calls("near-1"), workers.calls("far")
	assert.Assert(t, !reporter.Poll(t.Context(), []string{"near-1", "far"}, time.Hour))
	reporter.PollOwnZone(t.Context(), time.Hour)
	assert.Equal(t, workers.calls("near-1"), near, "a worker with a fresh answer was called")
	work.mutex.Lock()
	before := work.taken["near-1"]
	work.mutex.Unlock()
	reporter.PollOwnZone(t.Context(), time.Nanosecond)
	assert.Assert(t, workers.calls("near-1") > near)
	assert.Equal(t, workers.calls("far"), far, "a worker of another zone was called")
	work.mutex.Lock()
	assert.Assert(t, work.taken["near-1"] > before, "AskNear returned before the answer was applied")
	work.mutex.Unlock()
	assert.Assert(t, reporter.Poll(t.Context(), []string{"far"}, time.Nanosecond))
	assert.Assert(t, workers.calls("far") > far)
	assert.Assert(t, !reporter.Poll(t.Context(), []string{"unknown"}, time.Nanosecond))
	assert.Assert(t, !reporter.Poll(t.Context(), nil, time.Nanosecond))
}

// TestUnresponsiveWorkerDelaysNoRequestForLong polls a worker that does not answer. The poll ends with its
// context; requests do not wait for a call that is older than joinWindow, nor during the backoff after a failure.
func TestUnresponsiveWorkerDelaysNoRequestForLong(t *testing.T) {
	now := time.Unix(100, 0)
	waiting := &workerState{callDone: make(chan struct{}), calledAt: now}
	assert.Assert(t, waiting.stale(time.Millisecond, now.Add(joinWindow-time.Millisecond)))
	assert.Assert(t, !waiting.stale(time.Millisecond, now.Add(joinWindow)))
	failed := &workerState{notBefore: now.Add(time.Second)}
	assert.Assert(t, !failed.stale(time.Millisecond, now))

	reporter, _, workers := startReporter(t)
	workers.mutex.Lock()
	workers.dead["near-2"] = true
	workers.mutex.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	polled := make(chan struct{})
	go func() {
		reporter.Poll(ctx, []string{"near-2"}, time.Nanosecond)
		close(polled)
	}()
	cancel()
	select {
	case <-polled:
	case <-time.After(10 * time.Second):
		t.Fatal("the poll did not end with its context")
	}
}

// TestPollAfterTheReporterEndedReturns polls through a reporter whose loop does not run.
func TestPollAfterTheReporterEndedReturns(t *testing.T) {
	reporter := NewReporter("front", &fleetWork{}, time.Now)
	reporter.workers["near"] = &workerState{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	reporter.PollOwnZone(ctx, time.Nanosecond)
}

// TestEachPaceIsReportedOnce receives paces of a runner at which this node has no requests. Each is reported once,
// with its age, and the age alone makes no report due. A newer pace is reported again.
func TestEachPaceIsReportedOnce(t *testing.T) {
	receivedAt := time.Unix(100, 0)
	now := receivedAt.Add(30 * time.Millisecond)
	count := Count{Runner: "r", Pace: 2.5, PaceReceivedAt: receivedAt}
	state := &workerState{calledAt: now}
	assert.Assert(t, state.reportDue([]Count{count}, time.Hour, now))
	report := state.nextReport([]Count{count}, now)
	assert.Equal(t, len(report.Counts), 1)
	assert.Equal(t, report.Counts[0].Pace, count.Pace)
	assert.Equal(t, report.Counts[0].PaceAgeMs, int64(30))
	state.acknowledge(report, now)
	later := now.Add(time.Second)
	assert.Assert(t, !state.reportDue([]Count{count}, time.Hour, later), "the age of a pace made a report due")
	assert.Equal(t, len(state.nextReport([]Count{count}, later).Counts), 0)
	count.PaceReceivedAt = later
	assert.Assert(t, state.reportDue([]Count{count}, time.Hour, later), "a newer pace makes no report due")

	online := Count{Runner: "r", Online: 2, Pace: 2.5, PaceReceivedAt: receivedAt}
	other := &workerState{}
	other.acknowledge(other.nextReport([]Count{online}, now), now)
	assert.Assert(t, !other.reportDue([]Count{online}, time.Hour, now.Add(RefreshInterval-time.Millisecond)))
	repeated := other.nextReport([]Count{online}, now)
	assert.DeepEqual(t, repeated.Counts, []Count{{Runner: "r", Online: 2}})
}

// TestPaceIsReportedAfterTheRequestEnded has a node report a runner's pace without online requests there. After a
// failed call the pace is reported again.
func TestPaceIsReportedAfterTheRequestEnded(t *testing.T) {
	reporter, work, workers := startReporter(t)
	work.set("far", Count{Runner: "r", Pace: 3, PaceReceivedAt: time.Now()})
	reporter.Changed(false)
	eventually(t, func() bool { return len(workers.paces("far")) == 1 })
	workers.mutex.Lock()
	workers.dead["near-1"] = true
	workers.mutex.Unlock()
	work.set("near-1", Count{Runner: "n", Pace: 3, PaceReceivedAt: time.Now()})
	reporter.Changed(false)
	eventually(t, func() bool { return len(workers.paces("near-1")) == 1 })
	workers.mutex.Lock()
	workers.dead["near-1"] = false
	workers.mutex.Unlock()
	eventually(t, func() bool { return len(workers.paces("near-1")) == 2 })
	assert.Equal(t, len(workers.paces("far")), 1)
	assert.Equal(t, workers.paces("far")[0].Runner, ident.Incarnation("r"))
}
