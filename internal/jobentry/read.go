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

// longestWait bounds how long a reading is held.
const longestWait = time.Second

// Listing is a part of a job's results.
type Listing struct {
	// Total is the number of the job's items.
	Total int
	// Results stand at successive positions from the one asked for.
	Results []work.Result
}

// Results reads results of a tenant's job from a position on. Without any it waits for the next one, at most for the wait. The error
// is a *failure.Error.
func (d *Desk) Results(ctx context.Context, tenant ident.Tenant, job ident.Job, from int, wait time.Duration) (Listing, error) {
	wait = min(wait, longestWait)
	if d.deaf() {
		return Listing{}, d.readFailure(job, ErrDeaf)
	}
	if d.Holders != nil {
		if held, sure := d.Holders.Results(ctx, job, from, wait); sure {
			if err := d.checkTenant(ctx, tenant, held.Tenant, job); err != nil {
				return Listing{}, d.readFailure(job, err)
			}
			return Listing{Total: held.Total, Results: cut(held.Results)}, nil
		}
	}
	return d.recordedResults(ctx, tenant, job, from, wait)
}

// checkTenant returns nil where a tenant may read a job, given whose it is as the worker told that holds it. One that told of nobody
// may be of an older build: then the records say.
func (d *Desk) checkTenant(ctx context.Context, tenant, holder ident.Tenant, job ident.Job) error {
	if holder == tenant {
		return nil
	}
	if holder == "" {
		_, err := d.headerFor(ctx, tenant, job)
		return err
	}
	return fmt.Errorf("%w: %s is another tenant's", jobrecord.ErrNoSuchJob, job)
}

// headerFor returns the header of a tenant's job. To another tenant there is no such job.
func (d *Desk) headerFor(ctx context.Context, tenant ident.Tenant, job ident.Job) (*jobrecord.Header, error) {
	header, err := d.header(ctx, job)
	if err != nil {
		return nil, err
	}
	if !header.BelongsTo(tenant) {
		return nil, fmt.Errorf("%w: %s is another tenant's", jobrecord.ErrNoSuchJob, job)
	}
	return header, nil
}

// recordedResults reads the records themselves.
func (d *Desk) recordedResults(ctx context.Context, tenant ident.Tenant, job ident.Job, from int, wait time.Duration) (Listing, error) {
	read, err := d.list(ctx, tenant, job, from)
	if err != nil {
		return Listing{}, d.readFailure(job, err)
	}
	results := read.Results
	if len(results) == 0 && from < read.Total && wait > 0 {
		// A wait that fails is an empty answer: the list was read before it.
		results, _ = d.next(ctx, job, from, read.Revision, wait)
	}
	return Listing{Total: read.Total, Results: cut(results)}, nil
}

// list reads results of a tenant's job. Where they do not tell of the job, its header does.
func (d *Desk) list(ctx context.Context, tenant ident.Tenant, job ident.Job, from int) (jobrecord.Listing, error) {
	known := d.known(job)
	if known != nil && from >= len(known.Items) && known.BelongsTo(tenant) {
		return jobrecord.Listing{Total: len(known.Items)}, nil
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

func (d *Desk) next(ctx context.Context, job ident.Job, from int, after int64, wait time.Duration) ([]work.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout/4)
	defer cancel()
	return d.Records.NextResults(ctx, job, from, after, wait)
}

// cut keeps an answer within its bound, with one result at least.
func cut(results []work.Result) []work.Result {
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
func (d *Desk) Body(ctx context.Context, tenant ident.Tenant, job ident.Job, item ident.Request) ([]byte, error) {
	if d.deaf() {
		return nil, d.readFailure(job, ErrDeaf)
	}
	if d.Holders != nil {
		if body, holder, found := d.Holders.Body(ctx, job, item); found {
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
func (d *Desk) End(ctx context.Context, tenant ident.Tenant, job ident.Job) error {
	if d.deaf() {
		return d.readFailure(job, ErrDeaf)
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

func (d *Desk) end(ctx context.Context, header *jobrecord.Header) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.Records.End(ctx, header)
}

// known returns a job's header if it was read before, or nil.
func (d *Desk) known(job ident.Job) *jobrecord.Header {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.headers[job]
}

// header returns a job's header, from memory if it was read before.
func (d *Desk) header(ctx context.Context, job ident.Job) (*jobrecord.Header, error) {
	if known := d.known(job); known != nil {
		return known, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header, err := d.Records.Header(ctx, job)
	if errors.Is(err, jobrecord.ErrNoSuchJob) && d.Holders != nil {
		header, err = d.headerAfterHandoff(ctx, job)
	}
	if err != nil {
		return nil, err
	}
	d.remember(header)
	return header, nil
}

// ErrPending means that a worker keeps the job, or may keep it, until the store takes it.
const ErrPending = failure.Kind("job entry: the job may be on its way to the store")

// headerAfterHandoff reads the header of a job that the store did not have. An entry leaves a worker's disk only once the
// store has the job: where no worker keeps it, a second reading finds what was handed over meanwhile.
func (d *Desk) headerAfterHandoff(ctx context.Context, job ident.Job) (*jobrecord.Header, error) {
	if d.mayBePending(ctx, job) {
		return nil, fmt.Errorf("%w: %s", ErrPending, job)
	}
	return d.Records.Header(ctx, job)
}

// mayBePending says whether a worker keeps the job, or did not answer and so may keep it.
func (d *Desk) mayBePending(ctx context.Context, job ident.Job) bool {
	if d.Holders == nil {
		return false
	}
	pending, sure := d.Holders.Pending(ctx, job)
	return pending || !sure
}

func (d *Desk) remember(header *jobrecord.Header) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.headers == nil {
		d.headers = map[ident.Job]*jobrecord.Header{}
	}
	if len(d.headers) >= cachedHeaders {
		for id := range d.headers {
			delete(d.headers, id)
			break
		}
	}
	d.headers[header.ID] = header
}

// readFailure turns a failed reading into what the caller is told. Only what the records deny is not found.
func (d *Desk) readFailure(job ident.Job, err error) *failure.Error {
	switch {
	case errors.Is(err, jobrecord.ErrNoSuchJob):
		return failure.New(failure.CodeNotFound, "no such batch job").WithCause(err)
	case errors.Is(err, jobrecord.ErrNoSuchItem):
		return failure.New(failure.CodeNotFound, "no such item, or its result is listed").WithCause(err)
	}
	event.JobReadFailed.Log(d.Logger).Str("job", string(job)).Err(err).Send()
	after := retryAfter
	if errors.Is(err, ErrDeaf) {
		after = deafRetryAfter
	}
	return failure.New(failure.CodeShardUnavailable, "the job cannot be read now").WithRetryAfter(after).WithCause(err)
}
