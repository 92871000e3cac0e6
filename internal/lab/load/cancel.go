package load

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

// CancelLedger counts what became of cancelled jobs.
type CancelLedger struct {
	// Asked counts the jobs whose cancel was sent; Accepted those of them that had not ended when it was answered.
	Asked    int `json:"asked"`
	Accepted int `json:"accepted"`
	// Ended counts accepted ones that are in the final state of a cancelled job, with a result for every item; Misended
	// those in another final state.
	Ended    int `json:"ended"`
	Misended int `json:"misended"`
	// CompletedItems and CancelledItems are the items of ended ones, by their result.
	CompletedItems int `json:"completed_items"`
	CancelledItems int `json:"cancelled_items"`
	// StartsAfter counts the starts that engines saw after the cancel was answered, LateStarts those beyond the bound.
	StartsAfter int `json:"starts_after"`
	LateStarts  int `json:"late_starts"`
	// LatestStart is the longest time from the answer to a start, in seconds.
	LatestStart float64 `json:"latest_start_s"`
}

// canceller says when a job is to be cancelled.
type canceller struct {
	heap Heap
	// since is when the time began to run, zero before.
	since time.Time
	asked bool
}

// due reports once that the cancel is due for a job in a state.
func (c *canceller) due(job batchObject, now time.Time) bool {
	if c.asked || c.heap.CancelAfter <= 0 {
		return false
	}
	if c.since.IsZero() && (c.heap.CancelUnseen || job.RequestCounts.Completed > 0) {
		c.since = now
	}
	c.asked = !c.since.IsZero() && now.Sub(c.since) >= c.heap.CancelAfter
	return c.asked
}

// cancelIfDue cancels a job when that is due, and returns the state it was answered with.
func (r *Run) cancelIfDue(ctx context.Context, heap Heap, job batchObject, planned *canceller) (batchObject, error) {
	if !planned.due(job, time.Now()) {
		return job, nil
	}
	var answer batchObject
	path := "/v1/batches/" + job.ID + "/cancel"
	if err := r.persist(ctx, heap, path, "", nil, &answer); err != nil {
		return job, fmt.Errorf("cancelling job %s: %w", job.ID, err)
	}
	r.cancelAnswered(answer, time.Now())
	return answer, nil
}

func (r *Run) cancelAnswered(answer batchObject, now time.Time) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	r.recorder.cancel.Asked++
	if answer.ended() {
		return
	}
	r.recorder.cancel.Accepted++
	r.recorder.cancelled[answer.ID] = now
}

// bookCancelled books the end of a job whose cancel was accepted.
func (r *Run) bookCancelled(job batchObject, checker *itemChecker) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	if _, cancelled := r.recorder.cancelled[job.ID]; !cancelled {
		return
	}
	ledger := &r.recorder.cancel
	if job.Status != "cancelled" || len(checker.seen) < len(checker.bodies) {
		ledger.Misended++
		return
	}
	ledger.Ended++
	ledger.CompletedItems += checker.counts.Completed
	ledger.CancelledItems += checker.counts.Cancelled
}

// countStarts holds the starts in the engines' own ledgers against the times at which cancels were answered.
func (l *CancelLedger) countStarts(runs map[string]enginesim.Run, cancelled map[string]time.Time, bound time.Duration) {
	for request, run := range runs {
		job, isItem := jobOf(request)
		answered, wasCancelled := cancelled[job]
		if !isItem || !wasCancelled || !run.Last.After(answered) {
			continue
		}
		after := run.Last.Sub(answered)
		l.StartsAfter++
		l.LatestStart = max(l.LatestStart, after.Seconds())
		if after > bound {
			l.LateStarts++
		}
	}
}

// jobOf returns the job of a request that an engine ran as a batch item, "job/index/lease".
func jobOf(request string) (string, bool) {
	parts := strings.Split(request, "/")
	return parts[0], len(parts) == 3
}

// readAgain reads the result files once more at the end of the run, from another node, and counts what is not the same.
func (r *Run) readAgain(ctx context.Context) {
	for number, file := range r.recorder.files {
		again := newItemChecker(nil)
		err := r.readFile(ctx, Heap{Number: number}, file.id, again)
		r.recorder.batchResult(func(ledger *BatchLedger) {
			if err != nil || again.digest() != file.digest {
				ledger.Changed++
				ledger.note(fmt.Sprintf("file %s is not as it was read first: %v", file.id, err))
			}
		})
	}
}

// resultFile is a result file as it was read first.
type resultFile struct {
	id, digest string
}

func (r *Run) keepFile(file resultFile) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	r.recorder.files = append(r.recorder.files, file)
}

// pollRequest asks for a job's state, each time another node.
func (r *Run) pollRequest(ctx context.Context, heap Heap, job string, poll int) (*http.Request, error) {
	target := r.options.Targets[(heap.Number+poll)%len(r.options.Targets)]
	return r.newRequest(ctx, target, http.MethodGet, heap.Number, "/v1/batches/"+job, "", nil)
}
