package batch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/ident"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/job"
	"mallowlatch.example/mallowlatch/internal/outcome"
	"mallowlatch.example/mallowlatch/internal/request"
)

// TestItemsAreReadAsOnlineRequestsAre checks that items are validated like online requests and that their tokens
// are counted in the same way.
func TestItemsAreReadAsOnlineRequestsAre(t *testing.T) {
	configuration := &catalog.Snapshot{Services: map[string]catalog.Service{
		"open":   {Name: "open", Model: "m", Repeatable: true},
		"closed": {Name: "closed", Model: "m", Tenants: []ident.Tenant{"other"}},
	}}
	item := &job.Item{Job: "j", Index: 7, Tenant: "t", Endpoint: inference.ChatCompletions}
	arrived := time.Unix(100, 0)
	read := func(body string) (*inference.Request, *failure.Error) {
		item.Body = []byte(body)
		return newRequest(item, "lease", configuration, arrived)
	}

	body := `{"model":"open","messages":[{"role":"user","content":"hello"}],"stream":true}`
	made, failed := read(body)
	assert.Assert(t, failed == nil)
	online, err := request.Decode(inference.ChatCompletions, []byte(body), "t", configuration)
	assert.NilError(t, err)
	assert.Equal(t, made.PromptTokens, online.PromptTokens)
	assert.Equal(t, made.MaxTokens, online.MaxTokens)
	assert.Equal(t, made.ID, ident.Request("j/7/lease"))
	assert.Equal(t, made.Class, inference.Batch)
	assert.Equal(t, made.Arrived, arrived)
	assert.Check(t, !made.Stream, "the answer of an item is never relayed as a stream")
	assert.Check(t, !made.Repeatable, "the input line decides, not the service")

	refused := map[string]failure.Code{
		`{`: failure.CodeInvalidJSON,
		`{"model":"absent","messages":[{"role":"user","content":"x"}]}`: failure.CodeModelNotFound,
		`{"model":"closed","messages":[{"role":"user","content":"x"}]}`: failure.CodeModelNotFound,
		`{"model":"open","messages":[]}`:                                failure.CodeInvalidRequest,
	}
	for body, code := range refused {
		_, failed := read(body)
		assert.Assert(t, failed != nil, "%s", body)
		assert.Equal(t, failed.Code, code, "%s", body)
		assert.Equal(t, failed.Outcome, outcome.NotRun, "%s", body)
	}
}
