package jobrecord

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/work"
)

func isNoSuchJob(err error) bool { return errors.Is(err, ErrNoSuchJob) }

// Header reads a job's header, or returns ErrNoSuchJob.
func (r *Records) Header(ctx context.Context, job ident.Job) (*Header, error) {
	pair, _, err := r.Store.Get(ctx, keyHeader(job))
	if errors.Is(err, kv.ErrNotFound) {
		return nil, fmt.Errorf("%w: %s", ErrNoSuchJob, job)
	}
	if err != nil {
		return nil, err
	}
	header := &Header{}
	return header, decode(pair, header)
}

// Body reads the body of an item. It returns ErrNoSuchItem if the job has no such item or its body was deleted.
func (r *Records) Body(ctx context.Context, header *Header, item ident.Request) ([]byte, error) {
	for _, candidate := range header.Items {
		if candidate.ID != item {
			continue
		}
		pair, _, err := r.Store.Get(ctx, keyPart(header.ID, candidate.Part))
		if errors.Is(err, kv.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, err
		}
		return candidate.bodyIn(pair.Value)
	}
	return nil, fmt.Errorf("%w: %s", ErrNoSuchItem, item)
}

// bodyIn returns the item's body, which is a slice of the given part.
func (i *ItemHeader) bodyIn(part []byte) ([]byte, error) {
	if i.Offset < 0 || i.Length < 0 || i.Offset+i.Length > len(part) {
		return nil, fmt.Errorf("%w: body of item %s", ErrDamaged, i.ID)
	}
	return part[i.Offset : i.Offset+i.Length : i.Offset+i.Length], nil
}

// Listing is one page of a job's results.
type Listing struct {
	// Results are at successive positions from the requested one.
	Results []work.Result
	// Total is the number of the job's items, and Tenant the tenant that it belongs to. Total is zero if it is unknown, because no
	// result was recorded there or an older build recorded it.
	Total  int
	Tenant ident.Tenant
	// Revision is the store's revision at the time of the reading.
	Revision int64
}

// BelongsTo reports whether a tenant may read the job. A job without a tenant, or whose tenant is unknown, is accessible to all.
func (l *Listing) BelongsTo(tenant ident.Tenant) bool { return belongsTo(l.Tenant, tenant) }

// Results reads results from a position on, at most one page. It also reads the result before the position, which has the total and the
// tenant of the job even if there is no result at the position yet.
func (r *Records) Results(ctx context.Context, job ident.Job, from int) (Listing, error) {
	page, err := r.resultPage(ctx, job, max(from-1, 0))
	if err != nil {
		return Listing{}, err
	}
	listing := Listing{Revision: page.Revision}
	if len(page.Pairs) > 0 {
		var first StoredResult
		if err := decode(page.Pairs[0], &first); err != nil {
			return Listing{}, err
		}
		listing.Total, listing.Tenant = first.Total, first.Tenant
	}
	if from > 0 && len(page.Pairs) > 0 && page.Pairs[0].Key == keyResult(job, from-1) {
		page.Pairs = page.Pairs[1:]
	}
	if len(page.Pairs) == 0 && page.More {
		// The page had only the result before the position.
		if page, err = r.resultPage(ctx, job, from); err != nil {
			return Listing{}, err
		}
	}
	listing.Results, err = decodeResults(job, from, page.Pairs)
	return listing, err
}

// resultPage reads the entries of results from a position on, at most one page.
func (r *Records) resultPage(ctx context.Context, job ident.Job, from int) (kv.Page, error) {
	options := kv.PageOptions{}
	if from > 0 {
		options.After = keyResult(job, from-1)
	}
	return r.Store.ListPage(ctx, resultsOf(job), options)
}

// NextResults waits for results from a position on that were written after the revision. It returns none after the wait, or if the new
// results do not start at the position.
func (r *Records) NextResults(ctx context.Context, job ident.Job, from int, after int64, wait time.Duration) ([]work.Result, error) {
	response, err := r.Store.Changes(ctx, resultsOf(job), after, wait)
	if err != nil {
		return nil, err
	}
	var pairs []kv.Pair
	for _, changed := range response.Events {
		if !changed.Deleted {
			pairs = append(pairs, changed.Pair)
		}
	}
	return decodeResults(job, from, pairs)
}

// decodeResults decodes the results at successive positions from the given one on. It stops at a gap.
func decodeResults(job ident.Job, from int, pairs []kv.Pair) ([]work.Result, error) {
	var results []work.Result
	for _, pair := range pairs {
		if pair.Key != keyResult(job, from+len(results)) {
			break
		}
		var result work.Result
		if err := decode(pair, &result); err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// ListOpen returns the open jobs and the revision to watch from.
func (r *Records) ListOpen(ctx context.Context) ([]Open, int64, error) {
	pairs, revision, err := kv.ListAll(ctx, r.Store, prefixOpen, kv.PageOptions{})
	if err != nil {
		return nil, 0, err
	}
	var open []Open
	for _, pair := range pairs {
		if entry, err := decodeOpen(pair); err == nil {
			open = append(open, entry)
		}
	}
	return open, revision, nil
}

func decodeOpen(pair kv.Pair) (Open, error) {
	var entry Open
	err := decode(pair, &entry)
	entry.ID = ident.Job(strings.TrimPrefix(pair.Key, prefixOpen))
	entry.Revision = pair.ModRevision
	return entry, err
}
