package jobworker

import (
	"bytes"
	"context"
	"time"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/memorybudget"
	"mallowlatch.example/mallowlatch/internal/poison"
	"mallowlatch.example/mallowlatch/internal/progress"
	"mallowlatch.example/mallowlatch/internal/resultlog"
	"mallowlatch.example/mallowlatch/internal/work"
)

// jobRun is a job whose claim this node holds. The worker's mutex guards it. Its holder, one goroutine, makes all calls of the store about it.
type jobRun struct {
	entry  jobrecord.Open
	header *jobrecord.Header
	// log holds the claim and the results.
	log resultlog.Log
	// submitted is the time of the submission by this node's clock; the header has the date.
	submitted time.Time
	items     []*itemRun
	// reservation is the job's part of the node's memory budget; headerBytes and values are the sizes of its header and of
	// the stored values that contain its bodies.
	reservation *memorybudget.Held
	headerBytes int64
	values      []int64
	// changed is closed and replaced when results are recorded.
	changed chan struct{}
	running int
	// started is when the job was claimed and read, progressed when an event of an item arrived or results were recorded since then.
	started, progressed time.Time
	// dropped is set when this node no longer runs the job, releases if its holder then releases the claim.
	dropped, releases bool
	// ended is set when the job is no longer open while the call that closes it is in flight.
	ended bool
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
	// started and progressed are when the run started and when its last event arrived; stalled means that it was cancelled because none came.
	started, progressed time.Time
	stalled             bool
	// text is the data of the events so far, lastEvent the id of the last one.
	text      bytes.Buffer
	lastEvent int64
	// origin is where the output so far began; zero without output. waitsForOrigin is since when no runner that may go on with it has a
	// free slot; zero while one has.
	origin         work.Origin
	waitsForOrigin time.Time
	// currentRun is the run in progress, lastEventRun the one that produced the last event.
	currentRun, lastEventRun progress.RunID
	// mirrored is how many bytes of the text the mirror peer has, and mirroredRun the run that produced the end of them. transfers counts how
	// often the output was to be sent from the beginning.
	mirrored    int
	mirroredRun progress.RunID
	transfers   int
	// fingerprint is the item's, once it was needed.
	fingerprint poison.Fingerprint
	// onTrial is set while the item runs at a pace because runners crashed under it.
	onTrial bool
	// failures counts the runs in which the runner itself failed, overlong those whose output was too large to be recorded.
	failures, overlong int
	// avoid holds the runners that failed the item.
	avoid map[ident.Incarnation]bool
	// notBefore is when the item may be tried again.
	notBefore time.Time
	// routeGone is when the item was first seen without a route.
	routeGone time.Time
}

// newJobRun returns a job that was claimed and read, with the results recorded so far.
func newJobRun(holding resultlog.Holding, loaded *jobrecord.Job, results []work.Result) *jobRun {
	job := &jobRun{
		header: &loaded.Header, submitted: clock.At(loaded.Header.Submitted()), log: resultlog.New(holding, len(loaded.Header.Items), results),
		wake: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	for index, item := range loaded.Header.Items {
		job.items = append(job.items, &itemRun{
			job: job, index: index, item: item.Item, body: loaded.Bodies[index], avoid: map[ident.Incarnation]bool{},
		})
	}
	job.markFinished(results)
	return job
}

// markFinished finishes the items that have a recorded result.
func (j *jobRun) markFinished(results []work.Result) {
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
}

// signalChanged wakes those that wait for recorded results.
func (j *jobRun) signalChanged() {
	close(j.changed)
	j.changed = make(chan struct{})
}

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
	for _, result := range j.log.Waiting() {
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
	result := item.result(state)
	item.text = bytes.Buffer{}
	item.body = nil
	j.log.Add(result)
	j.signal()
}

// result returns the result of the item in a state.
func (i *itemRun) result(state work.ResultState) work.Result {
	result := work.Result{ID: i.item.ID, State: state}
	if state == work.Completed {
		result.Text = i.text.String()
	}
	return result
}

func (j *jobRun) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}
