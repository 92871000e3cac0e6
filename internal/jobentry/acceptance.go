package jobentry

import (
	"context"
	"errors"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/handoff"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/work"
)

// acceptance is the taking of one job. The store is asked first; where it does not answer soon, workers are asked to keep
// the job as well, and whichever makes it durable first decides. Both may: the store takes a job once.
type acceptance struct {
	desk       *Desk
	route      *work.Route
	submission *jobrecord.Submission
	tries      int
	// handedOff says that workers keep the job until the store takes it.
	handedOff bool
	// waiting are the tokens that were counted in the store beside the job, zero where it was taken without a count there.
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
	for a.tries = 1; a.tries <= submitTries; a.tries++ {
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
		waiting, err := a.desk.accept(ctx, a.route, a.submission)
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
				ended <- attempt{handedOff: true, err: a.desk.Holders.Keep(ctx, a.route, a.submission)}
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
