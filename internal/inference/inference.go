// Package inference holds the request and response types that pass between the caller API, the dispatcher and the
// engine adapters. It does no I/O.
package inference

import (
	"encoding/json"
	"time"

	"mallowlatch.example/mallowlatch/internal/ident"
)

// Class orders work on a shared engine.
type Class uint8

const (
	// Online is a request whose caller waits.
	Online Class = iota
	// Batch is an item of a batch job; it yields to Online.
	Batch
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}

// Endpoint is the path of the OpenAI HTTP API a request is for.
type Endpoint string

const (
	// ChatCompletions is the chat endpoint.
	ChatCompletions Endpoint = "/v1/chat/completions"
	// Completions is the text completion endpoint.
	Completions Endpoint = "/v1/completions"
)

// Request is one caller request or one batch item, validated and resolved against the configuration.
type Request struct {
	// ID is unique in the fleet and the same for every attempt.
	ID ident.Request
	// Tenant pays for the request.
	Tenant ident.Tenant
	// Service is the name the caller gave as "model".
	Service string
	// Model is the engine model the service resolves to.
	Model string
	// Adapter is the adapter to apply, or empty.
	Adapter string
	// Endpoint is the path to call on the engine.
	Endpoint Endpoint
	// Body is the caller's JSON object, unchanged.
	Body json.RawMessage
	// Stream says that the caller asked for server-sent events.
	Stream bool
	// Class orders it against other work.
	Class Class
	// PromptTokens is an estimate, in tokens.
	PromptTokens int
	// MaxTokens bounds the answer, in tokens.
	MaxTokens int
	// PrefixBlocks are the hashes of the prompt's successive fixed-size blocks, each covering all before it.
	PrefixBlocks []uint64
	// Repeatable is false when the request may run at most once.
	Repeatable bool
	// Deterministic says that a second run gives the same tokens, so that a stream may be re-run elsewhere.
	Deterministic bool
	// IdempotencyKey names the request across resends, or is empty.
	IdempotencyKey string
	// Arrived is when the node received the request.
	Arrived time.Time
	// Deadline is when the answer stops being useful; zero means none.
	Deadline time.Time
}

// Usage counts the tokens of a finished request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chunk is one piece of an answer as an engine sent it.
type Chunk struct {
	// Offset is the number of tokens of the answer before this chunk. A gap or an overlap is an error of the stream.
	Offset int
	// Tokens is the number of tokens in the chunk.
	Tokens int
	// Data is the JSON object of the chunk in the dialect of the endpoint, ready to forward. It is only valid until
	// the next call of Next.
	Data []byte
	// Final marks the last chunk; an answer without one is truncated.
	Final bool
	// FinishReason is set on the last chunk: "stop" or "length".
	FinishReason string
	// Usage is set on the last chunk.
	Usage Usage
}
