package gateway

import (
	"encoding/json"
	"strconv"
	"time"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/request"
)

// Bounds of a submission.
const (
	minimumWindow        = time.Second
	maximumWindow        = 30 * 24 * time.Hour
	maximumMetadata      = 16
	maximumMetadataKey   = 64
	maximumMetadataValue = 512
)

type batchBody struct {
	InputFile        ident.File         `json:"input_file_id"`
	Endpoint         inference.Endpoint `json:"endpoint"`
	CompletionWindow string             `json:"completion_window"`
	Metadata         map[string]string  `json:"metadata"`
}

type batchObject struct {
	ID               ident.Job          `json:"id"`
	Object           string             `json:"object"`
	Endpoint         inference.Endpoint `json:"endpoint"`
	InputFile        ident.File         `json:"input_file_id"`
	CompletionWindow string             `json:"completion_window"`
	Status           job.Status         `json:"status"`
	OutputFile       ident.File         `json:"output_file_id,omitempty"`
	ErrorFile        ident.File         `json:"error_file_id,omitempty"`
	CreatedAt        int64              `json:"created_at"`
	InProgressAt     int64              `json:"in_progress_at,omitempty"`
	ExpiresAt        int64              `json:"expires_at,omitempty"`
	FinalizingAt     int64              `json:"finalizing_at,omitempty"`
	CompletedAt      int64              `json:"completed_at,omitempty"`
	FailedAt         int64              `json:"failed_at,omitempty"`
	ExpiredAt        int64              `json:"expired_at,omitempty"`
	CancellingAt     int64              `json:"cancelling_at,omitempty"`
	CancelledAt      int64              `json:"cancelled_at,omitempty"`
	RequestCounts    job.Counts         `json:"request_counts"`
	Metadata         map[string]string  `json:"metadata"`
}

func newBatchObject(source job.Job) batchObject {
	batch := batchObject{
		ID:               source.ID,
		Object:           "batch",
		Endpoint:         source.Spec.Endpoint,
		InputFile:        source.Spec.InputFile,
		CompletionWindow: formatWindow(source.Spec.Window),
		Status:           source.Status,
		OutputFile:       source.OutputFile,
		ErrorFile:        source.ErrorFile,
		CreatedAt:        seconds(source.Created),
		InProgressAt:     seconds(source.Started),
		ExpiresAt:        seconds(source.Deadline),
		FinalizingAt:     seconds(source.Finalized),
		CancellingAt:     seconds(source.CancelledAt),
		RequestCounts:    source.Counts,
		Metadata:         source.Spec.Metadata,
	}
	batch.setEnd(source.Status, seconds(source.Ended))
	return batch
}

// setEnd puts the end of the job into the field of its final status.
func (b *batchObject) setEnd(status job.Status, ended int64) {
	switch status {
	case job.Completed:
		b.CompletedAt = ended
	case job.Failed:
		b.FailedAt = ended
	case job.Expired:
		b.ExpiredAt = ended
	case job.Cancelled:
		b.CancelledAt = ended
	}
}

// formatWindow writes whole hours as the dialect does.
func formatWindow(window time.Duration) string {
	if window > 0 && window%time.Hour == 0 {
		return strconv.FormatInt(int64(window/time.Hour), 10) + "h"
	}
	return window.String()
}

func (g *Gateway) createBatch(exchange *exchange) error {
	spec, err := exchange.batchSpec()
	if err != nil {
		return err
	}
	ctx, cancel := exchange.jobCall()
	defer cancel()
	created, _, err := g.options.Jobs.Submit(ctx, spec)
	if err != nil {
		return err
	}
	return exchange.answer(newBatchObject(created))
}

// batchSpec reads and validates a submission.
func (e *exchange) batchSpec() (job.Spec, error) {
	body, err := e.readBody()
	if err != nil {
		return job.Spec{}, err
	}
	defer body.release()
	var parsed batchBody
	if err := json.Unmarshal(body.content, &parsed); err != nil {
		return job.Spec{}, request.JSONFailure(err)
	}
	key, err := idempotencyKey(e.request.Header)
	if err != nil {
		return job.Spec{}, err
	}
	window, err := parsed.validate()
	if err != nil {
		return job.Spec{}, err
	}
	return job.Spec{
		Tenant:         e.key.Tenant,
		IdempotencyKey: key,
		InputFile:      parsed.InputFile,
		Endpoint:       parsed.Endpoint,
		Window:         window,
		Metadata:       parsed.Metadata,
	}, nil
}

// validate checks the submission and returns its window.
func (b *batchBody) validate() (time.Duration, error) {
	if b.InputFile == "" {
		return 0, invalid("input_file_id", "input_file_id is required")
	}
	if b.Endpoint != inference.ChatCompletions && b.Endpoint != inference.Completions {
		return 0, invalid("endpoint", "endpoint must be %s or %s", inference.ChatCompletions, inference.Completions)
	}
	window, err := time.ParseDuration(b.CompletionWindow)
	if err != nil || window < minimumWindow || window > maximumWindow {
		return 0, invalid("completion_window", "completion_window must be a time such as 24h or 90m, from %s to 720h", minimumWindow)
	}
	if len(b.Metadata) > maximumMetadata {
		return 0, invalid("metadata", "metadata has more than %d entries", maximumMetadata)
	}
	for key, value := range b.Metadata {
		if key == "" || len(key) > maximumMetadataKey || len(value) > maximumMetadataValue {
			return 0, invalid("metadata", "a key of metadata may have 1 to %d bytes and a value at most %d", maximumMetadataKey, maximumMetadataValue)
		}
	}
	return window, nil
}

func invalid(param, format string, arguments ...any) error {
	return failure.New(failure.CodeInvalidRequest, format, arguments...).WithParam(param)
}

func (g *Gateway) listBatches(exchange *exchange) error {
	limit, err := exchange.pageLimit(defaultPage, maximumPage)
	if err != nil {
		return err
	}
	ctx, cancel := exchange.jobCall()
	defer cancel()
	jobs, more, err := g.options.Jobs.Jobs(ctx, exchange.key.Tenant, ident.Job(exchange.after()), limit)
	if err != nil {
		return err
	}
	page := listObject[batchObject]{Object: "list", Data: make([]batchObject, 0, len(jobs)), HasMore: more}
	for _, listed := range jobs {
		page.Data = append(page.Data, newBatchObject(listed))
	}
	if len(jobs) > 0 {
		page.FirstID, page.LastID = string(jobs[0].ID), string(jobs[len(jobs)-1].ID)
	}
	return exchange.answer(page)
}

func (e *exchange) jobID() ident.Job { return ident.Job(e.objectID()) }

func (g *Gateway) getBatch(exchange *exchange) error {
	ctx, cancel := exchange.jobCall()
	defer cancel()
	found, err := g.options.Jobs.Job(ctx, exchange.key.Tenant, exchange.jobID())
	if err != nil {
		return err
	}
	return exchange.answer(newBatchObject(found))
}

func (g *Gateway) cancelBatch(exchange *exchange) error {
	ctx, cancel := exchange.jobCall()
	defer cancel()
	cancelled, err := g.options.Jobs.Cancel(ctx, exchange.key.Tenant, exchange.jobID())
	if err != nil {
		return err
	}
	return exchange.answer(newBatchObject(cancelled))
}
