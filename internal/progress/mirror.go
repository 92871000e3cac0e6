// Package progress stores the partial output of batch items on a second node, so that it survives the failure of the
// worker that runs them. A Mirror stores it in memory, a Journal also on disk. Both are caches: lost output is
// generated again, and no acknowledgment depends on it.
package progress

import (
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// retention is how long the output of a job is stored without an update. It is longer than a job stays unclaimed
	// after its worker failed.
	retention = time.Minute
	// maxTotalBytes is the maximum size of the output of all jobs. It fits some hundred items of some ten
	// kilobytes each.
	maxTotalBytes = 24 << 20
)

// RunID identifies one run of an item. Two runs of one item can produce different texts of the same length. Stored
// output may therefore be continued only by the run that produced it, or by a run that was asked to continue it.
type RunID struct {
	// Claim is the revision of the claim under which the run was started. It increases with each claim of a job.
	Claim int64 `json:"claim"`
	// Number distinguishes the runs of one process. The zero RunID identifies no run.
	Number int64 `json:"number"`
}

// OutputPart is an addition to the output of an item.
type OutputPart struct {
	Item ident.Request `json:"item"`
	// Run produced the last event of the output including this piece, Before the last event of the output preceding
	// it.
	Run    RunID `json:"run"`
	Before RunID `json:"before"`
	// Offset is the length in bytes of the output preceding this piece.
	Offset int `json:"offset"`
	// LastEvent is the id of the last event of the output including this piece.
	LastEvent int64  `json:"last_event"`
	Text      []byte `json:"text"`
	// Origin is where the output began. Earlier builds send none.
	Origin work.Origin `json:"origin,omitzero"`
}

// Update holds additions to the outputs of the items of a job.
type Update struct {
	Job    ident.Job    `json:"job"`
	Pieces []OutputPart `json:"pieces"`
}

// Output is the stored output of an item.
type Output struct {
	Item ident.Request `json:"item"`
	// Run produced the last event.
	Run       RunID  `json:"run"`
	LastEvent int64  `json:"last_event"`
	Text      []byte `json:"text"`
	// Origin is where the output began; zero if that is unknown.
	Origin work.Origin `json:"origin,omitzero"`
}

// Mirror stores outputs for other nodes. The zero Mirror is empty. It is safe for concurrent use.
type Mirror struct {
	mutex sync.Mutex
	jobs  map[ident.Job]*jobOutputs
	bytes int
	// maxBytes is the maximum size of the output of all jobs; zero stands for maxTotalBytes.
	maxBytes int
}

// jobOutputs are the stored outputs of a job.
type jobOutputs struct {
	updated time.Time
	outputs map[ident.Request]*Output
	bytes   int
}

// Apply applies an update. It returns the items whose pieces do not continue the stored output: their output must be
// sent again from the beginning.
func (m *Mirror) Apply(update *Update, now time.Time) []ident.Request {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.jobs == nil {
		m.jobs = map[ident.Job]*jobOutputs{}
	}
	job := m.jobs[update.Job]
	if job == nil {
		job = &jobOutputs{outputs: map[ident.Request]*Output{}}
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
	m.evict(now)
	return gaps
}

// take applies a piece and returns by how many bytes the outputs grew. A piece of an older claim than the stored one,
// or without a run, is ignored: its sender has lost the job, or cannot state which output the piece continues.
func (j *jobOutputs) take(piece OutputPart) (grown int, follows bool) {
	stored := j.outputs[piece.Item]
	if stored == nil {
		stored = &Output{Item: piece.Item}
	}
	if piece.Run == (RunID{}) || piece.Run.Claim < stored.Run.Claim {
		return 0, true
	}
	before := len(stored.Text)
	switch {
	case piece.Offset == 0:
		stored.Text = nil
	case piece.Offset != before, piece.Before != stored.Run:
		return 0, false
	}
	j.outputs[piece.Item] = stored
	stored.Run = piece.Run
	stored.Text = append(stored.Text, piece.Text...)
	stored.LastEvent, stored.Origin = piece.LastEvent, piece.Origin
	grown = len(stored.Text) - before
	j.bytes += grown
	return grown, true
}

// evict removes jobs past the retention period, and the least recently updated ones while the outputs exceed the
// maximum size. The caller holds the mutex.
func (m *Mirror) evict(now time.Time) {
	for {
		var oldest ident.Job
		for id, job := range m.jobs {
			if oldest == "" || job.updated.Before(m.jobs[oldest].updated) {
				oldest = id
			}
		}
		if oldest == "" || (m.bytes <= m.byteLimit() && now.Sub(m.jobs[oldest].updated) <= retention) {
			return
		}
		m.bytes -= m.jobs[oldest].bytes
		delete(m.jobs, oldest)
	}
}

// byteLimit returns the maximum size of the output of all jobs. The caller holds the mutex.
func (m *Mirror) byteLimit() int {
	if m.maxBytes == 0 {
		return maxTotalBytes
	}
	return min(m.maxBytes, maxTotalBytes)
}

// SetMaxBytes limits the stored outputs to a number of bytes, evicts those that exceed it, and returns how many bytes are
// stored.
func (m *Mirror) SetMaxBytes(maxBytes int64, now time.Time) int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.maxBytes = max(int(maxBytes), 1)
	m.evict(now)
	return int64(m.bytes)
}

// Outputs returns the stored outputs of a job.
func (m *Mirror) Outputs(id ident.Job) []Output {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	job := m.jobs[id]
	if job == nil {
		return nil
	}
	outputs := make([]Output, 0, len(job.outputs))
	for _, stored := range job.outputs {
		outputs = append(outputs, Output{
			Item: stored.Item, Run: stored.Run, LastEvent: stored.LastEvent, Text: append([]byte(nil), stored.Text...), Origin: stored.Origin,
		})
	}
	return outputs
}
