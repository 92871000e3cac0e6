package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
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
	job, err := r.submit(ctx, heap, bodies)
	if err != nil {
		r.recorder.batchResult(func(ledger *BatchLedger) {
			ledger.Refused["submission"]++
			ledger.note(err.Error())
		})
		return
	}
	r.recorder.batchResult(func(ledger *BatchLedger) {
		ledger.JobsAccepted++
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
	})
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

func fileOf(bodies map[string][]byte) ([]byte, error) {
	var file bytes.Buffer
	encoder := json.NewEncoder(&file)
	for customID, body := range bodies {
		line := batchLine{CustomID: customID, Method: http.MethodPost, URL: chatPath, Body: body}
		if err := encoder.Encode(line); err != nil {
			return nil, fmt.Errorf("encoding batch line: %w", err)
		}
	}
	return file.Bytes(), nil
}

func (r *Run) submit(ctx context.Context, heap Heap, bodies map[string][]byte) (batchObject, error) {
	content, err := fileOf(bodies)
	if err != nil {
		return batchObject{}, err
	}
	upload, contentType, err := multipartOf(content)
	if err != nil {
		return batchObject{}, err
	}
	var file fileObject
	if err := r.persist(ctx, heap, "/v1/files", contentType, upload, &file); err != nil {
		return batchObject{}, fmt.Errorf("uploading heap %d: %w", heap.Number, err)
	}
	request, err := json.Marshal(batchRequest{InputFileID: file.ID, Endpoint: chatPath, CompletionWindow: "24h"})
	if err != nil {
		return batchObject{}, fmt.Errorf("encoding batch: %w", err)
	}
	var job batchObject
	if err := r.persist(ctx, heap, "/v1/batches", "application/json", request, &job); err != nil {
		return batchObject{}, fmt.Errorf("submitting heap %d: %w", heap.Number, err)
	}
	return job, nil
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

// persist posts until it succeeds, is refused for good, or the run ends. Every send carries the same idempotency key.
func (r *Run) persist(ctx context.Context, heap Heap, path, contentType string, body []byte, answer any) error {
	for attempt := 0; ; attempt++ {
		request, err := r.newRequest(ctx, http.MethodPost, heap.Number, path, contentType, body)
		if err != nil {
			return err
		}
		request.Header.Set("Idempotency-Key", fmt.Sprintf("load-%s-heap-%d%s", r.name, heap.Number, path))
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

// follow polls a job until it has ended.
func (r *Run) follow(ctx context.Context, heap Heap, job batchObject) (batchObject, error) {
	seen := 0
	for {
		if !pause(ctx, pollPeriod) {
			return job, fmt.Errorf("job %s is %s at the end of the run: %w", job.ID, job.Status, ctx.Err())
		}
		request, err := r.newRequest(ctx, http.MethodGet, heap.Number, "/v1/batches/"+job.ID, "", nil)
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
		job = latest
		r.recorder.batchProgress(time.Since(r.started), job.RequestCounts.Completed-seen)
		seen = job.RequestCounts.Completed
		if job.ended() {
			return job, nil
		}
	}
}

func (r *Run) readResults(ctx context.Context, heap Heap, job batchObject, checker *itemChecker) error {
	for _, file := range []string{job.OutputFileID, job.ErrorFileID} {
		if file == "" {
			continue
		}
		if err := r.readFile(ctx, heap, file, checker); err != nil {
			return fmt.Errorf("reading results of job %s: %w", job.ID, err)
		}
	}
	return nil
}

func (r *Run) readFile(ctx context.Context, heap Heap, file string, checker *itemChecker) error {
	for {
		request, err := r.newRequest(ctx, http.MethodGet, heap.Number, "/v1/files/"+file+"/content", "", nil)
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
