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
	"mallowlatch.example/mallowlatch/internal/request"
)

// newRequest decodes an item like an online request of its tenant and resolves it against the configuration. The request
// identifier contains the lease, so that a run under an earlier lease is never mistaken for this one. Whether the item is
// repeatable was decided when its input line was accepted.
func newRequest(leased *job.Item, lease string, configuration *catalog.Snapshot, now time.Time) (*inference.Request, *failure.Error) {
	made, err := request.Decode(leased.Endpoint, leased.Body, leased.Tenant, configuration)
	if err != nil {
		return nil, failure.As(err)
	}
	made.ID = ident.Request(fmt.Sprintf("%s/%d/%s", leased.Job, leased.Index, lease))
	made.Class = inference.Batch
	made.Stream = false
	made.Repeatable = leased.Repeatable
	made.Arrived = now
	return made, nil
}

// errorBody is the OpenAI error envelope of a failed item.
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

// failedResult returns the result of a failed item.
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
