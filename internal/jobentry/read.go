package jobentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/event"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/work"
)

// maxWait bounds how long a read waits for the next result.
const maxWait = time.Second

// Listing is a part of a job's results.
type Listing struct {
	// Total is the number of the job's items.
	Total int
	// Results are at consecutive positions from the requested one.
	Results []work.Result
}

// Results reads results of a tenant's job from a position on. If there are none, it waits for the next one, for wait at
// most. The error is a *failure.Error.
func (d *Intake) Results(ctx context.Context, tenant ident.Tenant, job ident.Job, from int, wait time.Duration) (Listing, error) {
	wait = min(wait, maxWait)
	if d.unreachable() {
		return Listing{}, d.readFailure(job, ErrUnreachable)
	}
	if d.Workers != nil {
		if held, sure := d.Workers.Results(ctx, job, from, wait); sure {
			if err := d.checkTenant(ctx, tenant, held.Tenant, job); err != nil {
				return Listing{}, d.readFailure(job, err)
			}
			return Listing{Total: held.Total, Results: truncate(held.Results)}, nil
		}
	}
	return d.recordedResults(ctx, tenant, job, from, wait)
}

// checkTenant returns nil if a tenant may read a job, given the tenant that the worker holding the job reported. A worker
// that reported no tenant may be of an older build: then the records decide.
func (d *Intake) checkTenant(ctx context.Context, tenant, holder ident.Tenant, job ident.Job) error {
	if holder == tenant {
		return nil
	}
	if holder == "" {
		_, err := d.headerFor(ctx, tenant, job)
		return err
	}
	return fmt.Errorf("%w: %s is another tenant's", jobrecord.ErrNoSuchJob, job)
}

// headerFor returns the header of a tenant's job. For other tenants the job does not exist.
func (d *Intake) headerFor(ctx context.Context, tenant ident.Tenant, job ident.Job) (*jobrecord.Header, error) {
	header, err := d.header(ctx, job)
	if err != nil {
		return nil, err
	}
	if !header.BelongsTo(tenant) {
		return nil, fmt.Errorf("%w: %s is another tenant's", jobrecord.ErrNoSuchJob, job)
	}
	return header, nil
}

// recordedResults reads results from the records.
func (d *Intake) recordedResults(ctx context.Context, tenant ident.Tenant, job ident.Job, from int, wait time.Duration) (Listing, error) {
	read, err := d.list(ctx, tenant, job, from)
	if err != nil {
		return Listing{}, d.readFailure(job, err)
	}
	results := read.Results
	if len(results) == 0 && from < read.Total && wait > 0 {
		// A failed wait gives an empty answer: the list was read before it.
		results, _ = d.next(ctx, job, from, read.Revision, wait)
	}
	return Listing{Total: read.Total, Results: truncate(results)}, nil
}

// list reads results of a tenant's job. If the results do not contain the job's total and tenant, they are read from its
// header.
func (d *Intake) list(ctx context.Context, tenant ident.Tenant, job ident.Job, from int) (jobrecord.Listing, error) {
	cachedHeader := d.cachedHeader(job)
	if cachedHeader != nil && from >= len(cachedHeader.Items) && cachedHeader.BelongsTo(tenant) {
		return jobrecord.Listing{Total: len(cachedHeader.Items)}, nil
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read, err := d.Records.Results(call, job, from)
	if err != nil {
		return jobrecord.Listing{}, err
	}
	if read.Total > 0 {
		if !read.BelongsTo(tenant) {
			return jobrecord.Listing{}, fmt.Errorf("%w: %s is another tenant's", jobrecord.ErrNoSuchJob, job)
		}
		return read, nil
	}
	header, err := d.headerFor(ctx, tenant, job)
	if err != nil {
		return jobrecord.Listing{}, err
	}
	read.Total = len(header.Items)
	return read, nil
}

func (d *Intake) next(ctx context.Context, job ident.Job, from int, after int64, wait time.Duration) ([]work.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout/4)
	defer cancel()
	return d.Records.NextResults(ctx, job, from, after, wait)
}

// truncate cuts an answer to its maximum size, but retains at least one result.
func truncate(results []work.Result) []work.Result {
	size := 0
	for index, result := range results {
		size += len(result.Text) + resultOverhead
		if size > answerBytes && index > 0 {
			return results[:index]
		}
	}
	return results
}

// Body reads the body of an item of a tenant's job that is not listed yet. The error is a *failure.Error.
func (d *Intake) Body(ctx context.Context, tenant ident.Tenant, job ident.Job, item ident.Request) ([]byte, error) {
	if d.unreachable() {
		return nil, d.readFailure(job, ErrUnreachable)
	}
	if d.Workers != nil {
		if body, holder, found := d.Workers.Body(ctx, job, item); found {
			if err := d.checkTenant(ctx, tenant, holder, job); err != nil {
				return nil, d.readFailure(job, err)
			}
			return body, nil
		}
	}
	header, err := d.headerFor(ctx, tenant, job)
	if err != nil {
		return nil, d.readFailure(job, err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := d.Records.Body(ctx, header, item)
	if err != nil {
		return nil, d.readFailure(job, err)
	}
	return body, nil
}

// End ends a tenant's job. The error is a *failure.Error.
func (d *Intake) End(ctx context.Context, tenant ident.Tenant, job ident.Job) error {
	if d.unreachable() {
		return d.readFailure(job, ErrUnreachable)
	}
	header, err := d.headerFor(ctx, tenant, job)
	if err != nil {
		return d.readFailure(job, err)
	}
	var last error
	for try := range submitTries {
		if try > 0 && !pause(ctx, submitPause) {
			break
		}
		if last = d.end(ctx, header); last == nil {
			return nil
		}
	}
	return d.readFailure(job, last)
}

func (d *Intake) end(ctx context.Context, header *jobrecord.Header) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.Records.End(ctx, header)
}

// cachedHeader returns a job's header if it was read before, or nil.
func (d *Intake) cachedHeader(job ident.Job) *jobrecord.Header {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.headers.get(job)
}

// header returns a job's header, from the cache if it was read before.
func (d *Intake) header(ctx context.Context, job ident.Job) (*jobrecord.Header, error) {
	if cachedHeader := d.cachedHeader(job); cachedHeader != nil {
		return cachedHeader, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header, err := d.Records.Header(ctx, job)
	if errors.Is(err, jobrecord.ErrNoSuchJob) && d.Workers != nil {
		header, err = d.headerAfterHandoff(ctx, job)
	}
	if err != nil {
		return nil, err
	}
	d.cacheHeader(header)
	return header, nil
}

// ErrPending means that a worker stores the job, or may store it, until the store accepts it.
const ErrPending = failure.Kind("job entry: the job may be on its way to the store")

// headerAfterHandoff reads the header of a job that the store did not have. An entry is removed from a worker's disk only
// once the store has the job: if no worker has an entry, a second read finds a job that was handed over in the meantime.
func (d *Intake) headerAfterHandoff(ctx context.Context, job ident.Job) (*jobrecord.Header, error) {
	if d.mayBePending(ctx, job) {
		return nil, fmt.Errorf("%w: %s", ErrPending, job)
	}
	return d.Records.Header(ctx, job)
}

// mayBePending reports whether a worker stores the job, or may store it because it did not answer.
func (d *Intake) mayBePending(ctx context.Context, job ident.Job) bool {
	if d.Workers == nil {
		return false
	}
	pending, sure := d.Workers.Pending(ctx, job)
	return pending || !sure
}

func (d *Intake) cacheHeader(header *jobrecord.Header) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.headers.add(header)
}

// readFailure returns the caller's error for a failed read. Not-found is reported only if the records deny the job or the
// item.
func (d *Intake) readFailure(job ident.Job, err error) *failure.Error {
	switch {
	case errors.Is(err, jobrecord.ErrNoSuchJob):
		return failure.New(failure.CodeNotFound, "no such batch job").WithCause(err)
	case errors.Is(err, jobrecord.ErrNoSuchItem):
		return failure.New(failure.CodeNotFound, "no such item, or its result is listed").WithCause(err)
	}
	event.JobReadFailed.Log(d.Logger).Str("job", string(job)).Err(err).Send()
	after := retryAfter
	if errors.Is(err, ErrUnreachable) {
		after = unreachableRetryAfter
	}
	return failure.New(failure.CodeShardUnavailable, "the job cannot be read now").WithRetryAfter(after).WithCause(err)
}
