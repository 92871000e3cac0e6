package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"sync"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// errAnswer means an answer of the batch API that is no success.
const errAnswer = failure.Kind("load: unexpected answer")

const (
	// pollPeriod is the time between looks at a job.
	pollPeriod = 500 * time.Millisecond
	// resendPause is the time before a failed call is sent again.
	resendPause = 200 * time.Millisecond
	chatPath    = "/v1/chat/completions"
)

type batchLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
	// Repeatable is nil or false.
	Repeatable *bool `json:"repeatable,omitempty"`
}

type fileObject struct {
	ID string `json:"id"`
}

type batchRequest struct {
	InputFileID      string `json:"input_file_id"`
	Endpoint         string `json:"endpoint"`
	CompletionWindow string `json:"completion_window"`
}

type batchObject struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

func (b batchObject) ended() bool {
	switch b.Status {
	case "completed", "failed", "expired", "cancelled":
		return true
	}
	return false
}

// batch sends one heap as a file and a job, follows it to its end and checks every result.
func (r *Run) batch(ctx context.Context, heap Heap) {
	bodies := r.bodiesOf(heap)
	var storming sync.WaitGroup
	defer storming.Wait()
	job, err := r.submit(ctx, heap, bodies, &storming)
	if err != nil {
		r.recorder.batchResult(func(ledger *BatchLedger) {
			ledger.Refused["submission"]++
			ledger.note(err.Error())
		})
		return
	}
	r.recorder.batchResult(func(ledger *BatchLedger) {
		ledger.JobsAccepted++
		if heap.Once {
			r.recorder.onceJobs[job.ID] = true
			ledger.Once += len(heap.Items)
		}
		ledger.Accepted += len(heap.Items)
	})
	job, err = r.follow(ctx, heap, job)
	if err != nil {
		r.unfinished(heap, err)
		return
	}
	checker := newItemChecker(bodies)
	if err := r.readResults(ctx, heap, job, checker); err != nil {
		r.unfinished(heap, err)
		return
	}
	r.recorder.batchResult(func(ledger *BatchLedger) {
		ledger.JobsEnded++
		checker.book(ledger, job.Status)
		if checker.counts.Completed != job.RequestCounts.Completed {
			ledger.Backwards++
			ledger.note(fmt.Sprintf("job %s counts %d completed, its file %d", job.ID, job.RequestCounts.Completed, checker.counts.Completed))
		}
	})
	r.bookCancelled(job, checker)
}

func (r *Run) unfinished(heap Heap, err error) {
	r.recorder.batchResult(func(ledger *BatchLedger) {
		ledger.Unfinished += len(heap.Items)
		ledger.note(err.Error())
	})
}

func (r *Run) bodiesOf(heap Heap) map[string][]byte {
	bodies := make(map[string][]byte, len(heap.Items))
	for index, item := range heap.Items {
		bodies[fmt.Sprintf("heap-%d-item-%d", heap.Number, index)] = item.chat(r.options.Model, false, true)
	}
	return bodies
}

func fileOf(bodies map[string][]byte, once bool) ([]byte, error) {
	var file bytes.Buffer
	encoder := json.NewEncoder(&file)
	for customID, body := range bodies {
		line := batchLine{CustomID: customID, Method: http.MethodPost, URL: chatPath, Body: body}
		if once {
			line.Repeatable = new(bool)
		}
		if err := encoder.Encode(line); err != nil {
			return nil, fmt.Errorf("encoding batch line: %w", err)
		}
	}
	return file.Bytes(), nil
}

// submit uploads a heap and submits its job; with storms, many times at once and again while the job runs.
func (r *Run) submit(ctx context.Context, heap Heap, bodies map[string][]byte, storming *sync.WaitGroup) (batchObject, error) {
	content, err := fileOf(bodies, heap.Once)
	if err != nil {
		return batchObject{}, err
	}
	if r.options.Storms > 0 {
		return r.submitInStorms(ctx, heap, content, storming)
	}
	request, err := r.upload(ctx, heap, content, "")
	if err != nil {
		return batchObject{}, err
	}
	return r.submitUntilAnswered(ctx, heap, request, r.heapKey(heap, "/v1/batches"))
}

func (r *Run) submitInStorms(ctx context.Context, heap Heap, content []byte, storming *sync.WaitGroup) (batchObject, error) {
	sent, err := r.prepareStorms(ctx, heap, content)
	if err != nil {
		return batchObject{}, err
	}
	var first sync.WaitGroup
	first.Add(1)
	storming.Go(func() { r.storms(ctx, heap, sent, &first) })
	first.Wait()
	job, err := r.submitUntilAnswered(ctx, heap, sent.copies[0], sent.key)
	r.recorder.resent(heap.Number, job.ID, err)
	return job, err
}

func (r *Run) submitUntilAnswered(ctx context.Context, heap Heap, request []byte, key string) (batchObject, error) {
	var job batchObject
	if err := r.persistAs(ctx, heap, key, "/v1/batches", "application/json", request, &job); err != nil {
		return batchObject{}, fmt.Errorf("submitting heap %d: %w", heap.Number, err)
	}
	return job, nil
}

// upload uploads a file and returns the encoded submission of it. The suffix tells the files of a heap apart.
func (r *Run) upload(ctx context.Context, heap Heap, content []byte, suffix string) ([]byte, error) {
	body, contentType, err := multipartOf(content)
	if err != nil {
		return nil, err
	}
	var file fileObject
	if err := r.persistAs(ctx, heap, r.heapKey(heap, "/v1/files")+suffix, "/v1/files", contentType, body, &file); err != nil {
		return nil, fmt.Errorf("uploading heap %d: %w", heap.Number, err)
	}
	return encodeSubmission(file.ID)
}

func multipartOf(content []byte) ([]byte, string, error) {
	var body bytes.Buffer
	writer := multipart.NewWriter(&body)
	if err := writer.WriteField("purpose", "batch"); err != nil {
		return nil, "", fmt.Errorf("encoding upload: %w", err)
	}
	part, err := writer.CreateFormFile("file", "heap.jsonl")
	if err != nil {
		return nil, "", fmt.Errorf("encoding upload: %w", err)
	}
	if _, err := part.Write(content); err != nil {
		return nil, "", fmt.Errorf("encoding upload: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, "", fmt.Errorf("encoding upload: %w", err)
	}
	return body.Bytes(), writer.FormDataContentType(), nil
}

func (r *Run) heapKey(heap Heap, path string) string {
	return fmt.Sprintf("load-%s-heap-%d%s", r.name, heap.Number, path)
}

// persist posts until it succeeds, is refused for good, or the run ends. Every send carries the same idempotency key.
func (r *Run) persist(ctx context.Context, heap Heap, path, contentType string, body []byte, answer any) error {
	return r.persistAs(ctx, heap, r.heapKey(heap, path), path, contentType, body, answer)
}

// persistAs does so with a given key, or without one if it is empty. Each send goes to another target.
func (r *Run) persistAs(ctx context.Context, heap Heap, key, path, contentType string, body []byte, answer any) error {
	for attempt := 0; ; attempt++ {
		target := r.options.Targets[(heap.Number+attempt)%len(r.options.Targets)]
		request, err := r.newRequest(ctx, target, http.MethodPost, heap.Number, path, contentType, body)
		if err != nil {
			return err
		}
		if key != "" {
			request.Header.Set("Idempotency-Key", key)
		}
		retry, err := r.call(request, answer)
		if err == nil || !retry {
			return err
		}
		if !pause(ctx, resendPause) {
			return err
		}
	}
}

// call makes one call and decodes its JSON answer. It says whether a failed call is worth another try.
func (r *Run) call(request *http.Request, answer any) (retry bool, err error) {
	response, err := r.client.Do(request)
	if err != nil {
		return true, fmt.Errorf("calling: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return true, fmt.Errorf("reading answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		retry = response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests
		return retry, fmt.Errorf("%w: %d: %.300s", errAnswer, response.StatusCode, content)
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return false, fmt.Errorf("%w: %w", errAnswer, err)
	}
	return false, nil
}

// follow polls a job until it has ended, at another node each time, and cancels it when that is due.
func (r *Run) follow(ctx context.Context, heap Heap, job batchObject) (batchObject, error) {
	planned := &canceller{heap: heap}
	for poll := 0; ; poll++ {
		if !pause(ctx, pollPeriod) {
			return job, fmt.Errorf("job %s is %s at the end of the run: %w", job.ID, job.Status, ctx.Err())
		}
		answered, err := r.cancelIfDue(ctx, heap, job, planned)
		if err != nil {
			return job, err
		}
		r.progressed(job, answered)
		job = answered
		request, err := r.pollRequest(ctx, heap, job.ID, poll)
		if err != nil {
			return job, err
		}
		var latest batchObject
		retry, err := r.call(request, &latest)
		if err != nil && !retry {
			return job, fmt.Errorf("polling job %s: %w", job.ID, err)
		}
		if err != nil {
			continue
		}
		r.progressed(job, latest)
		job = latest
		if job.ended() {
			return job, nil
		}
	}
}

// progressed books what a job's counts grew by; they must never shrink, and a job that has ended or is being cancelled
// stays so.
func (r *Run) progressed(before, now batchObject) {
	r.recorder.batchProgress(time.Since(r.started), now.RequestCounts.Completed-before.RequestCounts.Completed)
	shrunk := now.RequestCounts.Completed < before.RequestCounts.Completed || now.RequestCounts.Failed < before.RequestCounts.Failed
	revived := before.Status == "cancelling" && now.Status != "cancelling" && now.Status != "cancelled"
	if !shrunk && !revived {
		return
	}
	r.recorder.batchResult(func(ledger *BatchLedger) {
		ledger.Backwards++
		ledger.note(fmt.Sprintf("job %s went back from %s %+v to %s %+v", now.ID, before.Status, before.RequestCounts, now.Status, now.RequestCounts))
	})
}

func (r *Run) readResults(ctx context.Context, heap Heap, job batchObject, checker *itemChecker) error {
	for _, file := range []string{job.OutputFileID, job.ErrorFileID} {
		if file == "" {
			continue
		}
		if err := r.readFile(ctx, heap, file, checker); err != nil {
			return fmt.Errorf("reading results of job %s: %w", job.ID, err)
		}
		r.keepFile(resultFile{id: file, digest: checker.digest()})
	}
	return nil
}

func (r *Run) readFile(ctx context.Context, heap Heap, file string, checker *itemChecker) error {
	for attempt := 0; ; attempt++ {
		target := r.options.Targets[(heap.Number+attempt)%len(r.options.Targets)]
		request, err := r.newRequest(ctx, target, http.MethodGet, heap.Number, "/v1/files/"+file+"/content", "", nil)
		if err != nil {
			return err
		}
		content, retry, err := r.download(request)
		if err == nil {
			return checker.file(content)
		}
		if !retry || !pause(ctx, resendPause) {
			return err
		}
	}
}

func (r *Run) download(request *http.Request) (content []byte, retry bool, err error) {
	response, err := r.client.Do(request)
	if err != nil {
		return nil, true, fmt.Errorf("calling: %w", err)
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return nil, true, fmt.Errorf("reading answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		retry = response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests
		return nil, retry, fmt.Errorf("%w: %d: %.300s", errAnswer, response.StatusCode, content)
	}
	return content, false, nil
}

// pause returns false if the context ends first.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
