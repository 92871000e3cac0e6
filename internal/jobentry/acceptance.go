package jobentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/queuecapacity"
	"mallowlatch.example/mallowlatch/internal/work"
)

// acceptance is one submission of a job while it is being made durable. The store is asked first; if it does not answer
// soon, workers are asked to store the job on their disks as well, and the first of the two to succeed decides. Both may
// succeed: the store accepts a job only once.
type acceptance struct {
	intake     *Intake
	route      *work.Route
	submission *jobrecord.Submission
	// attemptID distinguishes this acceptance from others of the same job. reservation is the queue capacity reserved for
	// the job, nil if the route has no limit.
	attemptID   string
	reservation *queuecapacity.Reservation
	tries       int
	// handedOff is true if workers store the job until the job store accepts it.
	handedOff bool
	// waitingTokens is the number of tokens already queued when the job was admitted.
	waitingTokens int
	// jobOutcome is Unknown once a try may have made the job durable without confirming it.
	jobOutcome outcome.Outcome
	last       error
	// noAnswer is true if neither the store nor any worker answered during a whole try.
	noAnswer bool
}

// run tries until the job is durable and returns false if it gives up. A job that exists already is left unchanged, so
// any node may repeat any try.
func (a *acceptance) run(ctx context.Context) bool {
	if err := a.intake.Records.Check(a.submission); err != nil {
		a.recordFailure(tooLarge(err))
		return false
	}
	taken := a.tryAll(ctx)
	if !taken && a.reservation != nil && a.jobOutcome == outcome.NotRun {
		a.reservation.Release()
	}
	return taken
}

func (a *acceptance) tryAll(ctx context.Context) bool {
	for a.tries = 1; a.tries <= submitTries; a.tries++ {
		if !a.reserve(ctx) {
			return false
		}
		if a.try(ctx) {
			return true
		}
		// A node that gets no answers is partitioned: the caller should use the remaining time at another node.
		if a.final() || a.noAnswer || !pause(ctx, submitPause) {
			return false
		}
	}
	return false
}

// reserve asks for queue capacity for the job until the answer is known. It returns false if there is none.
func (a *acceptance) reserve(ctx context.Context) bool {
	if a.admitted() || a.intake.Workers == nil {
		return true
	}
	a.requestReservation(ctx)
	count := a.reservation.Count
	switch a.reservation.Verdict {
	case queuecapacity.NoAnswer:
		a.recordFailure(failure.New(failure.CodeShardUnavailable, "no worker tells what waits on the route").WithRetryAfter(retryAfter))
		return false
	case queuecapacity.Uncertain:
		event.JobUnaccounted.Log(a.intake.Logger).Str("job", string(a.submission.ID)).Int("answers", count.Answers).Int("sure", count.Sure).Send()
	case queuecapacity.Full:
		return a.refuse(ctx)
	}
	return true
}

const (
	// reserveRetryPeriod is how long account holders that cannot answer yet are asked again: after a restart they first
	// have to find out which jobs are on disks.
	reserveRetryPeriod = time.Second
	// reserveRetryInterval is the time between two such requests.
	reserveRetryInterval = 100 * time.Millisecond
)

// requestReservation asks the account holders for a reservation, and asks again while none of them can answer.
func (a *acceptance) requestReservation(ctx context.Context) {
	end := a.intake.now().Add(reserveRetryPeriod)
	for {
		a.reservation = a.intake.Workers.Reserve(ctx, a.route, a.submission, a.attemptID)
		if a.reservation.Verdict != queuecapacity.NoAnswer || !a.intake.now().Before(end) || !pause(ctx, reserveRetryInterval) {
			return
		}
	}
}

// refuse records that there is no capacity for the job. It returns true if the job was accepted before.
func (a *acceptance) refuse(ctx context.Context) bool {
	if a.intake.exists(ctx, a.submission.ID) {
		// The store has the job: writing it again changes nothing.
		a.reservation.Verdict = queuecapacity.Fits
		return true
	}
	count, tokens, bound := a.reservation.Count, a.submission.Tokens(), a.route.MaximumQueuedTokens
	if count.Asked {
		a.recordFailure(failure.New(failure.CodeOutcomeUnknown, "an earlier submission of the job is on its way").WithOutcome(outcome.Unknown))
		a.reservation.Release()
		return false
	}
	a.recordFailure(failure.New(failure.CodeJobQuota, "%d tokens wait on the route and the job has %d, at most %d may wait",
		count.Waiting, tokens, bound).
		WithRetryAfter(queuecapacity.RetryAfter(count, tokens, bound, rand.Float64())))
	return false
}

// admitted reports whether the job needs no further check against the queue limit: its capacity is reserved, or there is
// no limit.
func (a *acceptance) admitted() bool {
	return a.route.MaximumQueuedTokens <= 0 || (a.reservation != nil && a.reservation.Verdict == queuecapacity.Fits)
}

// reservedWaitingTokens is the number of tokens queued when the job's capacity was reserved; zero if no reservation was
// needed.
func (a *acceptance) reservedWaitingTokens() int {
	if a.reservation == nil {
		return 0
	}
	return a.reservation.Count.Waiting
}

const (
	// serializeAboveShare is the share of a route's limit above which jobs that no account holder accounts for are
	// accepted one after the other. Below it, jobs accepted by several nodes at the same moment do not fill the queue.
	serializeAboveShare = 0.5
	// unsureLimitShare is the share of a route's limit that may be queued by the store's count if too few account holders
	// are sure of the account: what is still on its way to the store is then known only in part.
	unsureLimitShare = 0.85
)

// accountUnsure reports whether the route has an account that too few account holders are sure of.
func (a *acceptance) accountUnsure() bool {
	return a.reservation != nil && a.reservation.Verdict == queuecapacity.Uncertain
}

// storeLimit is the number of tokens that may be queued by the store's count.
func (a *acceptance) storeLimit() int {
	if a.accountUnsure() {
		return int(unsureLimitShare*float64(a.route.MaximumQueuedTokens)) - a.reservation.Count.Unlisted
	}
	return a.route.MaximumQueuedTokens
}

// serializeAbove is the share of that limit up to which several jobs may be written concurrently; zero if the account is
// unsure.
func (a *acceptance) serializeAbove() float64 {
	if a.accountUnsure() {
		return 0
	}
	return serializeAboveShare
}

// holderLimit is the number of tokens that may be queued by the count of the workers that store the job on their disks;
// zero turns the check off.
func (a *acceptance) holderLimit() int {
	if a.admitted() {
		return 0
	}
	return a.route.MaximumQueuedTokens
}

// attemptResult is the result of one of the two ways to make a job durable.
type attemptResult struct {
	handedOff     bool
	waitingTokens int
	err           error
}

// try asks the store, and also the workers if the store fails or does not answer soon.
func (a *acceptance) try(ctx context.Context) bool {
	results := make(chan attemptResult, 2)
	// Each call has its own tomb: a tomb whose goroutines have all ended accepts no more.
	a.submission.Retain()
	new(tomb.Tomb).Go(func() error {
		defer a.submission.Release()
		waitingTokens, err := a.intake.accept(ctx, a)
		results <- attemptResult{waitingTokens: waitingTokens, err: err}
		return nil
	})
	hedge := time.NewTimer(a.intake.hedgeDelay(a.submission))
	defer hedge.Stop()
	for inFlight, workersAsked := 1, a.intake.Workers == nil; inFlight > 0; {
		select {
		case <-hedge.C:
		case result := <-results:
			inFlight--
			if result.err == nil {
				a.handedOff, a.waitingTokens = result.handedOff, result.waitingTokens
				return true
			}
			a.recordFailure(result.err)
			if a.unstorable() {
				return false
			}
			a.noAnswer = a.noAnswer || result.handedOff && errors.Is(result.err, handoff.ErrNoAnswer)
			if errors.Is(result.err, jobrecord.ErrRaced) {
				// The store answers: the next try counts again.
				a.noAnswer = false
				continue
			}
			if !result.handedOff && !a.final() {
				a.intake.suspectStore()
			}
		}
		if !workersAsked && !a.final() {
			workersAsked = true
			inFlight++
			a.submission.Retain()
			new(tomb.Tomb).Go(func() error {
				defer a.submission.Release()
				results <- attemptResult{handedOff: true, err: a.intake.Workers.StoreHandoff(ctx, a.holderLimit(), a.submission)}
				return nil
			})
		}
	}
	return false
}

// recordFailure records what a failed try may have done. A failure that concerns the job itself takes precedence over a
// failure to reach a node.
func (a *acceptance) recordFailure(err error) {
	if !a.final() {
		a.last = err
	}
	var typed *failure.Error
	if jobrecord.Unknown(err) || (errors.As(err, &typed) && typed.Outcome != outcome.NotRun) {
		a.jobOutcome = outcome.Unknown
	}
}

// final reports whether the last failure concerns the job itself, so that no other node would accept it.
func (a *acceptance) final() bool {
	var typed *failure.Error
	if !errors.As(a.last, &typed) {
		return errors.Is(a.last, jobrecord.ErrOtherTenant)
	}
	return typed.Code == failure.CodeJobQuota || typed.Code == failure.CodeBodyTooLarge
}

// unstorable reports whether the store refused the job for good. A worker that keeps it on disk could not deliver it either.
func (a *acceptance) unstorable() bool {
	var typed *failure.Error
	return errors.As(a.last, &typed) && typed.Code == failure.CodeBodyTooLarge
}

// hedgeDelay is how long to wait for the store before workers are asked. It is longer for a job that takes long to send,
// because copies of it would use the same link.
func (d *Intake) hedgeDelay(submission *jobrecord.Submission) time.Duration {
	if d.suspectsStore() {
		return 0
	}
	if d.LinkBytes <= 0 {
		return hedgeAfter
	}
	size := 0
	for _, item := range submission.Items {
		size += len(item.Body)
	}
	return hedgeAfter + time.Duration(sendingFactor*float64(size)/d.LinkBytes*float64(time.Second))
}
