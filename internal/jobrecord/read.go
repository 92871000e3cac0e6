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

// Body reads the body of an item, or returns ErrNoSuchItem.
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
		return candidate.cut(pair.Value)
	}
	return nil, fmt.Errorf("%w: %s", ErrNoSuchItem, item)
}

// cut takes the item's body out of its part.
func (i *ItemHeader) cut(part []byte) ([]byte, error) {
	if i.Offset < 0 || i.Length < 0 || i.Offset+i.Length > len(part) {
		return nil, fmt.Errorf("%w: body of item %s", ErrDamaged, i.ID)
	}
	return part[i.Offset : i.Offset+i.Length : i.Offset+i.Length], nil
}

// Listing is what one reading of a job's results told.
type Listing struct {
	// Results stand at successive positions from the one asked for, one page of them at most.
	Results []work.Result
	// Total is the number of the job's items and Tenant whose job it is; Total is zero where the reading did not tell, because nothing
	// was recorded there, or by an earlier build.
	Total  int
	Tenant ident.Tenant
	// Revision is that of the reading.
	Revision int64
}

// BelongsTo says whether a tenant may read the job, where the reading told of it. One without a tenant is open to all.
func (l *Listing) BelongsTo(tenant ident.Tenant) bool { return belongsTo(l.Tenant, tenant) }

// Results reads results from a position on, one page at most. The result before the position is read too: it tells of the job where
// there is none at the position.
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
		// The result before the position filled the page.
		if page, err = r.resultPage(ctx, job, from); err != nil {
			return Listing{}, err
		}
	}
	listing.Results, err = decodeResults(job, from, page.Pairs)
	return listing, err
}

// resultPage reads the results from a position on, one page at most.
func (r *Records) resultPage(ctx context.Context, job ident.Job, from int) (kv.Page, error) {
	options := kv.PageOptions{}
	if from > 0 {
		options.After = keyResult(job, from-1)
	}
	return r.Store.ListPage(ctx, resultsOf(job), options)
}

// NextResults waits for results from a position on that came after the revision. It returns none when the wait is over,
// or when what came does not continue at the position.
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

// decodeResults takes the results at successive positions from the given one on; it stops at a gap.
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
