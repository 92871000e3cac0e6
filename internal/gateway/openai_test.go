package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

func greet(_ context.Context, request *inference.Request, sink Sink) error {
	return sendWords(request, sink, "Good", " morning", ", donor")
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: testService, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")}}
}

func TestClientLibraryChat(t *testing.T) {
	site := newSite(t, greet, nil)
	whole, err := site.client.Chat.Completions.New(t.Context(), chatParams())
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Message.Content, "Good morning, donor")
	assert.Equal(t, whole.Usage.CompletionTokens, int64(3))

	stream := site.client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, accumulated.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, accumulated.Choices[0].Message.Content, "Good morning, donor")
}

func TestClientLibraryCompletions(t *testing.T) {
	site := newSite(t, greet, nil)
	params := openai.CompletionNewParams{Model: testService, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")}}
	whole, err := site.client.Completions.New(t.Context(), params)
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Text, "Good morning, donor")

	stream := site.client.Completions.NewStreaming(t.Context(), params)
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Text
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, text, "Good morning, donor")
}

func TestClientLibraryModels(t *testing.T) {
	site := newSite(t, greet, nil)
	page, err := site.client.Models.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(page.Data), 2, "services of other tenants must not be listed")
	assert.Equal(t, page.Data[0].ID, testService)
	model, err := site.client.Models.Get(t.Context(), testService)
	assert.NilError(t, err)
	assert.Equal(t, model.ID, testService)
	_, err = site.client.Models.Get(t.Context(), "private")
	assertClientError(t, err, failure.CodeModelNotFound)
}

const batchLines = `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"assistant","messages":[{"role":"user","content":"x"}]}}
{"custom_id":"b","method":"POST","url":"/v1/chat/completions",
{"custom_id":"c","method":"POST","url":"/v1/chat/completions","body":{"model":"assistant","messages":[{"role":"user","content":"y"}]}}
`

func TestClientLibraryFilesAndBatches(t *testing.T) {
	site, ctx := newSite(t, greet, nil), t.Context()
	uploaded, err := site.client.Files.New(ctx, openai.FileNewParams{Purpose: openai.FilePurposeBatch, File: openai.File(strings.NewReader(batchLines), "rosters.jsonl", "application/jsonl")})
	assert.NilError(t, err)
	assert.Equal(t, uploaded.Filename, "rosters.jsonl")
	assert.Equal(t, uploaded.Bytes, int64(len(batchLines)))
	found, err := site.client.Files.Get(ctx, uploaded.ID)
	assert.NilError(t, err)
	assert.Equal(t, string(found.Purpose), "batch")
	assert.Equal(t, readContent(t, site, uploaded.ID), batchLines)

	batch, err := site.client.Batches.New(ctx, openai.BatchNewParams{InputFileID: uploaded.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h})
	assert.NilError(t, err)
	assert.Equal(t, batch.CompletionWindow, "24h")
	batch, err = site.client.Batches.Get(ctx, batch.ID)
	assert.NilError(t, err)
	assert.Equal(t, batch.RequestCounts.Total, int64(3))
	assert.Equal(t, readContent(t, site, batch.OutputFileID), "a\nc\n", "the good lines of a batch run")
	assert.Assert(t, strings.Contains(readContent(t, site, batch.ErrorFileID), `"line":2`))
	cancelled, err := site.client.Batches.Cancel(ctx, batch.ID)
	assert.NilError(t, err)
	assert.Equal(t, cancelled.Status, openai.BatchStatusCancelling)

	for range 3 {
		_, err := site.client.Batches.New(ctx, openai.BatchNewParams{InputFileID: uploaded.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h})
		assert.NilError(t, err)
	}
	pager := site.client.Batches.ListAutoPaging(ctx, openai.BatchListParams{Limit: openai.Int(2)})
	count := 0
	for pager.Next() {
		count++
	}
	assert.NilError(t, pager.Err())
	assert.Equal(t, count, 4)
	deleted, err := site.client.Files.Delete(ctx, uploaded.ID)
	assert.NilError(t, err)
	assert.Assert(t, deleted.Deleted)
	_, err = site.client.Files.Get(ctx, uploaded.ID)
	assertClientError(t, err, failure.CodeNotFound)
}

func readContent(t *testing.T, site *site, id string) string {
	t.Helper()
	response, err := site.client.Files.Content(t.Context(), id)
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(content)
}

func assertClientError(t *testing.T, err error, code failure.Code) {
	t.Helper()
	var typed *openai.Error
	assert.Assert(t, errors.As(err, &typed), "%v", err)
	assert.Equal(t, typed.Code, string(code))
	assert.Equal(t, typed.StatusCode, code.Status())
}

func TestClientLibraryErrors(t *testing.T) {
	site := newSite(t, func(context.Context, *inference.Request, Sink) error {
		return failure.New(failure.CodeOverloaded, "full").WithOutcome(outcome.NotRun)
	}, nil)
	_, err := site.client.Chat.Completions.New(t.Context(), chatParams())
	assertClientError(t, err, failure.CodeOverloaded)
	stream := site.client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	assert.Assert(t, !stream.Next())
	assertClientError(t, stream.Err(), failure.CodeOverloaded)
	_, err = site.client.Models.List(t.Context(), option.WithAPIKey("wrong"))
	assertClientError(t, err, failure.CodeInvalidKey)
}

// TestClientLibrarySeesABrokenStream proves that a stream that fails midway is an error of the client, never a short
// answer.
func TestClientLibrarySeesABrokenStream(t *testing.T) {
	site := newSite(t, func(_ context.Context, request *inference.Request, sink Sink) error {
		if err := sink.Chunk(chunkOf(request.Endpoint, 0, "Good", false)); err != nil {
			return err
		}
		return failure.New(failure.CodeStreamInterrupted, "the engine died").WithOutcome(outcome.Ran)
	}, nil)
	stream := site.client.Chat.Completions.NewStreaming(t.Context(), chatParams())
	for stream.Next() {
	}
	assert.ErrorContains(t, stream.Err(), string(failure.CodeStreamInterrupted))

	response, body := site.post(t, "/v1/chat/completions", `{"model":"assistant","stream":true,"messages":[{"role":"user","content":"x"}]}`)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, strings.Contains(body, `"not_run":"false"`), body)
	assert.Assert(t, !strings.Contains(body, "[DONE]"), body)
}
