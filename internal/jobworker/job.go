package jobworker

import (
	"bytes"
	"context"
	"errors"
	"time"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/heldbytes"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/work"
)

// jobRun is a job this node holds the claim of. The worker's mutex guards it.
type jobRun struct {
	entry  jobrecord.Open
	claim  jobrecord.Claim
	header *jobrecord.Header
	// submitted is the moment of the submission by this node's clock: the header has the date.
	submitted time.Time
	items     []*itemRun
	// recorded are the results in the records, by position, but for the first readable ones: those were let go, and are read from the
	// store. recordedBytes are their texts.
	recorded      []work.Result
	readable      int
	recordedBytes int64
	// held is the job's part of the node's budget; headerBytes and values are the sizes of its header and of the values that its bodies
	// lie in.
	held        *heldbytes.Held
	headerBytes int64
	values      []int64
	// changed is closed and made anew when results are recorded.
	changed chan struct{}
	// unlisted are results that wait to be recorded, in the order they came.
	unlisted []work.Result
	running  int
	// progressed is when the claim was taken, an event of an item came, or results were recorded.
	progressed time.Time
	// dropped says that this node does not run the job any more.
	dropped bool
	// second is the worker that keeps the output of the items in progress too.
	second ident.Node
	wake   chan struct{}
}

// itemRun is one item and what is known of its output so far.
type itemRun struct {
	job   *jobRun
	index int
	item  work.Item
	body  []byte
	// finished says that the item has a result, recorded or waiting to be.
	finished bool
	running  bool
	// cancel ends the run in progress; cut says that it was told to, so that online work has its place.
	cancel context.CancelFunc
	cut    bool
	runner ident.Incarnation
	// started and progressed are when the run began and when its last event came.
	started, progressed time.Time
	// text is the data of the events so far, lastEvent the id of the last.
	text      bytes.Buffer
	lastEvent int64
	// begun is the run in progress, run the one that made the last event.
	begun, run progress.RunID
	// mirrored is how much of the text the second place has, in bytes, and mirroredRun the run that made its end.
	mirrored    int
	mirroredRun progress.RunID
	// print is the item's once it was needed.
	print poison.Print
	// failures counts the runs that the runner itself failed.
	failures int
	// avoid holds the runners that failed it.
	avoid map[ident.Incarnation]bool
	// notBefore is when the item may be tried again.
	notBefore time.Time
	// routeGone is when the item was first seen to have no route.
	routeGone time.Time
}

func newJobRun(claim jobrecord.Claim, loaded *jobrecord.Job) *jobRun {
	job := &jobRun{claim: claim, header: &loaded.Header, submitted: clock.At(loaded.Header.Submitted()), wake: make(chan struct{}, 1), changed: make(chan struct{})}
	for index, item := range loaded.Header.Items {
		job.items = append(job.items, &itemRun{
			job: job, index: index, item: item.Item, body: loaded.Bodies[index], avoid: map[ident.Incarnation]bool{},
		})
	}
	return job
}

// list takes over the recorded results; results of this node that another one recorded meanwhile are dropped.
func (j *jobRun) list(results []work.Result) {
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
	kept := j.unlisted[:0]
	for _, result := range j.unlisted {
		if !recorded[result.ID] {
			kept = append(kept, result)
		}
	}
	clear(j.unlisted[len(kept):])
	j.unlisted = kept
	j.recorded, j.readable, j.recordedBytes = nil, 0, 0
	j.record(results)
	j.signal()
}

// record takes over further results in the records and tells those that wait for them.
func (j *jobRun) record(results []work.Result) {
	j.recorded = append(j.recorded, results...)
	j.recordedBytes += textBytes(results)
	close(j.changed)
	j.changed = make(chan struct{})
}

// textBytes is the size of the texts of results.
func textBytes(results []work.Result) int64 {
	sum := int64(0)
	for index := range results {
		sum += int64(len(results[index].Text))
	}
	return sum
}

// listed is the number of results in the records.
func (j *jobRun) listed() int { return j.readable + len(j.recorded) }

// remaining are the tokens of the items without a recorded result beyond those about to be recorded.
func (j *jobRun) remaining(recording []work.Result) int {
	tokens := 0
	about := make(map[ident.Request]bool, len(recording))
	for _, result := range recording {
		about[result.ID] = true
	}
	for _, item := range j.items {
		if !item.finished || (j.isUnlisted(item.item.ID) && !about[item.item.ID]) {
			tokens += item.item.Tokens
		}
	}
	return tokens
}

// unfinished are the tokens of the items that no runner has finished.
func (j *jobRun) unfinished() int {
	tokens := 0
	for _, item := range j.items {
		if !item.finished {
			tokens += item.item.Tokens
		}
	}
	return tokens
}

func (j *jobRun) isUnlisted(id ident.Request) bool {
	for _, result := range j.unlisted {
		if result.ID == id {
			return true
		}
	}
	return false
}

// finish notes an item's result and wakes the writer.
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
	j.unlisted = append(j.unlisted, result)
	j.signal()
}

func (j *jobRun) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// drop stops running a job. The caller holds the mutex.
func (w *Worker) drop(job *jobRun) {
	job.dropped = true
	job.unlisted = nil
	for _, item := range job.items {
		if item.cancel != nil {
			item.cancel()
		}
	}
	delete(w.jobs, job.header.ID)
	job.held.Release()
	job.signal()
	close(job.changed)
	job.changed = make(chan struct{})
}

// startWriter records the job's results, one transaction at a time. The caller holds the mutex.
func (w *Worker) startWriter(job *jobRun) {
	job.signal()
	w.tomb.Go(func() error {
		for {
			select {
			case <-w.tomb.Dying():
				return nil
			case <-job.wake:
			}
			if !w.gather(job) {
				return nil
			}
			if done := w.recordAll(job); done {
				return nil
			}
		}
	})
}

// gather waits until enough results wait to be recorded, or one has waited long enough. It returns false when the worker
// ends.
func (w *Worker) gather(job *jobRun) bool {
	timer := time.NewTimer(w.Options.RecordDelay)
	defer timer.Stop()
	for !w.urgent(job) {
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

// urgent says whether a job's results are to be recorded at once: no more can come or fit, or the job is about to be due.
func (w *Worker) urgent(job *jobRun) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if job.dropped || w.draining || len(job.unlisted) == 0 || len(job.unlisted) >= w.Records.MaximumAppended(job.header) {
		return true
	}
	if job.listed()+len(job.unlisted) == len(job.items) {
		return true
	}
	untilDue := w.due(job.items[0]).Sub(w.Now())
	return untilDue.Abs() < 2*w.Options.RecordDelay
}

// recordAll records until nothing waits. It returns true when the job needs no writer any more.
func (w *Worker) recordAll(job *jobRun) bool {
	for {
		w.mutex.Lock()
		batch, waiting := job.nextBatch(w.Records.MaximumAppended(job.header))
		gone := job.dropped
		w.mutex.Unlock()
		if gone {
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
		if err != nil && !w.pauseForStore() {
			return true
		}
	}
}

// batch is what one transaction records.
type batch struct {
	claim     jobrecord.Claim
	position  int
	results   []work.Result
	remaining int
	finished  bool
}

// nextBatch returns what to record next. While an Append is unanswered the same results come again, in the same order:
// new ones only join behind.
func (j *jobRun) nextBatch(most int) (batch, bool) {
	if j.dropped || (len(j.unlisted) == 0 && j.listed() < len(j.items)) {
		return batch{}, false
	}
	results := append([]work.Result(nil), j.unlisted[:min(len(j.unlisted), most)]...)
	return batch{
		claim: j.claim, position: j.listed(), results: results, remaining: j.remaining(results),
		finished: j.listed()+len(results) == len(j.items),
	}, true
}

// record writes one batch. It returns true when the job is finished with it.
func (w *Worker) record(job *jobRun, next batch) (bool, error) {
	ctx, cancel := w.call()
	defer cancel()
	err := w.Records.Append(ctx, next.claim, job.header, next.position, next.results, next.remaining, next.finished)
	if err != nil {
		return false, err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if job.claim != next.claim || job.dropped {
		return false, nil
	}
	job.record(next.results)
	clear(job.unlisted[:len(next.results)])
	job.unlisted = job.unlisted[len(next.results):]
	job.progressed = w.Now()
	if next.finished {
		w.drop(job)
		if job.readable == 0 {
			w.finished.keep(w.Budget, job, w.Now())
		}
		event.JobLeft.Log(w.Logger).Str("job", string(job.header.ID)).Str("why", "all results are recorded").Int("items", len(job.items)).Send()
		delete(w.open, job.header.ID)
		w.account.ledger.Unlist(job.header.ID, w.Now())
	}
	return next.finished, nil
}
