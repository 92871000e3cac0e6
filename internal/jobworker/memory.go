package jobworker

import (
	"errors"
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/progress"
)

const (
	// overtakingPeriod is how long smaller jobs of other tenants may overtake a job that does not fit in memory. Without a
	// limit, a stream of small jobs would starve it.
	overtakingPeriod = 2 * time.Second
	// fullPeriod is how long a worker counts as full after a job did not fit; waiting jobs are tried several times in that
	// period.
	fullPeriod = time.Second
	// mirrorBudgetFraction of the node's budget may be output stored for other workers.
	mirrorBudgetFraction = 0.25
)

// memory is the state of a worker's memory for jobs. The worker's mutex guards it. The zero value has free space.
type memory struct {
	// refusedAt is when a job last did not fit, fullAt when that was because of all jobs together and not of its tenant's
	// share.
	refusedAt, fullAt time.Time
	// rejected counts the jobs that did not fit since loggedFull, when that was logged; loggedFull is zero if there has
	// been space since.
	rejected   int
	loggedFull time.Time
	// mirrored is the reservation for the output stored for other workers.
	mirrored *memorybudget.Held
}

// recordRefusal records that a job did not fit.
func (m *memory) recordRefusal(err error, now time.Time) {
	m.rejected++
	m.refusedAt = now
	if !errors.Is(err, memorybudget.ErrOwnerLimit) {
		m.fullAt = now
	}
}

// full reports whether no jobs should be assigned to this node.
func (m *memory) full(now time.Time) bool {
	return !m.fullAt.IsZero() && now.Sub(m.fullAt) < fullPeriod
}

// reserve reserves the memory for a job that is about to be read, evicting results that can be read from the store if
// necessary. The error wraps memorybudget.ErrBudgetExceeded. The caller must hold the mutex.
func (w *Worker) reserve(entry jobrecord.Open, now time.Time) (*memorybudget.Held, error) {
	for {
		reservation, err := w.Budget.Reserve(memorybudget.Job, memorybudget.Whose{Tenant: entry.Tenant}, entry.Size())
		if err == nil {
			return reservation, nil
		}
		if errors.Is(err, memorybudget.ErrOwnerLimit) || !w.evictResults() {
			w.memory.recordRefusal(err, now)
			return nil, err
		}
	}
}

// evictResults evicts some results that the store also has: those of one finished job first, then those of the running job
// with the most. It returns false if there are none. The caller must hold the mutex.
func (w *Worker) evictResults() bool {
	if w.finished.evictOldest() {
		return true
	}
	var largest *jobRun
	for _, job := range w.jobs {
		if job.log.RecordedBytes() > 0 && (largest == nil || job.log.RecordedBytes() > largest.log.RecordedBytes()) {
			largest = job
		}
	}
	if largest == nil {
		return false
	}
	largest.log.Evict()
	largest.reservation.Set(largest.bytes())
	return true
}

// accountMemory updates the memory accounting of the jobs, evicts what exceeds the budget, and logs changes. The caller
// must hold the mutex.
func (w *Worker) accountMemory(now time.Time) {
	for _, job := range w.jobs {
		job.reservation.Set(job.bytes())
	}
	w.accountMirrored(now)
	for w.Budget.Exceeds(memorybudget.Kept) && w.finished.evictOldest() {
	}
	for w.Budget.Exceeds(memorybudget.Job) && w.evictResults() {
	}
	w.logMemory(now)
}

// accountMirrored accounts for the output stored for other workers, and bounds it.
func (w *Worker) accountMirrored(now time.Time) {
	_, limit := w.Budget.Load()
	if limit == 0 {
		return
	}
	if w.memory.mirrored == nil {
		w.memory.mirrored = w.Budget.Open(memorybudget.Kept, memorybudget.Whose{})
	}
	w.memory.mirrored.Set(w.mirrorStore().SetMaxBytes(int64(mirrorBudgetFraction*float64(limit)), now))
}

// mirrorStore returns the store of the output of other workers' items.
func (w *Worker) mirrorStore() *progress.Mirror {
	if w.MirrorJournal != nil {
		return &w.MirrorJournal.Mirror
	}
	return &w.mirror
}

// logMemory logs when jobs no longer fit in memory, and when they do again.
func (w *Worker) logMemory(now time.Time) {
	m := &w.memory
	heldBytes, limit := w.Budget.Load()
	isFull := heldBytes > limit || (!m.refusedAt.IsZero() && now.Sub(m.refusedAt) < fullPeriod)
	switch {
	case isFull && m.loggedFull.IsZero():
		m.loggedFull = now
		event.WorkerFull.Log(w.Logger).Int("jobs", len(w.jobs)).Int64("held", heldBytes).Int64("of", limit).Send()
	case !isFull && !m.loggedFull.IsZero():
		event.WorkerHasRoom.Log(w.Logger).Int("jobs", len(w.jobs)).Int64("held", heldBytes).Int64("of", limit).
			Int("turned_away", m.rejected).Int64("lasted_ms", now.Sub(m.loggedFull).Milliseconds()).Send()
		m.loggedFull, m.rejected = time.Time{}, 0
	}
}

// maxStarts returns how many items may start in a round. If the budget is exceeded, items run one at a time: their output
// adds to the memory in use, and only finished items release some. The caller must hold the mutex.
func (w *Worker) maxStarts() int {
	heldBytes, limit := w.Budget.Load()
	switch {
	case heldBytes <= limit:
		return math.MaxInt
	case w.anyRunning():
		return 0
	}
	return 1
}

// bytes returns the memory that a job uses: its header, the values with a body that is still needed, the output of its
// items and its results. The caller must hold the worker's mutex.
func (j *jobRun) bytes() int64 {
	sum := j.headerBytes + j.log.RecordedBytes() + j.log.WaitingBytes()
	counted := -1
	for _, item := range j.items {
		sum += int64(item.text.Len())
		value := j.header.Items[item.index].Part
		if !item.finished && value != counted {
			counted = value
			sum += j.values[value]
		}
	}
	return sum
}

// setSizes sets the sizes of the header and of the values that contain the bodies.
func (j *jobRun) setSizes(size int64) {
	j.values = make([]int64, j.header.Parts)
	bodies := int64(0)
	for index := range j.header.Items {
		item := &j.header.Items[index]
		j.values[item.Part] += int64(item.Length)
		bodies += int64(item.Length)
	}
	j.headerBytes = max(size-bodies, 0)
}
