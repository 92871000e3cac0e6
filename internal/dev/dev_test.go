package dev

import (
	"bytes"
	"context"
	"errors"
	"io"
	"regexp"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mallowlatch.example/mallowlatch/internal/lab/fleet"
)

var (
	callerPattern = regexp.MustCompile(`caller API  (http://\S+)`)
	keyPattern    = regexp.MustCompile(`CALLER_KEY=(\S+)`)
)

// startSite runs a site on free ports and returns a client of its caller API.
func startSite(t *testing.T) openai.Client {
	t.Helper()
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, Options{
			CallerAddress: freeLoopback,
			AdminAddress:  freeLoopback,
			Engines:       2,
			LogLevel:      "error",
			Out:           writer,
			Log:           io.Discard,
		})
		writer.Close()
	}()
	t.Cleanup(func() {
		cancel()
		err := <-ended
		assert.Assert(t, err == nil || errors.Is(err, context.Canceled), "%v", err)
	})
	printed := make([]byte, len(description)*2)
	length, err := reader.Read(printed)
	assert.NilError(t, err)
	text := printed[:length]
	address, key := callerPattern.FindSubmatch(text), keyPattern.FindSubmatch(text)
	assert.Assert(t, address != nil && key != nil, "%s", text)
	return openai.NewClient(option.WithBaseURL(string(address[1])+"/v1/"), option.WithAPIKey(string(key[1])))
}

// TestSiteAnswersOnlineAndBatch drives the whole path with the dialect's own client library: caller API, admission,
// routing, engine adapter and stand-in engine; file upload, job shard, lease, batch worker and results.
func TestSiteAnswersOnlineAndBatch(t *testing.T) {
	client := startSite(t)
	ctx := context.Background()

	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:     fleet.Service,
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("When may I give blood again?")},
	})
	chunks := 0
	for stream.Next() {
		chunks++
	}
	assert.NilError(t, stream.Err())
	assert.Assert(t, chunks >= 12, "got %d chunks", chunks)

	lines := `{"custom_id":"monday","method":"POST","url":"/v1/chat/completions","body":{"model":"assistant","max_tokens":4,"messages":[{"role":"user","content":"Roster"}]}}
this line is no JSON
{"custom_id":"tuesday","method":"POST","url":"/v1/chat/completions","body":{"model":"assistant","max_tokens":4,"messages":[{"role":"user","content":"Roster"}]}}
`
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(bytes.NewReader([]byte(lines)), "items.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	assert.NilError(t, err)
	submitted, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	assert.NilError(t, err)

	var ended *openai.Batch
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ended, err = client.Batches.Get(ctx, submitted.ID)
		if err != nil {
			return poll.Error(err)
		}
		if ended.Status != openai.BatchStatusCompleted {
			return poll.Continue("status %s", ended.Status)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	assert.Equal(t, ended.RequestCounts.Completed, int64(2))
	assert.Equal(t, ended.RequestCounts.Failed, int64(1))
	output, err := client.Files.Content(ctx, ended.OutputFileID)
	assert.NilError(t, err)
	defer output.Body.Close()
	content, err := io.ReadAll(output.Body)
	assert.NilError(t, err)
	assert.Equal(t, bytes.Count(content, []byte("\n")), 2)
	assert.Assert(t, bytes.Contains(content, []byte(`"custom_id":"tuesday"`)))
}
