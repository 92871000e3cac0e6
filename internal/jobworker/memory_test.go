package jobworker_test

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/demand"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/jobworker"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/simulated"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// smallWorker is the memory of the smallest known worker, in bytes. A fifth of it may be used for jobs: bodies are in
	// memory up to three times for short periods, and the process itself takes a quarter.
	smallWorker = 136 << 20
	// largeItem is the size of the body of a large item in bytes, largeItems the number of them in a decoded job of 8 MiB.
	largeItem  = 620_000
	largeItems = 10
)

// logBuffer collects the lines of a worker's log.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) has(text string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return bytes.Contains(l.text.Bytes(), []byte(text))
}

// memoryRig is a worker with little memory, whose items block until the test releases them.
type memoryRig struct {
	*group
	worker *jobworker.Worker
	caller *fakeCaller
	log    *logBuffer
	jobs   []*jobrecord.Submission
}

func newMemoryRig(t *testing.T) *memoryRig {
	m := &memoryRig{group: newGroup(t), caller: &fakeCaller{held: true}, log: &logBuffer{}}
	m.budget, m.logger = memorybudget.New[ident.Tenant, string](memorybudget.LimitsOf(smallWorker)), zerolog.New(m.log)
	m.worker = m.start("w", kvtest.NewPaged(m.data), m.caller, nil, oneRunner("i-1"))
	time.Sleep(time.Second)
	return m
}

// submitOf accepts a job of a tenant with items of a size.
func (m *memoryRig) submitOf(tenant ident.Tenant, id string, items, size int) {
	submission := &jobrecord.Submission{ID: ident.Job(id), Route: "r", Host: "h", Zone: "z", Tenant: tenant}
	for index := range items {
		submission.Items = append(submission.Items, work.Item{ID: ident.Request(fmt.Sprint(id, "-", index)), Path: "/p/x", Tokens: 10, Body: make([]byte, size)})
	}
	assert.NilError(m.t, m.records.Accept(context.Background(), submission))
	m.jobs = append(m.jobs, submission)
}

// bodies returns the total size of the bodies that the worker has in memory, and the number of their jobs.
func (m *memoryRig) bodies() (sum, jobs int) {
	for _, job := range m.jobs {
		before := sum
		for _, item := range job.Items {
			if body, _, found := m.worker.ItemBody(job.ID, item.ID); found {
				sum += len(body)
			}
		}
		if sum > before {
			jobs++
		}
	}
	return sum, jobs
}

func (m *memoryRig) logged(text string) bool { return m.log.has(text) }

// TestWorkerHoldsNoMoreJobsThanItsMemoryHas submits twelve jobs of 8 MiB, ten items of 620,000 bytes each, to one worker
// of the smallest memory: 74 MB of bodies, beside a process of 36 MB and temporary copies. The worker may use a fifth of
// the memory, and must still finish every job without giving one up.
func TestWorkerHoldsNoMoreJobsThanItsMemoryHas(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		m := newMemoryRig(t)
		for job := range 12 {
			m.submitOf("", fmt.Sprint("j", job), largeItems, largeItem)
		}
		time.Sleep(8 * time.Second)
		sum, jobs := m.bodies()
		t.Logf("%d bytes of %d jobs", sum, jobs)
		assert.Assert(t, sum <= smallWorker/5, "%d bytes of bodies are in memory", sum)
		assert.Assert(t, jobs >= 2, "%d jobs are run", jobs)
		assert.Assert(t, m.logged("worker_memory_full"))

		m.caller.hold(false)
		for _, job := range m.jobs {
			m.waitWhole(string(job.ID), largeItems)
		}
		time.Sleep(2 * time.Second)
		assert.Assert(t, m.logged("worker_memory_free"))
		tally := m.budget.TakeTally()
		assert.Assert(t, tally.Peak <= smallWorker/5, "%d bytes were in use", tally.Peak)
		assert.Assert(t, tally.Held < largeItem, "%d bytes are in use after the last job", tally.Held)
	})
}

// TestLargeJobsOfOneTenantLeaveRoomForAnother submits many large jobs of one tenant before small ones of another.
func TestLargeJobsOfOneTenantLeaveRoomForAnother(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		m := newMemoryRig(t)
		for job := range 8 {
			m.submitOf("large", fmt.Sprint("l", job), largeItems, largeItem)
		}
		time.Sleep(5 * time.Second)
		m.submitOf("small", "s", 2, 1000)
		time.Sleep(5 * time.Second)
		_, _, found := m.worker.ItemBody("s", "s-0")
		assert.Assert(t, found, "the job of the small tenant does not run")
	})
}

// TestLargeJobIsNotOvertakenForLong submits four jobs a second of one item of 620,000 bytes, as fast as they end, to a
// worker whose memory is full of them, and a job of ten such items. The memory of each job that ends would be taken by the
// next small one. The large job must be in memory within the 20 seconds in which jobs of its route are due.
func TestLargeJobIsNotOvertakenForLong(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		m := newMemoryRig(t)
		m.caller.hold(false)
		m.caller.takes = 2 * time.Second
		small := 0
		submitSmall := func() {
			m.submitOf(ident.Tenant(fmt.Sprint("t", small%4)), fmt.Sprint("s", small), 1, largeItem)
			small++
		}
		for range 60 {
			submitSmall()
		}
		time.Sleep(4 * time.Second)
		m.submitOf("large", "large", largeItems, largeItem)
		seen := false
		for range 80 {
			time.Sleep(250 * time.Millisecond)
			submitSmall()
			_, _, found := m.worker.ItemBody("large", ident.Request(fmt.Sprint("large-", largeItems-1)))
			seen = seen || found
		}
		assert.Assert(t, seen, "the large job did not get into memory")
		assert.Assert(t, m.budget.TakeTally().Peak <= smallWorker/5)
	})
}

// TestFullWorkerIsAssignedNoJob has fronts ask a worker without free memory: it reports no lease, and a job that is
// assigned all the same is refused, so that its claim is released for others.
func TestFullWorkerIsAssignedNoJob(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		m := newMemoryRig(t)
		lease := func() int64 {
			return m.worker.Demand(&demand.Report{Node: "front", Incarnation: 1, Sequence: 1}).Batch.Lease
		}
		m.submitOf("", "first", 1, 1000)
		time.Sleep(5 * time.Second)
		first := lease()
		assert.Assert(t, first != 0)
		for job := range 6 {
			m.submitOf("", fmt.Sprint("j", job), largeItems, largeItem)
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, lease(), int64(0))
		assigned := jobrecord.Open{ID: "brought", Route: "r", Zone: "z", Bytes: largeItems * largeItem, Revision: 1 << 40}
		err := m.worker.Assign(jobrecord.Assigned{Open: assigned, Claim: jobrecord.Claim{Job: "brought"}}, kv.LeaseID(first))
		assert.ErrorIs(t, err, jobworker.ErrNotAssignable)
	})
}

// TestWorkerKeepsNoJobBeyondItsMemory has fronts send jobs of 8 MiB for the disk of a worker whose memory is full.
func TestWorkerKeepsNoJobBeyondItsMemory(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		m := newMemoryRig(t)
		for job := range 6 {
			m.submitOf("", fmt.Sprint("j", job), largeItems, largeItem)
		}
		time.Sleep(5 * time.Second)
		log, err := handoff.Open(filepath.Join(t.TempDir(), "handoff"), 1<<30)
		assert.NilError(t, err)
		m.worker.Handoff = log
		refused := failure.As(m.worker.StoreHandoff(handoff.NewEntry(m.jobs[5], time.Now(), 0), 0, 1))
		assert.Equal(t, refused.Code, failure.CodeOverloaded)
		assert.Equal(t, refused.Outcome, outcome.NotRun)
		assert.Assert(t, refused.RetryAfter > 0)
		assert.Assert(t, !log.Has(m.jobs[5].ID))
	})
}

// TestEvictedResultsAreReadFromTheStore has jobs end at a worker whose results are read late. While there is memory, they
// are answered from it; once jobs need it, the worker is not sure, and the store has every result.
func TestEvictedResultsAreReadFromTheStore(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		m := newMemoryRig(t)
		m.caller.hold(false)
		m.submitOf("", "early", 3, 1000)
		m.waitWhole("early", 3)
		time.Sleep(time.Second)
		held, sure := m.worker.RecordedResults(context.Background(), "early", 0, 0)
		assert.Assert(t, sure)
		assert.Equal(t, len(held.Results), 3)

		m.caller.hold(true)
		for job := range 6 {
			m.submitOf("", fmt.Sprint("j", job), largeItems, largeItem)
		}
		time.Sleep(5 * time.Second)
		_, sure = m.worker.RecordedResults(context.Background(), "early", 0, 0)
		assert.Assert(t, !sure, "results of a finished job take memory that a job needs")
		m.waitWhole("early", 3)
	})
}

// TestJobLargerThanTheRoomIsTakenAlone lowers the memory budget below what one job needs, as reloaded settings do: the job
// was accepted, and is run alone.
func TestJobLargerThanTheRoomIsTakenAlone(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		m := newMemoryRig(t)
		m.budget.SetLimits(memorybudget.LimitsOf(16 << 20))
		m.caller.hold(false)
		m.submitOf("a", "one", largeItems, largeItem)
		m.submitOf("a", "two", largeItems, largeItem)
		m.waitWhole("one", largeItems)
		m.waitWhole("two", largeItems)
	})
}

// TestClaimsWithoutRoomAreGivenBackAtAStart restarts a worker that holds the claims of more jobs than now fit in its
// memory. Nobody else may run them while it has the claims: those that do not fit go to the other worker.
func TestClaimsWithoutRoomAreGivenBackAtAStart(t *testing.T) {
	simulated.Test(t, func(t *testing.T) {
		m := newMemoryRig(t)
		m.budget.SetLimits(memorybudget.LimitsOf(1 << 30))
		for job := range 7 {
			m.submitOf("", fmt.Sprint("j", job), largeItems, largeItem)
		}
		time.Sleep(5 * time.Second)
		_, jobs := m.bodies()
		assert.Equal(t, jobs, 7)
		m.end("w")
		m.budget = memorybudget.New[ident.Tenant, string](memorybudget.LimitsOf(smallWorker))
		m.worker = m.start("w", kvtest.NewPaged(m.data), m.caller, nil, oneRunner("i-1"))
		m.budget = nil
		m.add("other", oneRunner("i-1"), runnerOwnedBy(t, "other", "w", "other"))
		m.callers["other"].hold(true)
		time.Sleep(10 * time.Second)
		sum, jobs := m.bodies()
		assert.Assert(t, jobs >= 2 && sum <= smallWorker/5, "%d bytes of %d jobs", sum, jobs)
		assert.Assert(t, m.logged("not enough memory for the job"))
		m.caller.hold(false)
		m.callers["other"].hold(false)
		for _, job := range m.jobs {
			m.waitWhole(string(job.ID), largeItems)
		}
	})
}

// TestItemsBeginOneAtATimeBeyondTheBudget lowers the memory budget below what the only job of a worker uses: its items run
// one at a time although there are eight slots, because each adds its output and only finished items release memory. With
// enough memory they run in parallel.
func TestItemsBeginOneAtATimeBeyondTheBudget(t *testing.T) {
	maxRunning := func(memory int64) int {
		ran := 0
		simulated.Test(t, func(t *testing.T) {
			m := newMemoryRig(t)
			m.budget.SetLimits(memorybudget.LimitsOf(memory))
			m.caller.hold(false)
			m.caller.takes = 500 * time.Millisecond
			m.submitOf("", "job", largeItems, largeItem)
			time.Sleep(6 * time.Second)
			m.caller.mutex.Lock()
			ran = m.caller.maxRunning
			m.caller.mutex.Unlock()
			m.waitWhole("job", largeItems)
		})
		return ran
	}
	// The last item of the job is 620,000 bytes, more than a fifth of this.
	assert.Equal(t, maxRunning(2<<20), 1)
	assert.Assert(t, maxRunning(smallWorker) > 1)
}
