package answer

import (
	"encoding/json"
	"fmt"

	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/ledger"
)

// wholeAnswer is a whole chat completion or text completion.
type wholeAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   inference.Usage `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Text         *string       `json:"text,omitempty"`
	Message      *wholeMessage `json:"message,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role      string          `json:"role"`
	Content   *string         `json:"content"`
	Refusal   *string         `json:"refusal,omitempty"`
	Reasoning string          `json:"reasoning_content,omitempty"`
	ToolCalls []wholeToolCall `json:"tool_calls,omitempty"`
}

type wholeToolCall struct {
	Index    *int          `json:"index,omitempty"`
	ID       string        `json:"id"`
	Type     string        `json:"type"`
	Function chunkFunction `json:"function"`
}

// objectOf returns the object name of a whole answer of the endpoint.
func objectOf(endpoint inference.Endpoint) string {
	if endpoint == inference.Completions {
		return "text_completion"
	}
	return "chat.completion"
}

// chunkObjectOf returns the object name of a chunk of the endpoint.
func chunkObjectOf(endpoint inference.Endpoint) string {
	if endpoint == inference.Completions {
		return "text_completion"
	}
	return "chat.completion.chunk"
}

func (c *choice) whole(index int, endpoint inference.Endpoint) wholeChoice {
	if endpoint == inference.Completions {
		text := string(c.content)
		return wholeChoice{Index: index, Text: &text, FinishReason: c.finishReason}
	}
	message := &wholeMessage{Role: c.role, Reasoning: string(c.reason), ToolCalls: c.wholeToolCalls()}
	if len(c.content) > 0 || (len(c.refusal) == 0 && len(message.ToolCalls) == 0) {
		content := string(c.content)
		message.Content = &content
	}
	if len(c.refusal) > 0 {
		refusal := string(c.refusal)
		message.Refusal = &refusal
	}
	return wholeChoice{Index: index, Message: message, FinishReason: c.finishReason}
}

func (c *choice) wholeToolCalls() []wholeToolCall {
	var calls []wholeToolCall
	for _, index := range sortedKeys(c.toolCalls) {
		call := c.toolCalls[index]
		function := chunkFunction{Name: call.name, Arguments: string(call.arguments)}
		calls = append(calls, wholeToolCall{ID: call.id, Type: call.kind, Function: function})
	}
	return calls
}

// streamedAnswer is a whole answer written as one chunk.
type streamedAnswer struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []streamedChoice `json:"choices"`
	Usage   inference.Usage  `json:"usage"`
}

type streamedChoice struct {
	Index        int           `json:"index"`
	Text         *string       `json:"text,omitempty"`
	Delta        *wholeMessage `json:"delta,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

// AsChunk renders a stored whole answer as one final chunk, for a caller that requested a stream.
func AsChunk(endpoint inference.Endpoint, stored ledger.Answer) (inference.Chunk, error) {
	var whole wholeAnswer
	if err := json.Unmarshal(stored.Body, &whole); err != nil {
		return inference.Chunk{}, fmt.Errorf("stored answer: %w: %w", ErrMalformed, err)
	}
	streamed := streamedAnswer{ID: whole.ID, Object: chunkObjectOf(endpoint), Created: whole.Created, Model: whole.Model, Usage: whole.Usage}
	finishReason := ""
	for _, received := range whole.Choices {
		finishReason = received.FinishReason
		streamed.Choices = append(streamed.Choices, received.streamed())
	}
	data, err := json.Marshal(streamed)
	if err != nil {
		return inference.Chunk{}, fmt.Errorf("stored answer: %w: %w", ErrMalformed, err)
	}
	return inference.Chunk{Tokens: whole.Usage.CompletionTokens, Data: data, Final: true, FinishReason: finishReason, Usage: whole.Usage}, nil
}

// streamed converts a whole choice to the choice of a chunk, where each tool call states its index.
func (c wholeChoice) streamed() streamedChoice {
	if c.Message != nil {
		for index := range c.Message.ToolCalls {
			c.Message.ToolCalls[index].Index = &index
		}
	}
	return streamedChoice{Index: c.Index, Text: c.Text, Delta: c.Message, FinishReason: c.FinishReason}
}
