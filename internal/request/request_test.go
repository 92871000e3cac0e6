package request

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/lab/enginesim"
	"mallowlatch.example/mallowlatch/internal/outcome"
)

func snapshot() *catalog.Snapshot {
	snapshot := catalog.Empty()
	snapshot.Services["assistant"] = catalog.Service{Name: "assistant", Model: "llama", Adapter: "booking", MaxTokens: 64, Repeatable: true}
	return snapshot
}

func TestDecodeResolvesTheRequest(t *testing.T) {
	body := []byte(`{"model":"assistant","stream":true,"seed":1,"unknown":{"kept":1},"messages":[
		{"role":"system","content":"be brief"},{"role":"user","content":[{"type":"text","text":"hello"},{"type":"image_url"}]},{"role":"assistant","content":null}]}`)
	decoded, err := Decode(inference.ChatCompletions, body, "palermo", snapshot())
	assert.NilError(t, err)
	assert.DeepEqual(t, *decoded, inference.Request{
		Tenant: "palermo", Service: "assistant", Model: "llama", Adapter: "booking", Endpoint: inference.ChatCompletions,
		Body: body, Stream: true, PromptTokens: (len("system\nbe brief\nuser\nhello\nassistant\n\n") + 3) / 4, MaxTokens: 64,
		Repeatable: true, Deterministic: true,
	})
}

func TestPromptIsBoundedInParts(t *testing.T) {
	parts := strings.Repeat(`"x",`, maximumParts+1)
	body := fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":[%s]}]}`, strings.TrimSuffix(parts, ","))
	_, err := Decode(inference.ChatCompletions, []byte(body), "palermo", snapshot())
	assert.Equal(t, failure.As(err).Code, failure.CodeInvalidRequest)
}

// TestBlocksAreThoseOfTheEngine proves that routing and the engines' prefix cache speak of the same blocks, and that a
// longer prompt keeps the blocks of a shorter one.
func TestBlocksAreThoseOfTheEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.Custom(func(t *rapid.T) string {
			return strings.Repeat(rapid.StringN(1, 40, 200).Draw(t, "words"), rapid.IntRange(0, 60).Draw(t, "times"))
		})
		texts := rapid.SliceOfN(text, 1, 5).Draw(t, "texts")
		var shorter []uint64
		for count := 1; count <= len(texts); count++ {
			body := chat(texts[:count])
			decoded, err := Decode(inference.ChatCompletions, body, "palermo", snapshot())
			assert.NilError(t, err)
			simulated, err := enginesim.ParsePrompt(body)
			assert.NilError(t, err)
			assert.Equal(t, decoded.PromptTokens, simulated.Tokens)
			assert.Equal(t, fmt.Sprint(decoded.PrefixBlocks), fmt.Sprint(simulated.Blocks(enginesim.DefaultBlockTokens)))
			assert.Equal(t, fmt.Sprint(shorter), fmt.Sprint(decoded.PrefixBlocks[:len(shorter)]))
			shorter = decoded.PrefixBlocks
		}
	})
}

func chat(texts []string) []byte {
	type turn struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body := struct {
		Model    string `json:"model"`
		Messages []turn `json:"messages"`
	}{Model: "assistant"}
	for _, text := range texts {
		body.Messages = append(body.Messages, turn{Role: "user", Content: text})
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return encoded
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"model":"assistant","messages":[{"role":"user","content":["a",{"type":"text","text":"b"}]}]}`), true)
	f.Add([]byte(`{"model":"assistant","prompt":"x","max_tokens":3,"stream":true,"stream_options":{}}`), false)
	f.Add([]byte(`{"model":"assistant","prompt":[null]}`), false)
	f.Fuzz(func(t *testing.T, body []byte, isChat bool) {
		endpoint := inference.Completions
		if isChat {
			endpoint = inference.ChatCompletions
		}
		decoded, err := Decode(endpoint, body, "palermo", snapshot())
		if err != nil {
			failed := failure.As(err)
			assert.Equal(t, failed.Outcome, outcome.NotRun)
			assert.Assert(t, failed.Code != failure.CodeInternal && failed.Message != "", "%v", err)
			return
		}
		assert.Assert(t, decoded.MaxTokens >= 1 && decoded.MaxTokens <= MaximumAnswerTokens)
		assert.Assert(t, len(decoded.PrefixBlocks) <= maximumBlocks)
		assert.Assert(t, json.Valid(decoded.Body))
	})
}
