// Package jobentry accepts batch jobs and reads and ends them for callers, at any node. Results come from the worker that
// runs the job if it answers for certain, else from the job records, so that every node gives the same answer. For a
// submission that failed it says whether the job may still be run.
package jobentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mallowlatch.example/mallowlatch/internal/clock"
	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/queuecapacity"
	"mallowlatch.example/mallowlatch/internal/reachability"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// submitTries bounds the tries of one submission; submitPause is the time between two.
	submitTries = 4
	submitPause = 120 * time.Millisecond
	// retryAfter is when a caller may retry after a refusal.
	retryAfter = 500 * time.Millisecond
	// hedgeAfter is how long a submission waits for the store alone before workers are asked to store it as well.
	hedgeAfter = 120 * time.Millisecond
	// sendingFactor is multiplied by the time the job's bodies take on the node's link, and the product is added to
	// hedgeAfter: bodies are sent in a text encoding, beside other traffic.
	sendingFactor = 4
	// suspectPeriod is how long after a failed call to the store workers are asked without delay.
	suspectPeriod = 2 * time.Second
	// unreachableRetryAfter is when a caller refused by a node that gets no answers may retry: it goes to another node,
	// which can accept the job now.
	unreachableRetryAfter = 100 * time.Millisecond
	// quotaRetryAfter is when a caller may retry if the queue is full by the store's count.
	quotaRetryAfter = time.Second
	// existsTimeout bounds the check whether a job that does not fit was accepted before.
	existsTimeout = 300 * time.Millisecond
	// answerBytes bounds the size of the results in one answer.
	answerBytes = 900 << 10
	// resultOverhead is the size of a result in an answer without its text, in bytes.
	resultOverhead = 128
)

// Workers are the workers as a front sees them: those that run a job and answer from memory, those that account for
// queued tokens, and those that store a job on disk until the store accepts it.
type Workers interface {
	// Results returns results from a position on. sure is false if no worker answered for certain.
	Results(ctx context.Context, job ident.Job, from int, wait time.Duration) (held work.Held, sure bool)
	// Reserve asks for queue capacity for a job beside everything that waits on the route. attempt identifies the attempt
	// to accept the job; an attempt may ask again.
	Reserve(ctx context.Context, route *work.Route, submission *jobrecord.Submission, attempt string) *queuecapacity.Reservation
	// StoreHandoff asks workers to store a job on disk until the store accepts it. bound is the number of tokens that may be
	// queued by their own count; zero turns that check off. The error is a *failure.Error.
	StoreHandoff(ctx context.Context, bound int, submission *jobrecord.Submission) error
	// Pending reports whether a worker stores a job that the store may not have yet; sure is false if a worker that may
	// have it did not answer.
	Pending(ctx context.Context, job ident.Job) (pending, sure bool)
	// Assignee returns a worker that would start a job with that number of items at once, if there is one.
	Assignee(items int) (jobrecord.Assignee, bool)
	// Assign sends a worker a job that was accepted with a claim for it, and reports whether the worker runs the job.
	Assign(ctx context.Context, assignee jobrecord.Assignee, assigned jobrecord.Assigned) bool
	// Body returns the body of an item without a result and the job's tenant, if a worker has it.
	Body(ctx context.Context, job ident.Job, item ident.Request) (body []byte, tenant ident.Tenant, found bool)
}

// Intake accepts, reads and ends jobs. It is safe for concurrent use.
type Intake struct {
	Records *jobrecord.Records
	// Workers answers reads from the memory of the worker that runs the job, if it is sure, and stores jobs on disk while
	// the store does not answer; nil uses the records alone.
	Workers Workers
	// LinkBytes is the bandwidth of the node's link in bytes per second; zero means unknown.
	LinkBytes float64
	// Reachability records whether other processes answer this node; nil disables the check.
	Reachability *reachability.Watch
	Logger       zerolog.Logger

	// Now is the monotonic clock; nil uses the machine's.
	Now func() time.Time

	mutex   sync.Mutex
	headers headerCache
	// suspectedUntil is the time until which workers are asked to store a job without waiting for the store first.
	suspectedUntil time.Time
}

// Accept makes a job durable. A nil error means that it is, now or since an earlier submission. The error is a
// *failure.Error; its outcome is NotRun only if the job was not written and never will be.
func (d *Intake) Accept(ctx context.Context, route *work.Route, submission *jobrecord.Submission) error {
	attempt := &acceptance{
		intake: d, route: route, submission: submission, attemptID: strconv.FormatUint(rand.Uint64(), 36), jobOutcome: outcome.NotRun,
	}
	submission.Retain()
	defer submission.Release()
	if d.unreachable() {
		return d.refuseUnreachable(submission)
	}
	if attempt.run(ctx) {
		event.JobTaken.Log(d.Logger).Str("job", string(submission.ID)).Int("items", len(submission.Items)).
			Int("tries", attempt.tries).Bool("handed_off", attempt.handedOff).
			Int("tokens", submission.Tokens()).Int("waiting", attempt.waitingTokens).Send()
		return nil
	}
	refused := refusal(attempt.last, attempt.jobOutcome)
	event.JobRefused.Log(d.Logger).Str("job", string(submission.ID)).Str("not_run", refused.Outcome.String()).Err(attempt.last).Send()
	return refused
}

// ErrUnreachable means that neither the store nor any worker has answered this node for a while.
const ErrUnreachable = failure.Kind("job entry: nobody answers this node")

// unreachable reports whether this node can neither accept nor read jobs.
func (d *Intake) unreachable() bool { return d.Reachability.Partitioned(d.now()) }

// refuseUnreachable refuses a job without sending it anywhere: another node can accept it now, while this one would hold
// it until the caller gave up.
func (d *Intake) refuseUnreachable(submission *jobrecord.Submission) *failure.Error {
	refused := failure.New(failure.CodeShardUnavailable, "this node reaches nobody who could take the job").
		WithRetryAfter(unreachableRetryAfter).WithCause(ErrUnreachable)
	event.JobRefused.Log(d.Logger).Str("job", string(submission.ID)).Str("not_run", refused.Outcome.String()).Err(ErrUnreachable).Send()
	return refused
}

func (d *Intake) now() time.Time {
	if d.Now == nil {
		return clock.Now()
	}
	return d.Now()
}

func (d *Intake) suspectsStore() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.now().Before(d.suspectedUntil)
}

func (d *Intake) suspectStore() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.suspectedUntil = d.now().Add(suspectPeriod)
}

// refusal returns the final error of a submission that failed.
func refusal(last error, jobOutcome outcome.Outcome) *failure.Error {
	var final *failure.Error
	switch {
	case errors.As(last, &final) && jobOutcome == outcome.NotRun && final.RetryAfter > 0:
		return final
	case errors.As(last, &final) && final.Code == failure.CodeBodyTooLarge:
		return final
	case errors.Is(last, jobrecord.ErrOtherTenant):
		return failure.New(failure.CodeConflict, "another job has this id").WithCause(last)
	case jobOutcome != outcome.NotRun:
		return failure.New(failure.CodeOutcomeUnknown, "the job may have been taken; send it again").WithOutcome(jobOutcome).WithCause(last)
	}
	return failure.New(failure.CodeShardUnavailable, "the job could not be written").WithRetryAfter(retryAfter).WithCause(last)
}

// accept makes one try at the store. It returns the number of tokens already queued.
func (d *Intake) accept(ctx context.Context, attempt *acceptance) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	waiting, err := d.write(ctx, attempt)
	for race := 1; race < maxWriteRaces && errors.Is(err, jobrecord.ErrRaced); race++ {
		waiting, err = d.write(ctx, attempt)
	}
	if errors.Is(err, jobrecord.ErrTooLarge) || errors.Is(err, kv.ErrRefused) {
		return waiting, tooLarge(err)
	}
	return waiting, err
}

// maxWriteRaces bounds the writes of one try that may fail because another job was written first.
const maxWriteRaces = 4

// write writes a job. If its capacity is reserved, it is written as is. Otherwise the queued tokens are counted in the
// store, and if the queue may become full, the write is guarded by an admission: it fails if another job was accepted
// since the count.
func (d *Intake) write(ctx context.Context, attempt *acceptance) (int, error) {
	submission := attempt.submission
	if attempt.admitted() {
		return attempt.reservedWaitingTokens(), d.put(ctx, submission, nil)
	}
	bound := attempt.storeLimit()
	waiting, err := d.checkQuota(ctx, bound, submission)
	if err != nil {
		return waiting, err
	}
	if float64(waiting+submission.Tokens()) <= attempt.serializeAbove()*float64(bound) {
		return waiting, d.put(ctx, submission, nil)
	}
	admission, err := d.Records.Admission(ctx, attempt.route.Name)
	if err != nil {
		return waiting, errNotWritten(err)
	}
	if waiting, err = d.checkQuota(ctx, bound, submission); err != nil {
		return waiting, err
	}
	return waiting, d.put(ctx, submission, &admission)
}

// exists reports whether the store is known to have a job.
func (d *Intake) exists(ctx context.Context, job ident.Job) bool {
	if d.suspectsStore() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, existsTimeout)
	defer cancel()
	exists, err := d.Records.Exists(ctx, job)
	if err != nil {
		event.JobStoreFailed.Log(d.Logger).Str("doing", "checking for job "+string(job)).Err(err).Send()
	}
	return exists
}

// tooLarge returns the refusal of a job that the records cannot keep, now or later.
func tooLarge(err error) *failure.Error {
	return failure.New(failure.CodeBodyTooLarge, "the job is too large to be kept").WithCause(err)
}

// checkQuota counts the route's queued tokens in the store and refuses a job that does not fit. A job that was accepted
// before is not refused.
func (d *Intake) checkQuota(ctx context.Context, bound int, submission *jobrecord.Submission) (int, error) {
	tokens := submission.Tokens()
	waiting, err := d.Records.WaitingTokens(ctx, submission.Queue(), bound-tokens)
	if err != nil {
		return 0, errNotWritten(err)
	}
	if waiting+tokens <= bound {
		return waiting, nil
	}
	exists, err := d.Records.Exists(ctx, submission.ID)
	if err != nil {
		return 0, errNotWritten(err)
	}
	if exists {
		return waiting, nil
	}
	if d.mayBePending(ctx, submission.ID) {
		return 0, failure.New(failure.CodeOutcomeUnknown, "an earlier submission of the job is on its way").WithOutcome(outcome.Unknown)
	}
	return 0, failure.New(failure.CodeJobQuota, "%d tokens wait on the route and the job has %d, at most %d may wait", waiting, tokens, bound).
		WithRetryAfter(quotaRetryAfter)
}

// ErrNotChecked means that the records could not be read before anything was written.
const ErrNotChecked = failure.Kind("job entry: the records could not be read")

// errNotWritten hides the outcome of a failed read: whatever the read did, nothing was written.
func errNotWritten(err error) error { return readError{cause: err} }

// readError is a failed read before a write.
type readError struct{ cause error }

func (e readError) Error() string { return string(ErrNotChecked) + ": " + e.cause.Error() }

// Is makes the error match ErrNotChecked only, not the error of the read.
func (e readError) Is(target error) bool { return target == ErrNotChecked }

// pause waits for a duration. It returns false if ctx ends first.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
