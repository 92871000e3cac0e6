package jobworker

import (
	"context"
	"errors"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/jobrecord"
	"mallowlatch.example/mallowlatch/internal/kv"
	"mallowlatch.example/mallowlatch/internal/work"
)

// RecordedTimeout bounds the reading of a job's results for another node.
const RecordedTimeout = 500 * time.Millisecond

// Recorded reads for another node how far a job is recorded, from a position on, as of a reading that begins after the call, and the
// revision of the reading. The results of a finished job never change: they are kept, and the next reading takes them from memory. The
// error wraps kv.ErrUnavailable where the store is known not to answer.
func (w *Worker) Recorded(ctx context.Context, job ident.Job, from int) (held work.Held, revision int64, err error) {
	if w.storeFails() {
		return work.Held{}, 0, kv.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, RecordedTimeout)
	defer cancel()
	held, revision, err = w.readRecorded(ctx, job, from)
	if err != nil && !errors.Is(err, jobrecord.ErrNoSuchJob) {
		w.logStore("reading job "+string(job)+" for another node", err)
	}
	return held, revision, err
}

func (w *Worker) readRecorded(ctx context.Context, job ident.Job, from int) (held work.Held, revision int64, err error) {
	header, err := w.header(ctx, job)
	if err != nil {
		return work.Held{}, 0, err
	}
	held = work.Held{Tenant: header.Tenant, Total: len(header.Items)}
	if from >= held.Total {
		return held, 0, nil
	}
	held.Results, revision, err = w.Records.Results(ctx, job, from)
	if err != nil {
		return work.Held{}, 0, err
	}
	if from+len(held.Results) == held.Total {
		w.keepFinished(ctx, header, from, held.Results)
	}
	return held, revision, nil
}

// header returns a job's header, from memory if it was read before.
func (w *Worker) header(ctx context.Context, job ident.Job) (*jobrecord.Header, error) {
	if header := w.headers.Find(job); header != nil {
		return header, nil
	}
	header, err := w.Records.Header(ctx, job)
	if err != nil {
		return nil, err
	}
	w.headers.Keep(header)
	return header, nil
}

// keepFinished keeps the results of a finished job, of which those from a position on were read.
func (w *Worker) keepFinished(ctx context.Context, header *jobrecord.Header, from int, results []work.Result) {
	if from > 0 {
		all, err := w.Records.AllResults(ctx, header.ID)
		if err != nil {
			// The next reading tries again: what was asked for is known.
			w.logStore("reading the results of the finished job "+string(header.ID), err)
			return
		}
		results = all
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, known := w.finished.find(header.ID); !known && len(results) == len(header.Items) {
		w.finished.keep(header, results, w.Now())
	}
}
