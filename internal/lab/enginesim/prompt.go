package enginesim

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrBadBody means a request body the engine cannot serve.
const ErrBadBody = failure.Kind("engine stand-in: bad request body")

const (
	// bytesPerToken is the length of a token in the stand-in's tokeniser.
	bytesPerToken = 4
	// shortestAnswer and answerSpread give the natural length of an answer, in tokens.
	shortestAnswer = 32
	answerSpread   = 97
	// longestAnswer bounds every answer, in tokens.
	longestAnswer = 32_768
)

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

type requestBody struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	MinTokens           int             `json:"min_tokens"`
	Seed                *int64          `json:"seed"`
	Temperature         *float64        `json:"temperature"`
	Stream              bool            `json:"stream"`
}

// Prompt is what the engine takes from a request body. Answers depend on it alone, so that any engine gives the same.
type Prompt struct {
	Model  string
	Stream bool
	// Text is the whole prompt.
	Text string
	// Digest identifies the prompt and the seed.
	Digest uint64
	// Tokens is the length of the prompt, in tokens.
	Tokens int
	// AnswerTokens is the length of the answer, in tokens.
	AnswerTokens int
	// FinishReason is "length" when max_tokens cut the answer, else "stop".
	FinishReason string
	// Sampled says that every run gives other tokens: a temperature above zero without a seed.
	Sampled bool
}

// ParsePrompt reads a chat or text completion body. Errors wrap ErrBadBody.
func ParsePrompt(body []byte) (Prompt, error) {
	var parsed requestBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Prompt{}, fmt.Errorf("%w: %w", ErrBadBody, err)
	}
	text, err := parsed.text()
	if err != nil {
		return Prompt{}, err
	}
	prompt := Prompt{Model: parsed.Model, Stream: parsed.Stream, Text: text}
	prompt.Digest = parsed.digest(text)
	prompt.Tokens = (len(text) + bytesPerToken - 1) / bytesPerToken
	prompt.Sampled = parsed.Seed == nil && parsed.Temperature != nil && *parsed.Temperature > 0
	prompt.AnswerTokens, prompt.FinishReason, err = parsed.answerLength(prompt.Digest)
	return prompt, err
}

func (b *requestBody) text() (string, error) {
	if len(b.Messages) == 0 {
		return textOf(b.Prompt)
	}
	var builder strings.Builder
	for _, message := range b.Messages {
		content, err := textOf(message.Content)
		if err != nil {
			return "", err
		}
		builder.WriteString(message.Role)
		builder.WriteByte('\n')
		builder.WriteString(content)
		builder.WriteByte('\n')
	}
	return builder.String(), nil
}

// textOf reads a JSON string, a list of strings or a list of content parts.
func textOf(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var texts []string
	if json.Unmarshal(raw, &texts) == nil {
		return strings.Join(texts, ""), nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", fmt.Errorf("%w: neither messages nor prompt", ErrBadBody)
	}
	for _, part := range parts {
		text += part.Text
	}
	return text, nil
}

func (b *requestBody) digest(text string) uint64 {
	digest := xxhash.Sum64String(text)
	if b.Seed != nil {
		digest = mix(digest ^ uint64(*b.Seed))
	}
	return digest
}

func (b *requestBody) answerLength(digest uint64) (int, string, error) {
	limit := longestAnswer
	if b.MaxTokens != nil {
		limit = min(limit, *b.MaxTokens)
	}
	if b.MaxCompletionTokens != nil {
		limit = min(limit, *b.MaxCompletionTokens)
	}
	if limit < 1 {
		return 0, "", fmt.Errorf("%w: max_tokens below one", ErrBadBody)
	}
	natural := shortestAnswer + int(digest%answerSpread)
	natural = max(natural, b.MinTokens)
	if natural > limit {
		return limit, "length", nil
	}
	return natural, "stop", nil
}

// Blocks returns the hashes of the prompt's successive whole blocks, each covering all before it.
func (p Prompt) Blocks(blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	blocks := make([]uint64, 0, len(p.Text)/size)
	var previous [8]byte
	for start := 0; start+size <= len(p.Text); start += size {
		hash := xxhash.New()
		_, _ = hash.Write(previous[:])
		_, _ = hash.WriteString(p.Text[start : start+size])
		sum := hash.Sum64()
		binary.LittleEndian.PutUint64(previous[:], sum)
		blocks = append(blocks, sum)
	}
	return blocks
}

// mix is the finaliser of SplitMix64.
func mix(value uint64) uint64 {
	const (
		increment = 0x9e3779b97f4a7c15
		first     = 0xbf58476d1ce4e5b9
		second    = 0x94d049bb133111eb
	)
	value += increment & math.MaxUint64
	value = (value ^ value>>30) * first
	value = (value ^ value>>27) * second
	return value ^ value>>31
}
