// Package progress keeps the output so far of batch items in the memory of a second node, so that what was made outlives
// the worker that runs them. It is a cache: what is lost of it is made again, and nothing is acknowledged by it.
package progress

import (
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

const (
	// keptFor is how long the output of a job is kept without news of it: longer than a job lies unclaimed after its
	// worker's end.
	keptFor = time.Minute
	// keptBytes bounds the output of all jobs: some hundred items of some ten kilobytes each.
	keptBytes = 24 << 20
)

// RunID names one run of an item. Two runs of one item make different texts of the same length, so that what is kept of one
// may only be followed by what that run, or one that was asked to go on behind it, made next.
type RunID struct {
	// Claim is the revision of the claim under which the run was begun. It rises with each claim of a job.
	Claim int64 `json:"claim"`
	// Number tells the runs of one process apart. The zero value of a RunID names no run.
	Number int64 `json:"number"`
}

// Piece is what an item's output grew by.
type Piece struct {
	Item ident.Request `json:"item"`
	// Run made the last event of the output after, Before that of the output before.
	Run    RunID `json:"run"`
	Before RunID `json:"before"`
	// Offset is the length of the output before, in bytes.
	Offset int `json:"offset"`
	// LastEvent is the id of the last event in the output after.
	LastEvent int64  `json:"last_event"`
	Text      []byte `json:"text"`
}

// Update is what the outputs of a job's items grew by.
type Update struct {
	Job    ident.Job `json:"job"`
	Pieces []Piece   `json:"pieces"`
}

// Output is what is kept of an item.
type Output struct {
	Item ident.Request `json:"item"`
	// Run made the last event.
	Run       RunID  `json:"run"`
	LastEvent int64  `json:"last_event"`
	Text      []byte `json:"text"`
}

// Mirror keeps outputs for other nodes. It is safe for concurrent use.
type Mirror struct {
	mutex sync.Mutex
	jobs  map[ident.Job]*mirrored
	bytes int
	// most bounds the output of all jobs, in bytes; zero is keptBytes.
	most int
}

// mirrored is what is kept of a job.
type mirrored struct {
	updated time.Time
	outputs map[ident.Request]*Output
	bytes   int
}

// Take takes over an update. It returns the items whose pieces do not follow what is kept: their output is to be sent
// from the beginning.
func (m *Mirror) Take(update *Update, now time.Time) []ident.Request {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.jobs == nil {
		m.jobs = map[ident.Job]*mirrored{}
	}
	job := m.jobs[update.Job]
	if job == nil {
		job = &mirrored{outputs: map[ident.Request]*Output{}}
		m.jobs[update.Job] = job
	}
	job.updated = now
	var gaps []ident.Request
	for _, piece := range update.Pieces {
		grown, follows := job.take(piece)
		if !follows {
			gaps = append(gaps, piece.Item)
		}
		m.bytes += grown
	}
	m.forget(now)
	return gaps
}

// take adds a piece, and returns by how many bytes the outputs grew. What comes under an older claim than what is kept, or
// names no run, is passed over: its sender has lost the job, or cannot say what its piece follows.
func (j *mirrored) take(piece Piece) (grown int, follows bool) {
	kept := j.outputs[piece.Item]
	if kept == nil {
		kept = &Output{Item: piece.Item}
	}
	if piece.Run == (RunID{}) || piece.Run.Claim < kept.Run.Claim {
		return 0, true
	}
	before := len(kept.Text)
	switch {
	case piece.Offset == 0:
		kept.Text = nil
	case piece.Offset != before, piece.Before != kept.Run:
		return 0, false
	}
	j.outputs[piece.Item] = kept
	kept.Run = piece.Run
	kept.Text = append(kept.Text, piece.Text...)
	kept.LastEvent = piece.LastEvent
	grown = len(kept.Text) - before
	j.bytes += grown
	return grown, true
}

// forget drops what is old, and the oldest beyond the bound. The caller holds the mutex.
func (m *Mirror) forget(now time.Time) {
	for {
		var oldest ident.Job
		for id, job := range m.jobs {
			if oldest == "" || job.updated.Before(m.jobs[oldest].updated) {
				oldest = id
			}
		}
		if oldest == "" || (m.bytes <= m.bound() && now.Sub(m.jobs[oldest].updated) <= keptFor) {
			return
		}
		m.bytes -= m.jobs[oldest].bytes
		delete(m.jobs, oldest)
	}
}

// bound is the most that is kept. The caller holds the mutex.
func (m *Mirror) bound() int {
	if m.most == 0 {
		return keptBytes
	}
	return min(m.most, keptBytes)
}

// Bound has no more bytes kept than fit, and returns how many are.
func (m *Mirror) Bound(most int64, now time.Time) int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.most = max(int(most), 1)
	m.forget(now)
	return int64(m.bytes)
}

// Outputs returns what is kept of a job.
func (m *Mirror) Outputs(id ident.Job) []Output {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	job := m.jobs[id]
	if job == nil {
		return nil
	}
	outputs := make([]Output, 0, len(job.outputs))
	for _, kept := range job.outputs {
		outputs = append(outputs, Output{
			Item: kept.Item, Run: kept.Run, LastEvent: kept.LastEvent, Text: append([]byte(nil), kept.Text...),
		})
	}
	return outputs
}
