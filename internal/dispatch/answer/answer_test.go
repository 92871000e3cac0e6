package answer

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mallowlatch.example/mallowlatch/internal/inference"
)

// TestForwardedChunksCoverTheAnswerOnce checks that chunks offered in any order, repeated and overlapping, are forwarded in order,
// without gap or duplicate, and that nothing is forwarded after the final chunk.
func TestForwardedChunksCoverTheAnswerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var position Position
		next, ended := 0, false
		for range rapid.IntRange(1, 60).Draw(t, "chunks") {
			chunk := inference.Chunk{
				Offset: rapid.IntRange(0, 8).Draw(t, "offset"),
				Tokens: rapid.IntRange(0, 3).Draw(t, "tokens"),
				Final:  rapid.IntRange(0, 9).Draw(t, "final") == 1,
			}
			verdict, err := position.Accept(&chunk)
			if err != nil {
				assert.Equal(t, verdict, Drop)
			}
			if verdict == Drop {
				continue
			}
			assert.Assert(t, !ended, "forwarded after the final chunk")
			assert.Equal(t, chunk.Offset, next, "forwarded out of order")
			next += chunk.Tokens
			ended = chunk.Final
			assert.Equal(t, position.Next(), next)
		}
	})
}

// TestPositionRejectsInvalidChunks checks the error for each kind of chunk that can be neither forwarded nor dropped.
func TestPositionRejectsInvalidChunks(t *testing.T) {
	at := func(next int) *Position { return &Position{next: next} }
	cases := []struct {
		position *Position
		chunk    inference.Chunk
		err      error
	}{
		{at(3), inference.Chunk{Offset: 4, Tokens: 1}, ErrGap},
		{at(3), inference.Chunk{Offset: 2, Tokens: 2}, ErrOverlap},
		{at(3), inference.Chunk{Offset: 2, Tokens: 1, Final: true}, ErrOverlap},
		{at(3), inference.Chunk{Offset: 3, Final: true, Usage: inference.Usage{CompletionTokens: 5}}, ErrWrongLength},
		{at(3), inference.Chunk{Offset: 1, Tokens: 2}, nil},
		{at(3), inference.Chunk{Offset: 3, Final: true, Usage: inference.Usage{CompletionTokens: 3}}, nil},
	}
	for _, tested := range cases {
		_, err := tested.position.Accept(&tested.chunk)
		assert.Equal(t, err, tested.err)
	}
}

// TestAggregateJoinsChoicesAndToolCalls joins a chat answer of two choices, one of which calls a function.
func TestAggregateJoinsChoicesAndToolCalls(t *testing.T) {
	aggregate := NewAggregate(inference.ChatCompletions)
	for _, data := range []string{
		`{"id":"c1","created":5,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"Hel"}}]}`,
		`{"id":"c1","choices":[{"index":0,"delta":{"content":"lo"}},{"index":1,"delta":{"tool_calls":[{"index":0,"id":"t1","type":"function","function":{"name":"book","arguments":"{\"a\""}}]}}]}`,
		`{"id":"c1","choices":[{"index":1,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
	} {
		assert.NilError(t, aggregate.Chunk(inference.Chunk{Data: []byte(data)}))
	}
	_, err := aggregate.Answer()
	assert.Equal(t, err, ErrIncomplete)
	final := inference.Chunk{Data: []byte(`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`), Final: true, FinishReason: "stop", Usage: inference.Usage{CompletionTokens: 4}}
	assert.NilError(t, aggregate.Chunk(final))
	whole, err := aggregate.Answer()
	assert.NilError(t, err)
	assert.Equal(t, string(whole.Body), `{"id":"c1","object":"chat.completion","created":5,"model":"m","choices":[`+
		`{"index":0,"message":{"role":"assistant","content":"Hello"},"finish_reason":"stop"},`+
		`{"index":1,"message":{"role":"assistant","content":null,"tool_calls":[{"id":"t1","type":"function","function":{"name":"book","arguments":"{\"a\":1}"}}]},"finish_reason":"tool_calls"}],`+
		`"usage":{"prompt_tokens":0,"completion_tokens":4,"total_tokens":0}}`)
}

// TestStoredAnswerAsStreamIsTheSameAnswer checks that a stored answer rendered as one chunk and joined again is unchanged.
func TestStoredAnswerAsStreamIsTheSameAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoint := rapid.SampledFrom([]inference.Endpoint{inference.ChatCompletions, inference.Completions}).Draw(t, "endpoint")
		first := NewAggregate(endpoint)
		texts := rapid.SliceOfN(rapid.String(), 0, 4).Draw(t, "texts")
		for _, text := range texts {
			assert.NilError(t, first.Chunk(inference.Chunk{Tokens: 1, Data: textChunk(endpoint, text)}))
		}
		usage := inference.Usage{CompletionTokens: len(texts)}
		assert.NilError(t, first.Chunk(inference.Chunk{Data: textChunk(endpoint, ""), Final: true, FinishReason: "stop", Usage: usage}))
		stored, err := first.Answer()
		assert.NilError(t, err)
		chunk, err := AsChunk(endpoint, stored)
		assert.NilError(t, err)
		second := NewAggregate(endpoint)
		assert.NilError(t, second.Chunk(chunk))
		again, err := second.Answer()
		assert.NilError(t, err)
		assert.Equal(t, string(again.Body), string(stored.Body))
	})
}

// TestStoredToolCallsStayApart checks that two function calls of a stored answer rendered as one chunk are not merged.
func TestStoredToolCallsStayApart(t *testing.T) {
	first := NewAggregate(inference.ChatCompletions)
	data := `{"id":"x","choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"a","function":{"name":"f"}},{"index":1,"id":"b","function":{"name":"g"}}]}}]}`
	assert.NilError(t, first.Chunk(inference.Chunk{Data: []byte(data), Final: true, FinishReason: "tool_calls"}))
	stored, err := first.Answer()
	assert.NilError(t, err)
	chunk, err := AsChunk(inference.ChatCompletions, stored)
	assert.NilError(t, err)
	second := NewAggregate(inference.ChatCompletions)
	assert.NilError(t, second.Chunk(chunk))
	again, err := second.Answer()
	assert.NilError(t, err)
	assert.Equal(t, string(again.Body), string(stored.Body))
}

func textChunk(endpoint inference.Endpoint, text string) []byte {
	encoded, _ := json.Marshal(text)
	if endpoint == inference.Completions {
		return fmt.Appendf(nil, `{"id":"x","choices":[{"index":0,"text":%s}]}`, encoded)
	}
	return fmt.Appendf(nil, `{"id":"x","choices":[{"index":0,"delta":{"content":%s}}]}`, encoded)
}

// FuzzAggregate checks that whatever chunk an engine sends is either rejected or joined into valid JSON.
func FuzzAggregate(f *testing.F) {
	f.Add([]byte(`{"id":"c1","choices":[{"index":0,"delta":{"content":"x"}}]}`), true)
	f.Add([]byte(`{"choices":[{"index":-1,"text":null,"delta":{"tool_calls":[{"index":9}]}}]}`), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		endpoint := inference.Completions
		if chat {
			endpoint = inference.ChatCompletions
		}
		aggregate := NewAggregate(endpoint)
		if aggregate.Chunk(inference.Chunk{Data: data}) != nil {
			return
		}
		assert.NilError(t, aggregate.Chunk(inference.Chunk{Final: true}))
		whole, err := aggregate.Answer()
		assert.NilError(t, err)
		assert.Assert(t, json.Valid(whole.Body))
		_, err = AsChunk(endpoint, whole)
		assert.NilError(t, err)
	})
}
