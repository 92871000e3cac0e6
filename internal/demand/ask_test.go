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

// fleetWork is a node's work at workers of its zone and of another one, and what it took over.
type fleetWork struct {
	mutex  sync.Mutex
	online map[string]Owned
	taken  map[string]int
}

func (w *fleetWork) Online() map[string]Owned {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	online := map[string]Owned{}
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

// fleetWorkers answer, but for those that are dead, and keep the reports.
type fleetWorkers struct {
	mutex   sync.Mutex
	dead    map[string]bool
	reports map[string][]*Report
}

func (w *fleetWorkers) tell(ctx context.Context, address string, report *Report) (*Answer, error) {
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

// paces returns the counts with a pace that a worker was told, in order.
func (w *fleetWorkers) paces(address string) []Count {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var told []Count
	for _, report := range w.reports[address] {
		for _, count := range report.Counts {
			if count.Pace.Known() {
				told = append(told, count)
			}
		}
	}
	return told
}

// startAsked starts a teller for two workers of its zone and one of another.
func startAsked(t *testing.T) (*Teller, *fleetWork, *fleetWorkers) {
	t.Helper()
	work := &fleetWork{online: map[string]Owned{"near-1": {}, "near-2": {}, "far": {Far: true}}, taken: map[string]int{}}
	workers := &fleetWorkers{dead: map[string]bool{}, reports: map[string][]*Report{}}
	teller := NewTeller("front", work, time.Now)
	teller.Tell = workers.tell
	supervisor := new(tomb.Tomb)
	teller.Start(supervisor)
	t.Cleanup(func() {
		supervisor.Kill(nil)
		_ = supervisor.Wait()
	})
	eventually(t, func() bool {
		return workers.calls("near-1") > 0 && workers.calls("near-2") > 0 && workers.calls("far") > 0
	})
	return teller, work, workers
}

func eventually(t *testing.T, true func() bool) {
	t.Helper()
	for range 2000 {
		if true() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("it never came true")
}

// TestWorkersAreAskedBeforeAChoiceWhereTheirWordIsOld asks for words younger than some: those of the zone, or those named; nobody where all
// are fresh.
func TestWorkersAreAskedBeforeAChoiceWhereTheirWordIsOld(t *testing.T) {
	teller, work, workers := startAsked(t)
	near, far := workers.calls("near-1"), workers.calls("far")
	assert.Assert(t, !teller.Ask(t.Context(), []string{"near-1", "far"}, time.Hour))
	teller.AskNear(t.Context(), time.Hour)
	assert.Equal(t, workers.calls("near-1"), near, "its word is fresh")
	work.mutex.Lock()
	before := work.taken["near-1"]
	work.mutex.Unlock()
	teller.AskNear(t.Context(), time.Nanosecond)
	assert.Assert(t, workers.calls("near-1") > near)
	assert.Equal(t, workers.calls("far"), far, "one of another zone was asked")
	work.mutex.Lock()
	assert.Assert(t, work.taken["near-1"] > before, "the answer was not waited for")
	work.mutex.Unlock()
	assert.Assert(t, teller.Ask(t.Context(), []string{"far"}, time.Nanosecond))
	assert.Assert(t, workers.calls("far") > far)
	assert.Assert(t, !teller.Ask(t.Context(), []string{"unknown"}, time.Nanosecond))
	assert.Assert(t, !teller.Ask(t.Context(), nil, time.Nanosecond))
}

// TestDeadWorkerHoldsUpNoRequestForLong asks one that does not answer: a question ends with its context, and once the call has been
// on its way for longer than that, further ones do not wait at all. Nor do they after it failed.
func TestDeadWorkerHoldsUpNoRequestForLong(t *testing.T) {
	now := time.Unix(100, 0)
	waiting := &correspondent{called: make(chan struct{}), lastAt: now}
	assert.Assert(t, waiting.stale(time.Millisecond, now.Add(awaitedFor-time.Millisecond)))
	assert.Assert(t, !waiting.stale(time.Millisecond, now.Add(awaitedFor)))
	failed := &correspondent{notBefore: now.Add(time.Second)}
	assert.Assert(t, !failed.stale(time.Millisecond, now))

	teller, _, workers := startAsked(t)
	workers.mutex.Lock()
	workers.dead["near-2"] = true
	workers.mutex.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	asked := make(chan struct{})
	go func() {
		teller.Ask(ctx, []string{"near-2"}, time.Nanosecond)
		close(asked)
	}()
	cancel()
	select {
	case <-asked:
	case <-time.After(10 * time.Second):
		t.Fatal("the question did not end with its context")
	}
}

// TestNobodyIsAskedOnceTheTellerHasEnded asks one whose loop is over.
func TestNobodyIsAskedOnceTheTellerHasEnded(t *testing.T) {
	teller := NewTeller("front", &fleetWork{}, time.Now)
	teller.workers["near"] = &correspondent{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	teller.AskNear(ctx, time.Nanosecond)
}

// TestEachWordOfAPaceIsToldOnce hears words of a runner at which this node has nothing: each is told with its age, and none again. The age
// makes no report due; a worker that did not answer is told again.
func TestEachWordOfAPaceIsToldOnce(t *testing.T) {
	heard := time.Unix(100, 0)
	now := heard.Add(30 * time.Millisecond)
	word := Count{Runner: "r", Pace: 2.5, Heard: heard}
	known := &correspondent{lastAt: now}
	assert.Assert(t, known.lacks([]Count{word}, time.Hour, now))
	report := known.next([]Count{word}, now)
	assert.Equal(t, len(report.Counts), 1)
	assert.Equal(t, report.Counts[0].Pace, word.Pace)
	assert.Equal(t, report.Counts[0].PaceAgeMs, int64(30))
	known.answered(report, now)
	later := now.Add(time.Second)
	assert.Assert(t, !known.lacks([]Count{word}, time.Hour, later), "its age made a report due")
	assert.Equal(t, len(known.next([]Count{word}, later).Counts), 0)
	word.Heard = later
	assert.Assert(t, known.lacks([]Count{word}, time.Hour, later), "a newer word is told")

	online := Count{Runner: "r", Online: 2, Pace: 2.5, Heard: heard}
	other := &correspondent{}
	other.answered(other.next([]Count{online}, now), now)
	assert.Assert(t, !other.lacks([]Count{online}, time.Hour, now.Add(RefreshEvery-time.Millisecond)))
	repeated := other.next([]Count{online}, now)
	assert.DeepEqual(t, repeated.Counts, []Count{{Runner: "r", Online: 2}})
}

// TestPaceIsToldWhereTheRequestHasEnded has a node tell a worker of a runner's pace, fail, and tell it again once the worker answers.
func TestPaceIsToldWhereTheRequestHasEnded(t *testing.T) {
	teller, work, workers := startAsked(t)
	work.set("far", Count{Runner: "r", Pace: 3, Heard: time.Now()})
	teller.Changed(false)
	eventually(t, func() bool { return len(workers.paces("far")) == 1 })
	workers.mutex.Lock()
	workers.dead["near-1"] = true
	workers.mutex.Unlock()
	work.set("near-1", Count{Runner: "n", Pace: 3, Heard: time.Now()})
	teller.Changed(false)
	eventually(t, func() bool { return len(workers.paces("near-1")) == 1 })
	workers.mutex.Lock()
	workers.dead["near-1"] = false
	workers.mutex.Unlock()
	eventually(t, func() bool { return len(workers.paces("near-1")) == 2 })
	assert.Equal(t, len(workers.paces("far")), 1)
	assert.Equal(t, workers.paces("far")[0].Runner, ident.Incarnation("r"))
}
