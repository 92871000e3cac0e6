package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// wordBytes is the length of a word of a prompt: one token of the stand-in engine, with its space.
const wordBytes = 4

// promptShape is what a body is made from.
type promptShape struct {
	// identity makes the prompt differ from every other.
	identity uint64
	// prefix numbers the shared prefix; negative ones are the batch heaps'.
	prefix, prefixTokens int
	tokens, answer       int
}

type chatBody struct {
	Model       string        `json:"model"`
	Messages    []chatMessage `json:"messages"`
	MaxTokens   int           `json:"max_tokens"`
	MinTokens   int           `json:"min_tokens"`
	Temperature float64       `json:"temperature"`
	Stream      bool          `json:"stream,omitempty"`
	Repeatable  *bool         `json:"repeatable,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chat returns a chat completion body. min_tokens fixes the length of the answer.
func (p promptShape) chat(model string, stream, repeatable bool) []byte {
	body := chatBody{
		Model: model,
		Messages: []chatMessage{
			{Role: "system", Content: words(uint64(p.prefix), p.prefixTokens)},
			{Role: "user", Content: fmt.Sprintf("%016x ", p.identity) + words(p.identity, p.tokens)},
		},
		MaxTokens: p.answer,
		MinTokens: p.answer,
		Stream:    stream,
	}
	if !repeatable {
		body.Repeatable = &repeatable
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return encoded
}

// words returns a text of count words that depends on the seed alone.
func words(seed uint64, count int) string {
	random := rand.New(rand.NewPCG(seed, 3))
	var builder strings.Builder
	builder.Grow(count * wordBytes)
	for range count {
		number := random.Uint32()
		for range wordBytes - 1 {
			builder.WriteByte('a' + byte(number%26))
			number /= 26
		}
		builder.WriteByte(' ')
	}
	return builder.String()
}
