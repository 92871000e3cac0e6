package jobworker

import (
	"errors"
	"math"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/progress"
)

const (
	// overtakenFor is how long a job that finds no room is overtaken by smaller ones of other tenants: without an end to that a stream of
	// these would keep it out.
	overtakenFor = 2 * time.Second
	// fullFor is how long a worker counts as full after it had no room for a job: those that wait try several times in it.
	fullFor = time.Second
	// mirroredShare of the node's budget may be output that is kept for other workers.
	mirroredShare = 0.25
)

// memory is what a worker knows of its room for jobs. The worker's mutex guards it. The zero memory has room.
type memory struct {
	// refused is when a job last found no room, full when it was all jobs together that left none.
	refused, full time.Time
	// turnedAway counts the jobs that found none since the log was told of it, which was at told; zero if there was room since.
	turnedAway int
	told       time.Time
	// mirrored is the reservation of the output that is kept for other workers.
	mirrored *heldbytes.Held
}

// note takes in that a job found no room.
func (m *memory) note(err error, now time.Time) {
	m.turnedAway++
	m.refused = now
	if !errors.Is(err, heldbytes.ErrShare) {
		m.full = now
	}
}

// isFull says whether no job is to be brought here.
func (m *memory) isFull(now time.Time) bool { return !m.full.IsZero() && now.Sub(m.full) < fullFor }

// reserve takes the room of a job that is about to be read. What the store has too is let go for it. The error wraps heldbytes.ErrOver. The
// caller holds the mutex.
func (w *Worker) reserve(entry jobrecord.Open, now time.Time) (*heldbytes.Held, error) {
	for {
		held, err := w.Budget.Reserve(heldbytes.Job, heldbytes.Whose{Tenant: entry.Tenant}, entry.Size())
		if err == nil {
			return held, nil
		}
		if errors.Is(err, heldbytes.ErrShare) || !w.letGoResults() {
			w.memory.note(err, now)
			return nil, err
		}
	}
}

// letGoResults lets go some results that the store has: those of a finished job, then those of the running job with the most. It returns
// false where there are none. The caller holds the mutex.
func (w *Worker) letGoResults() bool {
	if w.finished.dropOldest() {
		return true
	}
	var largest *jobRun
	for _, job := range w.jobs {
		if job.recordedBytes > 0 && (largest == nil || job.recordedBytes > largest.recordedBytes) {
			largest = job
		}
	}
	if largest == nil {
		return false
	}
	largest.letGoRecorded()
	largest.held.Set(largest.bytes())
	return true
}

// countMemory counts what the jobs have taken since the last round, lets go what is too much, and tells the log. The caller holds the
// mutex.
func (w *Worker) countMemory(now time.Time) {
	for _, job := range w.jobs {
		job.held.Set(job.bytes())
	}
	w.countMirrored(now)
	for w.Budget.Over(heldbytes.Kept) && w.finished.dropOldest() {
	}
	for w.Budget.Over(heldbytes.Job) && w.letGoResults() {
	}
	w.tellMemory(now)
}

// countMirrored counts the output that is kept for other workers, and bounds it.
func (w *Worker) countMirrored(now time.Time) {
	_, all := w.Budget.Load()
	if all == 0 {
		return
	}
	if w.memory.mirrored == nil {
		w.memory.mirrored = w.Budget.Open(heldbytes.Kept, heldbytes.Whose{})
	}
	w.memory.mirrored.Set(w.outputs().Bound(int64(mirroredShare*float64(all)), now))
}

// outputs is the output that is kept for other workers.
func (w *Worker) outputs() *progress.Mirror {
	if w.Outputs != nil {
		return &w.Outputs.Mirror
	}
	return &w.mirror
}

// tellMemory writes a line where jobs find no room any more, and where they do again.
func (w *Worker) tellMemory(now time.Time) {
	m := &w.memory
	held, all := w.Budget.Load()
	short := held > all || (!m.refused.IsZero() && now.Sub(m.refused) < fullFor)
	switch {
	case short && m.told.IsZero():
		m.told = now
		event.WorkerFull.Log(w.Logger).Int("jobs", len(w.jobs)).Int64("held", held).Int64("of", all).Send()
	case !short && !m.told.IsZero():
		event.WorkerHasRoom.Log(w.Logger).Int("jobs", len(w.jobs)).Int64("held", held).Int64("of", all).
			Int("turned_away", m.turnedAway).Int64("lasted_ms", now.Sub(m.told).Milliseconds()).Send()
		m.told, m.turnedAway = time.Time{}, 0
	}
}

// mayBegin is how many items may begin in a round. Where the budget is full it is one at a time: the output of items adds to what is held,
// and only their ends give some back. The caller holds the mutex.
func (w *Worker) mayBegin() int {
	held, all := w.Budget.Load()
	switch {
	case held <= all:
		return math.MaxInt
	case w.anyRunning():
		return 0
	}
	return 1
}

// bytes is what a job takes of the memory: its header, the values with a body that is needed, the output of its items and its results. The
// caller holds the worker's mutex.
func (j *jobRun) bytes() int64 {
	sum := j.headerBytes + j.recordedBytes
	for index := range j.unlisted {
		sum += int64(len(j.unlisted[index].Text))
	}
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

// measure notes the sizes of the header and of the values that the bodies lie in.
func (j *jobRun) measure(size int64) {
	j.values = make([]int64, j.header.Parts)
	bodies := int64(0)
	for index := range j.header.Items {
		item := &j.header.Items[index]
		j.values[item.Part] += int64(item.Length)
		bodies += int64(item.Length)
	}
	j.headerBytes = max(size-bodies, 0)
}

// letGoRecorded lets go the results that are recorded: from now on they are read from the store. The caller holds the worker's mutex.
func (j *jobRun) letGoRecorded() {
	j.readable += len(j.recorded)
	j.recorded, j.recordedBytes = nil, 0
}
