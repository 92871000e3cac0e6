package answer

import (
	"encoding/json"
	"fmt"
	"sort"

	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/inference"
	"mallowlatch.example/mallowlatch/internal/ledger"
)

const (
	// ErrMalformed means that a chunk is not a JSON object of the endpoint's dialect.
	ErrMalformed = failure.Kind("answer: malformed chunk")
	// ErrIncomplete means that the answer was requested before its final chunk was received.
	ErrIncomplete = failure.Kind("answer: not complete")
	// ErrTooLarge means that the answer is larger than maxAnswerBytes.
	ErrTooLarge = failure.Kind("answer: too large")
)

// maxAnswerBytes limits the total size of the chunks of one answer.
const maxAnswerBytes = 16 << 20

// Aggregate is a Sink that joins the chunks of an answer into one OpenAI JSON response. It is not safe for concurrent use.
type Aggregate struct {
	endpoint inference.Endpoint
	id       string
	created  int64
	model    string
	choices  map[int]*choice
	bytes    int
	usage    inference.Usage
	final    bool
	stored   *ledger.Answer
}

// NewAggregate returns an empty aggregate for the endpoint.
func NewAggregate(endpoint inference.Endpoint) *Aggregate {
	return &Aggregate{endpoint: endpoint, choices: map[int]*choice{}}
}

// choice accumulates one of the alternative answers.
type choice struct {
	role, finishReason       string
	content, refusal, reason []byte
	toolCalls                map[int]*toolCall
}

// toolCall accumulates a function call.
type toolCall struct {
	id, kind, name string
	arguments      []byte
}

// chunkObject is a chunk of a chat completion or a text completion.
type chunkObject struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Text         string     `json:"text"`
	Delta        chunkDelta `json:"delta"`
	FinishReason string     `json:"finish_reason"`
}

type chunkDelta struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	Refusal   string          `json:"refusal"`
	Reasoning string          `json:"reasoning_content"`
	ToolCalls []chunkToolCall `json:"tool_calls"`
}

type chunkToolCall struct {
	Index    int           `json:"index"`
	ID       string        `json:"id"`
	Type     string        `json:"type"`
	Function chunkFunction `json:"function"`
}

type chunkFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

// Chunk adds the next chunk.
func (a *Aggregate) Chunk(chunk inference.Chunk) error {
	a.bytes += len(chunk.Data)
	if a.bytes > maxAnswerBytes {
		return ErrTooLarge
	}
	var object chunkObject
	if len(chunk.Data) > 0 {
		if err := json.Unmarshal(chunk.Data, &object); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
	}
	a.addHeader(&object)
	for index := range object.Choices {
		a.addChoice(&object.Choices[index])
	}
	if chunk.Final {
		a.finish(chunk)
	}
	return nil
}

func (a *Aggregate) addHeader(object *chunkObject) {
	if a.id == "" {
		a.id, a.created, a.model = object.ID, object.Created, object.Model
	}
}

func (a *Aggregate) addChoice(received *chunkChoice) {
	target := a.choice(received.Index)
	target.content = append(target.content, received.Text...)
	target.content = append(target.content, received.Delta.Content...)
	target.refusal = append(target.refusal, received.Delta.Refusal...)
	target.reason = append(target.reason, received.Delta.Reasoning...)
	if received.Delta.Role != "" {
		target.role = received.Delta.Role
	}
	if received.FinishReason != "" {
		target.finishReason = received.FinishReason
	}
	for index := range received.Delta.ToolCalls {
		target.addToolCall(&received.Delta.ToolCalls[index])
	}
}

func (a *Aggregate) choice(index int) *choice {
	target, known := a.choices[index]
	if !known {
		target = &choice{role: "assistant"}
		a.choices[index] = target
	}
	return target
}

func (c *choice) addToolCall(received *chunkToolCall) {
	if c.toolCalls == nil {
		c.toolCalls = map[int]*toolCall{}
	}
	target, known := c.toolCalls[received.Index]
	if !known {
		target = &toolCall{kind: "function"}
		c.toolCalls[received.Index] = target
	}
	if received.ID != "" {
		target.id = received.ID
	}
	if received.Type != "" {
		target.kind = received.Type
	}
	target.name += received.Function.Name
	target.arguments = append(target.arguments, received.Function.Arguments...)
}

func (a *Aggregate) finish(chunk inference.Chunk) {
	a.final = true
	a.usage = chunk.Usage
	for _, target := range a.choices {
		if target.finishReason == "" {
			target.finishReason = chunk.FinishReason
		}
	}
}

// Stored sets a stored whole answer in place of chunks.
func (a *Aggregate) Stored(stored ledger.Answer) error {
	a.stored = &stored
	return nil
}

// Reset discards every chunk received so far.
func (a *Aggregate) Reset() bool {
	*a = *NewAggregate(a.endpoint)
	return true
}

// Usage returns the token counts of a complete answer.
func (a *Aggregate) Usage() inference.Usage { return a.usage }

// Answer returns the whole answer: a stored one unchanged, or the JSON object joined from the chunks. It returns
// ErrIncomplete before the final chunk.
func (a *Aggregate) Answer() (ledger.Answer, error) {
	if a.stored != nil {
		return *a.stored, nil
	}
	if !a.final {
		return ledger.Answer{}, ErrIncomplete
	}
	body, err := json.Marshal(a.whole())
	if err != nil {
		return ledger.Answer{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return ledger.Answer{Status: statusOK, Body: body}, nil
}

// statusOK is the HTTP status of a whole answer.
const statusOK = 200

func (a *Aggregate) whole() wholeAnswer {
	whole := wholeAnswer{ID: a.id, Object: objectOf(a.endpoint), Created: a.created, Model: a.model, Usage: a.usage}
	for _, index := range sortedKeys(a.choices) {
		whole.Choices = append(whole.Choices, a.choices[index].whole(index, a.endpoint))
	}
	return whole
}

func sortedKeys[V any](values map[int]V) []int {
	keys := make([]int, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Ints(keys)
	return keys
}
