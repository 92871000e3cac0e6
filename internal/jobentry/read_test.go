package jobentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobentry"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/kv/kvtest"
	"mallowlatch.example/mallowlatch/internal/work"
)

const recordedItems = 3

// recordJob writes a job of a tenant to the store, with the results of its first items.
func recordJob(t *testing.T, records *jobrecord.Records, id ident.Job, tenant ident.Tenant, finished int) {
	t.Helper()
	ctx := context.Background()
	submission := &jobrecord.Submission{ID: id, Route: "r", Host: "h", Zone: "z", Tenant: tenant}
	for index := range recordedItems {
		submission.Items = append(submission.Items, work.Item{ID: ident.Request(fmt.Sprint(id, "-", index)), Path: "/p", Body: []byte("b")})
	}
	lease, err := records.Store.Grant(ctx, time.Hour)
	assert.NilError(t, err)
	assigned, err := records.AcceptFor(ctx, submission, nil, jobrecord.Assignee{Node: "w", Lease: lease})
	assert.NilError(t, err)
	header, err := records.Header(ctx, id)
	assert.NilError(t, err)
	for position := range finished {
		result := work.Result{ID: submission.Items[position].ID, State: work.Completed, Text: fmt.Sprint("text ", position)}
		last := position == recordedItems-1
		assert.NilError(t, records.Append(ctx, assigned.Claim, header, position, []work.Result{result}, 0, last))
	}
}

// mustList reads results and checks them.
func mustList(t *testing.T, intake *jobentry.Intake, tenant ident.Tenant, id ident.Job, from, finished int) {
	t.Helper()
	listing, err := intake.Results(context.Background(), tenant, id, from, 0)
	assert.NilError(t, err)
	assert.Equal(t, listing.Total, recordedItems)
	assert.Equal(t, len(listing.Results), max(finished-from, 0))
	for index, result := range listing.Results {
		assert.Equal(t, result.Text, fmt.Sprint("text ", from+index))
	}
}

// TestResultsThatNoWorkerHoldsAreReadInOneCall
//
// The load is that after a simultaneous restart of all machines: finished jobs, each read once or twice at fronts that
// have not read it before, from any position, including the end. The aim is one store call per read: the store has all
// that the answer needs in one place.
func TestResultsThatNoWorkerHoldsAreReadInOneCall(t *testing.T) {
	const jobs = 20
	for from := range recordedItems + 1 {
		intake, store := newIntake(&fakeWorkers{})
		for job := range jobs {
			recordJob(t, intake.Records, ident.Job(fmt.Sprint("job-", job)), "clinic", recordedItems)
		}
		before := store.Calls()
		for job := range jobs {
			mustList(t, intake, "clinic", ident.Job(fmt.Sprint("job-", job)), from, recordedItems)
		}
		calls := store.Calls() - before
		assert.Assert(t, calls <= jobs, "%d calls for %d readings from %d", calls, jobs, from)
	}
}

// TestResultsTellOnlyTheirTenant reads jobs of a tenant and jobs without one, complete and partial, as that tenant and as
// another one.
func TestResultsTellOnlyTheirTenant(t *testing.T) {
	for finished := range recordedItems + 1 {
		for from := range recordedItems + 1 {
			intake, _ := newIntake(&fakeWorkers{})
			recordJob(t, intake.Records, "job", "clinic", finished)
			recordJob(t, intake.Records, "open-to-all", "", finished)
			for range 2 {
				_, err := intake.Results(context.Background(), "school", "job", from, 0)
				assert.Equal(t, failure.As(err).Code, failure.CodeNotFound)
				mustList(t, intake, "clinic", "job", from, finished)
				mustList(t, intake, "school", "open-to-all", from, finished)
			}
		}
	}
}

// olderStore stores results as earlier builds did, without the total and the tenant of the job.
type olderStore struct{ kv.Paged }

// Commit implements kv.Paged.
func (s *olderStore) Commit(ctx context.Context, compares []kv.Compare, writes []kv.Write) (kv.TransactionResult, error) {
	for index := range writes {
		var stored map[string]any
		if json.Unmarshal(writes[index].Value, &stored) != nil || stored["state"] == nil {
			continue
		}
		delete(stored, "total")
		delete(stored, "tenant")
		writes[index].Value, _ = json.Marshal(stored)
	}
	return s.Paged.Commit(ctx, compares, writes)
}

// TestResultsOfAnEarlierBuildAreRead has the header read for results that lack the job's total and tenant.
func TestResultsOfAnEarlierBuildAreRead(t *testing.T) {
	for finished := range recordedItems + 1 {
		for from := range recordedItems + 1 {
			intake, store := newIntake(&fakeWorkers{})
			intake.Records.Store = &olderStore{Paged: store}
			recordJob(t, intake.Records, "job", "clinic", finished)
			for range 2 {
				_, err := intake.Results(context.Background(), "school", "job", from, 0)
				assert.Equal(t, failure.As(err).Code, failure.CodeNotFound)
				mustList(t, intake, "clinic", "job", from, finished)
			}
		}
	}
}

// singleResultStore returns pages of one result, like a store whose pages are bounded in bytes.
type singleResultStore struct{ *kvtest.Paged }

// ListPage implements kv.Paged.
func (s *singleResultStore) ListPage(ctx context.Context, prefix string, options kv.PageOptions) (kv.Page, error) {
	page, err := s.Paged.ListPage(ctx, prefix, options)
	if len(page.Pairs) > 1 {
		page.Pairs, page.More = page.Pairs[:1], true
	}
	return page, err
}

// TestLargeResultDoesNotHideTheNextOne reads from each position if a page fits only one result: an answer contains at
// least one result if there is one.
func TestLargeResultDoesNotHideTheNextOne(t *testing.T) {
	intake, store := newIntake(&fakeWorkers{})
	recordJob(t, intake.Records, "job", "clinic", recordedItems)
	intake.Records.Store = &singleResultStore{Paged: store}
	for from := range recordedItems {
		listing, err := intake.Results(context.Background(), "clinic", "job", from, 0)
		assert.NilError(t, err)
		assert.Equal(t, listing.Total, recordedItems)
		assert.Equal(t, len(listing.Results), 1)
		assert.Equal(t, listing.Results[0].Text, fmt.Sprint("text ", from))
	}
}
