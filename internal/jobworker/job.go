package jobworker

import (
	"bytes"
	"context"
	"errors"
	"time"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/work"
)

// jobRun is a job whose claim this node holds. The worker's mutex guards it.
type jobRun struct {
	entry  jobrecord.Open
	claim  jobrecord.Claim
	header *jobrecord.Header
	// submitted is the time of the submission by this node's clock; the header has the date.
	submitted time.Time
	items     []*itemRun
	// recorded are the recorded results by position, without the first evicted ones, which were removed from memory and
	// are read from the store. recordedBytes is the size of their texts.
	recorded      []work.Result
	evicted       int
	recordedBytes int64
	// reservation is the job's part of the node's memory budget; headerBytes and values are the sizes of its header and of
	// the stored values that contain its bodies.
	reservation *memorybudget.Held
	headerBytes int64
	values      []int64
	// changed is closed and replaced when results are recorded.
	changed chan struct{}
	// unrecorded are results that wait to be recorded, in order of arrival.
	unrecorded []work.Result
	running    int
	// progressed is when the claim was taken, an event of an item arrived, or results were recorded.
	progressed time.Time
	// dropped is set when this node no longer runs the job.
	dropped bool
	// mirrorPeer is the worker that stores a second copy of the output of the items in progress.
	mirrorPeer ident.Node
	// mirrorRoster is the roster that mirrorPeer was chosen from.
	mirrorRoster *roster
	wake         chan struct{}
}

// itemRun is one item and the state of its output so far.
type itemRun struct {
	job   *jobRun
	index int
	item  work.Item
	body  []byte
	// finished is set when the item has a result, recorded or waiting to be.
	finished bool
	running  bool
	// cancel cancels the run in progress; preempt is set when it was cancelled to free its slot for online work.
	cancel  context.CancelFunc
	preempt bool
	runner  ident.Incarnation
	// started and progressed are when the run started and when its last event arrived.
	started, progressed time.Time
	// text is the data of the events so far, lastEvent the id of the last one.
	text      bytes.Buffer
	lastEvent int64
	// origin is where the output so far began; zero without output. waitsForOrigin is since when no runner that may go on with it has a
	// free slot; zero while one has.
	origin         work.Origin
	waitsForOrigin time.Time
	// currentRun is the run in progress, lastEventRun the one that produced the last event.
	currentRun, lastEventRun progress.RunID
	// mirrored is how many bytes of the text the mirror peer has, and mirroredRun the run that produced the end of them.
	mirrored    int
	mirroredRun progress.RunID
	// fingerprint is the item's, once it was needed.
	fingerprint poison.Fingerprint
	// onTrial is set while the item runs at a pace because runners crashed under it.
	onTrial bool
	// failures counts the runs in which the runner itself failed.
	failures int
	// avoid holds the runners that failed the item.
	avoid map[ident.Incarnation]bool
	// notBefore is when the item may be tried again.
	notBefore time.Time
	// routeGone is when the item was first seen without a route.
	routeGone time.Time
}

func newJobRun(claim jobrecord.Claim, loaded *jobrecord.Job) *jobRun {
	job := &jobRun{
		claim: claim, header: &loaded.Header, submitted: clock.At(loaded.Header.Submitted()),
		wake: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	for index, item := range loaded.Header.Items {
		job.items = append(job.items, &itemRun{
			job: job, index: index, item: item.Item, body: loaded.Bodies[index], avoid: map[ident.Incarnation]bool{},
		})
	}
	return job
}

// applyRecorded replaces the recorded results; unrecorded results of this node that another one has recorded in the
// meantime are dropped.
func (j *jobRun) applyRecorded(results []work.Result) {
	recorded := make(map[ident.Request]bool, len(results))
	for _, result := range results {
		recorded[result.ID] = true
	}
	for _, item := range j.items {
		if recorded[item.item.ID] {
			item.finished = true
			item.text, item.body = bytes.Buffer{}, nil
		}
	}
	pending := j.unrecorded[:0]
	for _, result := range j.unrecorded {
		if !recorded[result.ID] {
			pending = append(pending, result)
		}
	}
	clear(j.unrecorded[len(pending):])
	j.unrecorded = pending
	j.recorded, j.evicted, j.recordedBytes = nil, 0, 0
	j.record(results)
	j.signal()
}

// record adds further recorded results and wakes those that wait for them.
func (j *jobRun) record(results []work.Result) {
	j.recorded = append(j.recorded, results...)
	j.recordedBytes += textBytes(results)
	close(j.changed)
	j.changed = make(chan struct{})
}

// textBytes returns the size of the texts of results.
func textBytes(results []work.Result) int64 {
	sum := int64(0)
	for index := range results {
		sum += int64(len(results[index].Text))
	}
	return sum
}

// recordedCount returns the number of recorded results.
func (j *jobRun) recordedCount() int { return j.evicted + len(j.recorded) }

// remainingTokens returns the tokens of the items without a recorded result, except those about to be recorded.
func (j *jobRun) remainingTokens(recording []work.Result) int {
	tokens := 0
	about := make(map[ident.Request]bool, len(recording))
	for _, result := range recording {
		about[result.ID] = true
	}
	for _, item := range j.items {
		if !item.finished || (j.isUnrecorded(item.item.ID) && !about[item.item.ID]) {
			tokens += item.item.Tokens
		}
	}
	return tokens
}

// unfinishedTokens returns the tokens of the items that no runner has finished.
func (j *jobRun) unfinishedTokens() int {
	tokens := 0
	for _, item := range j.items {
		if !item.finished {
			tokens += item.item.Tokens
		}
	}
	return tokens
}

func (j *jobRun) isUnrecorded(id ident.Request) bool {
	for _, result := range j.unrecorded {
		if result.ID == id {
			return true
		}
	}
	return false
}

// finish stores an item's result and wakes the writer.
func (j *jobRun) finish(item *itemRun, state work.ResultState) {
	if item.finished {
		return
	}
	item.finished = true
	result := work.Result{ID: item.item.ID, State: state}
	if state == work.Completed {
		result.Text = item.text.String()
	}
	item.text = bytes.Buffer{}
	item.body = nil
	j.unrecorded = append(j.unrecorded, result)
	j.signal()
}

func (j *jobRun) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// drop stops running a job. The caller must hold the mutex.
func (w *Worker) drop(job *jobRun) {
	job.dropped = true
	job.unrecorded = nil
	for _, item := range job.items {
		if item.cancel != nil {
			item.cancel()
		}
	}
	delete(w.jobs, job.header.ID)
	job.reservation.Release()
	job.signal()
	close(job.changed)
	job.changed = make(chan struct{})
}

// startWriter records the job's results, one transaction at a time. The caller must hold the mutex.
func (w *Worker) startWriter(job *jobRun) {
	job.signal()
	w.tomb.Go(func() error {
		for {
			select {
			case <-w.tomb.Dying():
				return nil
			case <-job.wake:
			}
			if !w.awaitBatch(job) {
				return nil
			}
			if done := w.flush(job); done {
				return nil
			}
		}
	})
}

// awaitBatch waits until enough results wait to be recorded, or one has waited long enough. It returns false when the
// worker stops.
func (w *Worker) awaitBatch(job *jobRun) bool {
	timer := time.NewTimer(w.Options.RecordDelay)
	defer timer.Stop()
	for !w.shouldFlush(job) {
		select {
		case <-w.tomb.Dying():
			return false
		case <-timer.C:
			return true
		case <-job.wake:
		}
	}
	return true
}

// shouldFlush reports whether a job's results are to be recorded at once: no more can come or fit, or the job is almost
// due.
func (w *Worker) shouldFlush(job *jobRun) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if job.dropped || w.draining || len(job.unrecorded) == 0 || len(job.unrecorded) >= w.Records.MaximumAppended(job.header) {
		return true
	}
	if job.recordedCount()+len(job.unrecorded) == len(job.items) {
		return true
	}
	untilDue := w.due(job.items[0]).Sub(w.Now())
	return untilDue.Abs() < 2*w.Options.RecordDelay
}

// flush records results until none are left. It returns true when the job needs no writer any more.
func (w *Worker) flush(job *jobRun) bool {
	for {
		w.mutex.Lock()
		batch, waiting := job.nextBatch(w.Records.MaximumAppended(job.header))
		isDropped := job.dropped
		w.mutex.Unlock()
		if isDropped {
			return true
		}
		if !waiting {
			return false
		}
		finished, err := w.record(job, batch)
		switch {
		case finished:
			return true
		case errors.Is(err, jobrecord.ErrClaimLost):
			w.reclaim(job)
		case err != nil:
			w.logStore("recording results of job "+string(job.header.ID), err)
		}
		if err != nil && !w.waitForStore() {
			return true
		}
	}
}

// resultBatch is the content of one transaction.
type resultBatch struct {
	claim           jobrecord.Claim
	position        int
	results         []work.Result
	remainingTokens int
	finished        bool
}

// nextBatch returns what to record next. Until an Append is answered, the same results are returned in the same order; new
// ones are only added at the end.
func (j *jobRun) nextBatch(limit int) (resultBatch, bool) {
	if j.dropped || (len(j.unrecorded) == 0 && j.recordedCount() < len(j.items)) {
		return resultBatch{}, false
	}
	results := append([]work.Result(nil), j.unrecorded[:min(len(j.unrecorded), limit)]...)
	return resultBatch{
		claim: j.claim, position: j.recordedCount(), results: results, remainingTokens: j.remainingTokens(results),
		finished: j.recordedCount()+len(results) == len(j.items),
	}, true
}

// record writes one batch. It returns true if the batch finished the job.
func (w *Worker) record(job *jobRun, next resultBatch) (bool, error) {
	ctx, cancel := w.callContext()
	defer cancel()
	err := w.Records.Append(ctx, next.claim, job.header, next.position, next.results, next.remainingTokens, next.finished)
	if err != nil {
		return false, err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if job.claim != next.claim || job.dropped {
		return false, nil
	}
	job.record(next.results)
	clear(job.unrecorded[:len(next.results)])
	job.unrecorded = job.unrecorded[len(next.results):]
	job.progressed = w.Now()
	if next.finished {
		w.drop(job)
		if job.evicted == 0 {
			w.finished.add(w.Budget, job, w.Now())
		}
		event.JobLeft.Log(w.Logger).Str("job", string(job.header.ID)).Str("why", "all results are recorded").Int("items", len(job.items)).Send()
		delete(w.open, job.header.ID)
		w.account.ledger.Unlist(job.header.ID, w.Now())
	}
	return next.finished, nil
}
