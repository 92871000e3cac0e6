// Package jobentry takes batch jobs in and reads them for callers, at any node. It answers from the records alone, so
// that every node gives the same answer, and says of a submission that failed whether the job can still come to be.
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
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/queueroom"
	"mallowlatch.example/mallowlatch/internal/reach"
	"mallowlatch.example/mallowlatch/internal/work"
)

const (
	// callTimeout bounds one call of the store.
	callTimeout = 900 * time.Millisecond
	// submitTries bounds the tries of one submission, submitPause parts them.
	submitTries = 4
	submitPause = 120 * time.Millisecond
	// retryAfter is when a caller may come back after a refusal.
	retryAfter = 500 * time.Millisecond
	// hedgeAfter is how long a submission waits for the store alone before workers are asked to keep it as well.
	hedgeAfter = 120 * time.Millisecond
	// sendingFactor times what the bodies of a job take on the node's link is added to it: they are sent in a text encoding,
	// beside other traffic.
	sendingFactor = 4
	// doubtFor is how long after a failed call the workers are asked at once.
	doubtFor = 2 * time.Second
	// deafRetryAfter is when a caller may come back to a node that hears nobody: it goes to another one, which can take the job now.
	deafRetryAfter = 100 * time.Millisecond
	// quotaRetryAfter is when a caller may come back to a queue that is full by the store's count.
	quotaRetryAfter = time.Second
	// existsTimeout bounds the question whether a job that does not fit was taken before.
	existsTimeout = 300 * time.Millisecond
	// cachedHeaders bounds the headers kept in memory. A header never changes, so that any copy is good.
	cachedHeaders = 256
	// answerBytes bounds the results of one answer.
	answerBytes = 900 << 10
	// resultOverhead is what a result takes in an answer beside its text.
	resultOverhead = 128
)

// Holders reads from the memory of the worker that runs a job.
type Holders interface {
	// Results returns results from a position on. sure is false where no worker answered for certain.
	Results(ctx context.Context, job ident.Job, from int, wait time.Duration) (held work.Held, sure bool)
	// Reserve asks for room for a job beside all that waits on the route. attempt names the try to take the job; it may ask again.
	Reserve(ctx context.Context, route *work.Route, submission *jobrecord.Submission, attempt string) *queueroom.Reservation
	// Keep has workers keep a job on disk until the store takes it. bound is what may wait by their own count; zero asks for none. Its
	// error is a *failure.Error.
	Keep(ctx context.Context, bound int, submission *jobrecord.Submission) error
	// Pending says whether a worker keeps a job that the store may not have yet; sure is false where one may and did not
	// answer.
	Pending(ctx context.Context, job ident.Job) (pending, sure bool)
	// Assignee returns a worker that would begin a job of some items at once, if there is one.
	Assignee(items int) (jobrecord.Assignee, bool)
	// Assign tells the worker of a job that was accepted with a claim for it, and says whether it runs the job.
	Assign(ctx context.Context, assignee jobrecord.Assignee, assigned jobrecord.Assigned) bool
	// Body returns the body of an item without a result and whose job it is, if a worker has it.
	Body(ctx context.Context, job ident.Job, item ident.Request) (body []byte, tenant ident.Tenant, found bool)
}

// Desk takes jobs in and reads them. It is safe for concurrent use.
type Desk struct {
	Records *jobrecord.Records
	// Holders answers readings from the memory of the worker that runs the job, where it is sure; nil reads the records
	// alone.
	Holders Holders
	// LinkBytes is what the node's link carries, in bytes a second; zero is not known.
	LinkBytes float64
	// Heard knows whether anybody answers this node; nil does not.
	Heard  *reach.Watch
	Logger zerolog.Logger

	// Now is the steady clock; nil is the machine's.
	Now func() time.Time

	mutex   sync.Mutex
	headers map[ident.Job]*jobrecord.Header
	// storeDoubted is until when workers are asked to keep a job without waiting for the store first.
	storeDoubted time.Time
}

// Accept makes a job durable. A nil error means that it is, now or since an earlier submission. The error is a
// *failure.Error; its outcome is NotRun only where the job was not written and never will be.
func (d *Desk) Accept(ctx context.Context, route *work.Route, submission *jobrecord.Submission) error {
	attempt := &acceptance{
		desk: d, route: route, submission: submission, name: strconv.FormatUint(rand.Uint64(), 36), told: outcome.NotRun,
	}
	submission.Hold()
	defer submission.LetGo()
	if d.deaf() {
		return d.refuseUnheard(submission)
	}
	if attempt.run(ctx) {
		event.JobTaken.Log(d.Logger).Str("job", string(submission.ID)).Int("items", len(submission.Items)).
			Int("tries", attempt.tries).Bool("handed_off", attempt.handedOff).
			Int("tokens", submission.Tokens()).Int("waiting", attempt.waiting).Send()
		return nil
	}
	refused := refusal(attempt.last, attempt.told)
	event.JobRefused.Log(d.Logger).Str("job", string(submission.ID)).Str("not_run", refused.Outcome.String()).Err(attempt.last).Send()
	return refused
}

// ErrDeaf means that neither the store nor any worker has answered this node for a while.
const ErrDeaf = failure.Kind("job entry: nobody answers this node")

// deaf says that this node can neither take a job nor tell of one.
func (d *Desk) deaf() bool { return d.Heard.Deaf(d.now()) }

// refuseUnheard refuses a job that was sent nowhere: another node can take it now, and this one would hold it until its caller had gone.
func (d *Desk) refuseUnheard(submission *jobrecord.Submission) *failure.Error {
	refused := failure.New(failure.CodeShardUnavailable, "this node reaches nobody who could take the job").
		WithRetryAfter(deafRetryAfter).WithCause(ErrDeaf)
	event.JobRefused.Log(d.Logger).Str("job", string(submission.ID)).Str("not_run", refused.Outcome.String()).Err(ErrDeaf).Send()
	return refused
}

func (d *Desk) now() time.Time {
	if d.Now == nil {
		return clock.Now()
	}
	return d.Now()
}

func (d *Desk) doubtsStore() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.now().Before(d.storeDoubted)
}

func (d *Desk) doubtStore() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.storeDoubted = d.now().Add(doubtFor)
}

// refusal is the final answer of a submission that failed.
func refusal(last error, told outcome.Outcome) *failure.Error {
	var final *failure.Error
	switch {
	case errors.As(last, &final) && told == outcome.NotRun && final.RetryAfter > 0:
		return final
	case errors.As(last, &final) && final.Code == failure.CodeBodyTooLarge:
		return final
	case errors.Is(last, jobrecord.ErrOthersJob):
		return failure.New(failure.CodeConflict, "another job has this id").WithCause(last)
	case told != outcome.NotRun:
		return failure.New(failure.CodeOutcomeUnknown, "the job may have been taken; send it again").WithOutcome(told).WithCause(last)
	}
	return failure.New(failure.CodeShardUnavailable, "the job could not be written").WithRetryAfter(retryAfter).WithCause(last)
}

// accept makes one try of an acceptance. It returns the tokens that were counted beside the job.
func (d *Desk) accept(ctx context.Context, attempt *acceptance) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	waiting, err := d.write(ctx, attempt)
	for race := 1; race < racesEach && errors.Is(err, jobrecord.ErrRaced); race++ {
		waiting, err = d.write(ctx, attempt)
	}
	if errors.Is(err, jobrecord.ErrTooLarge) {
		return waiting, tooLarge(err)
	}
	return waiting, err
}

// racesEach bounds the writes of one try that another job may forestall.
const racesEach = 4

// write writes a job whose room is reserved. Of any other one the waiting tokens are counted in the store, and where the queue may become
// full, nothing else is taken between the two.
func (d *Desk) write(ctx context.Context, attempt *acceptance) (int, error) {
	submission := attempt.submission
	if attempt.counted() {
		return attempt.reservedBeside(), d.put(ctx, submission, nil)
	}
	bound := attempt.storeBound()
	waiting, err := d.checkQuota(ctx, bound, submission)
	if err != nil {
		return waiting, err
	}
	if float64(waiting+submission.Tokens()) <= attempt.unguarded()*float64(bound) {
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

// exists says whether the store is known to have a job.
func (d *Desk) exists(ctx context.Context, job ident.Job) bool {
	if d.doubtsStore() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, existsTimeout)
	defer cancel()
	exists, err := d.Records.Exists(ctx, job)
	if err != nil {
		event.JobStoreFailed.Log(d.Logger).Str("doing", "asking for job "+string(job)).Err(err).Send()
	}
	return exists
}

func tooLarge(err error) *failure.Error {
	return failure.New(failure.CodeBodyTooLarge, "the job is too large to be kept").WithCause(err)
}

// checkQuota counts the tokens that wait on the route in the store, and refuses a job that does not fit beside them. A
// job that was accepted before is not refused.
func (d *Desk) checkQuota(ctx context.Context, bound int, submission *jobrecord.Submission) (int, error) {
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

// errNotWritten hides the outcome of a reading call: whatever became of it, nothing was written.
func errNotWritten(err error) error { return readError{cause: err} }

// readError is a failed reading before a write.
type readError struct{ cause error }

func (e readError) Error() string { return string(ErrNotChecked) + ": " + e.cause.Error() }

// Is makes the error an ErrNotChecked, and not what the reading call failed with.
func (e readError) Is(target error) bool { return target == ErrNotChecked }

// pause waits, or returns false when ctx ends first.
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
