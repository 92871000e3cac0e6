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
	"mallowlatch.example/mallowlatch/internal/queueroom"
	"mallowlatch.example/mallowlatch/internal/work"
)

// acceptance is the taking of one job. The store is asked first; where it does not answer soon, workers are asked to keep
// the job as well, and whichever makes it durable first decides. Both may: the store takes a job once.
type acceptance struct {
	desk       *Desk
	route      *work.Route
	submission *jobrecord.Submission
	// name tells this acceptance from others of the job; room is what is reserved for it, or nil where there is no bound.
	name  string
	room  *queueroom.Reservation
	tries int
	// handedOff says that workers keep the job until the store takes it.
	handedOff bool
	// waiting are the tokens that were counted beside the job.
	waiting int
	// told is Unknown once a try may have made the job durable without having said so.
	told outcome.Outcome
	last error
	// unheard says that neither the store nor any worker said anything in a whole try.
	unheard bool
}

// run tries until the job is durable, and returns false where it is given up. A job that exists is left as it is, so that
// every try may be repeated by any node.
func (a *acceptance) run(ctx context.Context) bool {
	if err := a.desk.Records.Check(a.submission); err != nil {
		a.note(tooLarge(err))
		return false
	}
	taken := a.tryAll(ctx)
	if !taken && a.room != nil && a.told == outcome.NotRun {
		a.room.Release()
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
		// A node that hears nobody is cut off: the caller's time is better spent at another one.
		if a.final() || a.unheard || !pause(ctx, submitPause) {
			return false
		}
	}
	return false
}

// reserve asks for room for the job, until it is known whether there is. It returns false where there is none.
func (a *acceptance) reserve(ctx context.Context) bool {
	if a.counted() || a.desk.Holders == nil {
		return true
	}
	a.ask(ctx)
	count := a.room.Count
	switch a.room.Verdict {
	case queueroom.Unheard:
		a.note(failure.New(failure.CodeShardUnavailable, "no worker tells what waits on the route").WithRetryAfter(retryAfter))
		return false
	case queueroom.Unsure:
		event.JobUnaccounted.Log(a.desk.Logger).Str("job", string(a.submission.ID)).Int("answers", count.Answers).Int("sure", count.Sure).Send()
	case queueroom.Full:
		return a.refuse(ctx)
	}
	return true
}

const (
	// askAgainFor is how long keepers that say nothing yet are asked again: those that were started again learn first what is on disks.
	askAgainFor = time.Second
	// askAgainEvery is the time between two such questions.
	askAgainEvery = 100 * time.Millisecond
)

// ask asks the keepers, again where none says anything.
func (a *acceptance) ask(ctx context.Context) {
	end := a.desk.now().Add(askAgainFor)
	for {
		a.room = a.desk.Holders.Reserve(ctx, a.route, a.submission, a.name)
		if a.room.Verdict != queueroom.Unheard || !a.desk.now().Before(end) || !pause(ctx, askAgainEvery) {
			return
		}
	}
}

// refuse notes that there is no room for the job, and returns true where it was taken before.
func (a *acceptance) refuse(ctx context.Context) bool {
	if a.desk.exists(ctx, a.submission.ID) {
		// The store has it: writing it again changes nothing.
		a.room.Verdict = queueroom.Fits
		return true
	}
	count, tokens, bound := a.room.Count, a.submission.Tokens(), a.route.MaximumQueuedTokens
	if count.Asked {
		a.note(failure.New(failure.CodeOutcomeUnknown, "an earlier submission of the job is on its way").WithOutcome(outcome.Unknown))
		a.room.Release()
		return false
	}
	a.note(failure.New(failure.CodeJobQuota, "%d tokens wait on the route and the job has %d, at most %d may wait", count.Waiting, tokens, bound).
		WithRetryAfter(queueroom.ReturnAfter(count, tokens, bound, rand.Float64())))
	return false
}

// counted says whether the job needs no further count: its room is reserved, or there is no bound.
func (a *acceptance) counted() bool {
	return a.route.MaximumQueuedTokens <= 0 || (a.room != nil && a.room.Verdict == queueroom.Fits)
}

// reservedBeside is what waited beside the job as its room was reserved; zero where none had to be.
func (a *acceptance) reservedBeside() int {
	if a.room == nil {
		return 0
	}
	return a.room.Count.Waiting
}

const (
	// guardedShare of a route's bound may wait before jobs that workers keep no account of are taken one after the other: below it, jobs
	// that several nodes take at the same moment do not fill the queue.
	guardedShare = 0.5
	// unsureShare of a route's bound may wait by the store's count where too few keepers of its account are sure: what is on its
	// way is known in part.
	unsureShare = 0.85
)

// unaccounted says that the route has an account that too few keepers are sure of.
func (a *acceptance) unaccounted() bool { return a.room != nil && a.room.Verdict == queueroom.Unsure }

// storeBound is what may wait by the store's count.
func (a *acceptance) storeBound() int {
	if a.unaccounted() {
		return int(unsureShare*float64(a.route.MaximumQueuedTokens)) - a.room.Count.Unlisted
	}
	return a.route.MaximumQueuedTokens
}

// unguarded is the part of that bound up to which several jobs may be written at once.
func (a *acceptance) unguarded() float64 {
	if a.unaccounted() {
		return 0
	}
	return guardedShare
}

// keptBound is what may wait by the count of workers that keep the job on their disks; zero asks for none.
func (a *acceptance) keptBound() int {
	if a.counted() {
		return 0
	}
	return a.route.MaximumQueuedTokens
}

// attempt is how one of the two ways to make a job durable ended.
type attempt struct {
	handedOff bool
	waiting   int
	err       error
}

// try asks the store, and the workers when it does not answer soon or fails.
func (a *acceptance) try(ctx context.Context) bool {
	ended := make(chan attempt, 2)
	// Each call has a tomb of its own: one whose calls all ended takes no more.
	a.submission.Hold()
	new(tomb.Tomb).Go(func() error {
		defer a.submission.LetGo()
		waiting, err := a.desk.accept(ctx, a)
		ended <- attempt{waiting: waiting, err: err}
		return nil
	})
	hedge := time.NewTimer(a.desk.hedgeDelay(a.submission))
	defer hedge.Stop()
	for open, asked := 1, a.desk.Holders == nil; open > 0; {
		select {
		case <-hedge.C:
		case one := <-ended:
			open--
			if one.err == nil {
				a.handedOff, a.waiting = one.handedOff, one.waiting
				return true
			}
			a.note(one.err)
			a.unheard = a.unheard || one.handedOff && errors.Is(one.err, handoff.ErrNobodyAnswers)
			if errors.Is(one.err, jobrecord.ErrRaced) {
				// The store answers: the next try counts anew.
				a.unheard = false
				continue
			}
			if !one.handedOff && !a.final() {
				a.desk.doubtStore()
			}
		}
		if !asked && !a.final() {
			asked = true
			open++
			a.submission.Hold()
			new(tomb.Tomb).Go(func() error {
				defer a.submission.LetGo()
				ended <- attempt{handedOff: true, err: a.desk.Holders.Keep(ctx, a.keptBound(), a.submission)}
				return nil
			})
		}
	}
	return false
}

// note takes over what a failed try may have done. A failure of the job itself says more than one of the way to a node.
func (a *acceptance) note(err error) {
	if !a.final() {
		a.last = err
	}
	var typed *failure.Error
	if jobrecord.Unknown(err) || (errors.As(err, &typed) && typed.Outcome != outcome.NotRun) {
		a.told = outcome.Unknown
	}
}

// final says whether the last failure is of the job itself, so that no other node would take it.
func (a *acceptance) final() bool {
	var typed *failure.Error
	if !errors.As(a.last, &typed) {
		return errors.Is(a.last, jobrecord.ErrOthersJob)
	}
	return typed.Code == failure.CodeJobQuota || typed.Code == failure.CodeBodyTooLarge
}

// hedgeDelay is how long the store is waited for before workers are asked: longer for a job that takes long to be sent,
// because copies of it would take the same link.
func (d *Desk) hedgeDelay(submission *jobrecord.Submission) time.Duration {
	if d.doubtsStore() {
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
