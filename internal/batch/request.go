package batch

import (
	"encoding/json"
	"fmt"
	"time"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
)

// bytesPerToken is a rough estimate for prompts.
const bytesPerToken = 4

// defaultMaxTokens bounds an answer if neither the item nor its service does.
const defaultMaxTokens = 1024

// itemBody is the part of an item's body that the worker reads.
type itemBody struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// newRequest resolves an item against the configuration. The identifier holds the lease, so that a run under an
// earlier lease is never taken for this one.
func newRequest(leased *job.Item, lease string, configuration *catalog.Snapshot, now time.Time) (*inference.Request, *failure.Error) {
	var body itemBody
	if err := json.Unmarshal(leased.Body, &body); err != nil {
		return nil, failure.New(failure.CodeInvalidJSON, "the item's body is not a JSON object").WithCause(err)
	}
	service, known := configuration.Services[body.Model]
	if !known {
		return nil, failure.New(failure.CodeModelNotFound, "no service is called %q", body.Model).WithParam("model")
	}
	return &inference.Request{
		ID:           ident.Request(fmt.Sprintf("%s/%d/%s", leased.Job, leased.Index, lease)),
		Tenant:       leased.Tenant,
		Service:      service.Name,
		Model:        service.Model,
		Adapter:      service.Adapter,
		Endpoint:     leased.Endpoint,
		Body:         leased.Body,
		Class:        inference.Batch,
		PromptTokens: len(leased.Body)/bytesPerToken + 1,
		MaxTokens:    firstPositive(body.MaxCompletionTokens, body.MaxTokens, service.MaxTokens, defaultMaxTokens),
		Repeatable:   leased.Repeatable,
		Arrived:      now,
	}, nil
}

func firstPositive(values ...int) int {
	for _, value := range values {
		if value > 0 {
			return value
		}
	}
	return 0
}

// errorBody is the OpenAI error envelope of an item that failed.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    failure.Code `json:"code"`
	Param   string       `json:"param,omitempty"`
	NotRun  string       `json:"not_run"`
}

// failedResult is the result of an item that ends with an error.
func failedResult(index uint32, failed *failure.Error) job.Result {
	detail := errorDetail{
		Message: failed.Message, Type: "batch_item_error", Code: failed.Code,
		Param: failed.Param, NotRun: failed.Outcome.String(),
	}
	body, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		body = json.RawMessage(`{"error":{"code":"internal_error"}}`)
	}
	return job.Result{Index: index, Status: failed.Code.Status(), Body: body, Failed: true}
}
