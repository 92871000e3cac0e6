package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

const (
	uploadsAtOnce = 8
	// drainTimeout bounds the run of the jobs of one part.
	drainTimeout = 100 * time.Second
	// smallItems is the size of the job behind the large one, smallJobs the number of such jobs, one after the other.
	smallItems, smallJobs = 10, 5
	smallPause            = 500 * time.Millisecond
	samplePeriod          = 50 * time.Millisecond
)

// jobRun measures one fleet of disk nodes.
type jobRun struct {
	environment *environment
	started     *fleet.Fleet
	name        string
	fields      Fields
	workers     *jobWorkers
	client      *http.Client
}

func newJobRun(e *environment, started *fleet.Fleet, name string, fields Fields) *jobRun {
	return &jobRun{
		environment: e,
		started:     started,
		name:        name,
		fields:      fields,
		workers:     newJobWorkers(started, e.options.Jobs.Shards, e.seed),
		client:      &http.Client{},
	}
}

func (r *jobRun) close() {
	if err := r.workers.close(); err != nil {
		r.environment.notes = append(r.environment.notes, err.Error())
	}
}

// api returns the caller API of a tenant, at one node or another by the tenant's number.
func (r *jobRun) api(tenant int) callerAPI {
	node := r.started.Nodes[tenant%len(r.started.Nodes)]
	return callerAPI{client: r.client, base: r.started.CallerURL(node), key: tenantKey(tenant)}
}

// eachTenant calls for every tenant, a few at a time.
func (r *jobRun) eachTenant(ctx context.Context, call func(ctx context.Context, tenant int) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(uploadsAtOnce)
	for tenant := range r.environment.options.Jobs.Tenants {
		group.Go(func() error { return call(ctx, tenant) })
	}
	return group.Wait()
}

// uploadAll uploads a file for each tenant and returns their ids.
func (r *jobRun) uploadAll(ctx context.Context, prefix string, items int) ([]string, error) {
	files := make([]string, r.environment.options.Jobs.Tenants)
	err := r.eachTenant(ctx, func(ctx context.Context, tenant int) (err error) {
		files[tenant], err = r.api(tenant).upload(ctx, fmt.Sprint(prefix, "-", tenant), items)
		return err
	})
	return files, err
}

func (r *jobRun) progress(part string) {
	fmt.Fprintf(r.environment.options.Progress, "run %d, %s, %s\n", r.environment.run+1, r.name, part)
}

// batched measures the upload, and then submissions and leases of many items, all tenants at once.
func (r *jobRun) batched(ctx context.Context) error {
	options := r.environment.options.Jobs
	r.progress("upload")
	before, err := r.environment.readJobUsage(ctx, r.started)
	if err != nil {
		return err
	}
	files, err := r.uploadAll(ctx, "batched", options.Items)
	if err != nil {
		return err
	}
	after, err := r.environment.readJobUsage(ctx, r.started)
	if err != nil {
		return err
	}
	r.fields.addJobUsage(r.name+"_upload", before, after, options.Items*options.Tenants)
	return r.drain(ctx, "batched", files, options.Items, options.LeaseItems)
}

// plain measures leases of one item, so that each item is a commit of its own.
func (r *jobRun) plain(ctx context.Context) error {
	files, err := r.uploadAll(ctx, "plain", r.environment.options.Jobs.PlainItems)
	if err != nil {
		return err
	}
	return r.drain(ctx, "plain", files, r.environment.options.Jobs.PlainItems, 1)
}

// drain submits every tenant's file while workers run, until all items are completed.
func (r *jobRun) drain(ctx context.Context, part string, files []string, items, leaseItems int) error {
	r.progress(part)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	before, err := r.environment.readJobUsage(ctx, r.started)
	if err != nil {
		return err
	}
	var mutex sync.Mutex
	submitted := map[ident.Job]time.Time{}
	jobs := make([]jobState, len(files))
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return r.eachTenant(groupCtx, func(ctx context.Context, tenant int) error {
			accepted, err := r.api(tenant).submit(ctx, files[tenant])
			mutex.Lock()
			defer mutex.Unlock()
			submitted[ident.Job(accepted.ID)] = time.Now()
			jobs[tenant] = accepted
			return err
		})
	})
	group.Go(func() error {
		return r.workers.drain(groupCtx, r.environment.options.Jobs.Workers, leaseItems, items*len(files))
	})
	if err := group.Wait(); err != nil {
		return err
	}
	after, err := r.environment.readJobUsage(ctx, r.started)
	if err != nil {
		return err
	}
	r.fields.addJobUsage(r.name+"_"+part, before, after, items*len(files))
	waits := r.workers.lateness(submitted)
	r.fields[r.name+"_"+part+"_first_lease_p50_ms"] = waits[len(waits)/2]
	r.fields[r.name+"_"+part+"_first_lease_max_ms"] = waits[len(waits)-1]
	r.fields[r.name+"_"+part+"_failed_calls"] = float64(r.workers.failures.Swap(0))
	missing, err := r.verify(ctx, jobs)
	r.fields[r.name+"_"+part+"_missing_items"] = float64(missing)
	return err
}

// verify reads each job back and counts the items that did not complete.
func (r *jobRun) verify(ctx context.Context, jobs []jobState) (missing int, err error) {
	for tenant, job := range jobs {
		found, err := r.api(tenant).state(ctx, job.ID)
		if err != nil {
			return missing, err
		}
		missing += found.Counts.Total - found.Counts.Completed
	}
	return missing, nil
}

// largeAndSmall uploads a large job, submits small ones of the same tenant behind it, and measures how long these wait
// for their first lease, the nodes' peak memory meanwhile, and whether a count of the large job ever goes back.
func (r *jobRun) largeAndSmall(ctx context.Context) error {
	large := r.environment.options.Jobs.LargeItems
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	api := r.api(0)
	r.progress("large upload")
	idle, began := r.environment.nodeUsage(r.started).resident, time.Now()
	var file string
	peak, err := r.peakDuring(ctx, func() (err error) {
		file, err = api.upload(ctx, "large", large)
		return err
	})
	if err != nil {
		return err
	}
	r.fields[r.name+"_large_upload_s"] = time.Since(began).Seconds()
	r.fields[r.name+"_large_idle_resident_mb"] = float64(idle) / megabyte
	r.fields[r.name+"_large_upload_peak_resident_mb"] = float64(peak) / megabyte
	r.progress("small jobs behind a large one")
	job, err := r.runLarge(ctx, api, file, large)
	if err != nil {
		return err
	}
	return r.downloadLarge(ctx, api, job, large)
}

func (r *jobRun) runLarge(ctx context.Context, api callerAPI, file string, large int) (string, error) {
	small := make([]string, smallJobs)
	for number := range small {
		uploaded, err := api.upload(ctx, fmt.Sprint("small-", number), smallItems)
		if err != nil {
			return "", err
		}
		small[number] = uploaded
	}
	accepted, err := api.submit(ctx, file)
	if err != nil {
		return "", err
	}
	submitted := map[ident.Job]time.Time{}
	group, groupCtx := errgroup.WithContext(ctx)
	peak, err := r.peakDuring(ctx, func() error {
		group.Go(func() error {
			return r.workers.drain(groupCtx, r.environment.options.Jobs.Workers, r.environment.options.Jobs.LeaseItems, large+smallJobs*smallItems)
		})
		group.Go(func() error { return r.submitSmall(groupCtx, api, small, submitted) })
		group.Go(func() error { return r.watchCounts(groupCtx, api, accepted.ID) })
		return group.Wait()
	})
	if err != nil {
		return "", err
	}
	waits := r.workers.lateness(submitted)
	r.fields[r.name+"_small_behind_large_p50_ms"] = waits[len(waits)/2]
	r.fields[r.name+"_small_behind_large_max_ms"] = waits[len(waits)-1]
	r.fields[r.name+"_large_run_peak_resident_mb"] = float64(peak) / megabyte
	return accepted.ID, nil
}

func (r *jobRun) submitSmall(ctx context.Context, api callerAPI, files []string, submitted map[ident.Job]time.Time) error {
	for _, file := range files {
		accepted, err := api.submit(ctx, file)
		if err != nil {
			return err
		}
		submitted[ident.Job(accepted.ID)] = time.Now()
		sleep(ctx, smallPause)
	}
	return nil
}

// watchCounts polls a job until it has ended and counts steps back of its progress.
func (r *jobRun) watchCounts(ctx context.Context, api callerAPI, id string) error {
	steps, last := 0, jobState{}
	for ctx.Err() == nil {
		found, err := api.state(ctx, id)
		if err != nil {
			return err
		}
		if found.Counts.Completed < last.Counts.Completed || found.Counts.Failed < last.Counts.Failed || found.Counts.Total < last.Counts.Total {
			steps++
		}
		last = found
		if found.Status == "completed" {
			break
		}
		sleep(ctx, samplePeriod)
	}
	r.fields[r.name+"_large_counts_steps_back"] = float64(steps)
	return ctx.Err()
}

func (r *jobRun) downloadLarge(ctx context.Context, api callerAPI, id string, large int) error {
	ended, err := api.state(ctx, id)
	if err != nil {
		return err
	}
	began, lines := time.Now(), 0
	peak, err := r.peakDuring(ctx, func() (err error) {
		_, lines, err = api.download(ctx, ended.Output)
		return err
	})
	if err != nil {
		return err
	}
	r.fields[r.name+"_large_download_s"] = time.Since(began).Seconds()
	r.fields[r.name+"_large_download_peak_resident_mb"] = float64(peak) / megabyte
	r.fields[r.name+"_large_missing_lines"] = float64(large - lines)
	return nil
}

// peakDuring samples the largest resident memory of a node while work runs, in bytes.
func (r *jobRun) peakDuring(ctx context.Context, work func() error) (peak int64, err error) {
	done := make(chan error, 1)
	go func() { done <- work() }()
	for {
		peak = max(peak, r.environment.nodeUsage(r.started).resident)
		select {
		case err := <-done:
			return peak, err
		case <-time.After(samplePeriod):
		}
	}
}
