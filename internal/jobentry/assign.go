package jobentry

import (
	"context"
	"errors"
	"time"

	"gopkg.in/tomb.v2"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
)

const (
	// assignTimeout bounds the call that assigns a job to a worker, and each try to release the claim.
	assignTimeout = 500 * time.Millisecond
	// releaseTries bounds the tries to release the claim of a worker that does not run the job. After them the claim
	// expires with the worker's lease, or the worker finds it.
	releaseTries = 3
)

// put writes a job, guarded by an admission unless it is nil. If a worker could start the job at once, the job is claimed
// for that worker in the same write: no worker has to find it, and no two call the store for it.
func (d *Intake) put(ctx context.Context, submission *jobrecord.Submission, admission *jobrecord.Admission) error {
	if d.Workers != nil {
		if assignee, found := d.Workers.Assignee(len(submission.Items)); found {
			assigned, err := d.Records.AcceptFor(ctx, submission, admission, assignee)
			if assigned != nil {
				event.ClaimWritten.Log(d.Logger).Str("job", string(submission.ID)).Str("worker", string(assignee.Node)).
					Int64("lease", int64(assignee.Lease)).Int64("revision", assigned.Claim.Revision).Bool("assigned", true).Send()
				d.assign(assignee, *assigned)
			}
			if !errors.Is(err, kv.ErrLeaseNotFound) {
				return err
			}
			// The worker's lease was replaced or is gone: nothing was written.
		}
	}
	if admission != nil {
		return d.Records.AcceptUnder(ctx, submission, *admission)
	}
	return d.Records.Accept(ctx, submission)
}

// assign sends the job to the worker in the background. If the worker does not run it, the claim is released for the
// others.
func (d *Intake) assign(assignee jobrecord.Assignee, assigned jobrecord.Assigned) {
	// The call has its own tomb: it outlives the request.
	new(tomb.Tomb).Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), assignTimeout)
		defer cancel()
		if d.Workers.Assign(ctx, assignee, assigned) {
			return nil
		}
		event.JobNotAssigned.Log(d.Logger).Str("job", string(assigned.Open.ID)).Str("worker", string(assignee.Node)).Send()
		d.release(assigned.Claim)
		return nil
	})
}

// release releases a claim.
func (d *Intake) release(claim jobrecord.Claim) {
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), assignTimeout)
		err := d.Records.Release(ctx, claim)
		cancel()
		if err == nil {
			return
		}
		event.JobStoreFailed.Log(d.Logger).Str("doing", "releasing the claim of job "+string(claim.Job)).Err(err).Send()
		time.Sleep(submitPause)
	}
}
