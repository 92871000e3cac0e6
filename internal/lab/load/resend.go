package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
)

const (
	// sendsPerTarget is how often a storm sends one submission to each target.
	sendsPerTarget = 2
	// impatientLeast and impatientSpread are when a client that gives up does so: its answer is lost, its submission may
	// be accepted.
	impatientLeast  = 2 * time.Millisecond
	impatientSpread = 40 * time.Millisecond
	// stormPatience bounds the wait of the others.
	stormPatience = 10 * time.Second
)

// ResendLedger counts the answers to submissions that were sent many times.
type ResendLedger struct {
	// Storms counts bursts, Sent the submissions in them.
	Storms int `json:"storms"`
	Sent   int `json:"sent"`
	// Answered counts those answered with a job, GivenUp those without an answer, Unavailable the refusals for now.
	Answered    int `json:"answered"`
	GivenUp     int `json:"given_up"`
	Unavailable int `json:"unavailable"`
	// Doubled counts answers with another job than the first, Foreign those with the job of another submission.
	Doubled int `json:"doubled"`
	Foreign int `json:"foreign"`
	// WrongRefusals counts refusals for good of a submission that is right.
	WrongRefusals int `json:"wrong_refusals"`
	// OthersRefused and OthersAccepted count submissions of another body under a key that is in use.
	OthersRefused  int `json:"others_refused"`
	OthersAccepted int `json:"others_accepted"`
	// UntoldJobs counts jobs that engines ran items of and that no submission was answered with, once for each engine.
	UntoldJobs int `json:"untold_jobs"`
}

// submission is what the storms of a heap send.
type submission struct {
	// key is empty for one that is known by its content alone.
	key string
	// copies name files of the same content, other a file of another; all are encoded requests.
	copies [][]byte
	other  []byte
}

// prepareStorms uploads the files of a heap: its content twice, and another content.
func (r *Run) prepareStorms(ctx context.Context, heap Heap, content []byte) (submission, error) {
	prepared := submission{}
	if heap.Number%2 == 0 {
		prepared.key = r.heapKey(heap, "/v1/batches")
	}
	for _, suffix := range []string{"", "-copy"} {
		request, err := r.upload(ctx, heap, content, suffix)
		if err != nil {
			return submission{}, err
		}
		prepared.copies = append(prepared.copies, request)
	}
	firstLine, _, _ := strings.Cut(string(content), "\n")
	other, err := r.upload(ctx, heap, []byte(firstLine+"\n"), "-other")
	prepared.other = other
	return prepared, err
}

// storms sends the submission in bursts, the first at once, and returns after the last.
func (r *Run) storms(ctx context.Context, heap Heap, sent submission, first *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(heap.Number)))
	for number := range r.options.Storms {
		if number > 0 && !pause(ctx, time.Duration(random.Float64()*float64(r.options.StormsWithin))) {
			return
		}
		r.storm(ctx, heap, sent, random)
		if number == 0 {
			first.Done()
		}
	}
}

// storm sends the submission to every target at once. Once a job is known, another body under its key is sent too.
func (r *Run) storm(ctx context.Context, heap Heap, sent submission, random *rand.Rand) {
	var sending sync.WaitGroup
	for index := range sendsPerTarget * len(r.options.Targets) {
		patience := stormPatience
		if random.IntN(2) == 0 {
			patience = impatientLeast + time.Duration(random.Float64()*float64(impatientSpread))
		}
		request := sent.copies[random.IntN(len(sent.copies))]
		sending.Go(func() {
			job, err := r.sendOnce(ctx, heap, index, patience, sent.key, request)
			r.recorder.resent(heap.Number, job, err)
		})
	}
	if sent.key != "" && r.recorder.jobOfHeap(heap.Number) != "" {
		index := random.IntN(len(r.options.Targets))
		sending.Go(func() {
			_, err := r.sendOnce(ctx, heap, index, stormPatience, sent.key, sent.other)
			r.recorder.otherSent(err)
		})
	}
	sending.Wait()
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	r.recorder.resend.Storms++
}

func (r *Run) sendOnce(ctx context.Context, heap Heap, index int, patience time.Duration, key string, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	target := r.options.Targets[index%len(r.options.Targets)]
	request, err := r.newRequest(ctx, target, http.MethodPost, heap.Number, "/v1/batches", "application/json", body)
	if err != nil {
		return "", err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	var job batchObject
	retry, err := r.call(request, &job)
	if err != nil && !retry {
		return "", fmt.Errorf("%w: %w", errRefused, err)
	}
	return job.ID, err
}

// errRefused means a refusal that another send would get too.
const errRefused = failure.Kind("load: refused for good")

// resent books the answer to one submission of a heap.
func (r *recorder) resent(heap int, job string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ledger := &r.resend
	ledger.Sent++
	switch {
	case errors.Is(err, errRefused):
		ledger.WrongRefusals++
		r.batch.note(err.Error())
	case errors.Is(err, errAnswer):
		ledger.Unavailable++
	case err != nil:
		ledger.GivenUp++
	default:
		ledger.Answered++
		r.told(heap, job)
	}
}

// told books that a heap's submission was answered with a job. It needs the mutex.
func (r *recorder) told(heap int, job string) {
	first, known := r.jobs[heap]
	owner, owned := r.heaps[job]
	switch {
	case owned && owner != heap:
		r.resend.Foreign++
	case known && first != job:
		r.resend.Doubled++
		r.batch.note(fmt.Sprintf("heap %d is job %s and job %s", heap, first, job))
	}
	if !owned {
		r.heaps[job] = heap
	}
	if !known {
		r.jobs[heap] = job
	}
}

// otherSent books the answer to another body under a key in use. No answer, or a refusal for now, says nothing.
func (r *recorder) otherSent(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.resend.OthersAccepted++
	case errors.Is(err, errRefused) && strings.Contains(err.Error(), string(failure.CodeIdempotencyMismatch)):
		r.resend.OthersRefused++
	case errors.Is(err, errRefused):
		r.resend.WrongRefusals++
		r.batch.note(err.Error())
	}
}

func (r *recorder) jobOfHeap(heap int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[heap]
}

// countUntold counts the jobs that engines ran items of and that nobody was told of.
func (l *ResendLedger) countUntold(runs map[string]enginesim.Run, told map[string]int) {
	untold := map[string]bool{}
	for request := range runs {
		job, isItem := jobOf(request)
		if _, known := told[job]; isItem && !known {
			untold[job] = true
		}
	}
	l.UntoldJobs += len(untold)
}

func encodeSubmission(file string) ([]byte, error) {
	request, err := json.Marshal(batchRequest{InputFileID: file, Endpoint: chatPath, CompletionWindow: "24h"})
	if err != nil {
		return nil, fmt.Errorf("encoding batch: %w", err)
	}
	return request, nil
}
